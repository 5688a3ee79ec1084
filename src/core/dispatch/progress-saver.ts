/**
 * Stores the progress of jobs: what changed while a write was under way goes into the next one, and several writes of
 * different jobs are under way where one would not hold what waits.
 *
 * Load pattern: a hundred jobs have tasks ending all the time, several writes' worth, and one of them is done or a lasting
 * task of it waits to be started. In turn it would be stored some writes later, with its caller or its users waiting; so
 * what somebody waits for comes first, and other progress fills the write up.
 */
import * as clocks from '../clock.js';
import * as ledger from '../ledger/index.js';
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';

/** Writes under way at once, at most: each takes its part of what the store and the owner's processor bear. */
const mostWrites = 3;

/** A write that failed is tried again after this many milliseconds. */
const retryMs = 150;

/** A job whose progress the store refuses is set aside for so long, in milliseconds. */
const asideMs = 5_000;

/** Where progress goes. */
export type SaveProgress = (batch: Map<string, jobs.ProgressRecord>) => Promise<ledger.WriteOutcome>;

/** Settings of a saver. */
export interface SaverOptions {
	clock: clocks.Clock;
	save: SaveProgress;
	/** A job's progress is stored in this state. */
	onSaved: (job: jobs.ActiveJob, state: jobs.JobState) => void;
	/** Another box has taken over. */
	onSuperseded: () => void;
	/** The store refuses a job's progress; it is tried again after a while. */
	onRefused: (job: jobs.ActiveJob) => void;
	/** A write failed; it is tried again. */
	onFailure: (outcome: ledger.WriteOutcome) => void;
}

interface Waiter {
	/** Jobs that have to be stored first, each with the number of the change that the stored state has to hold. */
	missing: Map<jobs.ActiveJob, number>;
	done: () => void;
}

/** One write: the jobs that it stores, each with the number of its newest change by then. */
type Batch = ReadonlyMap<jobs.ActiveJob, number>;

/** Group commit of jobs' progress. */
export class ProgressSaver {
	/** Changed, and in no write under way, the longest ago first. */
	private readonly dirty = new Set<jobs.ActiveJob>();
	/** Of those and of what changed since its write began: jobs for whose storing somebody waits. */
	private readonly awaited = new Set<jobs.ActiveJob>();
	/** In a write under way. */
	private readonly inFlight = new Set<jobs.ActiveJob>();
	/** Changed since their write began: a job's writes follow one another. */
	private readonly changedInFlight = new Set<jobs.ActiveJob>();
	/** Number of each job's newest change. */
	private readonly changes = new WeakMap<jobs.ActiveJob, number>();
	private waiters: Waiter[] = [];
	/** Jobs in one write, at most: fewer after one that the store refused, until the job that it refuses stands alone. */
	private most: number = ledger.maxProgressPerWrite;
	/** Number of the newest change of all. */
	private change = 0;
	/** Writes under way. */
	private writes = 0;
	/** The next write begins after a while. */
	private isDue = false;
	private closed = false;

	private constructor(private readonly opts: SaverOptions) {}

	static create(opts: SaverOptions): ProgressSaver {
		return new ProgressSaver(opts);
	}

	/** Marks a job as changed; `awaited`: somebody waits until that is stored, as always for a job's end. */
	mark(job: jobs.ActiveJob, awaited = job.ended): void {
		this.change += 1;
		this.changes.set(job, this.change);
		if (this.inFlight.has(job)) this.changedInFlight.add(job);
		else this.dirty.add(job);
		if (awaited) this.awaited.add(job);
		this.plan();
	}

	/** Resolves once the changes of these jobs marked so far are stored. */
	stored(changed: Iterable<jobs.ActiveJob>): Promise<void> {
		const missing = new Map<jobs.ActiveJob, number>();
		for (const job of changed)
			if (this.dirty.has(job) || this.inFlight.has(job)) missing.set(job, this.changes.get(job) ?? 0);
		if (missing.size === 0) return Promise.resolve();
		return new Promise((resolve) => {
			this.waiters.push({ missing, done: resolve });
		});
	}

