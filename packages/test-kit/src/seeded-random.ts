/** Reproducible random numbers for tests. */

const multiplier = 1_103_515_245;
const increment = 12_345;
const modulus = 2 ** 31;

/** Returns a generator of numbers in [0, 1) that depend only on the seed. The sequence must not change, because the seeds of recorded test cases rely on it. */
export function seededRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * multiplier) + increment) % modulus;
		return state / modulus;
	};
}
