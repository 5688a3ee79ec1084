/** Logs when a serving task is noticed close to an SLO violation, and when it is relieved. */
import * as neighbours from './neighbours.js';
import type * as events from '../events/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** State of a serving task. */
export interface Overload {
	served: types.Placement;
	/** How long it has been over its target, in milliseconds. */
	overMs: number;
	/** All preemptible tasks on its worker have to be paused. */
	isNearViolation: boolean;
}

/** Logs relief of serving tasks for one owner. */
export class ReliefLog {
	/**
	 * Tasks that came close to a violation since they exceeded their targets. `relieved`: all their preemptible neighbours
	 * have been seen idle since.
	 */
	private readonly open = new WeakMap<types.Placement, 'overloaded' | 'relieved'>();

	private constructor(
		private readonly log: events.EventLog,
		private readonly epoch: number,
	) {}

	static create(log: events.EventLog, epoch: number): ReliefLog {
		return new ReliefLog(log, epoch);
	}

	/** Logs how a serving task's state changed, after a report of its worker. */
	logTransition(
		session: sessions.WorkerSession,
		overload: Overload,
		preemptible: readonly types.Placement[],
	): void {
		const { served } = overload;
		const state = this.open.get(served);
		if (state === undefined && !overload.isNearViolation) return;
		const working = preemptible.filter(neighbours.isAtWork).length;
		if (state === undefined)
			this.log.emit('task.overloaded', { ...this.fieldsOf(session, overload), working });
		const isUnderTarget = served.overTargetSince === undefined;
		const isRelieved = isUnderTarget || working === 0;
		if (isRelieved && state !== 'relieved') {
			const reason = isUnderTarget ? 'under-target' : 'neighbours-stand-still';
			this.log.emit('task.relieved', { ...this.fieldsOf(session, overload), reason });
		}
		if (isUnderTarget) this.open.delete(served);
		else this.open.set(served, isRelieved ? 'relieved' : (state ?? 'overloaded'));
	}

	/** A pace command was not answered, or was refused. */
	unanswered(
		session: sessions.WorkerSession,
		placement: types.Placement,
		percent: number,
		reason: string,
	): void {
		const { task } = placement;
		this.log.emit('pace.unanswered', {
			task: task.name,
			worker: session.id,
			epoch: this.epoch,
			percent,
			reason,
		});
	}

	/** A run's own reading shows that it does not work at the pace that its worker was sent. */
	contradicted(session: sessions.WorkerSession, placement: types.Placement, orderedMs: number): void {
		const { task, pace, reading } = placement;
		this.log.emit('pace.contradicted', {
			task: task.name,
			worker: session.id,
			epoch: this.epoch,
			percent: pace,
			milliCores: reading,
			orderedMs: Math.round(orderedMs),
		});
	}

	private fieldsOf(session: sessions.WorkerSession, { served, overMs }: Overload): events.EventFields {
		const { task, reading } = served;
		return {
			task: task.name,
			worker: session.id,
			epoch: this.epoch,
			readingMs: reading,
			tookMs: wholeMs(overMs),
			unheardMs: wholeMs(session.unansweredBeforeReportMs),
		};
	}
}

/** Whole milliseconds; undefined: the duration is not known. */
function wholeMs(ms: number): number | undefined {
	return Number.isFinite(ms) ? Math.round(ms) : undefined;
}
