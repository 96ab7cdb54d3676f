/** Encoding of the commands of a simulated group, which consist only of an id. */

export function encodeCommand(id: number): Uint8Array {
	return new TextEncoder().encode(String(id));
}

export function commandId(command: Uint8Array): number {
	return Number(new TextDecoder().decode(command));
}
