/** What targets say of themselves in the heads of their answers: that they leave, that they want a pause, that they name a limit, or that they are cold. */

import {readPauseRequest} from '@rattanspring/placement';
import type {TargetLifetime} from '@rattanspring/target-table';
import type {GatewayContext} from './gateway-context.js';
import type {ResponseMetadata} from './header-codec.js';

/** Longest part of a malformed value that is logged. */
const maxLoggedLength = 40;

/** A target that has answered, and the request that it has answered. */
export type NoticeSource = TargetLifetime & {
	readonly requestId?: string;
	/** Whether the target was known to name a limit when the request was sent. */
	readonly wasSentUnderLimit: boolean;
};

/** Records what an answer says of its target. It holds from the head on, whatever becomes of the rest. */
export function recordNotices(context: GatewayContext, source: NoticeSource, metadata: ResponseMetadata): void {
	const {targetId, bornMs, requestId} = source;
	if (metadata.isLeaving && context.onTargetLeaving({targetId, bornMs})) {
		context.logger.log('info', 'targetLeaving', {
			targetId, bornMs, source: 'answer', requestId,
		});
	}

	if (metadata.isSigned) {
		context.selector.answered({targetId, bornMs});
	}

	if (metadata.coldLeft !== undefined) {
		recordCold(context, source, metadata.coldLeft);
	}

	recordLimit(context, source, metadata);
	if (metadata.pause !== undefined) {
		recordPause(context, source, metadata.pause);
	}
}

/** A limit ends with an answer that names none, to a request that was sent after the limit had become known. */
function recordLimit({logger, onTargetLimit}: GatewayContext, {targetId, bornMs, requestId, wasSentUnderLimit}: NoticeSource, {limitPerSecond, isSigned}: ResponseMetadata): void {
	if (typeof limitPerSecond === 'string') {
		logger.log('warn', 'targetLimitIgnored', {targetId, text: limitPerSecond.slice(0, maxLoggedLength), requestId});
		return;
	}

	const hasEnded = limitPerSecond === undefined && isSigned && wasSentUnderLimit;
	if (limitPerSecond === undefined && !hasEnded) {
		return;
	}

	if (onTargetLimit({targetId, bornMs, ...(limitPerSecond !== undefined && {perSecond: limitPerSecond})})) {
		logger.log('info', 'targetLimit', {
			targetId, bornMs, limitPerSecond, requestId,
		});
	}
}

function recordCold({logger, onTargetCold}: GatewayContext, {targetId, bornMs, requestId}: NoticeSource, coldLeft: number | string): void {
	if (typeof coldLeft === 'string') {
		logger.log('warn', 'targetColdIgnored', {targetId, text: coldLeft.slice(0, maxLoggedLength), requestId});
	} else {
		onTargetCold({targetId, bornMs, coldLeftMs: coldLeft}, requestId);
	}
}

function recordPause({logger, selector, nowMs}: GatewayContext, {targetId, bornMs, requestId}: NoticeSource, pause: number | string): void {
	const requested = readPauseRequest(pause);
	if (requested.kind === 'ignored') {
		logger.log('warn', 'targetPauseIgnored', {targetId, text: requested.text, requestId});
		return;
	}

	selector.pause(targetId, bornMs, nowMs() + requested.pauseMs);
	logger.log('info', 'targetPaused', {
		targetId, pauseMs: Math.round(requested.pauseMs), isShortened: requested.kind === 'shortened', requestId,
	});
}
