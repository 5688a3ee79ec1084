/** Derives committed changes from a worker's newest report. Pure. */
import * as types from './types.js';
import type * as shards from '../shard/index.js';
import type * as workers from '../worker/index.js';

/** Changes that follow from what the worker reports about `tasks`, the tasks that hold a placement on it. */
export function changesFromReport(
	state: shards.ShardState,
	view: types.WorkerView,
	tasks: readonly shards.TaskRecord[],
): shards.Change[] {
	if (!view.fenced || view.incarnation === undefined) return [];
	const changes: shards.Change[] = [];
	for (const task of tasks) {
		if (task.worker === view.listed.id) changes.push(...placedTaskChanges(state, task, view));
		for (const placement of task.held) changes.push(...heldPlacementChanges(task, placement, view));
	}
	return changes;
}

function placedTaskChanges(
	state: shards.ShardState,
	task: shards.TaskRecord,
	view: types.WorkerView,
): shards.Change[] {
	const report = view.reports.get(task.id);
	const { id, attempt } = task;
	if (task.incarnation !== view.incarnation) {
		const checkpoint = report?.attempt === attempt ? report.checkpoint : undefined;
		const proof = 'the worker came back with a new incarnation';
		return [{ type: 'task.lost', task: id, attempt, checkpoint, proof, holds: false }];
	}
	if (report?.attempt !== attempt) return absentTaskChanges(task, view);
	switch (report.state) {
		case 'running':
			return [];
		case 'finished':
			return [{ type: 'task.finished', task: id, attempt }];
		case 'failed':
			return [failedChange(state, task, report)];
		case 'stopped':
			if (task.state === 'stopping') return [{ type: 'task.stopped', task: id, attempt }];
			return [
				{
					type: 'task.evicted',
					task: id,
					attempt,
					checkpoint: report.checkpoint,
					reason: report.reason ?? 'stopped by the worker',
				},
			];
	}
}

/**
 * Handles a placed task that the worker does not report. A task to be stopped counts as stopped if no start of it can still
 * arrive: the fence refuses everything sent before the answered exchange, but a start sent later may be in flight.
 */
function absentTaskChanges(task: shards.TaskRecord, view: types.WorkerView): shards.Change[] {
	if (task.state !== 'stopping') return [];
	const startSeq = view.lastStartSeq.get(types.attemptKey(task.id, task.attempt)) ?? 0;
	if (startSeq > view.lastAcceptedSeq) return [];
	return [{ type: 'task.stopped', task: task.id, attempt: task.attempt }];
}

function heldPlacementChanges(
	task: shards.TaskRecord,
	placement: shards.HeldPlacement,
	view: types.WorkerView,
): shards.Change[] {
	if (placement.worker !== view.listed.id) return [];
	const report = view.reports.get(task.id);
	const isRunning = report?.attempt === placement.attempt && report.state === 'running';
	if (placement.incarnation === view.incarnation && isRunning) return [];
	return [{ type: 'place.cleared', task: task.id, attempt: placement.attempt, worker: placement.worker }];
}

function failedChange(
	state: shards.ShardState,
	task: shards.TaskRecord,
	report: workers.TaskReport,
): shards.Change {
	const reason = report.reason ?? 'failed';
	const final = isFinalFailure(state, task);
	return { type: 'task.failed', task: task.id, attempt: task.attempt, reason, final };
}

/**
 * Whether a task fails permanently: it failed on `maxFailures` distinct workers that are not in quarantine, or twice as many
 * times where there are too few workers to tell.
 */
function isFinalFailure(state: shards.ShardState, task: shards.TaskRecord): boolean {
	const limit = state.jobs.get(task.job)?.part.spec.maxFailures ?? 1;
	const countedFailures = task.failures.filter((one) => !state.quarantined.has(one.worker));
	const failedWorkers = new Set(countedFailures.map((one) => one.worker));
	if (task.worker !== undefined && !state.quarantined.has(task.worker)) failedWorkers.add(task.worker);
	return failedWorkers.size >= limit || countedFailures.length + 1 >= limit * 2;
}

/** Quarantines workers on which several distinct jobs failed since their boot; releases those that have booted again. */
export function quarantineChanges(
	state: shards.ShardState,
	views: ReadonlyMap<string, types.WorkerView>,
	minFailedJobs: number,
): shards.Change[] {
	const changes: shards.Change[] = [];
	const failedJobs = new Map<string, Set<string>>();
	for (const task of state.tasks.values()) {
		for (const failure of task.failures) {
			if (views.get(failure.worker)?.incarnation !== failure.incarnation) continue;
			const jobs = failedJobs.get(failure.worker) ?? new Set();
			failedJobs.set(failure.worker, jobs.add(task.job));
		}
	}
	for (const [worker, jobs] of failedJobs) {
		const incarnation = views.get(worker)?.incarnation;
		if (jobs.size < minFailedJobs || state.quarantined.has(worker) || incarnation === undefined) continue;
		changes.push({ type: 'worker.quarantined', worker, incarnation, evidence: [...jobs].sort() });
	}
	for (const [worker, quarantine] of state.quarantined) {
		const currentIncarnation = views.get(worker)?.incarnation;
		if (currentIncarnation !== undefined && currentIncarnation !== quarantine.incarnation)
			changes.push({ type: 'worker.released', worker });
	}
	return changes;
}

/** Tasks that hold a placement, by worker. */
export function tasksByWorker(state: shards.ShardState): Map<string, shards.TaskRecord[]> {
	const byWorker = new Map<string, shards.TaskRecord[]>();
	for (const task of state.tasks.values()) {
		const workers = [task.worker, ...task.held.map((placement) => placement.worker)];
		for (const worker of new Set(workers)) {
			if (worker === undefined) continue;
			const workerTasks = byWorker.get(worker) ?? [];
			workerTasks.push(task);
			byWorker.set(worker, workerTasks);
		}
	}
	return byWorker;
}
