/** Jobs as callers submit them, and the records kept of them. */
import type * as crashes from './crash-history.js';

/** Milliseconds since 1970 on the wall clock. */
export type UnixMs = number;

/** One step: `count` equal tasks that may start once the steps in `after` have finished. */
export interface StepSpec {
	count: number;
	/** Thousandths of a core that each task reserves. */
	milliCores: number;
	memoryMb: number;
	accelerators: number;
	/** The caller's estimate of a task's run time, in milliseconds; may be far off. */
	estimateMs: number;
	/** Numbers of the earlier steps that this one depends on. */
	after: number[];
	/** The tasks write checkpoints and can resume from them. */
	checkpoints: boolean;
	/** All tasks run at the same time or none does. */
	gang: boolean;
	/** The gang is much slower when spread over racks. */
	sameRack: boolean;
	/** Label that a worker must have; empty: any worker. */
	requiredLabel: string;
	/** Rack that holds the data; empty: none. */
	dataRack: string;
	/** Most tasks of this step on one worker; 0: no limit. */
	maxPerWorker: number;
	/** Copies of a task may run in parallel; the first to finish counts. */
	speculative: boolean;
	/** The tasks run until the job is cancelled. */
	lasting: boolean;
	/** Image that the tasks run. Tasks of one image behave alike. */
	image: string;
	/** Latency target of a long-running task towards its users, in milliseconds; 0: none. */
	targetMs: number;
	/**
	 * Preemptible: the tasks run on cores that others leave unused, and these cores are not counted against a worker's
	 * capacity.
	 */
	fills: boolean;
	/** Most tasks of a long-running step that the scheduler may make unavailable at once; absent: no limit. */
	mayMiss?: number;
}

/** Schedule of a job that runs several times. Each occurrence has tasks of its own. */
export interface Schedule {
	times: number;
	firstAt: UnixMs;
	intervalMs: number;
}

/** How a queue treats its jobs. */
export interface QueuePolicy {
	name: string;
	/** Pool of the workers that run its tasks. */
	pool: string;
	/** 0 is the highest priority and may preempt. */
	priority: number;
	/** Failed runs of one task after which its job fails. */
	attempts: number;
	/** The objective is `stretch` times the critical path plus `objectiveMs`. */
	stretch: number;
	objectiveMs: number;
	/** The queue's policy allows only some workers for a step. An adviser names them. */
	advised: boolean;
}

/** A job as accepted; never changes. */
export interface JobRecord {
	id: string;
	/** The queue's policy at acceptance, in force until a newer one is known. */
	queue: QueuePolicy;
	/** Opaque text that is passed to workers unchanged. */
	text: string;
	steps: StepSpec[];
	schedule?: Schedule;
	acceptedAt: UnixMs;
	/**
	 * Generation of the owner that the accepting box knew, the only one that it notifies at once; 0: it knew none. Only that
	 * owner can be sure that no other has started the job.
	 */
	acceptedUnder: number;
}

/** State of a job as callers see it. */
export type JobState = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled';

/** State of a job as it is reported to callers. */
export interface JobView {
	state: JobState;
	/** Why it failed, for people; absent: it has not failed, or the reason is not known. */
	failure?: string;
}

/** Stored progress of a job: everything that a new owner could not learn from the workers. */
export interface ProgressRecord {
	state: JobState;
	/** Finished tasks by `occurrence.step`: their indices, or `all`. */
	finished: Record<string, number[] | 'all'>;
	/**
	 * Numbers of the failed runs by `occurrence.step.index`. They are kept by number so that an exit reported twice counts
	 * once.
	 */
	failures: Record<string, number[]>;
	/** Latest checkpoints of tasks that no worker runs, by `occurrence.step.index`. */
	checkpoints: Record<string, string>;
	/** Crash histories by `occurrence.step.index`, of tasks whose workers crashed; absent: there are none. */
	crashes?: Record<string, crashes.StoredCrashes>;
	/**
	 * Number of runs of suspected tasks that did not crash their workers, by `occurrence.step`; absent: there are none, or an
	 * older version stored the record.
	 */
	passed?: Record<string, number>;
	/** Why the job failed, for people; absent: it has not failed, or an older version stored the record. */
	failure?: string;
	/** When the job reached its final state; 0 before. */
	endedAt: UnixMs;
	/**
	 * Worker that may run each long-running task, by `occurrence.step.index`. It is stored before the task's start, so a
	 * task without an entry runs nowhere. Absent: not kept for this job.
	 */
	workers?: Record<string, string>;
}

/** Whether a job in this state will never run again. */
export function isFinal(state: JobState): boolean {
	return state === 'completed' || state === 'failed' || state === 'cancelled';
}
