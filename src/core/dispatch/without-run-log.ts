/** Logs which long-running tasks have had no run for too long, and what each of them waits for at that moment. */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as jobs from '../jobs/index.js';
import type * as runGaps from './run-gaps.js';
import type * as sessions from './worker-session.js';
import type * as waiting from './waiting-log.js';

/** Maximum number of tasks logged per check; the longest times come first. */
const maxReported = 8;

export interface WithoutRunLogOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	gaps: runGaps.RunGaps;
	/** A longer time without a run is logged, in milliseconds. */
	maxWithoutRunMs: number;
	/** The worker on which a task is placed; undefined: it is not placed. */
	sessionOf: (task: jobs.Task) => sessions.WorkerSession | undefined;
	/** A worker by its id. */
	worker: (id: string) => sessions.WorkerSession | undefined;
	/** Why a task without a placement waits. */
	explain: (task: jobs.Task) => waiting.WaitingReason;
}

/** A long-running task without a run, as far as this owner knows. */
type Missing = Pick<runGaps.RunGap, 'task' | 'lastRunAt' | 'source'>;

/** What a task waits for. `leftMs`: time until the lease of `worker` is over, in whole milliseconds. */
interface Awaited extends waiting.WaitingReason {
	worker?: string;
	leftMs?: number;
}

export class WithoutRunLog {
	private nextCheckAt = -Infinity;
	/** Workers that have left a call unanswered. Their tasks may have ended, which is not proved yet. */
	private readonly unanswered = new Set<sessions.WorkerSession>();

	private constructor(private readonly opts: WithoutRunLogOptions) {}

	static create(opts: WithoutRunLogOptions): WithoutRunLog {
		return new WithoutRunLog(opts);
	}

	/** Notes that a worker has left a call unanswered. */
	noteUnanswered(session: sessions.WorkerSession): void {
		this.unanswered.add(session);
	}

	/** Logs the tasks without a run if a check is due; called periodically. */
	logIfDue(): void {
		const now = this.opts.clock.now();
		if (now < this.nextCheckAt) return;
		this.nextCheckAt = now + settings.withoutRunLogIntervalMs;
		const missing = [...this.opts.gaps.open(), ...this.onUnresponsiveWorkers()].filter(
			({ lastRunAt }) => now - lastRunAt > this.opts.maxWithoutRunMs,
		);
		missing.sort((a, b) => a.lastRunAt - b.lastRunAt);
		for (const one of missing.slice(0, maxReported)) this.logTask(one, now, missing.length);
	}

	/** The long-running tasks that are placed on workers which do not answer. */
	private onUnresponsiveWorkers(): Missing[] {
		const found: Missing[] = [];
		for (const session of this.unanswered) {
			const { placements, lastAnsweredAt } = session;
			if (session.firstFailureAt === undefined || session.hasEnded) {
				this.unanswered.delete(session);
				continue;
			}
			for (const { task, confirmedAt } of placements.values())
				if (task.step.spec.lasting && confirmedAt > 0 && !task.step.job.ended && !this.opts.gaps.has(task))
					found.push({ task, lastRunAt: lastAnsweredAt, source: 'answer' });
		}
		return found;
	}

	private logTask({ task, lastRunAt, source }: Missing, now: number, tasks: number): void {
		const { reason, detail, worker, leftMs } = this.awaitedBy(task);
		this.opts.events.emit('task.without-run', {
			task: task.name,
			withoutRunMs: Math.round(now - lastRunAt),
			since: source,
			reason,
			detail,
			worker,
			leftMs,
			tasks,
		});
	}

	private awaitedBy(task: jobs.Task): Awaited {
		const session = this.opts.sessionOf(task);
		if (session !== undefined) return awaitedAt(session, task);
		const explained = this.opts.explain(task);
		const former = task.worker === '' ? undefined : this.opts.worker(task.worker);
		if (former?.mayHaveUnreportedRun(task.name) !== true) return explained;
		return { ...explained, worker: former.id, leftMs: Math.round(former.leaseLeftMs) };
	}
}

/** What a placed task waits for: proof that it runs on its worker, or that it does not. */
function awaitedAt(session: sessions.WorkerSession, task: jobs.Task): Awaited {
	const { id: worker } = session;
	if (session.answering) {
		const isStopping = session.placements.get(task.name)?.phase === 'stopping';
		return { reason: isStopping ? 'stop-under-way' : 'start-under-way', worker };
	}
	const leftMs = Math.round(session.leaseLeftMs);
	return { reason: leftMs > 0 ? 'lease' : 'epoch-unconfirmed', worker, leftMs };
}
