/**
 * Where runs of earlier owners may be that have not been reported to this owner yet. Short tasks are too many to store each
 * start, so they may be on any worker whose entry in the roster does not rule it out. The worker of a long-running task is
 * stored before the task is started there, so a successor waits for that worker only.
 */
import type * as jobs from '../jobs/index.js';
import type * as saver from './progress-saver.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';
import type * as workerPool from './worker-pool.js';

/** Generation of the first owner. */
const firstGeneration = 1;

export interface TaskLocationsOptions {
	workers: workerPool.WorkerPool;
	progress: saver.ProgressSaver;
	/** Generation from which on every owner has stored the workers of long-running tasks. */
	workersStoredSince: number;
}

/** A worker that was lost, and whether it had hung before. */
interface LostWorker {
	session: sessions.WorkerSession;
	wasHung: boolean;
}

/** Where the tasks of one owner's jobs may be. */
export class TaskLocations {
	/** Workers that were lost before they reported what earlier owners had started there, by their ids. */
	private readonly lostUnreportedWorkers = new Map<string, LostWorker>();

	private constructor(private readonly opts: TaskLocationsOptions) {}

	static create(opts: TaskLocationsOptions): TaskLocations {
		return new TaskLocations(opts);
	}

	/** Whether every owner that may have started a job stored the workers of its long-running tasks. */
	areWorkersStored(record: jobs.JobRecord): boolean {
		const since = this.opts.workersStoredSince;
		return since === firstGeneration || record.acceptedUnder >= since;
	}

	/** Whether a run of an inherited task may be on a worker that has not reported to this owner yet. */
	mayHaveUnreportedRun(task: jobs.Task): boolean {
		const { workers } = this.opts;
		if (!isWorkerStored(task)) return workers.mayHaveUnreportedRun(task.name);
		// A worker that is no longer on the roster is proved to run nothing.
		return workers.get(task.worker)?.mayHaveUnreportedRun(task.name) ?? false;
	}

	/** Notes that a worker and everything that ran there is lost. */
	noteLost(session: sessions.WorkerSession): void {
		if (!session.lostBeforeFirstReport) return;
		this.lostUnreportedWorkers.set(session.id, { session, wasHung: session.isHanging });
	}

	/** Outcome of a run that an earlier owner may have started on a worker, and that is not found anywhere. */
	outcomeOn(worker: string): jobs.TryOutcome {
		const lost = this.lostUnreportedWorkers.get(worker);
		if (lost !== undefined) return lost.wasHung ? 'in-doubt' : 'crashed';
		return this.opts.workers.hasReported(worker) ? 'not-started' : 'crashed';
	}

	/**
	 * Whether any worker may have crashed under a run that an earlier owner started and that was never reported to this one.
	 */
	mayHaveCrashed(task: jobs.Task): boolean {
		for (const { session } of this.lostUnreportedWorkers.values())
			if (mayHaveCrashedOn(session, task)) return true;
		return false;
	}

	/** Resolves once the start of a placed task may be sent; undefined: it may be sent at once. */
	storeBeforeStart(place: types.Placement): Promise<void> | undefined {
		// A start after a crash is counted in the store before it is sent: an owner that crashes with the worker would lose
		// the count.
		if (!isWorkerStored(place.task) && place.task.crashes === undefined) return undefined;
		const { job } = place.task.step;
		this.opts.progress.mark(job, true);
		return this.opts.progress.whenStored([job]);
	}
}

/** Whether a worker that was lost before its first report may have crashed under a run of the task. */
export function mayHaveCrashedOn(session: sessions.WorkerSession, task: jobs.Task): boolean {
	if (!task.step.job.inherited || task.run > 0) return false;
	if (isWorkerStored(task)) return session.id === task.worker;
	return session.rosteredTasks?.has(task.name) ?? true;
}

/** Whether a task's worker is stored before each start. */
function isWorkerStored(task: jobs.Task): boolean {
	return task.step.spec.lasting && task.step.job.workersStored;
}
