/**
 * Detects whether more preemptible tasks wait than find placements.
 *
 * Load pattern: for seconds more preemptible work is ready than there is free capacity beside serving tasks. A placement
 * that is freed is then taken at once, so migrating a throttled task to it gains nothing and costs the migration. While few
 * tasks wait, the freed capacity would stay empty.
 */
import * as order from './waiting-order.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** A task that has waited this long finds no placement at once, in milliseconds. */
const waitingMs = 1_000;

/**
 * The waiting tasks are a backlog if there are more of them than this part of the placed preemptible tasks, and than this
 * part of the workers.
 */
const placedPart = 0.1;
const workerPart = 0.25;

/** Time after which the result is computed again, in milliseconds: every check of a worker reads it. */
const keptMs = 250;

export interface FillBacklogOptions {
	now: () => number;
	waiting: () => Iterable<jobs.Task>;
	workers: () => readonly sessions.WorkerSession[];
}

/** The backlog of preemptible tasks. */
export class FillBacklog {
	private known = false;
	private knownAt = -Infinity;

	private constructor(private readonly opts: FillBacklogOptions) {}

	static create(opts: FillBacklogOptions): FillBacklog {
		return new FillBacklog(opts);
	}

	/** Whether there is a backlog. */
	get exists(): boolean {
		const now = this.opts.now();
		if (now - this.knownAt < keptMs) return this.known;
		this.knownAt = now;
		this.known = this.workOut(now);
		return this.known;
	}

	private workOut(now: number): boolean {
		const workers = this.opts.workers();
		let waiting = 0;
		for (const task of this.opts.waiting()) if (counts(task, now)) waiting += 1;
		if (waiting <= workers.length * workerPart) return false;
		return waiting > placedOn(workers) * placedPart;
	}
}

/** Whether a task waits for capacity that others would take too; one that needs a label waits for few workers. */
function counts(task: jobs.Task, now: number): boolean {
	const { fills, requiredLabel } = task.step.spec;
	return fills && requiredLabel === '' && order.waitedMs(task, now) >= waitingMs;
}

/** Number of preemptible tasks that are placed. */
function placedOn(workers: readonly sessions.WorkerSession[]): number {
	let count = 0;
	for (const { placements } of workers)
		for (const { task } of placements.values()) if (task.step.spec.fills) count += 1;
	return count;
}
