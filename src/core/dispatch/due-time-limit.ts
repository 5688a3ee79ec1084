/**
 * The limit on preemptible work for tasks that may wait: the adaptive limit, which puts work off until serving tasks leave
 * room, as long as the job can wait and be on time, and the fixed limit from then on.
 *
 * Load: for tens of seconds preemptible work needs nearly all of the cores that serving tasks leave. The adaptive limit alone
 * completes a few per cent less, and the backlog that grows from that makes most jobs late. A caller whose job would miss its
 * due time for a load trough is served no better than the users of a serving task that is over its target for a moment.
 */
import type * as jobs from '../jobs/index.js';
import type * as limitTypes from './limit-types.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** How long the answer for a step is kept, in milliseconds: it is asked for each worker, and due times are seconds away. */
const cacheMs = 100;

export interface DueTimeLimitOptions {
	now: () => number;
	/** For tasks that can wait. */
	patient: limitTypes.PreemptibleLimit;
	/** For tasks that can't. */
	pressing: limitTypes.PreemptibleLimit;
	/** Expected time of one run, in milliseconds. */
	expectedMs: (step: jobs.StepInstance) => number;
	/** Expected time of the longest chain of steps from this one on, in milliseconds. */
	chainMs: (step: jobs.StepInstance) => number;
}

interface KnownStep {
	at: number;
	isPressing: boolean;
}

/** Chooses between two limits by how long a task can wait. */
export class DueTimeLimit implements limitTypes.PreemptibleLimit {
	private readonly known = new WeakMap<jobs.StepInstance, KnownStep>();

	private constructor(private readonly opts: DueTimeLimitOptions) {}

	static create(opts: DueTimeLimitOptions): DueTimeLimit {
		return new DueTimeLimit(opts);
	}

	toleranceFor(task: jobs.Task, now: number): number {
		return this.limitFor(task).toleranceFor(task, now);
	}

	usePenalty(task: jobs.Task, worker: sessions.WorkerSession, ignoreInterference: boolean): number {
		return this.limitFor(task).usePenalty(task, worker, ignoreInterference);
	}

	interferencePenalty(
		task: jobs.Task,
		worker: sessions.WorkerSession,
		check: limitTypes.InterferenceCheck,
	): number {
		return this.limitFor(task).interferencePenalty(task, worker, check);
	}

	obstacleAt(
		task: jobs.Task,
		worker: sessions.WorkerSession,
		now: number,
	): limitTypes.LimitObstacle | undefined {
		return this.limitFor(task).obstacleAt(task, worker, now);
	}

	notePlaced(worker: sessions.WorkerSession, place: types.Placement): void {
		this.opts.patient.notePlaced(worker, place);
		this.opts.pressing.notePlaced(worker, place);
	}

	noteReport(worker: sessions.WorkerSession): void {
		this.opts.patient.noteReport(worker);
		this.opts.pressing.noteReport(worker);
	}

	noteSlowed(worker: sessions.WorkerSession, place: types.Placement): void {
		this.opts.patient.noteSlowed(worker, place);
	}

	read(workers: readonly sessions.WorkerSession[]): limitTypes.LimitReading {
		return this.opts.patient.read(workers);
	}

	exportLimits(): limitTypes.ImageLimits {
		return this.opts.patient.exportLimits();
	}

	restore(limits: Readonly<Record<string, unknown>>): number {
		return this.opts.patient.restore(limits);
	}

	private limitFor({ step }: jobs.Task): limitTypes.PreemptibleLimit {
		return this.isPressing(step) ? this.opts.pressing : this.opts.patient;
	}

	/** Whether waiting for longer than one run takes would make the job late, which is not late yet. */
	private isPressing(step: jobs.StepInstance): boolean {
		const now = this.opts.now();
		const known = this.known.get(step);
		if (known !== undefined && now - known.at < cacheMs) return known.isPressing;
		const slackMs = step.job.dueAt - now - this.opts.chainMs(step);
		const isPressing = !step.spec.lasting && slackMs >= 0 && slackMs < this.opts.expectedMs(step);
		this.known.set(step, { at: now, isPressing });
		return isPressing;
	}
}
