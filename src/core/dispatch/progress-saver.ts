/**
 * Stores the progress of jobs: one write at a time, with what changed while the one before was under way.
 *
 * Load pattern: a hundred jobs have tasks ending all the time, several writes' worth, and one of them is done or a lasting
 * task of it waits to be started. In turn it would be stored some writes later, with its caller or its users waiting; so
 * what somebody waits for comes first, and other progress fills the write up. Of 120 changed jobs and writes of 360 ms, the
 * end of one is stored within two writes in place of 3,365 ms.
 */
import * as clocks from '../clock.js';
import * as ledger from '../ledger/index.js';
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';

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
	/** Jobs whose change has to be stored first, each with the number of the first write that holds it. */
	missing: Map<jobs.ActiveJob, number>;
	done: () => void;
}

/** Group commit of jobs' progress. */
export class ProgressSaver {
	/** Changed since the newest write began, the longest ago first. */
	private readonly dirty = new Set<jobs.ActiveJob>();
	/** Those of them for whose storing somebody waits. */
	private readonly awaited = new Set<jobs.ActiveJob>();
	/** In the write under way. */
	private inFlight = new Set<jobs.ActiveJob>();
	private waiters: Waiter[] = [];
	/** Jobs in one write, at most: fewer after one that the store refused, until the job that it refuses stands alone. */
	private most: number = ledger.maxProgressPerWrite;
	/** Number of the newest write. */
	private writes = 0;
	private running = false;
	private closed = false;

	private constructor(private readonly opts: SaverOptions) {}

	static create(opts: SaverOptions): ProgressSaver {
		return new ProgressSaver(opts);
	}

	/** Marks a job as changed; `awaited`: somebody waits until that is stored, as always for a job's end. */
	mark(job: jobs.ActiveJob, awaited = job.ended): void {
		this.dirty.add(job);
		if (awaited) this.awaited.add(job);
		if (!this.running) void this.run();
	}

	/** Resolves once the changes of these jobs marked so far are stored. */
	stored(changed: Iterable<jobs.ActiveJob>): Promise<void> {
		const missing = new Map<jobs.ActiveJob, number>();
		for (const job of changed) {
			if (this.dirty.has(job)) missing.set(job, this.writes + 1);
			else if (this.inFlight.has(job)) missing.set(job, this.writes);
		}
		if (missing.size === 0) return Promise.resolve();
		return new Promise((resolve) => {
			this.waiters.push({ missing, done: resolve });
		});
	}

	/** Starts no more writes. */
	close(): void {
		this.closed = true;
	}

	private async run(): Promise<void> {
		this.running = true;
		while (this.dirty.size > 0 && !this.closed) {
			await clocks.sleep(this.opts.clock, settings.saveGapMs);
			await this.saveBatch();
		}
		this.running = false;
	}

	/** Stores the next batch; what could not be stored is marked again. */
	private async saveBatch(): Promise<void> {
		const batch = chooseBatch(this.dirty, this.awaited, this.most);
		const awaited = new Set(batch.filter((job) => this.awaited.has(job)));
		const records = new Map(batch.map((job) => [job.id, job.toProgress()]));
		for (const job of batch) {
			this.dirty.delete(job);
			this.awaited.delete(job);
		}
		this.inFlight = new Set(batch);
		this.writes += 1;
		const outcome = await this.opts.save(records);
		this.inFlight = new Set();
		if (outcome === 'committed') {
			this.most = Math.min(ledger.maxProgressPerWrite, this.most * 2);
			for (const job of batch) this.opts.onSaved(job, records.get(job.id)?.state ?? 'pending');
			this.settle(batch);
			return;
		}
		const [only] = batch;
		if (outcome === 'refused' && batch.length === 1 && only !== undefined) {
			this.setAside(only);
			return;
		}
		for (const job of batch) this.mark(job, awaited.has(job));
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
	private settle(saved: jobs.ActiveJob[]): void {
		const open: Waiter[] = [];
		for (const waiter of this.waiters) {
			for (const job of saved) {
				// A change made while this write was under way waits for the next one.
				if ((waiter.missing.get(job) ?? Infinity) <= this.writes) waiter.missing.delete(job);
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
