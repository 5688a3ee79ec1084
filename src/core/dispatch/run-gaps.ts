/**
 * Measures and logs how long long-running tasks have no run: from the time until which the former worker may have run the
 * task, as far as this owner knows, to the answer that confirms the next start.
 */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * What the time of the last run is based on. `exit`: the worker reported the exit. `answer`: the worker's last answer; the
 * run may have lasted until its lease expired. `previous-owner`: the worker has not answered this owner; the time at which
 * the previous owner last answered this box. `takeover`: the worker has not answered, and no earlier time is known.
 */
export type LastRunSource = 'exit' | 'answer' | 'previous-owner' | 'takeover';

/** A time without a run that has not ended. */
export interface RunGap {
	readonly task: jobs.Task;
	/** Worker of the last run, by id; empty: it is not known. */
	readonly worker: string;
	/** Clock time until which that worker may have run the task, as far as this owner knows. */
	readonly lastRunAt: number;
	readonly source: LastRunSource;
	/** Clock time at which the last run was proved to be over; undefined: it is not. */
	provedAt: number | undefined;
}

/** A worker whose runs are lost. */
type LostWorker = Pick<sessions.WorkerSession, 'id' | 'lastAnsweredAt'>;

export interface RunGapsOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	/** Records each time without a run; absent: nothing is recorded. */
	recordTime?: types.RecordTime;
	/** Clock time at which the previous owner last answered this box; absent: it is not known. */
	previousOwnerHeardAt?: number;
	/** A longer time without a run is logged as a warning, in milliseconds. */
	maxWithoutRunMs: number;
	/** Whether a run that an earlier owner started may be on a worker that has not reported to this one. */
	mayHaveUnreportedRun: (task: jobs.Task) => boolean;
}

/** The long-running tasks of one owner that have no run, and had one before. */
export class RunGaps {
	private readonly gaps = new Map<jobs.Task, RunGap>();
	/** Gaps of inherited tasks whose last run is not proved to be over, by the worker that it waits for; empty: any. */
	private readonly unproved = new Map<string, RunGap[]>();
	private readonly tookOverAt: number;

	private constructor(private readonly opts: RunGapsOptions) {
		this.tookOverAt = opts.clock.now();
	}

	/** Creates the gaps of an owner that takes over now. */
	static create(opts: RunGapsOptions): RunGaps {
		return new RunGaps(opts);
	}

	/** The gaps that have not ended. */
	open(): RunGap[] {
		for (const task of this.gaps.keys()) if (needsNoRun(task)) this.gaps.delete(task);
		return [...this.gaps.values()];
	}

	/** Whether a task has no run. */
	has(task: jobs.Task): boolean {
		return this.gaps.has(task);
	}

	/** Number of inherited long-running tasks that wait for a worker to answer, or for its lease to expire. */
	get awaitingProof(): number {
		let count = 0;
		for (const gaps of this.unproved.values())
			for (const gap of gaps) if (this.gaps.get(gap.task) === gap && !needsNoRun(gap.task)) count += 1;
		return count;
	}

	/**
	 * Notes that a task may be started for the first time under this owner. Of a task without a worker in the store it is not
	 * known whether it ran before, unless a worker crashed under it or it left a checkpoint.
	 */
	noteReady(task: jobs.Task): void {
		const hasRun = task.worker !== '' || task.crashes !== undefined || task.checkpoint !== '';
		if (!task.step.spec.lasting || !task.step.job.inherited || !hasRun) return;
		const { previousOwnerHeardAt } = this.opts;
		const isAwaited = this.opts.mayHaveUnreportedRun(task);
		const gap: RunGap = {
			task,
			worker: task.worker,
			lastRunAt: Math.min(this.tookOverAt, previousOwnerHeardAt ?? Infinity),
			source: previousOwnerHeardAt === undefined ? 'takeover' : 'previous-owner',
			provedAt: isAwaited ? undefined : this.opts.clock.now(),
		};
		this.gaps.set(task, gap);
		if (!isAwaited) return;
		// Without stored workers a task waits for all of them.
		const awaited = task.step.job.workersStored ? task.worker : '';
		const others = this.unproved.get(awaited);
		if (others === undefined) this.unproved.set(awaited, [gap]);
		else others.push(gap);
	}

