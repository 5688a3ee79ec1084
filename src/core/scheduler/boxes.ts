/** Builds the input of placement, workers and pending tasks, from the state and the worker views. Pure. */
import * as placement from '../placement/index.js';
import * as silence from './silence.js';
import type * as shards from '../shard/index.js';
import type * as types from './types.js';

/** What decides whether a worker accepts new tasks, beside its view and the state. `now` is the owner's monotonic time. */
export interface BoxContext {
	takeover: silence.Takeover;
	waits: silence.WaitOptions;
	now: number;
}

/** The workers of the shard, with all allocations on them. */
export function boxesOf(
	state: shards.ShardState,
	views: ReadonlyMap<string, types.WorkerView>,
	ctx: BoxContext,
): placement.Box[] {
	const boxes = new Map<string, placement.Box>();
	for (const view of views.values()) {
		const { id, rack, capacity } = view.listed;
		boxes.set(id, { id, rack, capacity, residents: [], closed: closedWhy(state, view, ctx) });
	}
	for (const task of state.tasks.values()) {
		if (task.worker !== undefined) addResident(state, boxes, views, task, task.worker);
		for (const place of task.held) addResident(state, boxes, views, task, place.worker);
	}
	for (const view of views.values()) addStrays(state, boxes, view);
	return [...boxes.values()];
}

/** Whether a task may hold a placement on a worker. */
export function mayHoldPlace(state: shards.ShardState, worker: string): boolean {
	const all = [...state.tasks.values()];
	return all.some((task) => task.worker === worker || task.held.some((place) => place.worker === worker));
}

/**
 * Adds runs that a worker reports although the state places nothing there: they use its capacity until they have stopped.
 */
function addStrays(
	state: shards.ShardState,
	boxes: Map<string, placement.Box>,
	view: types.WorkerView,
): void {
	const worker = view.listed.id;
	for (const report of view.reports.values()) {
		if (report.state !== 'running') continue;
		const task = state.tasks.get(report.task);
		const placed = task?.worker === worker || task?.held.some((place) => place.worker === worker);
		if (placed) continue;
		boxes.get(worker)?.residents.push({
			task: report.task,
			job: report.task.replace(/\/\d+$/, ''),
			kind: 'service',
			urgent: false,
			amount: { cores: report.usage?.cores ?? 0, memoryMb: report.usage?.memoryMb ?? 0, accelerators: 0 },
		});
	}
}

/** Tasks to be placed. */
export function waitingOf(state: shards.ShardState): placement.Waiting[] {
	const waiting: placement.Waiting[] = [];
	for (const task of state.tasks.values()) {
		if (task.state !== 'pending') continue;
		const job = state.jobs.get(task.job);
		if (job === undefined) continue;
		const { spec } = job.part;
		waiting.push({
			task: task.id,
			job: task.job,
			kind: spec.kind,
			urgent: spec.urgent,
			needs: spec.needs,
			maxShareOfBox: spec.maxShareOfBox,
			failedOn: task.failures.map((failure) => failure.worker),
			since: job.submittedAt,
		});
	}
	return waiting;
}

function closedWhy(state: shards.ShardState, view: types.WorkerView, ctx: BoxContext): string | undefined {
	if (!view.present) return 'no longer listed';
	if (view.listed.leaving) return 'leaving';
	if (state.quarantined.has(view.listed.id)) return 'in quarantine';
	if (!view.fenced || view.incarnation === undefined) return 'not reached yet';
	if (silence.isUnreachable(view, ctx.takeover, ctx.waits, ctx.now)) return 'unreachable';
	return undefined;
}

function addResident(
	state: shards.ShardState,
	boxes: Map<string, placement.Box>,
	views: ReadonlyMap<string, types.WorkerView>,
	task: shards.TaskRecord,
	worker: string,
): void {
	const spec = state.jobs.get(task.job)?.part.spec;
	const box = boxes.get(worker);
	if (spec === undefined || box === undefined) return;
	const peak = views.get(worker)?.peaks.get(task.id);
	const amount = {
		cores: Math.max(spec.needs.cores, peak?.cores ?? 0),
		memoryMb: Math.max(spec.needs.memoryMb, peak?.memoryMb ?? 0),
		accelerators: spec.needs.accelerators,
	};
	box.residents.push({ task: task.id, job: task.job, kind: spec.kind, urgent: spec.urgent, amount });
}
