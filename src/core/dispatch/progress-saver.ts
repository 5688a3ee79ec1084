/**
 * Stores the progress of jobs: what changed while a write was under way goes into the next one, and several writes of
 * different jobs are under way where one would not hold what waits.
 *
 * Load pattern: a hundred jobs have tasks ending all the time, several writes' worth, and one of them is done or a lasting
 * task of it waits to be started. In turn it would be stored some writes later, with its caller or its users waiting; so
 * what somebody waits for goes before other progress that has waited for little longer. Where jobs end faster than writes
 * take them, the others still have their turn: no worker may forget an end before it is stored, nor any end after it.
 */
import * as clocks from '../clock.js';
import * as ledger from '../ledger/index.js';
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';

/** Writes under way at once, at most: each takes its part of what the store and the owner's processor bear. */
const maxConcurrentWrites = 3;

/** The same where the store is so slow that these would not take all that waits in time. */
const maxConcurrentWritesWhenBehind = 8;

/** What has waited for longest is to be in a write within this time, in milliseconds. */
const maxWaitMs = 1_000;

/** A write that failed is tried again after this many milliseconds. */
const retryMs = 150;

/** A job whose progress the store refuses is set aside for so long, in milliseconds. */
const refusedRetryMs = 5_000;

/** Progress that nobody waits for is passed over by what is waited for and changed up to this much later, in milliseconds. */
const awaitedHeadStartMs = 1_000;

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
	/** Changed, and in no write under way; each with the clock time since when. */
	private readonly dirty = new Map<jobs.ActiveJob, number>();
	/** Changed, and refused by the store a short while ago: in no write until that is over. */
	private readonly postponed = new Set<jobs.ActiveJob>();
	/** Refused when last written: they are written alone, so that they hold up no others. */
	private readonly lastRefused = new WeakSet<jobs.ActiveJob>();
	/** Of those and of what changed since its write began: jobs for whose storing somebody waits. */
	private readonly awaited = new Set<jobs.ActiveJob>();
	/** In a write under way. */
	private readonly inFlight = new Set<jobs.ActiveJob>();
	/** Changed since their write began: a job's writes follow one another. */
	private readonly changedInFlight = new Set<jobs.ActiveJob>();
	/** Number of each job's newest change. */
	private readonly changes = new WeakMap<jobs.ActiveJob, number>();
	private waiters: Waiter[] = [];
	/** Halves of batches that the store refused: each is a write of its own, until the job that it refuses stands alone. */
	private splitBatches: jobs.ActiveJob[][] = [];
	/** Number of the newest change of all. */
	private lastChange = 0;
	/** Writes under way. */
	private writes = 0;
	/** How long the newest write that was stored took, in milliseconds. */
	private writeMs = 0;
	/** The next write begins after a while. */
	private isWriteScheduled = false;
	private closed = false;

	private constructor(private readonly opts: SaverOptions) {}

	static create(opts: SaverOptions): ProgressSaver {
		return new ProgressSaver(opts);
	}

	/** Marks a job as changed; `awaited`: somebody waits until that is stored, as always for a job's end. */
	mark(job: jobs.ActiveJob, awaited = job.ended): void {
		this.lastChange += 1;
		this.changes.set(job, this.lastChange);
		if (this.inFlight.has(job)) this.changedInFlight.add(job);
		else this.addDirty(job);
		if (awaited) this.awaited.add(job);
		this.plan();
	}

	/** Resolves once the changes of these jobs marked so far are stored. */
	whenStored(changed: Iterable<jobs.ActiveJob>): Promise<void> {
		const missing = new Map<jobs.ActiveJob, number>();
		for (const job of changed) if (this.isUnstored(job)) missing.set(job, this.changes.get(job) ?? 0);
		if (missing.size === 0) return Promise.resolve();
		return new Promise((resolve) => {
			this.waiters.push({ missing, done: resolve });
		});
	}

	private isUnstored(job: jobs.ActiveJob): boolean {
		return this.dirty.has(job) || this.inFlight.has(job) || this.postponed.has(job);
	}

	private addDirty(job: jobs.ActiveJob): void {
		if (!this.dirty.has(job) && !this.postponed.has(job)) this.dirty.set(job, this.opts.clock.now());
	}

	/** Starts no more writes. */
	close(): void {
		this.closed = true;
	}

	/** Begins another write, unless those under way will do: at once for a whole batch, else after a while. */
	private plan(): void {
		if (this.isWriteScheduled || this.closed || !this.needsWrite()) return;
		this.isWriteScheduled = true;
		this.opts.clock.after(this.hasFullBatch ? 0 : settings.saveBatchMs, () => {
			this.isWriteScheduled = false;
			if (this.closed) return;
			if (this.needsWrite()) void this.saveBatch();
			this.plan();
		});
	}

	/** Whether a write should begin: the first one for any change, another for a whole batch. */
	private needsWrite(): boolean {
		return this.writes === 0 ? this.dirty.size > 0 : this.writes < this.writesAllowed && this.hasFullBatch;
	}

	/** Writes that may be under way: as many as take all that waits in the time that is left, as long as they take now. */
	private get writesAllowed(): number {
		const now = this.opts.clock.now();
		const [oldestAt = now] = this.dirty.values();
		const leftMs = Math.max(1, oldestAt + maxWaitMs - now);
		const batches = this.dirty.size / ledger.maxProgressPerWrite;
		const needed = Math.ceil((batches * this.writeMs) / leftMs);
		return Math.min(maxConcurrentWritesWhenBehind, Math.max(maxConcurrentWrites, needed));
	}

	private get hasFullBatch(): boolean {
		return this.dirty.size >= ledger.maxProgressPerWrite || this.splitBatches.length > 0;
	}

	/** Stores the next batch. */
	private async saveBatch(): Promise<void> {
		const urgent = new Set([...this.awaited].filter((job) => this.dirty.has(job)));
		const chosen = this.nextBatch(urgent);
		if (chosen.length === 0) return;
		const batch = new Map(chosen.map((job) => [job, this.changes.get(job) ?? 0]));
		const records = new Map(chosen.map((job) => [job.id, job.toProgress()]));
		const waitingSince = new Map(chosen.map((job) => [job, this.dirty.get(job) ?? this.opts.clock.now()]));
		for (const job of chosen) {
			this.dirty.delete(job);
			this.awaited.delete(job);
			this.inFlight.add(job);
		}
		this.writes += 1;
		const startedAt = this.opts.clock.now();
		const outcome = await this.opts.save(records);
		for (const job of chosen) {
			this.inFlight.delete(job);
			if (this.changedInFlight.delete(job)) this.addDirty(job);
		}
		if (outcome === 'committed') {
			this.writeMs = this.opts.clock.now() - startedAt;
			for (const job of chosen) this.noteSaved(job, records.get(job.id)?.state ?? 'pending');
			this.resolveWaiters(batch);
		} else await this.noteFailure(outcome, waitingSince, urgent);
		this.writes -= 1;
		this.plan();
	}

	/** The jobs of the next write; a suspect whose turn has come stands alone. */
	private nextBatch(urgent: ReadonlySet<jobs.ActiveJob>): jobs.ActiveJob[] {
		for (
			let jobsOfSplit = this.splitBatches.shift();
			jobsOfSplit !== undefined;
			jobsOfSplit = this.splitBatches.shift()
		) {
			const unstored = jobsOfSplit.filter((job) => this.dirty.has(job));
			if (unstored.length > 0) return unstored;
		}
		const chosen = chooseBatch(this.dirty, urgent);
		const [first] = chosen;
		if (first !== undefined && this.lastRefused.has(first)) return [first];
		return chosen.filter((job) => !this.lastRefused.has(job));
	}

	private noteSaved(job: jobs.ActiveJob, state: jobs.JobState): void {
		this.lastRefused.delete(job);
		this.opts.onSaved(job, state);
	}

	/** What could not be stored is marked again; `batch`: the clock time from which each job has waited. */
	private async noteFailure(
		outcome: ledger.WriteOutcome,
		batch: ReadonlyMap<jobs.ActiveJob, number>,
		urgent: ReadonlySet<jobs.ActiveJob>,
	): Promise<void> {
		const [only] = batch.keys();
		if (outcome === 'refused' && batch.size === 1 && only !== undefined) {
			this.postpone(only);
			return;
		}
		for (const [job, since] of batch) {
			this.dirty.set(job, since);
			this.mark(job, urgent.has(job));
		}
		if (outcome === 'refused') this.splitBatch([...batch.keys()]);
		if (outcome === 'superseded') {
			this.closed = true;
			this.opts.onSuperseded();
			return;
		}
		this.opts.onFailure(outcome);
		// After a conflict the versions are known again, so the next write need not wait.
		if (outcome === 'failed') await clocks.sleep(this.opts.clock, retryMs);
	}

	private splitBatch(batch: jobs.ActiveJob[]): void {
		const middle = Math.ceil(batch.length / 2);
		this.splitBatches.push(batch.slice(0, middle), batch.slice(middle));
	}

	/** One job's progress is refused, whatever it is written with: the others go on without it. */
	private postpone(job: jobs.ActiveJob): void {
		this.lastRefused.add(job);
		this.dirty.delete(job);
		this.postponed.add(job);
		this.opts.onRefused(job);
		this.opts.clock.after(refusedRetryMs, () => {
			this.postponed.delete(job);
			if (!this.closed) this.mark(job);
		});
	}

	/** Answers those who waited for these jobs only. */
	private resolveWaiters(saved: Batch): void {
		const stillWaiting: Waiter[] = [];
		for (const waiter of this.waiters) {
			for (const [job, change] of saved) {
				// A change made while this write was under way waits for the next one.
				if ((waiter.missing.get(job) ?? Infinity) <= change) waiter.missing.delete(job);
			}
			if (waiter.missing.size === 0) waiter.done();
			else stillWaiting.push(waiter);
		}
		this.waiters = stillWaiting;
	}
}

/**
 * What the next write holds: what has been changed for longest, where what is waited for counts as changed by `patienceMs`
 * earlier; `dirty`: clock times of the changes.
 */
export function chooseBatch<T>(dirty: ReadonlyMap<T, number>, awaited: ReadonlySet<T>): T[] {
	const others = [...dirty.keys()].filter((one) => !awaited.has(one));
	const sortKeyOf = (one: T): number => (dirty.get(one) ?? 0) + (awaited.has(one) ? 0 : awaitedHeadStartMs);
	return [...awaited, ...others]
		.sort((a, b) => sortKeyOf(a) - sortKeyOf(b))
		.slice(0, ledger.maxProgressPerWrite);
}
