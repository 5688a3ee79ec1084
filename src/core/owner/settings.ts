/** Time limits of the race for the dispatching, in milliseconds. */

/** Lease of the owner's name: an owner that dies without closing its connections is replaced after it. */
export const leaseMs = 2_000;

/** Between renewals of the lease: three tries within it. */
export const renewalIntervalMs = 600;

/** The owner asks the store whether it still is the owner when no write has shown it for this long. */
export const confirmAfterMs = 800;

/** After a try that came to nothing. */
export const findRetryMs = 250;

/** Boxes that find no owner wait up to this long, so that one of them usually is first. */
export const raceJitterMs = 60;

/**
 * A box with clearly less processor than the strongest known leaves that one this much time to be first: it may
 * start at the same time. Where the owner fell silent, its question to the owner first has to run out of time.
 */
export const weakerBoxDelayMs = 350;

/** A box counts as weaker below this part of the strongest known processor. */
export const weakerFraction = 0.7;

/** A stronger box has to have asked for so long before the owner hands over to it: it is up, and stays up. */
export const minCandidateUptimeMs = 1_500;

/** A box that has not asked for so long is no candidate: three questions. */
export const candidateTimeoutMs = 2_000;

/** Handing over stops all placing for some tenths of a second: at most once in this time. */
export const minHandoverIntervalMs = 8_000;

/** How long the owner holds a question of a box. */
export const pingHoldMs = 500;

/** A question without an answer after this means that the owner is silent. */
export const pingTimeoutMs = 1_300;
