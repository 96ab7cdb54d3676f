/**
Load figures on the wire: a list of values for each target instead of an object, without the names of the fields. Load figures are most of what
daemons tell each other.
*/

import {isReadablePlace, type RankPlace, type TargetLoad} from '@rattanspring/target-table';

/**
Values of a target: address, `bornMs`, sequence, active, queued, memory share and pace; then group, epoch, rank, size, 1 or 0 for open or not, and skew, if it is a rank; then the
duration of a pass, if the rank reports it. `null` stands for no sequence or skew.
*/
export type LoadRow = readonly unknown[];

const baseLength = 7;
const rankLength = 13;
const passLength = 14;

/** Digits of fractions that matter to the choice of a target. */
const fractionDigits = 3;

export function toLoadRow({
	address, bornMs, sequence, active, queued, memoryShare, pace, rankPlace, skew, passMs,
}: TargetLoad): LoadRow {
	const base = [address, bornMs, sequence ?? null, active, queued, rounded(memoryShare), rounded(pace)];
	if (!rankPlace) {
		return base;
	}

	const {group, epoch, rank, size, isOpen} = rankPlace;
	return [...base, group, epoch, rank, size, isOpen ? 1 : 0, skew === undefined ? null : rounded(skew), ...(passMs === undefined ? [] : [Math.round(passMs)])];
}

/** Throws if the values are not those of a target. */
export function fromLoadRow(row: unknown): TargetLoad {
	if (!Array.isArray(row) || ![baseLength, rankLength, passLength].includes(row.length)) {
		throw new TypeError('The load figures have another number of values.');
	}

	const [address, bornMs, sequence, active, queued, memoryShare, pace, ...place] = row as unknown[];
	const passTimes = row.length === passLength ? [place.pop()] : [];
	const skew = place.pop() ?? null;
	const numbers = [bornMs, active, queued, memoryShare, pace, ...(sequence === null ? [] : [sequence]), ...(skew === null ? [] : [skew]), ...passTimes];
	if (typeof address !== 'string' || !areNumbers(numbers)) {
		throw new TypeError('The load figures have values of another type.');
	}

	return {
		address,
		bornMs: bornMs as number,
		...(sequence !== null && {sequence: sequence as number}),
		active: active as number,
		queued: queued as number,
		memoryShare: memoryShare as number,
		pace: pace as number,
		...(place.length > 0 && {rankPlace: toRankPlace(place)}),
		...(skew !== null && {skew: skew as number}),
		...(passTimes.length > 0 && {passMs: passTimes[0] as number}),
	};
}

function toRankPlace([group, ...numbers]: readonly unknown[]): RankPlace {
	const [epoch, rank, size, isOpen] = numbers;
	const place = {
		group, epoch, rank, size, isOpen: isOpen === 1,
	};
	if (typeof isOpen !== 'number' || !isReadablePlace(place)) {
		throw new TypeError('The load figures name no rank.');
	}

	return place;
}

function areNumbers(values: readonly unknown[]): values is readonly number[] {
	return values.every(value => Number.isFinite(value));
}

function rounded(fraction: number): number {
	return Number(fraction.toFixed(fractionDigits));
}
