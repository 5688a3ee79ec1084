/** What a worker's silence proves, and when. Pure. */
import type * as types from './types.js';
import type * as shards from '../shard/index.js';

/** When and how this owner took the shard over; times are its monotonic clock. */
export interface Takeover {
	/** When the takeover entry was acknowledged. */
	at: number;
	/** Whether the owner before had said that it sends nothing more. */
	released: boolean;
}

/** The parts of the settings that the waits are made of, in milliseconds, and the clocks' rate as a part of one. */
export interface WaitOptions {
	leaseMs: number;
	horizonMs: number;
	marginMs: number;
	clockRate: number;
	unreachableMs: number;
}

/** A lease given now, in the worker's time, ends within this many milliseconds of the owner's time. */
export function leaseSpan(opts: WaitOptions): number {
	return opts.leaseMs * (1 + opts.clockRate);
}

/**
 * When a silent worker's batch tasks are proved stopped, on the owner's clock.
 * Leases given by this owner end by `leaseEndsBy`. Leases given by owners before it end a lease after the horizon of
 * the last entry that one of them can have committed, which is older than the takeover; once the worker has accepted
 * this epoch they can't reach it, and `leaseEndsBy` covers them.
 */
export function provedStoppedAt(view: types.WorkerView, takeover: Takeover, opts: WaitOptions): number {
	const horizon = takeover.released ? 0 : opts.horizonMs * (1 + opts.clockRate);
	const before = view.fenced ? -Infinity : takeover.at + horizon + leaseSpan(opts);
	return Math.max(view.leaseEndsBy, before) + opts.marginMs;
}

/** Whether a worker has been silent for too long to count on. */
export function isUnreachable(
	view: types.WorkerView,
	takeover: Takeover,
	opts: WaitOptions,
	now: number,
): boolean {
	return now - Math.max(view.answeredAt, takeover.at) > opts.unreachableMs;
}

/** Changes that follow from a worker's silence at time `now`. */
export function silenceChanges(
	state: shards.ShardState,
	view: types.WorkerView,
	takeover: Takeover,
	opts: WaitOptions,
	now: number,
): shards.Change[] {
	if (!isUnreachable(view, takeover, opts, now)) return [];
	const proved = now > provedStoppedAt(view, takeover, opts);
	const changes: shards.Change[] = [];
	for (const task of state.tasks.values()) {
		if (task.worker !== view.listed.id) continue;
		const service = state.jobs.get(task.job)?.part.spec.kind === 'service';
		if (service || proved) changes.push(lost(task, view, service));
	}
	// Off the list and past every lease: nobody will ever confirm its held places. Should it come back, what still
	// runs there is counted against it by its own report (see boxesOf) and stopped.
	if (proved && !view.present) changes.push(...clearedPlaces(state, view));
	return changes;
}

function clearedPlaces(state: shards.ShardState, view: types.WorkerView): shards.Change[] {
	const worker = view.listed.id;
	return [...state.tasks.values()].flatMap((task) =>
		task.held
			.filter((place) => place.worker === worker)
			.map((place) => ({ type: 'place.cleared', task: task.id, attempt: place.attempt, worker }) as const),
	);
}

/** A service replica may exist twice for a while, so it is replaced at once; its place stays held. */
function lost(task: shards.TaskRecord, view: types.WorkerView, service: boolean): shards.Change {
	const report = view.reports.get(task.id);
	const checkpoint = report?.attempt === task.attempt ? report.checkpoint : undefined;
	const proof = service
		? 'the worker is unreachable; its place stays held'
		: 'every lease on the worker has ended';
	return { type: 'task.lost', task: task.id, attempt: task.attempt, checkpoint, proof, holds: service };
}
