/** Applies committed changes to a shard's state; also replays the log after a takeover. */
import * as results from '../result.js';
import * as tasks from '../task/index.js';
import type * as types from './types.js';

/** Number of failures kept for each task. */
const maxFailuresKept = 20;

/** The state before the first entry. */
export function emptyState(): types.ShardState {
	return {
		n: 0,
		epoch: 0,
		owner: '',
		released: true,
		jobs: new Map(),
		forwarded: new Map(),
		tasks: new Map(),
		quarantined: new Map(),
		claims: new Map(),
	};
}

/** Applies an entry to `state` in place. */
export function applyEntry(state: types.ShardState, entry: types.LogEntry): void {
	results.invariant(entry.n === state.n + 1, `entry ${entry.n} does not follow entry ${state.n}`);
	for (const change of entry.changes) applyChange(state, change, entry.at);
	state.n = entry.n;
}

/** Applies a change to `state` in place; `at` is the entry's wall-clock time. */
export function applyChange(state: types.ShardState, change: types.Change, at: number): void {
	switch (change.type) {
		case 'shard.taken':
			state.epoch = change.epoch;
			state.owner = change.owner;
			state.released = false;
			return;
		case 'shard.released':
			state.released = true;
			return;
		case 'beat':
			return;
		case 'job.submitted':
			addJob(state, change.part, at);
			return;
		case 'job.forwarded':
			state.forwarded.set(change.job, change.to);
			return;
		case 'job.cancelled':
			cancelJob(state, change.job, at);
			return;
		case 'job.dropped':
			dropJob(state, change.job);
			return;
		case 'worker.quarantined':
			state.quarantined.set(change.worker, { incarnation: change.incarnation, evidence: change.evidence });
			return;
		case 'worker.released':
			state.quarantined.delete(change.worker);
			return;
		case 'claim.begun':
			state.claims.set(change.key, {
				key: change.key,
				bodyHash: change.bodyHash,
				holder: change.holder,
				outcome: 'running',
				at,
			});
			return;
		case 'claim.ended':
			endClaim(state, change, at);
			return;
		case 'claims.expired':
			for (const claim of [...state.claims.values()]) {
				if (claim.at < change.before) state.claims.delete(claim.key);
			}
			return;
		default:
			applyTaskChange(state, change, at);
	}
}

/** Ids of the tasks of a job part, in order. */
export function taskIds(part: tasks.JobPart): string[] {
	return Array.from({ length: part.tasks }, (_, index) => `${part.id}/${index}`);
}

/** Ids of a job's tasks; none if the job is unknown. */
export function taskIdsOfJob(state: types.ShardState, job: string): string[] {
	const part = state.jobs.get(job)?.part;
	return part === undefined ? [] : taskIds(part);
}

/** The state of a job, derived from its tasks. */
export function jobState(state: types.ShardState, job: types.JobRecord): types.JobState {
	const all = taskIds(job.part).map((id) => state.tasks.get(id)?.state);
	const hasOpenTask = all.some((one) => one !== undefined && !tasks.taskChart.isFinal(one));
	if (hasOpenTask) return job.cancelled ? 'cancelling' : 'active';
	if (all.includes('failed')) return 'failed';
	return all.includes('cancelled') ? 'cancelled' : 'finished';
}

function addJob(state: types.ShardState, part: tasks.JobPart, at: number): void {
	state.jobs.set(part.id, { part, submittedAt: at, cancelled: false });
	for (const id of taskIds(part)) {
		state.tasks.set(id, {
			id,
			job: part.id,
			state: tasks.taskChart.initial,
			attempt: 0,
			failures: [],
			held: [],
		});
	}
}

function cancelJob(state: types.ShardState, id: string, at: number): void {
	const job = state.jobs.get(id);
	if (job === undefined) return;
	job.cancelled = true;
	for (const taskId of taskIds(job.part)) {
		const task = state.tasks.get(taskId);
		if (task !== undefined && !tasks.taskChart.isFinal(task.state)) applyEvent(state, task, 'cancel', at);
	}
}

function dropJob(state: types.ShardState, id: string): void {
	const job = state.jobs.get(id);
	if (job === undefined) return;
	for (const taskId of taskIds(job.part)) state.tasks.delete(taskId);
	state.jobs.delete(id);
}

function endClaim(
	state: types.ShardState,
	change: Extract<types.Change, { type: 'claim.ended' }>,
	at: number,
): void {
	const claim = state.claims.get(change.key);
	if (claim?.holder !== change.holder) return;
	claim.outcome = change.outcome;
	claim.at = at;
}

type TaskChange = Extract<types.Change, { task: string }>;

function applyTaskChange(state: types.ShardState, change: TaskChange, at: number): void {
	const task = state.tasks.get(change.task);
	results.invariant(task !== undefined, `change ${change.type} of unknown task ${change.task}`);
	switch (change.type) {
		case 'task.placed':
			task.attempt = change.attempt;
			task.worker = change.worker;
			task.incarnation = change.incarnation;
			task.why = change.why;
			applyEvent(state, task, 'place', at);
			return;
		case 'task.finished':
			task.ended = 'finished';
			clearPlacement(task);
			applyEvent(state, task, 'finish', at);
			return;
		case 'task.failed':
			recordFailure(task, change);
			clearPlacement(task);
			applyEvent(state, task, change.final && task.state !== 'stopping' ? 'give-up' : 'fail', at);
			return;
		case 'task.evicted':
			task.checkpoint = change.checkpoint ?? task.checkpoint;
			task.ended = change.reason;
			clearPlacement(task);
			applyEvent(state, task, 'evict', at);
			return;
		case 'task.lost':
			task.checkpoint = change.checkpoint ?? task.checkpoint;
			task.ended = change.proof;
			if (change.holds) holdPlacement(task);
			clearPlacement(task);
			applyEvent(state, task, 'lose', at);
			return;
		case 'task.stopped':
			task.ended = 'cancelled';
			clearPlacement(task);
			applyEvent(state, task, 'stop', at);
			return;
		case 'place.cleared':
			task.held = task.held.filter((placement) => placement.attempt !== change.attempt);
			return;
	}
}

function applyEvent(
	state: types.ShardState,
	task: types.TaskRecord,
	event: tasks.TaskEvent,
	at: number,
): void {
	const next = tasks.taskChart.next(task.state, event);
	results.invariant(
		next !== undefined,
		`task ${task.id} in state ${task.state} does not accept event ${event}`,
	);
	task.state = next;
	if (!tasks.taskChart.isFinal(next)) return;
	const job = state.jobs.get(task.job);
	if (job === undefined) return;
	const newJobState = jobState(state, job);
	if (newJobState !== 'active' && newJobState !== 'cancelling') job.endedAt = at;
}

function recordFailure(task: types.TaskRecord, change: Extract<types.Change, { type: 'task.failed' }>): void {
	task.ended = change.reason;
	const failure = {
		attempt: change.attempt,
		worker: task.worker ?? '',
		incarnation: task.incarnation ?? '',
		reason: change.reason,
	};
	task.failures = [...task.failures, failure].slice(-maxFailuresKept);
}

function holdPlacement(task: types.TaskRecord): void {
	if (task.worker === undefined || task.incarnation === undefined) return;
	task.held.push({ worker: task.worker, incarnation: task.incarnation, attempt: task.attempt });
}

function clearPlacement(task: types.TaskRecord): void {
	delete task.worker;
	delete task.incarnation;
}
