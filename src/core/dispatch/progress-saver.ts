/**
 * Stores the progress of jobs by group commit. Changes made during a write go into the next one. Several writes of different
 * jobs run at once if one write can't hold all that waits.
 *
 * Load pattern: tasks of a hundred jobs, enough for several writes, finish all the time. One of the jobs is done, or one of
 * its long-running tasks waits to be started. In plain order of arrival that job would be stored several writes later, while
 * its caller or its users wait. So progress that somebody waits for goes before other progress that has waited only a little
 * longer. If jobs finish faster than writes can store them, the others still get their turn: a worker may discard an exit,
 * and every later one, only once it is stored.
 */
import * as clocks from '../clock.js';
import * as ledger from '../ledger/index.js';
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';
import type * as types from './types.js';

/** Maximum number of concurrent writes: each takes store capacity and processor time of the owner. */
const maxConcurrentWrites = 3;

/** Maximum number of concurrent writes if the store is so slow that fewer would not take everything in time. */
const maxConcurrentWritesWhenBehind = 8;

/** The longest-waiting change has to be in a write within this time, in milliseconds. */
const maxWaitMs = 1_000;

/** Delay before a failed write is retried, in milliseconds. */
const retryMs = 150;

/** Delay before the progress of a job is written again after the store refused it, in milliseconds. */
const refusedRetryMs = 5_000;

/** Progress that somebody waits for is written as if it had changed this much earlier, in milliseconds. */
const awaitedHeadStartMs = 1_000;

/** Writes progress records, by job, in one write. */
export type SaveProgress = (batch: Map<string, jobs.ProgressRecord>) => Promise<ledger.WriteOutcome>;

/** Options of a saver. */
export interface SaverOptions {
	clock: clocks.Clock;
	save: SaveProgress;
	/** Called when a job's progress is stored; `state` is the state it was stored in. */
	onSaved: (job: jobs.ActiveJob, state: jobs.JobState) => void;
	/** Called when another box has taken over. */
	onSuperseded: () => void;
	/** Called when the store refuses a job's progress. The saver tries it again later. */
	onRefused: (job: jobs.ActiveJob) => void;
	/** Called when a write failed. The saver tries it again. */
	onFailure: (outcome: ledger.WriteOutcome) => void;
}

interface Waiter {
	/** Jobs that have to be stored first, each with the number of the change that its stored state has to include. */
	missing: Map<jobs.ActiveJob, number>;
	done: () => void;
}

/** One write: its jobs, each with the number of its newest change at the start of the write. */
type Batch = ReadonlyMap<jobs.ActiveJob, number>;

/** Stores the progress of jobs by group commit. */
export class ProgressSaver {
	/** Changed jobs that are in no write under way, each with the clock time of its oldest unstored change. */
	private readonly dirty = new Map<jobs.ActiveJob, number>();
	/** Changed jobs that the store refused recently. They are in no write until their delay is over. */
	private readonly postponed = new Set<jobs.ActiveJob>();
	/** Jobs whose last write was refused. They are written alone so that they don't delay others. */
	private readonly lastRefused = new WeakSet<jobs.ActiveJob>();
	/** Jobs that are changed or were changed during their write, and whose storing somebody waits for. */
	private readonly awaited = new Set<jobs.ActiveJob>();
	/** Jobs in a write under way. */
	private readonly inFlight = new Set<jobs.ActiveJob>();
	/** Jobs changed since their write began. A job is in one write at a time. */
	private readonly changedInFlight = new Set<jobs.ActiveJob>();
	/** Number of each job's newest change. */
	private readonly changes = new WeakMap<jobs.ActiveJob, number>();
	private waiters: Waiter[] = [];
	/** Halves of refused batches. Each half is a write of its own, so that in the end the refused job is written alone. */
	private splitBatches: jobs.ActiveJob[][] = [];
	/** Number of the newest change of any job. */
	private lastChange = 0;
	/** Number of writes under way. */
	private writes = 0;
	/** Duration of the newest successful write, in milliseconds. */
	private writeMs = 0;
	/** The next write is scheduled. */
	private isWriteScheduled = false;
	private closed = false;

	private constructor(private readonly opts: SaverOptions) {}

	static create(opts: SaverOptions): ProgressSaver {
		return new ProgressSaver(opts);
	}

	/** Marks a job as changed. `awaited`: somebody waits for the change to be stored, which is always so for a job's end. */
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

	/**
	 * Schedules the next write, unless the writes under way suffice: immediately for a full batch, otherwise after a delay.
	 */
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

	/** Whether a write should begin: the first write for any change, another one only for a full batch. */
	private needsWrite(): boolean {
		return this.writes === 0 ? this.dirty.size > 0 : this.writes < this.writesAllowed && this.hasFullBatch;
	}

	/**
	 * Number of writes that may be under way: enough to write everything that waits within the time left, given how long the
	 * newest write took.
	 */
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

	/** The jobs of the next write. A job that was refused before is written alone. */
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

	/** Marks the jobs of a failed write as changed again. `batch`: the clock time since which each job has waited. */
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
		// A conflict makes the stored versions known again, so the next write need not wait.
		if (outcome === 'failed') await clocks.sleep(this.opts.clock, retryMs);
	}

	private splitBatch(batch: jobs.ActiveJob[]): void {
		const middle = Math.ceil(batch.length / 2);
		this.splitBatches.push(batch.slice(0, middle), batch.slice(middle));
	}

	/** Postpones a job whose progress was refused when it was written alone. The other jobs go on without it. */
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

	/** Resolves the waiters whose changes are all stored. */
	private resolveWaiters(saved: Batch): void {
		const stillWaiting: Waiter[] = [];
		for (const waiter of this.waiters) {
			for (const [job, change] of saved) {
				// A change made during this write waits for the next one.
				if ((waiter.missing.get(job) ?? Infinity) <= change) waiter.missing.delete(job);
			}
			if (waiter.missing.size === 0) waiter.done();
			else stillWaiting.push(waiter);
		}
		this.waiters = stillWaiting;
	}
}

/**
 * Chooses the jobs of the next write: those changed longest ago, where jobs that somebody waits for count as changed
 * `awaitedHeadStartMs` earlier. `dirty`: clock times of the changes.
 */
export function chooseBatch<T>(dirty: ReadonlyMap<T, number>, awaited: ReadonlySet<T>): T[] {
	const others = [...dirty.keys()].filter((one) => !awaited.has(one));
	const sortKeyOf = (one: T): number => (dirty.get(one) ?? 0) + (awaited.has(one) ? 0 : awaitedHeadStartMs);
	return [...awaited, ...others]
		.sort((a, b) => sortKeyOf(a) - sortKeyOf(b))
		.slice(0, ledger.maxProgressPerWrite);
}

/** The saver of an owner, which logs what can't be saved. */
export function createForOwner(
	opts: Pick<types.DispatchDeps, 'clock' | 'events' | 'epoch' | 'onFenced'> & { saveProgress: SaveProgress },
): ProgressSaver {
	const { clock, events, epoch } = opts;
	return ProgressSaver.create({
		clock,
		save: opts.saveProgress,
		onSaved: (job, state) => {
			job.storedState = state;
		},
		onSuperseded: opts.onFenced,
		onRefused: (job) => {
			events.emit('progress.refused', { job: job.id, epoch });
		},
		onFailure: (outcome) => {
			events.emit('progress.unsaved', { epoch, reason: outcome });
		},
	});
}
