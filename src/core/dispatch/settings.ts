/** Limits of the dispatcher; times in milliseconds. docs/DECIDING.md gives the reasons for them. */

/** An owner renews leases and starts tasks only within this time after it sent its last confirmed call to the store. */
export const renewalHorizonMs = 3_000;

/**
 * No lease ends later than this after the owner's heartbeat on which it is based was sent, on the worker's clock. Together
 * with clock drift and a start it has to stay under `maxWithoutRunMs`.
 */
export const leaseSpanMs = 6_300;

/**
 * Shortest lease with which a task is started. A start carries the expiry of the worker's newest lease if this much is left
 * of it. Starts that extended leases would postpone the time by which the tasks of a lost worker have ended.
 */
export const minStartLeaseMs = 3_000;

/** Fraction by which a worker's clock may run slower than the owner's, as its platform states. */
export const maxClockDrift = 0.02;

/** Added to every wait for a lease to expire, to cover timers that fire late. */
export const leaseMarginMs = 150;

/** How long a report may wait for an exit. Each poll renews the worker's lease. */
export const pollWaitMs = 1_000;

/** The same beside preemptible tasks, which may interfere with others. A reading covers half a second. */
export const preemptiblePollWaitMs = 400;

/** Delay before an unresponsive worker is polled again. */
export const pollRetryMs = 250;

/** After a report with new exits, how long the next poll may wait for them to be stored. */
export const exitsStoreWaitMs = 400;

/** How long after a worker's report its exits may be acknowledged: a restart and a run after it take longer. */
export const acknowledgeWithinMs = 200;

/**
 * A worker without an answer for this time counts as unresponsive and gets no new work. Longer than a report may wait and a
 * lost packet takes together.
 */
export const unresponsiveAfterMs = 2_200;

/**
 * After this time without an answer, the expiry of a worker's leases is published to the other boxes. From then on the
 * worker gets a lease only after a write to the store.
 */
export const publishLeaseEndAfterMs = 2_200;

/** The same after a call that failed. Longer than a retransmission takes, as each publication costs a write. */
export const publishLeaseEndAfterFailureMs = 1_000;

/** How long a worker that refused a start gets no new work. */
export const refusalBackoffMs = 500;

/** Delay before an unanswered command is repeated. */
export const commandRetryMs = 200;

/** Maximum number of attempts to send a start. If none is answered, the run is stopped. */
export const maxStartAttempts = 3;

/** Exits that arrive within this time of each other are stored in one write. */
export const saveBatchMs = 25;

/** Interval between checks of due times, unresponsive workers and drains. */
export const tickMs = 100;

/**
 * Nothing is started by a list of workers that was last known to be current longer ago than this, as a worker's free
 * capacity may have shrunk. Covers two waits for changes, the first of them unanswered.
 */
export const maxListAgeMs = 4_000;

/** Delay before a list that is too old is requested again. The request for a page of it times out after the same time. */
export const listRetryMs = 1_000;

/** Interval between reads of the list of workers. */
export const listReadIntervalMs = 350;

/** How long before the possible end of a draining worker its runs are stopped. */
export const stopBeforeEndMs = 1_400;

/** Number of consecutive failures, of several jobs, after which a worker is quarantined. */
export const quarantineFailures = 3;

/** How long a worker stays in quarantine. */
export const quarantineMs = 4_000;

/** A preemptible task that was throttled to this pace or less is migrated if another worker takes it, in per cent. */
export const migrationPacePercent = 30;

/** Delay before a throttled task is migrated, as a peak of the load may pass first. */
export const migrateAfterMs = 800;

/** The same where a migration is costly and other tasks wait for the capacity that it would take. */
export const costlyMigrateAfterMs = 4_000;

/** A migration is costly if the restore from a checkpoint takes more than this fraction of the task's estimate. */
export const costlyMigrationFraction = 0.15;

/** Minimum interval between placement rounds while tasks wait for capacity. */
export const roundIntervalMs = 15;

/** Interval between attempts to place a step of long-running or preemptible tasks that found no capacity. */
export const lowUrgencyRetryMs = 100;

/** The interval is also at least this multiple of the duration of the last round, to leave processor time to reports. */
export const roundIntervalFactor = 2;

/**
 * A long-running task that has waited for this time is placed before short ones, and workers are kept free for it. It serves
 * nobody while it waits, and short tasks would take every core that becomes free.
 */
export const longRunningOverdueMs = 3_000;

/** Maximum number of workers kept free for overdue tasks in one round, as a fraction of the workers that may get work. */
export const keptFreeFraction = 0.1;

/**
 * A preemptible task that has waited for this time is placed whatever interference it causes. The work of a queue has to
 * finish, and a task that waits for a worker without interference may wait as long as there are users.
 */
export const starvedAfterMs = 10_000;

/**
 * Maximum number of workers that hold such a task at a time, as a fraction of a pool: the first after the wait above, rising
 * in proportion to a longer wait up to the second.
 */
export const exemptFraction = 0.1;
export const maxExemptFraction = 0.3;

/** Delay before the next poll where a report names jobs that have to be read from the store first. */
export const deferredReportRetryMs = 15;

/** A run that has full pace and makes no progress for this time, over several reports, is presumed hung. */
export const hungAfterMs = 2_500;

/** A step is logged as stalled if one of its tasks has waited for the first time, and again after each further interval. */
export const stalledAfterMs = 3_000;
export const stalledLogIntervalMs = 3_000;

/** Longest time that users allow between two runs of a long-running task. A longer one is logged as a warning. */
export const maxWithoutRunMs = 9_000;

/** Interval between the log lines on long-running tasks that exceed it. */
export const withoutRunLogIntervalMs = 3_000;
