/** Time limits of the race for the dispatching, in milliseconds. */

/** Lease of the owner's name: an owner that dies without closing its connections is replaced after it. */
export const leaseMs = 2_000;

/** Between renewals of the lease: three tries within it. */
export const keepGapMs = 600;

/** The owner asks the store whether it still is the owner when no write has shown it for this long. */
export const confirmAfterMs = 800;

/** After a try that came to nothing. */
export const findRetryMs = 250;

/** Boxes that find no owner wait up to this long, so that one of them usually is first. */
export const raceSpreadMs = 60;

/** How long the owner holds a question of a box. */
export const pingWaitMs = 500;

/** A question without an answer after this means that the owner is silent. */
export const pingTimeoutMs = 1_300;
