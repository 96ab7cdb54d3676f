/** Creates the incarnation of a starting agent. */

import {randomInt} from 'node:crypto';
import type {Incarnation} from '@rattanspring/types';

/** Number of distinct incarnations per millisecond. */
const incarnationsPerMillisecond = 2048;

/**
Returns a number that increases with the clock. Safety requires that no two starts share an incarnation; the random part
keeps them apart even if the clock was set back to the same millisecond.
*/
export function createIncarnation(wallMs: number): Incarnation {
	return (Math.floor(wallMs) * incarnationsPerMillisecond) + randomInt(incarnationsPerMillisecond);
}
