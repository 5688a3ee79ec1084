/**
 * Tells which steps have waited for long, and what holds each of them up at that moment. Every waiting step is told of,
 * also one that no round of placing looks at.
 */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as waiting from './waiting-log.js';

/** Steps told of in one look, at most; the longest waits come first. */
const maxReported = 8;

/** What telling uses. */
export interface StalledLogOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	/** Tasks that wait, one of each step: the one that has waited longest. */
	waiting: () => jobs.Task[];
	/** Workers of the pool where a step may run. */
	workersFor: (step: jobs.StepInstance) => sessions.WorkerSession[];
	/** What holds a task up now. */
	explain: (task: jobs.Task) => waiting.WaitingReason;
}

/** Writes the lines. */
export class StalledLog {
	private nextCheckAt = -Infinity;

	private constructor(private readonly opts: StalledLogOptions) {}

	static create(opts: StalledLogOptions): StalledLog {
		return new StalledLog(opts);
	}

	/** To be called now and then. */
	logIfDue(): void {
		const now = this.opts.clock.now();
		if (now < this.nextCheckAt) return;
		this.nextCheckAt = now + settings.stalledLogIntervalMs;
		const stalled = this.opts.waiting().filter((task) => now - task.readyAt >= settings.stalledAfterMs);
		stalled.sort((a, b) => a.readyAt - b.readyAt);
		for (const task of stalled.slice(0, maxReported)) this.logStep(task, now, stalled.length);
	}

	private logStep(task: jobs.Task, now: number, steps: number): void {
		const { step } = task;
		const workers = this.opts.workersFor(step);
		const { reason, detail } = this.opts.explain(task);
		this.opts.events.emit('step.stalled', {
			task: task.name,
			waitedMs: Math.round(now - task.readyAt),
			waiting: countOf(step, 'ready'),
			placed: countOf(step, 'placed'),
			reason,
			detail,
			open: workers.filter((one) => one.open).length,
			closed: closedReasons(workers),
			steps,
		});
	}
}

function countOf(step: jobs.StepInstance, state: jobs.TaskState): number {
	return step.tasks.filter((task) => task.state === state).length;
}

/** How many workers are closed for which reason; undefined: all are open. */
function closedReasons(workers: sessions.WorkerSession[]): string | undefined {
	const counts = new Map<string, number>();
	for (const { closedReason } of workers)
		if (closedReason !== undefined) counts.set(closedReason, (counts.get(closedReason) ?? 0) + 1);
	if (counts.size === 0) return undefined;
	return [...counts].map(([reason, count]) => `${reason} ${String(count)}`).join(', ');
}
