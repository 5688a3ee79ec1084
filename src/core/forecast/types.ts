/** The forecast of an owner: what it is computed from, its result, and the part that is reported to the boxes. */

/** `reserved`: work that reserves cores. `preemptible`: work that runs on cores that others leave unused. */
export type WorkKind = 'reserved' | 'preemptible';

/** `[dueInMs, waitMs]`: the tasks of work due within `dueInMs` of the forecast are placed after `waitMs`. */
export type WaitPoint = readonly [dueInMs: number, waitMs: number];

/** Forecast waits of one kind of work at one priority in one pool. */
export interface ClassForecast {
	kind: WorkKind;
	/** Pool of the workers that it runs on; absent: there is only one. */
	pool?: string;
	/** 0 comes first. */
	priority: number;
	/** Cores that this kind of work has in all; a step wider than that runs in waves. */
	cores: number;
	/**
	 * Waits of work that is on time when it is placed. Both numbers rise, at most 8 points; work due later than the last point
	 * waits as long as the last one says.
	 */
	points: readonly WaitPoint[];
	/** Wait of work that is late by the time that it could be placed: work that is on time goes first. */
	lateWaitMs: number;
	/**
	 * Upper bounds of the wait by queue, at most 4, where queues of one priority have equal shares; a queue that is not named
	 * has no work that waits. Absent: queues have no shares, or too many of them have work.
	 */
	queues?: readonly (readonly [queue: string, waitMs: number])[];
}

/** Field `forecast` of the answer to `owner.ping`, at most 600 bytes. */
export interface Forecast {
	/** Generation of the owner that computed it. */
	generation: number;
	/** Whether the owner knows the list of workers and the jobs; nothing is refused for a forecast without that. */
	known: boolean;
	/** A class without an entry has no work that waits. */
	classes: readonly ClassForecast[];
	/** Run time over the caller's estimate by image, at most 16: only those off by a quarter or more. */
	factors: readonly (readonly [image: string, factor: number])[];
}

/** Waiting tasks of one step, and what they wait for. */
export interface StepWork {
	kind: WorkKind;
	pool: string;
	priority: number;
	queue: string;
	/** When its job is due, in milliseconds from now; negative: it is late. */
	dueInMs: number;
	/** Number of its tasks that are not placed. */
	tasks: number;
	/** Cores of one task. */
	cores: number;
	/** Corrected run time of one task, in milliseconds. */
	runMs: number;
	/** Earliest start, in milliseconds from now: the end of the running tasks that it depends on; 0: they have finished. */
	readyInMs: number;
	/** Steps with waiting tasks that have to finish before it: their indices in `WorkSnapshot.work`. */
	after: readonly number[];
}

/** Short tasks that run and end at about the same time. */
export interface RunningWork {
	kind: WorkKind;
	pool: string;
	priority: number;
	cores: number;
	/** Expected time until they end, in milliseconds. */
	leftMs: number;
}

/** Cores that short work of one kind uses or may use in one pool. */
export interface ClassCapacity {
	kind: WorkKind;
	pool: string;
	cores: number;
}

/** What an owner has accepted, and what its workers can run, at one time. */
export interface WorkSnapshot {
	/** Whether the list of workers and the jobs are known. */
	known: boolean;
	work: readonly StepWork[];
	running: readonly RunningWork[];
	capacity: readonly ClassCapacity[];
}

/** Capacity that becomes free beyond what is accepted. */
export interface FreeCapacity {
	kind: WorkKind;
	pool: string;
	/** Core-milliseconds of each second from now on. */
	coreMs: readonly number[];
}

/** What an owner forecasts. */
export interface OwnerForecast {
	/** Clock time at which it was computed. */
	at: number;
	known: boolean;
	/** Classes with their full curves: any number of points. */
	classes: readonly ClassForecast[];
	/** Of each kind and pool, for the next 16 seconds. */
	free: readonly FreeCapacity[];
}

/** A forecast as a box knows it. */
export interface AgedForecast {
	forecast: Pick<Forecast, 'known' | 'classes' | 'factors'>;
	/** How long ago it was received, in milliseconds. */
	ageMs: number;
}
