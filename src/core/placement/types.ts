/** What placement is given and what it decides. Pure: no clock, no random numbers, no input but these. */
import type * as tasks from '../task/index.js';

/** An amount of a worker. */
export interface Resources {
	cores: number;
	memoryMb: number;
	accelerators: number;
}

/** A task that holds a place on a worker. */
export interface Allocation {
	task: string;
	job: string;
	kind: 'service' | 'batch';
	urgent: boolean;
	/** Declared need, raised to the measured peak where that is larger. */
	resources: Resources;
}

/** A worker as placement sees it. */
export interface Worker {
	id: string;
	rack: string;
	capacity: Resources;
	allocations: Allocation[];
	/** Why it takes no new work, if it takes none. */
	closed?: string;
}

/** A task that waits for a place. */
export interface PendingTask {
	task: string;
	job: string;
	kind: 'service' | 'batch';
	urgent: boolean;
	needs: tasks.Needs;
	maxShareOfBox: number;
	/** Workers on which it failed; taken only when nothing else fits. */
	failedOn: readonly string[];
	/** Wall milliseconds of submission. */
	waitingSince: number;
}

/** Rates a worker that fits; the lowest score is chosen. */
export type Score = (task: PendingTask, worker: Worker) => number;

/** A place found. */
export interface Placement {
	task: string;
	box: string;
	/** For `explain`. */
	why: string;
}

/** What a round came to. */
export interface RoundResult {
	placements: Placement[];
	/** Tasks left waiting, with the reason. */
	waiting: Map<string, string>;
	/** Batch tasks to evict so that urgent work fits. */
	evictions: { task: string; reason: string }[];
}
