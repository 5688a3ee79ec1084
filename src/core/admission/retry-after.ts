/**
 * When a caller whose request was turned away should retry.
 *
 * Load pattern: a backlog or an outage turns away hundreds of callers in the same second, and all of them retry at the same
 * moment. So the time depends on what they wait for, with up to half of it added as jitter. Callers of urgent queues
 * (priority 0) get no jitter, and come first.
 */

/** Shortest time to a retry, in milliseconds: the header counts whole seconds. */
const leastMs = 1_000;

/** Longest time to a retry, in milliseconds: by then the estimate is worth nothing. */
const mostMs = 30_000;

/**
 * An outage that has lasted this long, in milliseconds, is presumed to last for half its age again. Before that, callers who
 * wait for three seconds in all had better retry each second.
 */
const hiccupMs = 5_000;

/** Largest jitter, as a fraction of the time to a retry. */
const spreadPart = 0.5;

/** What turned a caller away: a backlog that is too long by `excessMs`, or an outage that has lasted for `ageMs`. */
export type Obstruction = { type: 'backlog'; excessMs: number } | { type: 'outage'; ageMs: number };

/** Seconds until a caller should retry; `random`: 0 to 1. */
export function retryAfterS(obstruction: Obstruction, priority: number, random: number): number {
	const expected = expectedMs(obstruction);
	const spread = priority === 0 ? 0 : expected * spreadPart * random;
	const ms = Math.min(mostMs, Math.max(leastMs, expected + spread));
	return Math.ceil(ms / 1_000);
}

function expectedMs(obstruction: Obstruction): number {
	if (obstruction.type === 'backlog') return obstruction.excessMs;
	return obstruction.ageMs < hiccupMs ? leastMs : obstruction.ageMs / 2;
}
