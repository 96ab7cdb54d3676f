/** Repeatable random numbers. */

const multiplier = 1_103_515_245;
const increment = 12_345;
const modulus = 2 ** 31;

/** Numbers in [0, 1) that depend on the seed only. Seeds of recorded cases rely on this very sequence. */
export function seededRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * multiplier) + increment) % modulus;
		return state / modulus;
	};
}
