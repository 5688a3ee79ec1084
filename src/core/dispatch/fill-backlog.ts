/**
 * Whether more tasks that fill wait than find places.
 *
 * Load pattern: for seconds more work that fills is ready than there is room beside what serves. A place that comes free
 * is taken at once then, so moving a slowed task to it gains nothing and costs the move. While few wait, it would stay
 * empty.
 */
import * as order from './waiting-order.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** A task that has waited so long finds no place at once, in milliseconds. */
const waitingMs = 1_000;

/** So many of them are a backlog: this part of the tasks that fill and are placed, and this part of the workers. */
const placedPart = 0.1;
const workerPart = 0.25;

/** It is worked out anew after so long, in milliseconds: every look at a worker asks. */
const keptMs = 250;

/** What is looked at. */
export interface FillBacklogOptions {
	now: () => number;
	/** Tasks that wait. */
	waiting: () => Iterable<jobs.Task>;
	workers: () => readonly sessions.WorkerSession[];
}

/** The backlog of what fills. */
export class FillBacklog {
	private known = false;
	private knownAt = -Infinity;

	private constructor(private readonly opts: FillBacklogOptions) {}

	static create(opts: FillBacklogOptions): FillBacklog {
		return new FillBacklog(opts);
	}

	/** Whether there is one. */
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

/** Whether a task waits for a place that others would take too; one that needs a label waits for few workers. */
function counts(task: jobs.Task, now: number): boolean {
	const { fills, requiredLabel } = task.step.spec;
	return fills && requiredLabel === '' && order.waitedMs(task, now) >= waitingMs;
}

/** Tasks that fill and are placed. */
function placedOn(workers: readonly sessions.WorkerSession[]): number {
	let count = 0;
	for (const { placements } of workers)
		for (const { task } of placements.values()) if (task.step.spec.fills) count += 1;
	return count;
}
