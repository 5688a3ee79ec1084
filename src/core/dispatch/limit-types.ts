/** The limit on preemptible work beside serving tasks, as placement uses it. */
import type * as jobs from '../jobs/index.js';
import type * as preemptibleLimit from './preemptible-limit.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * Why one worker does not take a preemptible task that fits: the cores in use, the interference with serving tasks, or one of
 * them that was over its target recently.
 */
export type LimitObstacle = 'cores-in-use' | 'harm' | 'overloaded';

/** What the interference check of one worker depends on. */
export interface InterferenceCheck {
	now: number;
	/** The task's tolerance, by `toleranceFor`. */
	tolerance: number;
	/** The limit does not apply; the penalty still tells which worker has the least interference. */
	ignoreInterference: boolean;
}

/** The limit over the fleet, and what was decided by it since the previous reading. */
export interface LimitReading {
	/** Number of times that a worker's limit was cut. */
	limitCuts: number;
	/** Number of runs that were migrated because they were throttled: each is a placement that proved wrong. */
	limitMisses: number;
	/** Cores that may be in use by the limits of all listed workers, and those that are expected to be. */
	limitCores: number;
	usedCores: number;
}

/** Limits by serving image, in the form from which another owner continues. */
export type ImageLimits = Record<string, preemptibleLimit.WorkerLimit>;

/** Decides which worker may take a preemptible task. Scores are in worker loads (1: a whole worker), lower is better. */
export interface PreemptibleLimit {
	/**
	 * How much interference a task may cause after the time that it has waited. Tasks of one step with the same tolerance
	 * may be placed on the same workers.
	 */
	toleranceFor: (task: jobs.Task, now: number) => number;
	/** Score for the cores in use, by a cheap check; infinite: the worker does not take the task. */
	usePenalty: (task: jobs.Task, worker: sessions.WorkerSession, ignoreInterference: boolean) => number;
	/** Score for the interference, at least 0; infinite: the worker does not take the task. */
	interferencePenalty: (task: jobs.Task, worker: sessions.WorkerSession, check: InterferenceCheck) => number;
	/** What keeps a worker from taking a task that fits; undefined: nothing does. */
	obstacleAt: (task: jobs.Task, worker: sessions.WorkerSession, now: number) => LimitObstacle | undefined;
	/** A preemptible task was placed. */
	notePlaced: (worker: sessions.WorkerSession, place: types.Placement) => void;
	/** A worker's report was processed, and its readings were learned from. */
	noteReport: (worker: sessions.WorkerSession) => void;
	/** A run is stopped because it was throttled. */
	noteSlowed: (worker: sessions.WorkerSession, place: types.Placement) => void;
	/** The limit over these workers; resets the counts. */
	read: (workers: readonly sessions.WorkerSession[]) => LimitReading;
	/** Limits by serving image, for the next owner; empty: there is nothing to continue from. */
	exportLimits: () => ImageLimits;
	/** Continues from the limits of another owner; returns the number of those adopted. Invalid ones are skipped. */
	restore: (limits: Readonly<Record<string, unknown>>) => number;
}
