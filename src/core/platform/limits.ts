/** Time limits of calls to the store that its callers reckon with, in milliseconds. */

/**
 * A wait for changes is given up when its answer is so late: twice the 250 ms that the store's answers take in its slow
 * hours.
 */
export const longPollGraceMs = 500;

/**
 * How long an owner waits for news of workers and of jobs. A connection that goes silent as a wait begins is found out, and
 * the wait repeated, before the 3 s are over after which a box without trouble is to be as good as any other.
 */
export const ownerLongPollMs = 2_000;