	/** Notes that a worker of earlier owners has reported, or is proved to run nothing; empty: all of them. */
	noteReconciled(worker: string): void {
		for (const gap of this.unproved.get(worker) ?? []) gap.provedAt ??= this.opts.clock.now();
		this.unproved.delete(worker);
	}

	/** Notes that the runs of these placements are lost. */
	noteLost(session: LostWorker, placements: readonly types.Placement[]): void {
		for (const { task, startSentAt } of placements) {
			if (startSentAt === undefined) continue;
			const lastRunAt = Math.max(session.lastAnsweredAt, startSentAt);
			this.begin(task, session, lastRunAt, 'answer');
		}
	}

	/** Notes that a report has shown a task's run to be over. */
	noteExited(session: sessions.WorkerSession, task: jobs.Task): void {
		const { unansweredBeforeReportMs } = session;
		// Infinite for the first report.
		const unansweredMs = Number.isFinite(unansweredBeforeReportMs) ? unansweredBeforeReportMs : 0;
		const isSilent = unansweredMs >= settings.unresponsiveAfterMs;
		const lastRunAt = this.opts.clock.now() - (isSilent ? unansweredMs : 0);
		this.begin(task, session, lastRunAt, isSilent ? 'answer' : 'exit');
	}

	/** Notes that an earlier run was found on a worker: the task was not without a run. */
	noteFound(task: jobs.Task): void {
		this.gaps.delete(task);
	}

	/** Notes that the start of a run is known to have been carried out; logs the time without a run that it ends. */
	noteStarted({ task, run, placedAt }: types.Placement): void {
		const gap = this.gaps.get(task);
		if (gap === undefined) return;
		this.gaps.delete(task);
		const now = this.opts.clock.now();
		const { lastRunAt, provedAt, source, worker: formerWorker } = gap;
		const withoutRunMs = now - lastRunAt;
		const overMs = withoutRunMs - this.opts.maxWithoutRunMs;
		this.opts.recordTime?.('without_run', withoutRunMs);
		const fields = {
			task: task.name,
			run,
			worker: task.worker,
			formerWorker: formerWorker === '' ? undefined : formerWorker,
			withoutRunMs: Math.round(withoutRunMs),
			overMs: overMs > 0 ? Math.round(overMs) : undefined,
			since: source,
			ownerMs: this.ownerMs(gap),
			leaseMs: provedAt && Math.round(provedAt - Math.max(lastRunAt, this.tookOverAt)),
			capacityMs: provedAt && Math.round(placedAt - provedAt),
			startMs: Math.round(now - placedAt),
		};
		this.opts.events.emit('task.resumed', fields, overMs > 0 ? 'warn' : 'info');
	}

	/** Time until this owner took over, in whole milliseconds; 0: it was the owner; undefined: it is not known. */
	private ownerMs({ source, lastRunAt }: RunGap): number | undefined {
		return source === 'takeover' ? undefined : Math.round(Math.max(0, this.tookOverAt - lastRunAt));
	}

	/** Begins a gap. In a gap under way, notes that the newest start has failed. */
	private begin(task: jobs.Task, { id: worker }: LostWorker, lastRunAt: number, source: LastRunSource): void {
		if (!task.step.spec.lasting || needsNoRun(task)) return;
		const provedAt = this.opts.clock.now();
		const gap = this.gaps.get(task);
		if (gap === undefined) this.gaps.set(task, { task, worker, lastRunAt, source, provedAt });
		// A late exit of an earlier run changes nothing for a task that already waits for capacity.
		else if (gap.provedAt !== undefined && task.state !== 'ready') gap.provedAt = provedAt;
	}
}

/** Whether a task needs no run any more. */
function needsNoRun(task: jobs.Task): boolean {
	return task.state === 'finished' || task.step.job.ended;
}
