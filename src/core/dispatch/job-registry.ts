/** The jobs that the owner knows: reports their states to callers, opens due occurrences and deletes old jobs. */
import * as jobs from '../jobs/index.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as ledger from '../ledger/index.js';

/** Ended jobs deleted from the store in one write. Each takes three keys, of 32 in a write. */
const deletesPerWrite = 10;

/**
 * How long a job stays known after it was deleted from the store, in milliseconds. A listing requested before the deletion
 * may still name it.
 */
const keepDeletedMs = 10_000;

/** Options of a registry. */
export interface JobRegistryOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	/** How long the state of an ended job is kept, in milliseconds. */
	keepStateMs: number;
	clearJobs: (ids: string[]) => Promise<ledger.WriteOutcome>;
	/** Called for each task that may be started from now on. */
	onReady: (task: jobs.Task) => void;
}

/** All jobs under one owner. */
export class JobRegistry {
	private readonly jobs = new Map<string, jobs.ActiveJob>();
	/** Scheduled jobs whose next occurrence is not due yet. */
	private readonly scheduled = new Set<jobs.ActiveJob>();
	/** Jobs deleted from the store, each with the clock time of the deletion, oldest first. */
	private readonly deletedAt = new Map<string, number>();
	private isDeleting = false;

	private constructor(private readonly opts: JobRegistryOptions) {}

	static create(opts: JobRegistryOptions): JobRegistry {
		return new JobRegistry(opts);
	}

	/** A job by its id. */
	get(id: string): jobs.ActiveJob | undefined {
		return this.jobs.get(id);
	}

	/** Adds a job and opens its due occurrences. `inherited`: an earlier owner may have started it. */
	add(
		record: jobs.JobRecord,
		progress: jobs.ProgressRecord | undefined,
		opts: Omit<jobs.ActiveJobOptions, 'now' | 'age'>,
	): jobs.ActiveJob {
		const { clock } = this.opts;
		const now = clock.now();
		const age = Math.max(0, clock.wall() - record.acceptedAt);
		const job = jobs.ActiveJob.create(record, progress, { ...opts, now, age });
		this.jobs.set(record.id, job);
		if (job.ended) return job;
		this.opts.events.emit('job.taken', {
			job: job.id,
			queue: record.queue.name,
			ageMs: Math.round(age),
			state: job.state,
		});
		this.openOccurrences(job);
		return job;
	}

	/**
	 * The task of that name. For a job that ended under an earlier owner: only if `findTaskOfRun` was asked for the task's
	 * occurrence before.
	 */
	findTask(name: string): jobs.Task | undefined {
		return this.find(name, (job) => !job.ended);
	}

	/** The task of a reported run, even if its job ended long ago: the run's resource usage has to be counted. */
	findTaskOfRun(name: string): jobs.Task | undefined {
		return this.find(name, () => true);
	}

	/** Current state of a job as callers see it; undefined: the job is not known here. */
	stateOf(id: string): jobs.JobState | undefined {
		const job = this.jobs.get(id);
		if (job === undefined) return undefined;
		if (job.cancelled) return job.storedState === 'completed' ? 'completed' : 'cancelled';
		// An end is reported only once it is stored: otherwise a successor might run the job again.
		if (job.ended && job.storedState !== job.state) return 'running';
		return job.state;
	}

	/** Current state of a job, and why it failed; undefined: the job is not known here. */
	viewOf(id: string): jobs.JobView | undefined {
		const state = this.stateOf(id);
		const failure = this.jobs.get(id)?.failure ?? '';
		return state && { state, ...(state === 'failed' && failure !== '' && { failure }) };
	}

	/** Jobs that an earlier owner may have started and that have not ended. */
	unfinishedInherited(): jobs.ActiveJob[] {
		return [...this.jobs.values()].filter((job) => job.inherited && !job.ended);
	}

