/** Status and explanations for operators. */
import * as shards from '../shard/index.js';
import type * as placement from '../placement/index.js';
import type * as types from './types.js';

/** A job part in `status`. */
export interface JobStatus {
	id: string;
	kind: 'service' | 'batch';
	state: shards.JobState;
	/** Number of tasks by live state. */
	counts: Record<string, number>;
	submittedAt: number;
	/** Whether a decision about the job or one of its tasks is not stored yet. */
	uncommitted: boolean;
}

/** A worker in `status`. */
export interface WorkerStatus {
	id: string;
	state: string;
	tasks: number;
	silentMs: number;
}

/** A shard in `status`. */
export interface ShardStatus {
	shard: string;
	owner: string;
	epoch: number;
	entries: number;
	jobs: JobStatus[];
	workers: WorkerStatus[];
}

/** A task's state and the reasons for it, shown by `explain`. */
export interface TaskExplanation {
	task: string;
	shard: string;
	state: string;
	attempt: number;
	worker: string;
	why: string;
	/** What the task waits for; empty if it is not pending. */
	waitsFor: string;
	lastEnd: string;
	failures: shards.FailedAttempt[];
	held: shards.HeldPlacement[];
	uncommitted: boolean;
}

/**
 * The state that the worker last reported for the attempt placed on it (`starting` until it reports that attempt), or the
 * committed state if the task is not placed.
 */
export function liveState(task: shards.TaskRecord, views: ReadonlyMap<string, types.WorkerView>): string {
	if (task.state !== 'placed' || task.worker === undefined) return task.state;
	const report = views.get(task.worker)?.reports.get(task.id);
	if (report?.attempt !== task.attempt) return 'starting';
	return report.state;
}

/** The job parts of a shard, with their tasks counted by live state. */
export function jobStatuses(
	state: shards.ShardState,
	views: ReadonlyMap<string, types.WorkerView>,
	uncommitted: ReadonlySet<string>,
): JobStatus[] {
	const statuses: JobStatus[] = [];
	for (const job of state.jobs.values()) {
		const ids = shards.taskIds(job.part);
		const counts: Record<string, number> = {};
		for (const id of ids) {
			const task = state.tasks.get(id);
			if (task === undefined) continue;
			const live = liveState(task, views);
			counts[live] = (counts[live] ?? 0) + 1;
		}
		statuses.push({
			id: job.part.id,
			kind: job.part.spec.kind,
			state: shards.jobState(state, job),
			counts,
			submittedAt: job.submittedAt,
			uncommitted: uncommitted.has(job.part.id) || ids.some((id) => uncommitted.has(id)),
		});
	}
	return statuses;
}

/** The workers of a shard; `now` is the owner's monotonic time. */
export function workerStatuses(
	workers: placement.Worker[],
	views: ReadonlyMap<string, types.WorkerView>,
	now: number,
): WorkerStatus[] {
	return workers.map((worker) => ({
		id: worker.id,
		state: worker.closed ?? 'live',
		tasks: worker.allocations.length,
		silentMs: Math.round(now - (views.get(worker.id)?.lastAnswerAt ?? -Infinity)),
	}));
}

export function explainTask(
	shard: string,
	task: shards.TaskRecord,
	views: ReadonlyMap<string, types.WorkerView>,
	waitsFor: ReadonlyMap<string, string>,
	uncommitted: ReadonlySet<string>,
): TaskExplanation {
	const pending = task.state === 'pending';
	return {
		task: task.id,
		shard,
		state: liveState(task, views),
		attempt: task.attempt,
		worker: task.worker ?? '',
		why: pending ? '' : (task.why ?? ''),
		waitsFor: pending ? (waitsFor.get(task.id) ?? 'waits for the next placement round') : '',
		lastEnd: task.ended ?? '',
		failures: task.failures,
		held: task.held,
		uncommitted: uncommitted.has(task.id) || uncommitted.has(task.job),
	};
}
