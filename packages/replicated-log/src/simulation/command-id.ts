/** Encoding of the commands of a simulated group, which consist of an id and padding. */

/** Encodes a command of `bytes` bytes, or of as many as its id needs. */
export function encodeCommand(id: number, bytes = 0): Uint8Array {
	return new TextEncoder().encode(String(id).padEnd(bytes));
}

export function commandId(command: Uint8Array): number {
	return Number(new TextDecoder().decode(command));
}
