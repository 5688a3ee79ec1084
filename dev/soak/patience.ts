/**
 * Time limits for accepted jobs once the last fault is over. A backlog may take longer, as long as it is processed in turn.
 */
import type * as judges from './judge.js';

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
const leasesMs = 10_000 * 1.02 + 3_000 + 150;

/** Time until an unanswered start is given up and its run is stopped, in milliseconds: three attempts of a second each. */
const startMs = 3_000;

/**
 * Maximum time without progress of a job that could go on, in milliseconds. Commands carried out late (6 s after they were
 * sent) and late writes (4 s) fall within it. Together with the longest fault of the first set (6 s) it is about 25 s after
 * the start of the last fault.
 */
const stillMs = takeoverMs + leasesMs + startMs;

/** Time limit for all jobs, in milliseconds, in addition to twice the time that the open work takes on all workers. */
const settleMs = 25_000;
const workFactor = 2;

/**
 * A job counts as submitted later than another only from this interval on, in milliseconds. Tasks wait in the order of their
 * due times. A job of one step is due earlier than a job of three steps by two steps of 200 ms, twice (as set by
 * `callers.ts` and the stand-in). The rest is a margin.
 */
const laterMs = 2 * 2 * 200 + 200;

export interface PatienceOptions {
	judge: judges.Judge;
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
interface Passed {
	/** In seconds, as the checker counts them. */
	since: number;
	/** When a run of the job last started or exited. If this changes, the count begins anew. */
	movedAt: number;
	/** Demand of the job's smallest waiting task, in thousandths of a core. */
	leastWaiting: number;
	/** Starts of jobs that were submitted later, minus starts of other jobs. */
	lead: number;
}

/** Reports lost jobs once the last fault is over. */
export class Patience {
	/** Callers need not wait any longer. */
	isOver = false;
	/** Times in seconds, as the checker counts them. Infinity: the last fault is not over yet. */
	private begunAt = Infinity;
	private endsAt = Infinity;
	private busyAt = 0;
	private readonly passed = new Map<judges.SoakJob, Passed>();
	private readonly lost = new Set<judges.SoakJob>();

	private constructor(private readonly opts: PatienceOptions) {}

	static create(opts: PatienceOptions): Patience {
		const patience = new Patience(opts);
		opts.judge.onStart = (job, milliCores) => {
			patience.compare(job, milliCores);
		};
		return patience;
	}

	/** Begins the time limits: the last fault is over. */
	begin(): void {
		const { judge, milliCores, workMs } = this.opts;
		this.begunAt = judge.now();
		const open = judge.open().flatMap((job) => judge.openTasks(job));
		const work = open.reduce((sum, task) => sum + workMs(task.name) * task.milliCores, 0);
		this.endsAt = this.begunAt + (settleMs + (workFactor * work) / milliCores) / 1_000;
	}

	/** Checks all open jobs. Call it a few times a second. */
	look(): void {
		const { judge, milliCores } = this.opts;
		const now = judge.now();
		if (now < this.begunAt) return;
		if (judge.usedMilliCores() >= milliCores / 2) this.busyAt = now;
		for (const job of judge.open()) this.lookAt(job, now);
		const isStill = isOlder(Math.max(judge.movedAt, this.begunAt), now, stillMs);
		if (isStill) this.giveUp(`nothing starts or ends for ${stillMs} ms`);
		else if (now > this.endsAt) this.giveUp('the time for all work that was open is over');
		else if (judge.open().every((job) => this.lost.has(job)) && this.lost.size > 0) this.isOver = true;
	}

	/** Reports a job without progress while half of the workers' capacity is free. */
	private lookAt(job: judges.SoakJob, now: number): void {
		if (isOlder(Math.max(job.movedAt, job.acceptedAt, this.busyAt, this.begunAt), now, stillMs))
			this.report(job, `nothing of it starts or ends for ${stillMs} ms with half of the workers free`);
	}

	/**
	 * Counts the start of a task for every other open job that would have fitted there: the task overtakes that job, or is
	 * in turn.
	 */
	private compare(started: judges.SoakJob, milliCores: number): void {
		const { judge } = this.opts;
		const now = judge.now();
		if (now < this.begunAt) return;
		for (const job of judge.open()) {
			if (job === started) continue;
			const isLater = isOlder(job.acceptedAt, started.sentAt, laterMs);
			const passed = this.passedOf(job, isLater, now);
			if (passed === undefined || passed.leastWaiting > milliCores) continue;
			passed.lead += isLater ? 1 : -1;
			if (passed.lead <= 0) this.passed.delete(job);
			else if (isOlder(passed.since, now, stillMs))
				this.report(
					job,
					`passed over from ${passed.since} s on, by ${started.id} at last, which asks for ${milliCores}, it for ${passed.leastWaiting}`,
				);
		}
	}

	/** How a job is being overtaken. Undefined: it is not. */
	private passedOf(job: judges.SoakJob, isLater: boolean, now: number): Passed | undefined {
		const known = this.passed.get(job);
		if (known?.movedAt === job.movedAt) return known;
		this.passed.delete(job);
		if (!isLater) return undefined;
		const leastWaiting = this.opts.judge.leastWaiting(job);
		const begun = { since: now, movedAt: job.movedAt, leastWaiting, lead: 0 };
		this.passed.set(job, begun);
		return begun;
	}

	private giveUp(why: string): void {
		this.isOver = true;
		for (const job of this.opts.judge.open()) this.report(job, why);
	}

	private report(job: judges.SoakJob, why: string): void {
		if (this.lost.has(job)) return;
		this.lost.add(job);
		this.opts.judge.report('lost', `${job.id} was accepted and does not complete: ${why}`);
	}
}

/** Whether `at` is more than `ms` milliseconds before `now`. Both are in seconds. */
function isOlder(at: number, now: number, ms: number): boolean {
	return (now - at) * 1_000 > ms;
}