	/** Jobs that have not ended. */
	*unfinished(): Iterable<jobs.ActiveJob> {
		for (const job of this.jobs.values()) if (!job.ended) yield job;
	}

	/** Number of unfinished tasks by the priority of their jobs. Long-running tasks never finish and are not counted. */
	outstandingTasks(priorityOf: (job: jobs.ActiveJob) => number): Map<number, number> {
		const owed = new Map<number, number>();
		for (const job of this.jobs.values()) {
			if (job.ended) continue;
			const priority = priorityOf(job);
			for (const { spec, unfinished } of job.steps)
				if (!spec.lasting) owed.set(priority, (owed.get(priority) ?? 0) + unfinished);
		}
		return owed;
	}

	/** Number of a queue's jobs of which no task has begun. */
	pendingOf(queue: string): number {
		let count = 0;
		for (const job of this.jobs.values())
			if (job.record.queue.name === queue && job.state === 'pending') count += 1;
		return count;
	}

	/** Marks a job as ended. Its scheduled occurrences are not opened any more. */
	markEnded(job: jobs.ActiveJob, state: jobs.JobState): void {
		job.state = state;
		job.endedAt = this.opts.clock.wall();
		this.scheduled.delete(job);
		this.opts.events.emit('job.ended', { job: job.id, reason: state });
	}

	/** Opens due occurrences and deletes jobs that ended long ago. Called periodically. */
	tick(): void {
		for (const job of [...this.scheduled]) this.openOccurrences(job);
		this.deleteOld();
	}

	/**
	 * Finds a task by name. A worker may name a task of an occurrence that an earlier owner opened: that occurrence is
	 * opened here if `mayOpen` allows it.
	 */
	private find(name: string, mayOpen: (job: jobs.ActiveJob) => boolean): jobs.Task | undefined {
		const parsed = jobs.parseTaskName(name);
		const job = parsed && this.jobs.get(parsed.job);
		if (parsed === undefined || job === undefined) return undefined;
		if (mayOpen(job) && job.noteOccurrenceStarted(parsed.occurrence)) this.openOccurrences(job);
		return job.findTask(parsed.occurrence, parsed.step, parsed.index);
	}

	/** Creates the tasks of every due occurrence. */
	private openOccurrences(job: jobs.ActiveJob): void {
		const { clock } = this.opts;
		for (;;) {
			const due = job.nextDueAt();
			if (due === undefined) {
				this.scheduled.delete(job);
				return;
			}
			if (due > clock.wall()) {
				this.scheduled.add(job);
				return;
			}
			for (const task of job.openNextOccurrence(clock.now())) this.opts.onReady(task);
		}
	}

	/**
	 * Deletes jobs that ended long ago, first from the store and later here: a job that is stored but not known here would
	 * run again.
	 */
	private deleteOld(): void {
		this.removeDeleted();
		if (this.isDeleting) return;
		const before = this.opts.clock.wall() - this.opts.keepStateMs;
		const old: string[] = [];
		for (const job of this.jobs.values()) {
			if (old.length >= deletesPerWrite) break;
			const isOld = job.isEndStored && job.endedAt < before;
			if (isOld && !this.deletedAt.has(job.id)) old.push(job.id);
		}
		if (old.length > 0) void this.deleteStored(old);
	}

	private async deleteStored(old: string[]): Promise<void> {
		this.isDeleting = true;
		const outcome = await this.opts.clearJobs(old);
		this.isDeleting = false;
		// Without a confirmed write the next tick tries again: deleting twice changes nothing.
		if (outcome !== 'committed') return;
		const now = this.opts.clock.now();
		for (const id of old) this.deletedAt.set(id, now);
	}

	private removeDeleted(): void {
		const before = this.opts.clock.now() - keepDeletedMs;
		for (const [id, at] of this.deletedAt) {
			if (at > before) return;
			this.deletedAt.delete(id);
			this.jobs.delete(id);
		}
	}
}
