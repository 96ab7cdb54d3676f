/** Statuses of HTTP (RFC 9110, 15). */

const lowestStatus = 100;
const highestStatus = 599;

/** Whether a status is one of HTTP. A response with another one is no answer: a target in trouble sends it, or these bytes are no head. */
export function isHttpStatus(status: number): boolean {
	return status >= lowestStatus && status <= highestStatus;
}
