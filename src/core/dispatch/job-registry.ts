/** The jobs that the owner knows: their states as callers are told, times that come due, and clearing away. */
import * as jobs from '../jobs/index.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as ledger from '../ledger/index.js';

/** Ended jobs cleared from the store in one write: three keys each of 32. */
const deletesPerWrite = 10;

/** A job is known for so long after it was cleared from the store, in milliseconds: a list asked for before may name it. */
const keepDeletedMs = 10_000;

/** Settings of a book. */
export interface JobRegistryOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	/** A finished job's state is kept this long, in milliseconds. */
	keepStateMs: number;
	clearJobs: (ids: string[]) => Promise<ledger.WriteOutcome>;
	/** Tasks that may be started from now on. */
	onReady: (task: jobs.Task) => void;
}

/** All jobs under one owner. */
export class JobRegistry {
	private readonly jobs = new Map<string, jobs.ActiveJob>();
	/** Scheduled jobs whose next time has not come. */
	private readonly scheduled = new Set<jobs.ActiveJob>();
	/** Jobs that the store keeps no more, with the clock time of that, the longest ago first. */
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

	/** Takes in a job that an earlier owner may have started (`inherited`), or none. */
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

	/** The task of that name; of a job that ended under an earlier owner only if a run of it was there. */
	findTask(name: string): jobs.Task | undefined {
		return this.find(name, (job) => !job.ended);
	}

	/** The task of a run that is there, also of a job that has long ended: how much it takes is needed. */
	findTaskOfRun(name: string): jobs.Task | undefined {
		return this.find(name, () => true);
	}

	/** How a job stands; undefined: not known here. */
	stateOf(id: string): jobs.JobState | undefined {
		const job = this.jobs.get(id);
		if (job === undefined) return undefined;
		if (job.cancelled) return job.storedState === 'completed' ? 'completed' : 'cancelled';
		// An end is told once it is stored: a successor must not run the job again.
		if (job.ended && job.storedState !== job.state) return 'running';
		return job.state;
	}

	/** How a job stands, and why it has failed; undefined: not known here. */
	viewOf(id: string): jobs.JobView | undefined {
		const state = this.stateOf(id);
		const failure = this.jobs.get(id)?.failure ?? '';
		return state && { state, ...(state === 'failed' && failure !== '' && { failure }) };
	}

	/** Jobs that an earlier owner may have started and that have not ended. */
	unfinishedInherited(): jobs.ActiveJob[] {
		return [...this.jobs.values()].filter((job) => job.inherited && !job.ended);
	}

	/** Tasks that have not finished, by the priority of their jobs; lasting ones never do, and are left out. */
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

	/** Jobs of a queue of which no task has begun. */
	pendingOf(queue: string): number {
		let count = 0;
		for (const job of this.jobs.values())
			if (job.record.queue.name === queue && job.state === 'pending') count += 1;
		return count;
	}

	/** A job has ended: no more of its times come. */
	markEnded(job: jobs.ActiveJob, state: jobs.JobState): void {
		job.state = state;
		job.endedAt = this.opts.clock.wall();
		this.scheduled.delete(job);
		this.opts.events.emit('job.ended', { job: job.id, reason: state });
	}

	/** To be called now and then: opens times that have come, clears away what ended long ago. */
	tick(): void {
		for (const job of [...this.scheduled]) this.openOccurrences(job);
		this.deleteOld();
	}

	/** A worker knows tasks of times that an owner has begun; they are made now if `mayMake` says so. */
	private find(name: string, mayOpen: (job: jobs.ActiveJob) => boolean): jobs.Task | undefined {
		const parsed = jobs.parseTaskName(name);
		const job = parsed && this.jobs.get(parsed.job);
		if (parsed === undefined || job === undefined) return undefined;
		if (mayOpen(job) && job.noteOccurrenceStarted(parsed.occurrence)) this.openOccurrences(job);
		return job.findTask(parsed.occurrence, parsed.step, parsed.index);
	}

	/** Makes the tasks of every time that has come. */
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

	/** Forgets jobs that ended long ago, in the store and then here: one that is stored and not known would run again. */
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
		// Without an answer they are tried again: clearing twice changes nothing.
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
