/** How long accepted jobs may take once the last fault is over. A backlog may, as long as it is worked off in turn. */
import type * as judges from './judge.js';

/** Until a box has taken over from one that is gone: its lease (`src/core/owner/settings.ts`) and a second to be named and to read, in milliseconds. */
const takeoverMs = 2_000 + 1_000;

/**
 * Until a successor takes what it can't ask for over, in milliseconds: the longest lease (`box-process.ts`) on the slowest
 * clock, the horizon in which it may have been renewed, and the margin (both `src/core/dispatch/settings.ts`).
 */
const leasesMs = 10_000 * 1.02 + 3_000 + 150;

/** Until a start that was not answered is given up and stopped: three tries of a second, in milliseconds. */
const startMs = 3_000;

/**
 * A job that could go on stands still for so long at most, in milliseconds. Orders carried out late (6 s after they were
 * sent) and late writes (4 s) fall within it. With the longest fault of the first set (6 s) it comes to the 25 s after
 * the last fault's begin that all jobs once had.
 */
const stillMs = takeoverMs + leasesMs + startMs;

/** All jobs have so long at most, in milliseconds, beside twice what the open work takes on all workers. */
const settleMs = 25_000;
const workFactor = 2;

/**
 * A job counts as handed in later by this much, in milliseconds: tasks wait in the order of their due times, and a job of
 * one step is due so much sooner than one of three (two steps of 200 ms, twice, as `callers.ts` and the stand-in have it),
 * and a margin.
 */
const laterMs = 2 * 2 * 200 + 200;

/** What is judged. */
export interface PatienceOptions {
	judge: judges.Judge;
	/** What all workers hold together, in thousandths of a core. */
	milliCores: number;
	/** How long a task runs, in milliseconds. */
	workMs: (task: string) => number;
}

/**
 * A job that is being passed over: of the tasks that started since, and that ask for as much as its least one whose turn
 * has come, more belong to jobs that were handed in later than to others. Now and then one finds a gap out of its turn.
 */
interface Passed {
	/** In the judge's seconds. */
	since: number;
	/** When something of the job last started or ended: from then on it is counted anew. */
	movedAt: number;
	/** In thousandths of a core. */
	leastWaiting: number;
	/** By how many. */
	lead: number;
}

/** Reports jobs that are lost, from the end of the last fault on. */
export class Patience {
	/** Nobody need wait any longer. */
	isOver = false;
	/** Seconds, as the judge counts them. */
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

	/** The last fault is over. */
	begin(): void {
		const { judge, milliCores, workMs } = this.opts;
		this.begunAt = judge.now();
		const open = judge.open().flatMap((job) => judge.openTasks(job));
		const work = open.reduce((sum, task) => sum + workMs(task.name) * task.milliCores, 0);
		this.endsAt = this.begunAt + (settleMs + (workFactor * work) / milliCores) / 1_000;
	}

	/** To be called a few times a second. */
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

	/** A job that stands still with half of the workers free. */
	private lookAt(job: judges.SoakJob, now: number): void {
		if (isOlder(Math.max(job.movedAt, job.acceptedAt, this.busyAt, this.begunAt), now, stillMs))
			this.report(job, `nothing of it starts or ends for ${stillMs} ms with half of the workers free`);
	}

	/** A task starts: other jobs, which would have had room there, are passed over or come after it in their turn. */
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

	/** How a job is being passed over; undefined: it is not. */
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

/** Whether `at` is longer ago than that; seconds, and milliseconds. */
function isOlder(at: number, now: number, ms: number): boolean {
	return (now - at) * 1_000 > ms;
}
