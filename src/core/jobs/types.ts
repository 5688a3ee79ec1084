/** What a caller hands in as a job, and what is kept of it. */
import type * as crashes from './crash-history.js';

/** Milliseconds since 1970 on the wall clock. */
export type UnixMs = number;

/** One step: `count` equal tasks that may start once the steps in `after` have finished. */
export interface StepSpec {
	count: number;
	/** Thousandths of a core a task reserves. */
	milliCores: number;
	memoryMb: number;
	accelerators: number;
	/** The caller's guess of a task's run time, in milliseconds; may be far off. */
	estimateMs: number;
	/** Numbers of earlier steps. */
	after: number[];
	/** The tasks write checkpoints and can resume from one. */
	checkpoints: boolean;
	/** All tasks run together or not at all. */
	gang: boolean;
	/** The gang is much slower when spread over racks. */
	sameRack: boolean;
	/** Label that a worker must carry; empty: any worker. */
	requiredLabel: string;
	/** Rack that holds the data; empty: none. */
	dataRack: string;
	/** Most tasks of this step on one worker; 0: no bound. */
	maxPerWorker: number;
	/** Copies may run side by side; the first to finish counts. */
	speculative: boolean;
	/** The tasks run until the job is cancelled. */
	lasting: boolean;
	/** What the tasks run; tasks of one image behave alike. */
	image: string;
	/** Latency target of a lasting task's own users, in milliseconds; 0: none. */
	targetMs: number;
	/** The tasks live on cores that others leave unused; their cores are not counted against a worker. */
	fills: boolean;
	/** How many tasks of a lasting step may be away at once by our doing; absent: no bound. */
	mayMiss?: number;
}

/** A job that runs several times, each time with tasks of its own. */
export interface Schedule {
	times: number;
	firstAt: UnixMs;
	intervalMs: number;
}

/** How a queue treats its jobs. */
export interface QueuePolicy {
	name: string;
	/** Pool of workers that run its tasks. */
	pool: string;
	/** 0 goes first and may preempt. */
	priority: number;
	/** Failed runs of one task after which its job has failed. */
	attempts: number;
	/** Objective: `stretch` times the longest chain of work, plus `objectiveMs`. */
	stretch: number;
	objectiveMs: number;
	/** The queue's policy lets only some workers run a step; an adviser names them. */
	advised: boolean;
}

/** A job as accepted; never changes. */
export interface JobRecord {
	id: string;
	/** The queue's policy at acceptance, in force while no newer one is known. */
	queue: QueuePolicy;
	/** Opaque to us; handed to workers unchanged. */
	text: string;
	steps: StepSpec[];
	schedule?: Schedule;
	acceptedAt: UnixMs;
	/**
	 * Generation of the owner that the accepting box knew, which alone is told at once; 0: it knew none. Only that owner
	 * can be sure that no other has started the job.
	 */
	acceptedUnder: number;
}

/** How a job stands, as callers see it. */
export type JobState = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled';

/** How a job stands, as its callers are told. */
export interface JobView {
	state: JobState;
	/** Why it has failed, for people; absent: it has not, or that is not known. */
	failure?: string;
}

/** What is stored of a job's progress: all that a new owner could not learn from the workers. */
export interface ProgressRecord {
	state: JobState;
	/** Finished tasks by `time.step`: the indices, or `all`. */
	finished: Record<string, number[] | 'all'>;
	/** Numbers of the failed runs by `time.step.index`; by number, so that an end read twice counts once. */
	failures: Record<string, number[]>;
	/** Newest checkpoint of tasks that run nowhere, by `time.step.index`. */
	checkpoints: Record<string, string>;
	/** Of tasks whose workers crashed, by `time.step.index`; absent: there are none. */
	crashes?: Record<string, crashes.StoredCrashes>;
	/** Why the job has failed, for people; absent: it has not, or an older version stored it. */
	failure?: string;
	/** When the job reached its end; 0 before. */
	endedAt: UnixMs;
	/**
	 * Worker where each lasting task may be, by `time.step.index`; stored before its start, so one that is missing is
	 * nowhere. Absent: not kept for this job.
	 */
	workers?: Record<string, string>;
}

/** Whether a job in this state will never run again. */
export function isFinal(state: JobState): boolean {
	return state === 'completed' || state === 'failed' || state === 'cancelled';
}
