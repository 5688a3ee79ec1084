/** Input and result of placement, which is pure: no clock, no random numbers, no other input. */
import type * as tasks from '../task/index.js';

/** Quantities of a worker's resources. */
export interface Resources {
	cores: number;
	memoryMb: number;
	accelerators: number;
}

/** Resources that a task holds on a worker. */
export interface Allocation {
	task: string;
	job: string;
	kind: 'service' | 'batch';
	urgent: boolean;
	/** Declared needs, raised to the measured peak where that is larger. */
	resources: Resources;
}

/** A worker and its allocations. */
export interface Worker {
	id: string;
	rack: string;
	capacity: Resources;
	allocations: Allocation[];
	/** Why the worker accepts no new tasks; absent if it accepts them. */
	closed?: string;
}

/** A task to be placed. */
export interface PendingTask {
	task: string;
	job: string;
	kind: 'service' | 'batch';
	urgent: boolean;
	needs: tasks.Needs;
	maxShareOfBox: number;
	/** Workers on which the task has failed; they are chosen only if no other worker fits. */
	failedOn: readonly string[];
	/** Time of submission, in milliseconds of wall-clock time. */
	waitingSince: number;
}

/** Scores a worker on which the task fits; the lowest score is chosen. */
export type Score = (task: PendingTask, worker: Worker) => number;

/** A task and the worker chosen for it. */
export interface Placement {
	task: string;
	box: string;
	/** Reason shown by `explain`. */
	why: string;
}

/** Result of a placement round. */
export interface RoundResult {
	placements: Placement[];
	/** Why each task that was not placed is waiting, by task. */
	waiting: Map<string, string>;
	/** Batch tasks to evict in favour of urgent tasks. */
	evictions: { task: string; reason: string }[];
}
