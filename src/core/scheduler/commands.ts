/** Composes what a worker is sent, from the committed state and the worker's newest report. Pure. */
import * as shards from '../shard/index.js';
import * as types from './types.js';
import type * as workers from '../worker/index.js';

/** Evictions and throttles of running tasks. They are not in the log, so a new owner does not know them. */
export interface Wishes {
	/** Why a task is to checkpoint and stop, by task. */
	evictions: ReadonlyMap<string, string>;
	/** Part of its declared cores that a task may use, by task. */
	throttles: ReadonlyMap<string, number>;
}

/** Content of a message to a worker. */
export interface Orders {
	renew: { task: string; attempt: number }[];
	commands: workers.Command[];
}

/**
 * Composes the content of a message to one worker. Skips tasks in `uncommitted`: workers learn nothing before it is
 * committed. With `mayRenew` false (past the horizon), renews no leases, starts nothing, and has batch tasks checkpoint and
 * stop, so that little is lost when their leases end. Workers refuse the starts past `notAfter`, which is on their own
 * clock.
 */
export function ordersFor(
	state: shards.ShardState,
	view: types.WorkerView,
	wishes: Wishes,
	uncommitted: ReadonlySet<string>,
	mayRenew: boolean,
	notAfter: number,
): Orders {
	const orders: Orders = { renew: [], commands: [] };
	for (const task of state.tasks.values()) {
		const here = task.worker === view.listed.id && task.incarnation === view.incarnation;
		if (!here || uncommitted.has(task.id)) continue;
		placedOrders(orders, state, task, view, wishes, mayRenew, notAfter);
	}
	for (const report of view.reports.values()) {
		if (!uncommitted.has(report.task)) strayOrders(orders, state, report, view);
	}
	return orders;
}

/** Workers that have new commands because of committed changes. */
export function workersToTell(state: shards.ShardState, changes: readonly shards.Change[]): Set<string> {
	const told = new Set<string>();
	for (const change of changes) {
		if (change.type === 'task.placed') told.add(change.worker);
		if (change.type === 'job.cancelled') for (const worker of workersOf(state, change.job)) told.add(worker);
	}
	return told;
}

/** Workers on which a job's tasks are placed. */
function workersOf(state: shards.ShardState, job: string): string[] {
	return shards.taskIdsOf(state, job).flatMap((id) => state.tasks.get(id)?.worker ?? []);
}

function placedOrders(
	orders: Orders,
	state: shards.ShardState,
	task: shards.TaskRecord,
	view: types.WorkerView,
	wishes: Wishes,
	mayRenew: boolean,
	notAfter: number,
): void {
	const job = state.jobs.get(task.job);
	if (job === undefined) return;
	const { spec } = job.part;
	const ref = { task: task.id, attempt: task.attempt };
	const report = view.reports.get(task.id);
	const known = report?.attempt === task.attempt;
	if (task.state === 'stopping') {
		if (known && report.state === 'running') orders.commands.push({ type: 'stop', ...ref });
		return;
	}
	if (!known) {
		if (!mayRenew) return;
		const { kind, needs, run } = spec;
		const { checkpoint } = task;
		orders.commands.push({ type: 'start', ...ref, kind, needs, run, checkpoint, notAfter });
		return;
	}
	if (report.state !== 'running') return;
	const pastHorizon = spec.kind === 'batch' && !mayRenew;
	if (pastHorizon || wishes.evictions.has(task.id)) {
		orders.commands.push({ type: 'stop', ...ref });
		return;
	}
	if (spec.kind === 'batch') orders.renew.push(ref);
	const share = wishes.throttles.get(task.id) ?? 1;
	const last = view.throttled.get(types.attemptKey(task.id, task.attempt)) ?? 1;
	if (share !== last) orders.commands.push({ type: 'throttle', ...ref, share });
}

/** Stops attempts that the state does not place on this worker, or acknowledges their exits once they have ended. */
function strayOrders(
	orders: Orders,
	state: shards.ShardState,
	report: workers.TaskReport,
	view: types.WorkerView,
): void {
	const task = state.tasks.get(report.task);
	const current =
		task?.worker === view.listed.id &&
		task.incarnation === view.incarnation &&
		task.attempt === report.attempt;
	if (current) return;
	const type = report.state === 'running' ? 'stop' : 'forget';
	orders.commands.push({ type, task: report.task, attempt: report.attempt });
}