	/** Starts no more writes. */
	close(): void {
		this.closed = true;
	}

	/** Begins another write, unless those under way will do: at once for a whole batch, else after a while. */
	private plan(): void {
		if (this.isDue || this.closed || !this.needsWrite()) return;
		this.isDue = true;
		const isWhole = this.dirty.size >= this.most;
		this.opts.clock.after(isWhole ? 0 : settings.saveGapMs, () => {
			this.isDue = false;
			if (this.closed) return;
			if (this.needsWrite()) void this.saveBatch();
			this.plan();
		});
	}

	/** Whether a write should begin: the first one for any change, another for a whole batch. */
	private needsWrite(): boolean {
		const { size } = this.dirty;
		return this.writes === 0 ? size > 0 : this.writes < mostWrites && size >= this.most;
	}

	/** Stores the next batch. */
	private async saveBatch(): Promise<void> {
		const urgent = new Set([...this.awaited].filter((job) => this.dirty.has(job)));
		const chosen = chooseBatch(this.dirty, urgent, this.most);
		const batch = new Map(chosen.map((job) => [job, this.changes.get(job) ?? 0]));
		const records = new Map(chosen.map((job) => [job.id, job.toProgress()]));
		for (const job of chosen) {
			this.dirty.delete(job);
			this.awaited.delete(job);
			this.inFlight.add(job);
		}
		this.writes += 1;
		const outcome = await this.opts.save(records);
		for (const job of chosen) {
			this.inFlight.delete(job);
			if (this.changedInFlight.delete(job)) this.dirty.add(job);
		}
		if (outcome === 'committed') {
			this.most = Math.min(ledger.maxProgressPerWrite, this.most * 2);
			for (const job of chosen) this.opts.onSaved(job, records.get(job.id)?.state ?? 'pending');
			this.settle(batch);
		} else await this.noteFailure(outcome, chosen, urgent);
		this.writes -= 1;
		this.plan();
	}

	/** What could not be stored is marked again. */
	private async noteFailure(
		outcome: ledger.WriteOutcome,
		batch: readonly jobs.ActiveJob[],
		urgent: ReadonlySet<jobs.ActiveJob>,
	): Promise<void> {
		const [only] = batch;
		if (outcome === 'refused' && batch.length === 1 && only !== undefined) {
			this.setAside(only);
			return;
		}
		for (const job of batch) this.mark(job, urgent.has(job));
		if (outcome === 'refused') this.most = Math.ceil(batch.length / 2);
		if (outcome === 'superseded') {
			this.closed = true;
			this.opts.onSuperseded();
			return;
		}
		this.opts.onFailure(outcome);
		// After a conflict the versions are known again, so the next write need not wait.
		if (outcome === 'failed') await clocks.sleep(this.opts.clock, retryMs);
	}

	/** One job's progress is refused, whatever it is written with: the others go on without it. */
	private setAside(job: jobs.ActiveJob): void {
		this.most = ledger.maxProgressPerWrite;
		this.opts.onRefused(job);
		this.opts.clock.after(asideMs, () => {
			if (!this.closed) this.mark(job);
		});
	}

	/** Answers those who waited for these jobs only. */
	private settle(saved: Batch): void {
		const open: Waiter[] = [];
		for (const waiter of this.waiters) {
			for (const [job, change] of saved) {
				// A change made while this write was under way waits for the next one.
				if ((waiter.missing.get(job) ?? Infinity) <= change) waiter.missing.delete(job);
			}
			if (waiter.missing.size === 0) waiter.done();
			else open.push(waiter);
		}
		this.waiters = open;
	}
}

/** What the next write holds: what is waited for first, then what has been changed for longest. */
export function chooseBatch<T>(
	dirty: ReadonlySet<T>,
	awaited: ReadonlySet<T>,
	most: number = ledger.maxProgressPerWrite,
): T[] {
	const others = [...dirty].filter((one) => !awaited.has(one));
	return [...awaited, ...others].slice(0, most);
}
