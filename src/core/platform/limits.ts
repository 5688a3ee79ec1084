/** Time limits of calls to the store that callers have to take into account, in milliseconds. */

/**
 * A wait for changes times out this long after its own waiting time: twice the 250 ms that the store's answers take in its
 * slow hours.
 */
export const longPollGraceMs = 500;

/**
 * How long an owner waits for reports of workers and for changes of jobs. A connection that stops responding as a wait
 * begins is detected, and the wait repeated, within 3 s: after that time a box without a fault has to be as good as any
 * other.
 */
export const ownerLongPollMs = 2_000;
