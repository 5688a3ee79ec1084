/** Settings of the election of the owner, times in milliseconds. */

/** Lease of the owner record: an owner that dies without closing its connections is replaced after it. */
export const leaseMs = 2_000;

/** Interval between renewals of the lease: three tries within it. */
export const renewalIntervalMs = 600;

/** The owner asks the store whether it still is the owner when no write has shown it for this long. */
export const confirmAfterMs = 800;

/** Delay after an attempt that failed. */
export const findRetryMs = 250;

/** Boxes that find no owner wait a random time up to this, so that one of them usually is first. */
export const raceJitterMs = 60;

/**
 * A box with clearly less processor than the highest known gives the stronger box this much time to take over first, as both
 * may start at the same time. Where the owner became unresponsive, the stronger box's ping first has to time out.
 */
export const weakerBoxDelayMs = 350;

/** A box counts as weaker below this fraction of the highest known processor. */
export const weakerFraction = 0.7;

/** A stronger box has to have pinged for this long before the owner hands over to it: it is up, and stays up. */
export const minCandidateUptimeMs = 1_500;

/** A box that has not pinged for this long is no candidate: three pings. */
export const candidateTimeoutMs = 2_000;

/** Shortest interval between handovers: each stops all placement for some tenths of a second. */
export const minHandoverIntervalMs = 8_000;

/** How long the owner holds a ping. */
export const pingHoldMs = 500;

/** A ping without an answer after this means that the owner is unresponsive. */
export const pingTimeoutMs = 1_300;

/**
 * A named successor has this long to prepare, and as long again to take over once it may, in milliseconds. Half of the time
 * for which an owner acts without an answer of the store, so that two candidates can be tried within it.
 */
export const handoverConfirmMs = 1_500;

/**
 * An owner hands over for the loss of the store after this, in milliseconds. A single call without an answer also counts as
 * a loss, and a quiet owner makes its next call after up to `renewalIntervalMs`, whose answer ends the loss.
 */
export const minStoreLossMs = 800;

/** How often an owner that hands over checks whether to name another box. */
export const handoverTickMs = 100;

/** A stopping owner that nobody could replace releases ownership this long before the end of its grace period. */
export const releaseBeforeKillMs = 1_500;

/** Interval of the pings by which a prepared successor asks for permission, and of its other repeated calls. */
export const successorRetryMs = 150;

/**
 * How long a prepared successor waits for one answer of the owner: far longer than a link's delay, and short enough to
 * repeat the ping twice before another box is named.
 */
export const permissionTimeoutMs = 500;

/** Pause between two reads of the changes by a successor that prepares: bounds its calls to the store. */
export const preparedReadPauseMs = 200;
