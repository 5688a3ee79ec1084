/** What follows from a worker being unreachable, and when. Pure. */
import type * as types from './types.js';
import type * as shards from '../shard/index.js';

/** When and how this owner took the shard over; times are on its monotonic clock. */
export interface Takeover {
	/** Time at which the takeover entry was acknowledged. */
	at: number;
	/** Whether the previous owner had declared that it sends nothing more. */
	released: boolean;
}

/** The settings that timeouts are computed from, in milliseconds; `maxClockDrift` is a fraction. */
export interface WaitOptions {
	leaseMs: number;
	horizonMs: number;
	marginMs: number;
	clockRate: number;
	unreachableMs: number;
}

/** The longest time on the owner's clock, in milliseconds, that a lease granted now on the worker's clock can last. */
export function leaseSpan(opts: WaitOptions): number {
	return opts.leaseMs * (1 + opts.clockRate);
}

/**
 * Time on the owner's clock at which an unresponsive worker's batch tasks are proven stopped. Leases granted by this owner
 * end by `leaseEndsBy`. Earlier owners renew leases only within the horizon of their last committed entry, which is older
 * than the takeover; the leases end one lease time after that horizon. Once the worker has accepted this epoch, earlier
 * owners can't reach it, and `leaseEndsBy` covers their leases.
 */
export function provedStoppedAt(view: types.WorkerView, takeover: Takeover, opts: WaitOptions): number {
	const horizon = takeover.released ? 0 : opts.horizonMs * (1 + opts.clockRate);
	const before = view.fenced ? -Infinity : takeover.at + horizon + leaseSpan(opts);
	return Math.max(view.leaseEndsBy, before) + opts.marginMs;
}

/** Whether a worker has been unresponsive for longer than `unreachableMs`. */
export function isUnreachable(
	view: types.WorkerView,
	takeover: Takeover,
	opts: WaitOptions,
	now: number,
): boolean {
	return now - Math.max(view.answeredAt, takeover.at) > opts.unreachableMs;
}

/** Changes that follow at time `now` if the worker is unreachable. */
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
	// A worker that is off the list and past every lease will never confirm its held placements, so they are cleared. If it
	// returns, its report adds what still runs there to its allocations (see `placementWorkers`), and those runs are
	// stopped.
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

/**
 * The loss of a task. A service replica may exist twice for a while, so it is replaced at once and its placement stays held.
 */
function lost(task: shards.TaskRecord, view: types.WorkerView, service: boolean): shards.Change {
	const report = view.reports.get(task.id);
	const checkpoint = report?.attempt === task.attempt ? report.checkpoint : undefined;
	const proof = service
		? 'the worker is unreachable; its place stays held'
		: 'every lease on the worker has ended';
	return { type: 'task.lost', task: task.id, attempt: task.attempt, checkpoint, proof, holds: service };
}
