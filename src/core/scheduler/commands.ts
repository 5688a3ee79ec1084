/** Composes what a worker is sent, from the committed state and the worker's newest report. Pure. */
import * as shards from '../shard/index.js';
import * as types from './types.js';
import type * as workers from '../worker/index.js';

/** Evictions and throttles of running tasks. They are not in the log, so a new owner does not know them. */
export interface TaskAdjustments {
	/** Why a task is to checkpoint and stop, by task. */
	evictions: ReadonlyMap<string, string>;
	/** Part of its declared cores that a task may use, by task. */
	throttles: ReadonlyMap<string, number>;
}

/** Content of a message to a worker. */
export interface MessageContent {
	renew: { task: string; attempt: number }[];
	commands: workers.Command[];
}

/**
 * Composes the content of a message to one worker. Skips tasks in `uncommitted`: workers learn nothing before it is
 * committed. With `mayRenew` false (past the horizon), renews no leases, starts nothing, and has batch tasks checkpoint and
 * stop, so that little is lost when their leases end. Workers refuse the starts past `notAfter`, which is on their own
 * clock.
 */
export function composeContent(
	state: shards.ShardState,
	view: types.WorkerView,
	adjustments: TaskAdjustments,
	uncommitted: ReadonlySet<string>,
	mayRenew: boolean,
	notAfter: number,
): MessageContent {
	const content: MessageContent = { renew: [], commands: [] };
	for (const task of state.tasks.values()) {
		const isPlacedHere = task.worker === view.listed.id && task.incarnation === view.incarnation;
		if (!isPlacedHere || uncommitted.has(task.id)) continue;
		addPlacedTaskCommands(content, state, task, view, adjustments, mayRenew, notAfter);
	}
	for (const report of view.reports.values()) {
		if (!uncommitted.has(report.task)) addOrphanCommands(content, state, report, view);
	}
	return content;
}

/** Workers that have new commands because of committed changes. */
export function workersToNotify(state: shards.ShardState, changes: readonly shards.Change[]): Set<string> {
	const affected = new Set<string>();
	for (const change of changes) {
		if (change.type === 'task.placed') affected.add(change.worker);
		if (change.type === 'job.cancelled')
			for (const worker of workersOfJob(state, change.job)) affected.add(worker);
	}
	return affected;
}

/** Workers on which a job's tasks are placed. */
function workersOfJob(state: shards.ShardState, job: string): string[] {
	return shards.taskIdsOfJob(state, job).flatMap((id) => state.tasks.get(id)?.worker ?? []);
}

function addPlacedTaskCommands(
	content: MessageContent,
	state: shards.ShardState,
	task: shards.TaskRecord,
	view: types.WorkerView,
	adjustments: TaskAdjustments,
	mayRenew: boolean,
	notAfter: number,
): void {
	const job = state.jobs.get(task.job);
	if (job === undefined) return;
	const { spec } = job.part;
	const ref = { task: task.id, attempt: task.attempt };
	const report = view.reports.get(task.id);
	const isReported = report?.attempt === task.attempt;
	if (task.state === 'stopping') {
		if (isReported && report.state === 'running') content.commands.push({ type: 'stop', ...ref });
		return;
	}
	if (!isReported) {
		if (!mayRenew) return;
		const { kind, needs, run } = spec;
		const { checkpoint } = task;
		content.commands.push({ type: 'start', ...ref, kind, needs, run, checkpoint, notAfter });
		return;
	}
	if (report.state !== 'running') return;
	const pastHorizon = spec.kind === 'batch' && !mayRenew;
	if (pastHorizon || adjustments.evictions.has(task.id)) {
		content.commands.push({ type: 'stop', ...ref });
		return;
	}
	if (spec.kind === 'batch') content.renew.push(ref);
	const share = adjustments.throttles.get(task.id) ?? 1;
	const lastShare = view.sentShares.get(types.attemptKey(task.id, task.attempt)) ?? 1;
	if (share !== lastShare) content.commands.push({ type: 'throttle', ...ref, share });
}

/** Stops attempts that the state does not place on this worker, or acknowledges their exits once they have ended. */
function addOrphanCommands(
	content: MessageContent,
	state: shards.ShardState,
	report: workers.TaskReport,
	view: types.WorkerView,
): void {
	const task = state.tasks.get(report.task);
	const isCurrent =
		task?.worker === view.listed.id &&
		task.incarnation === view.incarnation &&
		task.attempt === report.attempt;
	if (isCurrent) return;
	const type = report.state === 'running' ? 'stop' : 'forget';
	content.commands.push({ type, task: report.task, attempt: report.attempt });
}
