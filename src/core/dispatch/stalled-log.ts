/**
 * Logs which steps have waited long, and why each of them waits at that moment. Every waiting step counts, also one that no
 * placing round considers.
 */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as waiting from './waiting-log.js';

/** Maximum number of steps logged per check; the longest waits come first. */
const maxReported = 8;

export interface StalledLogOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	/** Waiting tasks, one of each step: the one that has waited longest. */
	waiting: () => jobs.Task[];
	/** Workers of the pool where a step may run. */
	workersFor: (step: jobs.StepInstance) => sessions.WorkerSession[];
	/** Why a task waits. */
	explain: (task: jobs.Task) => waiting.WaitingReason;
}

export class StalledLog {
	private nextCheckAt = -Infinity;

	private constructor(private readonly opts: StalledLogOptions) {}

	static create(opts: StalledLogOptions): StalledLog {
		return new StalledLog(opts);
	}

	/** Logs the stalled steps if a check is due; called periodically. */
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

/** Number of closed workers for each reason; undefined: all are open. */
function closedReasons(workers: sessions.WorkerSession[]): string | undefined {
	const counts = new Map<string, number>();
	for (const { closedReason } of workers)
		if (closedReason !== undefined) counts.set(closedReason, (counts.get(closedReason) ?? 0) + 1);
	if (counts.size === 0) return undefined;
	return [...counts].map(([reason, count]) => `${reason} ${String(count)}`).join(', ');
}
