/**
 * Whether more tasks that fill wait than find places.
 *
 * Load pattern: for seconds more work that fills is ready than there is room beside what serves. A place that comes free
 * is taken at once then, so moving a slowed task to it gains nothing and costs the move. While few wait, it would stay
 * empty.
 */
import * as waitingOrder from './waiting-order.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** A task that has waited so long finds no place at once, in milliseconds. */
const minWaitMs = 1_000;

/** So many of them are a backlog: this part of the tasks that fill and are placed, and this part of the workers. */
const minFractionOfPlaced = 0.1;
const minFractionOfWorkers = 0.25;

/** It is worked out anew after so long, in milliseconds: every look at a worker asks. */
const cacheMs = 250;

/** What is looked at. */
export interface PreemptibleBacklogOptions {
	now: () => number;
	/** Tasks that wait. */
	waiting: () => Iterable<jobs.Task>;
	workers: () => readonly sessions.WorkerSession[];
}

/** The backlog of what fills. */
export class PreemptibleBacklog {
	private known = false;
	private computedAt = -Infinity;

	private constructor(private readonly opts: PreemptibleBacklogOptions) {}

	static create(opts: PreemptibleBacklogOptions): PreemptibleBacklog {
		return new PreemptibleBacklog(opts);
	}

	/** Whether there is one. */
	get exists(): boolean {
		const now = this.opts.now();
		if (now - this.computedAt < cacheMs) return this.known;
		this.computedAt = now;
		this.known = this.compute(now);
		return this.known;
	}

	private compute(now: number): boolean {
		const workers = this.opts.workers();
		let waiting = 0;
		for (const task of this.opts.waiting()) if (isInBacklog(task, now)) waiting += 1;
		if (waiting <= workers.length * minFractionOfWorkers) return false;
		return waiting > countPlaced(workers) * minFractionOfPlaced;
	}
}

/** Whether a task waits for a place that others would take too; one that needs a label waits for few workers. */
function isInBacklog(task: jobs.Task, now: number): boolean {
	const { fills, requiredLabel } = task.step.spec;
	return fills && requiredLabel === '' && waitingOrder.waitedMs(task, now) >= minWaitMs;
}

/** Tasks that fill and are placed. */
function countPlaced(workers: readonly sessions.WorkerSession[]): number {
	let count = 0;
	for (const { placements } of workers)
		for (const { task } of placements.values()) if (task.step.spec.fills) count += 1;
	return count;
}
