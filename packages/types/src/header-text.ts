/**
Texts that reach a header or a request line, from callers, operators and targets. Bytes of a message are kept as they came, one character a byte (ISO 8859-1),
since the HTTP client writes them so; texts of another origin are encoded in UTF-8 first.
*/

/** A token (RFC 9110, 5.6.2). */
const namePattern = /^[!#$%&'*+\-.^`|~\w]+$/;

/** What no field value may contain (RFC 9110, 5.5), one character a byte. */
const invalidValuePattern = /[^\t\u0020-\u007E\u0080-\u00FF]/;

/** A request target in origin form, one character a byte: no white space, no controls. */
const targetPattern = /^\/[\u0021-\u007E\u0080-\u00FF]*$/;

const asciiPattern = /^\p{ASCII}*$/u;

const controlPattern = /\p{Cc}|\p{Cs}/u;

/** Whether a text can be the name of a header field. */
export function isHeaderName(text: string): boolean {
	return namePattern.test(text);
}

/** Whether a text, one character a byte, can be the value of a header field. */
export function isHeaderValue(text: string): boolean {
	return !invalidValuePattern.test(text);
}

/** Whether a text, one character a byte, can be the path and query of a request. */
export function isRequestTarget(text: string): boolean {
	return targetPattern.test(text);
}

/** Whether a name that is no part of a message arrives as it is in a header: without controls and halves of characters, and without spaces around it, which receivers remove. */
export function isSendableName(name: string): boolean {
	return name !== '' && name === name.trim() && !controlPattern.test(name);
}

/** A text as the value of a header: its bytes in UTF-8, one character a byte. */
export function toHeaderValue(text: string): string {
	return isAscii(text) ? text : Array.from(new TextEncoder().encode(text), byte => String.fromCodePoint(byte)).join('');
}

/** The text whose UTF-8 bytes are the value of a header; the value itself if its bytes are no UTF-8. */
export function fromHeaderValue(value: string): string {
	if (isAscii(value)) {
		return value;
	}

	try {
		return new TextDecoder('utf-8', {fatal: true}).decode(Uint8Array.from(value, character => character.codePointAt(0)!));
	} catch {
		return value;
	}
}

function isAscii(text: string): boolean {
	return asciiPattern.test(text);
}
