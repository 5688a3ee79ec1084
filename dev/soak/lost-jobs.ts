/** How long accepted jobs may take once the last fault is over. A backlog may, as long as it is worked off in turn. */
import type * as checkers from './invariant-checker.js';

/** Until a box has taken over from one that is gone: its lease (`src/core/owner/settings.ts`) and a second to be named and to read, in milliseconds. */
const takeoverMs = 2_000 + 1_000;

/**
 * Until a successor takes what it can't ask for over, in milliseconds: the longest lease (`box-process.ts`) on the slowest
 * clock, the horizon in which it may have been renewed, and the margin (both `src/core/dispatch/settings.ts`).
 */
const leaseExpiryMs = 10_000 * 1.02 + 3_000 + 150;

/** Until a start that was not answered is given up and stopped: three tries of a second, in milliseconds. */
const startTimeoutMs = 3_000;

/**
 * A job that could go on stands still for so long at most, in milliseconds. Orders carried out late (6 s after they were
 * sent) and late writes (4 s) fall within it. With the longest fault of the first set (6 s) it comes to the 25 s after
 * the last fault's begin that all jobs once had.
 */
const stallTimeoutMs = takeoverMs + leaseExpiryMs + startTimeoutMs;

/** All jobs have so long at most, in milliseconds, beside twice what the open work takes on all workers. */
const baseTimeoutMs = 25_000;
const workFactor = 2;

/**
 * A job counts as handed in later by this much, in milliseconds: tasks wait in the order of their due times, and a job of
 * one step is due so much sooner than one of three (two steps of 200 ms, twice, as `callers.ts` and the stand-in have it),
 * and a margin.
 */
const submissionToleranceMs = 2 * 2 * 200 + 200;

/** What is judged. */
export interface LostJobDetectorOptions {
	checker: checkers.InvariantChecker;
	/** What all workers hold together, in thousandths of a core. */
	milliCores: number;
	/** How long a task runs, in milliseconds. */
	workMs: (task: string) => number;
}

/**
 * A job that is being passed over: of the tasks that started since, and that ask for as much as its least one whose turn
 * has come, more belong to jobs that were handed in later than to others. Now and then one finds a gap out of its turn.
 */
interface Overtaking {
	/** In the judge's seconds. */
	since: number;
	/** When something of the job last started or ended: from then on it is counted anew. */
	progressAt: number;
	/** In thousandths of a core. */
	requiredMilliCores: number;
	/** By how many. */
	netOvertakes: number;
}

/** Reports jobs that are lost, from the end of the last fault on. */
export class LostJobDetector {
	/** Nobody need wait any longer. */
	isWaitOver = false;
	/** Seconds, as the judge counts them. */
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

	/** The last fault is over. */
	noteFaultsOver(): void {
		const { checker, milliCores, workMs } = this.opts;
		this.faultsOverAt = checker.now();
		const open = checker.open().flatMap((job) => checker.openTasks(job));
		const work = open.reduce((sum, task) => sum + workMs(task.name) * task.milliCores, 0);
		this.deadlineAt = this.faultsOverAt + (baseTimeoutMs + (workFactor * work) / milliCores) / 1_000;
	}

	/** To be called a few times a second. */
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

	/** A job that stands still with half of the workers free. */
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

	/** A task starts: other jobs, which would have had room there, are passed over or come after it in their turn. */
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

	/** How a job is being passed over; undefined: it is not. */
	private overtakingOf(job: checkers.SoakJob, isLater: boolean, now: number): Overtaking | undefined {
		const known = this.overtakings.get(job);
		if (known?.progressAt === job.lastProgressAt) return known;
		this.overtakings.delete(job);
		if (!isLater) return undefined;
		const requiredMilliCores = this.opts.checker.minWaitingMilliCores(job);
		const created = {
			since: now,
			progressAt: job.lastProgressAt,
			requiredMilliCores,
			netOvertakes: 0,
		};
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

/** Whether `at` is longer ago than that; seconds, and milliseconds. */
function isOlder(at: number, now: number, ms: number): boolean {
	return (now - at) * 1_000 > ms;
}
