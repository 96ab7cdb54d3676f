/** Lines of an event stream, one character a byte. */

const surroundingPattern = /^[\t\n\r ]+|[\t\n\r ]+$/g;

/** The line without the line ends, spaces and tabs around it. Other white space is a part of a character: its bytes are those of longer ones in UTF-8. */
export function trimLine(line: string): string {
	return line.replaceAll(surroundingPattern, '');
}
