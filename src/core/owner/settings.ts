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
