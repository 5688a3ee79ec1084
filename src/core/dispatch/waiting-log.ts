/**
 * Tells why tasks wait: one line a step when the reason changes, and looked at once a second a step at most, so that a
 * queue that has fallen behind costs neither the log nor the owner much.
 */
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as jobs from '../jobs/index.js';

/** A step is looked at no more often than this, and first after its task has waited so long; in milliseconds. */
const checkIntervalMs = 1_000;

/** Why a step's tasks wait. `detail`: how many workers stand in which way. */
export interface WaitingReason {
	reason: string;
	detail?: string;
}

interface LastCheck {
	at: number;
	reason: string;
}

/** The reasons told so far. */
export class WaitingLog {
	private readonly lastChecks = new WeakMap<jobs.StepInstance, LastCheck>();

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly log: events.EventLog,
	) {}

	static create(clock: clocks.Clock, log: events.EventLog): WaitingLog {
		return new WaitingLog(clock, log);
	}

	/** A task of a step waits; `explain` is asked only where a line may be due. */
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
