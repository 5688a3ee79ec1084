/**
 * Detects whether more preemptible tasks wait than find placements.
 *
 * Load pattern: for seconds more preemptible work is ready than there is free capacity beside serving tasks. A placement
 * that is freed is then taken at once, so migrating a throttled task to it gains nothing and costs the migration. While few
 * tasks wait, the freed capacity would stay empty.
 */
import * as waitingOrder from './waiting-order.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** A task that has waited this long finds no placement at once, in milliseconds. */
const minWaitMs = 1_000;

/**
 * The waiting tasks are a backlog if there are more of them than this part of the placed preemptible tasks, and than this
 * part of the workers.
 */
const minFractionOfPlaced = 0.1;
const minFractionOfWorkers = 0.25;

/** Time after which the result is computed again, in milliseconds: every check of a worker reads it. */
const cacheMs = 250;

export interface PreemptibleBacklogOptions {
	now: () => number;
	waiting: () => Iterable<jobs.Task>;
	workers: () => readonly sessions.WorkerSession[];
}

/** The backlog of preemptible tasks. */
export class PreemptibleBacklog {
	private known = false;
	private computedAt = -Infinity;

	private constructor(private readonly opts: PreemptibleBacklogOptions) {}

	static create(opts: PreemptibleBacklogOptions): PreemptibleBacklog {
		return new PreemptibleBacklog(opts);
	}

	/** Whether there is a backlog. */
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

/** Whether a task waits for capacity that others would take too; one that needs a label waits for few workers. */
function isInBacklog(task: jobs.Task, now: number): boolean {
	const { fills, requiredLabel } = task.step.spec;
	return fills && requiredLabel === '' && waitingOrder.waitedMs(task, now) >= minWaitMs;
}

/** Number of preemptible tasks that are placed. */
function countPlaced(workers: readonly sessions.WorkerSession[]): number {
	let count = 0;
	for (const { placements } of workers)
		for (const { task } of placements.values()) if (task.step.spec.fills) count += 1;
	return count;
}
