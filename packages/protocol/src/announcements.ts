/**
Converts target announcements between their wire and in-memory forms.
*/

import type {TargetAnnouncement, TargetKind, TargetState} from '@rattanspring/types';
import {TargetAnnouncement as AnnouncementMessage} from './generated/directory.js';

/** Converts an announcement to its wire message. */
export function announcementToMessage(announcement: TargetAnnouncement, ageMs = 0): AnnouncementMessage {
	return AnnouncementMessage.create({
		...announcement,
		services: [...announcement.services],
		groupId: announcement.groupId ?? '',
		ageMs: Math.round(ageMs),
	});
}

/** Converts a wire message to an announcement; undefined if required fields are missing or its kind or state is unknown. */
export function announcementFromMessage(message: AnnouncementMessage): TargetAnnouncement | undefined {
	const {ageMs: _ageMs, ...content} = message;
	const {load, kind, state, groupId} = content;
	if (!load || !isTargetKind(kind) || !isTargetState(state) || message.targetId === '' || message.agentAddress === '') {
		return undefined;
	}

	return {
		...content, kind, state, load, groupId: groupId === '' ? undefined : groupId,
	};
}

function isTargetKind(text: string): text is TargetKind {
	return text === 'model' || text === 'plain';
}

function isTargetState(text: string): text is TargetState {
	return text === 'serving' || text === 'drained' || text === 'leaving';
}
