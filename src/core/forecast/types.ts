/** The forecast of an owner, as it computes it and as it reports it to the boxes. */

/** `reserved`: work that reserves cores. `preemptible`: work that runs on cores that others leave unused. */
export type WorkKind = 'reserved' | 'preemptible';

/** `[dueInMs, waitMs]`: work due within `dueInMs` of the forecast waits for `waitMs` until its tasks are placed. */
export type WaitPoint = readonly [dueInMs: number, waitMs: number];

/** Forecast waits of one kind of work at one priority. */
export interface ClassForecast {
	kind: WorkKind;
	/** 0 comes first. */
	priority: number;
	/** Sorted by due time, at most 8; work due later than the last point waits as long as the last one says. */
	points: readonly WaitPoint[];
	/** Cores that this kind of work has in all; a step wider than that runs in waves. */
	cores: number;
	/**
	 * Longest waits by queue where queues of one priority have equal shares, at most 4: only those shorter than the last
	 * point. Absent: no queue waits less.
	 */
	queues?: readonly (readonly [queue: string, waitMs: number])[];
}

/** Field `forecast` of the answer to `owner.ping`, at most 600 bytes. */
export interface Forecast {
	/** Generation of the owner that computed it. */
	generation: number;
	/** Whether the owner knows the list of workers and the jobs; nothing is refused for a forecast without that. */
	known: boolean;
	/** By kind and priority; a class without an entry has no work that waits. */
	classes: readonly ClassForecast[];
	/** Run time over the caller's estimate by image, at most 16: only those off by a quarter or more. */
	factors: readonly (readonly [image: string, factor: number])[];
}

/** Unfinished work of one step, without the tasks that run. */
export interface StepWork {
	kind: WorkKind;
	priority: number;
	queue: string;
	/** When its job is due, in milliseconds from now; negative: it is late. */
	dueInMs: number;
	/** Earliest start, in milliseconds from now; 0: its tasks wait already. Later steps start after those before them. */
	readyInMs: number;
	/** Cores times corrected run time of its unfinished tasks, in core-milliseconds. */
	coreMs: number;
}

/** What an owner has accepted and what capacity its workers have, at one time. */
export interface WorkSnapshot {
	/** Whether the list of workers and the jobs are known. */
	known: boolean;
	/** Steps with work that is not running yet. */
	work: readonly StepWork[];
	/** Cores that short work of each kind uses or may use. */
	cores: Record<WorkKind, number>;
	/** Cores times remaining run time of the short tasks that run, in core-milliseconds. */
	runningCoreMs: Record<WorkKind, number>;
}
