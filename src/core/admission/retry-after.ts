/**
 * When a caller whose request was not taken is to come back.
 *
 * Load pattern: hundreds of callers are turned away in the same second, by a backlog or an outage, and all come back in
 * one moment. So the time follows from what they wait for, and callers are spread over half of it again; those of urgent
 * queues are not, and come first.
 */

/** No caller is sent away for less, in milliseconds: the header counts whole seconds. */
const minRetryMs = 1_000;

/** Nor for longer: by then the estimate is worth nothing. */
const maxRetryMs = 30_000;

/**
 * An outage that has lasted for so long is no hiccup, and is taken to last for half its age again; before that callers
 * who wait for three seconds in all had better try each second.
 */
const shortOutageMs = 5_000;

/** Callers are spread over this part of the time. */
const jitterFraction = 0.5;

/** What turned a caller away: a backlog that is so much too long, or an outage of this age; in milliseconds. */
export type RefusalCause = { type: 'backlog'; excessMs: number } | { type: 'outage'; ageMs: number };

/** Seconds until a caller is to come back; `random`: 0 to 1. */
export function retryAfterS(cause: RefusalCause, priority: number, random: number): number {
	const expected = expectedMs(cause);
	const jitterMs = priority === 0 ? 0 : expected * jitterFraction * random;
	const ms = Math.min(maxRetryMs, Math.max(minRetryMs, expected + jitterMs));
	return Math.ceil(ms / 1_000);
}

function expectedMs(cause: RefusalCause): number {
	if (cause.type === 'backlog') return cause.excessMs;
	return cause.ageMs < shortOutageMs ? minRetryMs : cause.ageMs / 2;
}
