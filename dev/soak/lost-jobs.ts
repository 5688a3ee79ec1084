/**
 * Time limits for accepted jobs once the last fault is over. A backlog may take longer, as long as it is processed in turn.
 */
import type * as checkers from './invariant-checker.js';

/**
 * Time until a box has taken over from one that is gone, in milliseconds: the lease (`src/core/owner/settings.ts`), and a
 * second to become the owner and to read the store.
 */
const takeoverMs = 2_000 + 1_000;

/**
 * Time until a successor takes over the tasks of a worker that it can't reach, in milliseconds: the longest lease
 * (`box-process.ts`) on the slowest clock, the horizon in which the lease may have been renewed, and the margin (both in
 * `src/core/dispatch/settings.ts`).
 */
const leaseExpiryMs = 10_000 * 1.02 + 3_000 + 150;

/** Time until an unanswered start is given up and its run is stopped, in milliseconds: three attempts of a second each. */
const startTimeoutMs = 3_000;

/**
 * Maximum time without progress of a job that could go on, in milliseconds. Commands carried out late (6 s after they were
 * sent) and late writes (4 s) fall within it. Together with the longest fault of the first set (6 s) it is about 25 s after
 * the start of the last fault.
 */
const stallTimeoutMs = takeoverMs + leaseExpiryMs + startTimeoutMs;

/** Time limit for all jobs, in milliseconds, in addition to twice the time that the open work takes on all workers. */
const baseTimeoutMs = 25_000;
const workFactor = 2;

/**
 * A job counts as submitted later than another only from this interval on, in milliseconds. Tasks wait in the order of their
 * due times. A job of one step is due earlier than a job of three steps by two steps of 200 ms, twice (as set by
 * `callers.ts` and the stand-in). The rest is a margin.
 */
const submissionToleranceMs = 2 * 2 * 200 + 200;

export interface LostJobDetectorOptions {
	checker: checkers.InvariantChecker;
	/** Total capacity of all workers, in thousandths of a core. */
	milliCores: number;
	/** How long a task runs, in milliseconds. */
	workMs: (task: string) => number;
}

/**
 * A job that is being overtaken. Starts since `since` count if the task demands at least as much as the job's smallest task
 * that is ready and not running. Most of them belong to jobs that were submitted later. A single task may find free capacity
 * out of turn.
 */
interface Overtaking {
	/** In seconds, as the checker counts them. */
	since: number;
	/** When a run of the job last started or exited. If this changes, the count begins anew. */
	progressAt: number;
	/** Demand of the job's smallest waiting task, in thousandths of a core. */
	requiredMilliCores: number;
	/** Starts of jobs that were submitted later, minus starts of other jobs. */
	netOvertakes: number;
}

/** Reports lost jobs once the last fault is over. */
export class LostJobDetector {
	/** Callers need not wait any longer. */
	isWaitOver = false;
	/** Times in seconds, as the checker counts them. Infinity: the last fault is not over yet. */
	private faultsOverAt = Infinity;
	private deadlineAt = Infinity;
	private lastBusyAt = 0;
	private readonly overtakings = new Map<checkers.SoakJob, Overtaking>();
	private readonly lost = new Set<checkers.SoakJob>();

	private constructor(private readonly opts: LostJobDetectorOptions) {}

	static create(opts: LostJobDetectorOptions): LostJobDetector {
		const detector = new LostJobDetector(opts);
		opts.checker.onStart = (job, milliCores) => {
			detector.noteStart(job, milliCores);
		};
		return detector;
	}

	/** Begins the time limits: the last fault is over. */
	noteFaultsOver(): void {
		const { checker, milliCores, workMs } = this.opts;
		this.faultsOverAt = checker.now();
		const open = checker.open().flatMap((job) => checker.openTasks(job));
		const work = open.reduce((sum, task) => sum + workMs(task.name) * task.milliCores, 0);
		this.deadlineAt = this.faultsOverAt + (baseTimeoutMs + (workFactor * work) / milliCores) / 1_000;
	}

	/** Checks all open jobs. Call it a few times a second. */
	check(): void {
		const { checker, milliCores } = this.opts;
		const now = checker.now();
		if (now < this.faultsOverAt) return;
		if (checker.usedMilliCores() >= milliCores / 2) this.lastBusyAt = now;
		for (const job of checker.open()) this.checkStalled(job, now);
		const isStalled = isOlder(Math.max(checker.anyProgressAt, this.faultsOverAt), now, stallTimeoutMs);
		if (isStalled) this.reportAllOpen(`nothing starts or ends for ${stallTimeoutMs} ms`);
		else if (now > this.deadlineAt) this.reportAllOpen('the time for all work that was open is over');
		else if (checker.open().every((job) => this.lost.has(job)) && this.lost.size > 0) this.isWaitOver = true;
	}

	/** Reports a job without progress while half of the workers' capacity is free. */
	private checkStalled(job: checkers.SoakJob, now: number): void {
		if (
			isOlder(
				Math.max(job.lastProgressAt, job.acceptedAt, this.lastBusyAt, this.faultsOverAt),
				now,
				stallTimeoutMs,
			)
		)
			this.reportLost(
				job,
				`nothing of it starts or ends for ${stallTimeoutMs} ms with half of the workers free`,
			);
	}

	/**
	 * Counts the start of a task for every other open job that would have fitted there: the task overtakes that job, or is
	 * in turn.
	 */
	private noteStart(started: checkers.SoakJob, milliCores: number): void {
		const { checker } = this.opts;
		const now = checker.now();
		if (now < this.faultsOverAt) return;
		for (const job of checker.open()) {
			if (job === started) continue;
			const isLater = isOlder(job.acceptedAt, started.sentAt, submissionToleranceMs);
			const overtaking = this.overtakingOf(job, isLater, now);
			if (overtaking === undefined || overtaking.requiredMilliCores > milliCores) continue;
			overtaking.netOvertakes += isLater ? 1 : -1;
			if (overtaking.netOvertakes <= 0) this.overtakings.delete(job);
			else if (isOlder(overtaking.since, now, stallTimeoutMs))
				this.reportLost(
					job,
					`passed over from ${overtaking.since} s on, by ${started.id} at last, which asks for ${milliCores}, it for ${overtaking.requiredMilliCores}`,
				);
		}
	}

	/** How a job is being overtaken. Undefined: it is not. */
	private overtakingOf(job: checkers.SoakJob, isLater: boolean, now: number): Overtaking | undefined {
		const known = this.overtakings.get(job);
		if (known?.progressAt === job.lastProgressAt) return known;
		this.overtakings.delete(job);
		if (!isLater) return undefined;
		const requiredMilliCores = this.opts.checker.minWaitingMilliCores(job);
		const created = { since: now, progressAt: job.lastProgressAt, requiredMilliCores, netOvertakes: 0 };
		this.overtakings.set(job, created);
		return created;
	}

	private reportAllOpen(why: string): void {
		this.isWaitOver = true;
		for (const job of this.opts.checker.open()) this.reportLost(job, why);
	}

	private reportLost(job: checkers.SoakJob, why: string): void {
		if (this.lost.has(job)) return;
		this.lost.add(job);
		this.opts.checker.reportViolation('lost', `${job.id} was accepted and does not complete: ${why}`);
	}
}

/** Whether `at` is more than `ms` milliseconds before `now`. Both are in seconds. */
function isOlder(at: number, now: number, ms: number): boolean {
	return (now - at) * 1_000 > ms;
}
