/** Limits of the dispatcher, times in milliseconds. docs/DECIDING.md has what they rest on. */

/**
 * An owner renews leases and starts tasks only this long after sending its last confirmed call to the store.
 * A successor adds it to the longest lease before it takes a silent worker's tasks for ended.
 */
export const renewalHorizonMs = 3_000;

/** A worker's clock may run this much slower than ours (stated by its platform). */
export const maxClockDrift = 0.02;

/** Added to every wait for a lease to run out: covers timers that fire late. */
export const leaseMarginMs = 150;

/** A report waits at most this long for an end; each question renews the worker's lease. */
export const pollWaitMs = 1_000;

/** The same where tasks that fill may disturb others: a reading covers half a second. */
export const preemptiblePollWaitMs = 400;

/** A worker that gives no answer is asked again after this. */
export const pollRetryMs = 250;

/** After a report with new ends, the next one waits at most this long for the ends to be stored. */
export const exitsStoreWaitMs = 400;

/** A worker is let forget its ends only so long after a report of it: a restart takes longer, and a run after it. */
export const acknowledgeWithinMs = 200;

/** A worker without an answer for this long gets no new work: longer than a waiting report and a lost packet take. */
export const unresponsiveAfterMs = 2_200;

/**
 * After so long without an answer the other boxes are told when a worker's leases end. From then on it gets a lease only
 * once the store has taken a write, so that short cuts of a worker's link are left alone.
 */
export const publishLeaseEndAfterMs = 3_000;

/** A worker that refused a start is left alone this long. */
export const refusalBackoffMs = 500;

/** An unanswered order is repeated after this. */
export const commandRetryMs = 200;

/** A start without an answer is tried this often before the run is given up and stopped. */
export const maxStartAttempts = 3;

/** Ends that arrive within this of each other are stored in one write. */
export const saveBatchMs = 25;

/** How often due times, silent workers and drains are looked at. */
export const tickMs = 100;

/**
 * Nothing is started by a list of workers that was last known to hold so long ago: a worker's room may have shrunk. Two
 * waits for changes, the first of them without an answer.
 */
export const maxListAgeMs = 4_000;

/** A list that is too old is asked for again after this: a page of it is given up so late where nothing of it comes. */
export const listRetryMs = 1_000;

/** How long after the list of workers was read it is read again. */
export const listReadIntervalMs = 350;

/** On a draining worker, what runs is stopped this long before the worker may end. */
export const stopBeforeEndMs = 1_400;

/** Failures in a row, of several jobs, after which a worker counts as broken. */
export const quarantineFailures = 3;

/** A broken worker is tried again after this. */
export const quarantineMs = 4_000;

/** A task that fills and was slowed to this pace or less is moved if another worker takes it, in per cent. */
export const migrationPacePercent = 30;

/** So long after it was slowed: a load's peak may pass first. */
export const migrateAfterMs = 800;

/** The same where a move is dear and others wait for the place to which it would go. */
export const costlyMigrateAfterMs = 4_000;

/** A move is dear if going on from a checkpoint takes more than this part of the task's estimate. */
export const costlyMigrationFraction = 0.15;

/** Rounds of placing follow each other no closer than this while tasks wait for room. */
export const roundIntervalMs = 15;

/** A step of lasting or filling tasks that found no place is looked at again after this. */
export const lowUrgencyRetryMs = 100;

/** Nor closer than this many times what the last one took, so that placing leaves processor to reports. */
export const roundIntervalFactor = 2;

/**
 * A lasting task that has waited so long goes before short ones, and workers are kept free for it: it serves nobody
 * meanwhile, and short tasks would take every core that comes free.
 */
export const longRunningOverdueMs = 3_000;

/** Workers kept free for overdue tasks in one round, at most: this part of those that are open. */
export const keptFreeFraction = 0.1;

/**
 * A filling task that has waited so long is placed whatever harm it does: a queue's work has to finish, and what waits for
 * a worker where it disturbs nobody may wait for as long as there are users.
 */
export const starvedAfterMs = 10_000;

/** Workers that hold such a task at once, at most: this part of a pool after that wait, in proportion to a longer one. */
export const exemptFraction = 0.1;
export const maxExemptFraction = 0.3;

/** A report that names jobs which have to be read first is asked for again after this. */
export const deferredReportRetryMs = 15;

/** A run that works at full pace and whose progress stands still for so long, over several reports, is taken for hanging. */
export const hungAfterMs = 2_500;

/** A step of which a task has waited so long is told of in the log, again after each further gap, in milliseconds. */
export const stalledAfterMs = 3_000;
export const stalledLogIntervalMs = 3_000;
