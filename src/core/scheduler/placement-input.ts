/** Builds the input of placement, workers and pending tasks, from the state and the worker views. Pure. */
import * as placement from '../placement/index.js';
import * as reachability from './reachability.js';
import type * as shards from '../shard/index.js';
import type * as types from './types.js';

/** What decides whether a worker accepts new tasks, beside its view and the state. `now` is the owner's monotonic time. */
export interface AvailabilityContext {
	takeover: reachability.Takeover;
	timing: reachability.TimingOptions;
	now: number;
}

/** The workers of the shard, with all allocations on them. */
export function placementWorkers(
	state: shards.ShardState,
	views: ReadonlyMap<string, types.WorkerView>,
	ctx: AvailabilityContext,
): placement.Worker[] {
	const workers = new Map<string, placement.Worker>();
	for (const view of views.values()) {
		const { id, rack, capacity } = view.listed;
		workers.set(id, { id, rack, capacity, allocations: [], closed: closedReason(state, view, ctx) });
	}
	for (const task of state.tasks.values()) {
		if (task.worker !== undefined) addAllocation(state, workers, views, task, task.worker);
		for (const held of task.held) addAllocation(state, workers, views, task, held.worker);
	}
	for (const view of views.values()) addOrphanedRuns(state, workers, view);
	return [...workers.values()];
}

/** Whether a task may hold a placement on a worker. */
export function mayHoldPlacement(state: shards.ShardState, worker: string): boolean {
	const all = [...state.tasks.values()];
	return all.some((task) => task.worker === worker || task.held.some((held) => held.worker === worker));
}

/**
 * Adds runs that a worker reports although the state places nothing there: they use its capacity until they have stopped.
 */
function addOrphanedRuns(
	state: shards.ShardState,
	workers: Map<string, placement.Worker>,
	view: types.WorkerView,
): void {
	const worker = view.listed.id;
	for (const report of view.reports.values()) {
		if (report.state !== 'running') continue;
		const task = state.tasks.get(report.task);
		const isPlacedHere = task?.worker === worker || task?.held.some((held) => held.worker === worker);
		if (isPlacedHere) continue;
		workers.get(worker)?.allocations.push({
			task: report.task,
			job: report.task.replace(/\/\d+$/, ''),
			kind: 'service',
			urgent: false,
			resources: { cores: report.usage?.cores ?? 0, memoryMb: report.usage?.memoryMb ?? 0, accelerators: 0 },
		});
	}
}

/** Tasks to be placed. */
export function pendingTasks(state: shards.ShardState): placement.PendingTask[] {
	const pending: placement.PendingTask[] = [];
	for (const task of state.tasks.values()) {
		if (task.state !== 'pending') continue;
		const job = state.jobs.get(task.job);
		if (job === undefined) continue;
		const { spec } = job.part;
		pending.push({
			task: task.id,
			job: task.job,
			kind: spec.kind,
			urgent: spec.urgent,
			needs: spec.needs,
			maxShareOfBox: spec.maxShareOfBox,
			failedOn: task.failures.map((failure) => failure.worker),
			waitingSince: job.submittedAt,
		});
	}
	return pending;
}

function closedReason(
	state: shards.ShardState,
	view: types.WorkerView,
	ctx: AvailabilityContext,
): string | undefined {
	if (!view.isListed) return 'no longer listed';
	if (view.listed.leaving) return 'leaving';
	if (state.quarantined.has(view.listed.id)) return 'in quarantine';
	if (!view.fenced || view.incarnation === undefined) return 'not reached yet';
	if (reachability.isUnreachable(view, ctx.takeover, ctx.timing, ctx.now)) return 'unreachable';
	return undefined;
}

function addAllocation(
	state: shards.ShardState,
	workers: Map<string, placement.Worker>,
	views: ReadonlyMap<string, types.WorkerView>,
	task: shards.TaskRecord,
	worker: string,
): void {
	const spec = state.jobs.get(task.job)?.part.spec;
	const target = workers.get(worker);
	if (spec === undefined || target === undefined) return;
	const peakUsage = views.get(worker)?.peakUsage.get(task.id);
	const resources = {
		cores: Math.max(spec.needs.cores, peakUsage?.cores ?? 0),
		memoryMb: Math.max(spec.needs.memoryMb, peakUsage?.memoryMb ?? 0),
		accelerators: spec.needs.accelerators,
	};
	target.allocations.push({ task: task.id, job: task.job, kind: spec.kind, urgent: spec.urgent, resources });
}
