/**
Weighted max-min fair shares by water filling: whoever asks for less than a share by weight gets all of it, and the others divide what is left.
*/

/** What one account asks for, and its weight among the others. */
export type ShareClaim = {readonly account: string; readonly asked: number; readonly weight: number};

/** Divides `room` among the accounts that ask for it; the sum is the room, or what they ask for if that is less. */
export function fairShares(claims: readonly ShareClaim[], room: number): Map<string, number> {
	const shares = new Map<string, number>();
	const byNeed = claims.toSorted((left, right) => (left.asked / left.weight) - (right.asked / right.weight));
	let roomLeft = room;
	let weightLeft = claims.reduce((sum, {weight}) => sum + weight, 0);
	for (const {account, asked, weight} of byNeed) {
		const share = Math.min(asked, Math.max(0, roomLeft) * weight / weightLeft);
		shares.set(account, share);
		roomLeft -= share;
		weightLeft -= weight;
	}

	return shares;
}
