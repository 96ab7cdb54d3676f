/**
Converts entry announcements between their wire and in-memory forms.
*/

import type {EntryAnnouncement} from '@rattanspring/types';
import {EntryAddress} from './generated/directory.js';

/** Converts an entry's announcement to its wire message. */
export function entryToMessage(announcement: EntryAnnouncement, ageMs = 0): EntryAddress {
	return EntryAddress.create({...announcement, ageMs: Math.round(ageMs)});
}

/** Converts a wire message to an entry's announcement; undefined if required fields are missing. */
export function entryFromMessage(message: EntryAddress): EntryAnnouncement | undefined {
	const {ageMs: _ageMs, ...content} = message;
	if (content.daemonId === '' || content.url === '') {
		return undefined;
	}

	return {...content, state: content.state === 'serving' ? 'serving' : 'leaving'};
}
