/**
 * When a caller whose request was not taken is to come back.
 *
 * Load pattern: hundreds of callers are turned away in the same second, by a backlog or an outage, and all come back in
 * one moment. So the time follows from what they wait for, and callers are spread over half of it again; those of urgent
 * queues are not, and come first.
 */

/** No caller is sent away for less, in milliseconds: the header counts whole seconds. */
const leastMs = 1_000;

/** Nor for longer: by then the estimate is worth nothing. */
const mostMs = 30_000;

/**
 * An outage that has lasted for so long is no hiccup, and is taken to last for half its age again; before that callers
 * who wait for three seconds in all had better try each second.
 */
const hiccupMs = 5_000;

/** Callers are spread over this part of the time. */
const spreadPart = 0.5;

/** What turned a caller away: a backlog that is so much too long, or an outage of this age; in milliseconds. */
export type Obstruction = { type: 'backlog'; excessMs: number } | { type: 'outage'; ageMs: number };

/** Seconds until a caller is to come back; `random`: 0 to 1. */
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
