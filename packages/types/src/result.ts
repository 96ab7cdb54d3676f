/**
The result of an operation that can fail: a value or a tagged failure.
*/

/** A successful result. */
export type Ok<Value> = {readonly ok: true; readonly value: Value};

/** A failed result; `failure` is tagged by its `type`. */
export type Err<Failure> = {readonly ok: false; readonly failure: Failure};

/** Either a value or a typed failure. */
export type Result<Value, Failure> = Ok<Value> | Err<Failure>;

/** Creates a successful result. */
export function ok<Value>(value: Value): Ok<Value> {
	return {ok: true, value};
}

/** Creates a failed result. */
export function err<Failure>(failure: Failure): Err<Failure> {
	return {ok: false, failure};
}
