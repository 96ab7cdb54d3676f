/** Limits the time that a caller waits for some work; the work itself goes on. */

/** Resolves with `undefined` if the work takes longer. */
export async function withTimeout<Value>(work: Promise<Value>, timeoutMs: number): Promise<Value | undefined> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<undefined>(resolve => {
		timer = setTimeout(resolve, timeoutMs, undefined);
	});
	const value = await Promise.race([work, timeout]);
	clearTimeout(timer);
	return value;
}
