/**
Port for time. Pure cores never read the clock; adapters and roles read it and pass the time in as data.
*/

/** A source of time. */
export abstract class Clock {
	/** Monotonic milliseconds since an arbitrary origin; for durations and leases. */
	abstract monotonicMs(): number;
	/** Milliseconds since the Unix epoch; for times shown to people and for the expiry of exceptions. */
	abstract wallMs(): number;
}
