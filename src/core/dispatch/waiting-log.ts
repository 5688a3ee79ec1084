/**
 * Logs why tasks wait: one line per step when the reason changes. A step is checked at most once a second, so that a queue
 * that has fallen behind costs little log volume and little of the owner's time.
 */
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as jobs from '../jobs/index.js';

/** Minimum time between two checks of a step, and minimum wait of its task before the first one, in milliseconds. */
const checkIntervalMs = 1_000;

/** Why a step's tasks wait. `detail`: number of workers for each obstacle. */
export interface WaitingReason {
	reason: string;
	detail?: string;
}

interface LastCheck {
	at: number;
	reason: string;
}

/** Remembers the reason last found for each step. */
export class WaitingLog {
	private readonly lastChecks = new WeakMap<jobs.StepInstance, LastCheck>();

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly log: events.EventLog,
	) {}

	static create(clock: clocks.Clock, log: events.EventLog): WaitingLog {
		return new WaitingLog(clock, log);
	}

	/** Notes that a task waits; `explain` is called only where a line may be due. */
	note(task: jobs.Task, explain: () => WaitingReason): void {
		const now = this.clock.now();
		const waitedMs = now - task.readyAt;
		const last = this.lastChecks.get(task.step);
		if (waitedMs < checkIntervalMs || (last !== undefined && now - last.at < checkIntervalMs)) return;
		const { reason, detail } = explain();
		this.lastChecks.set(task.step, { at: now, reason });
		if (last?.reason === reason) return;
		const { step } = task;
		this.log.emit('step.waiting', {
			step: `${step.job.id}.${String(step.occurrence)}.${String(step.number)}`,
			tasks: step.tasks.filter((one) => one.state === 'ready').length,
			waitedMs: Math.round(waitedMs),
			reason,
			detail,
		});
	}
}
