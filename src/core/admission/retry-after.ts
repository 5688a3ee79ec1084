/**
 * When a caller whose request was turned away should retry.
 *
 * Load pattern: a backlog or an outage turns away hundreds of callers in the same second, and all of them retry at the same
 * moment. So the time depends on what they wait for, with up to half of it added as jitter. Callers of urgent queues
 * (priority 0) get no jitter, and come first.
 */

/** Shortest time to a retry, in milliseconds: the header counts whole seconds. */
const minRetryMs = 1_000;

/** Longest time to a retry, in milliseconds: by then the estimate is worth nothing. */
const maxRetryMs = 30_000;

/**
 * An outage that has lasted this long, in milliseconds, is presumed to last for half its age again. Before that, callers who
 * wait for three seconds in all had better retry each second.
 */
const shortOutageMs = 5_000;

/** Largest jitter, as a fraction of the time to a retry. */
const jitterFraction = 0.5;

/** What turned a caller away: a backlog that is too long by `excessMs`, or an outage that has lasted for `ageMs`. */
export type RefusalCause = { type: 'backlog'; excessMs: number } | { type: 'outage'; ageMs: number };

/** Seconds until a caller should retry; `random`: 0 to 1. */
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
