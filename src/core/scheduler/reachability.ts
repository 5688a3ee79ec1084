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
export interface TimingOptions {
	leaseMs: number;
	horizonMs: number;
	marginMs: number;
	maxClockDrift: number;
	unreachableMs: number;
}

/** The longest time on the owner's clock, in milliseconds, that a lease granted now on the worker's clock can last. */
export function maxLeaseMs(opts: TimingOptions): number {
	return opts.leaseMs * (1 + opts.maxClockDrift);
}

/**
 * Time on the owner's clock at which an unresponsive worker's batch tasks are proven stopped. Leases granted by this owner
 * end by `leaseEndsBy`. Earlier owners renew leases only within the horizon of their last committed entry, which is older
 * than the takeover; the leases end one lease time after that horizon. Once the worker has accepted this epoch, earlier
 * owners can't reach it, and `leaseEndsBy` covers their leases.
 */
export function provenStoppedAt(view: types.WorkerView, takeover: Takeover, opts: TimingOptions): number {
	const horizon = takeover.released ? 0 : opts.horizonMs * (1 + opts.maxClockDrift);
	const earlierLeasesEndBy = view.fenced ? -Infinity : takeover.at + horizon + maxLeaseMs(opts);
	return Math.max(view.leaseEndsBy, earlierLeasesEndBy) + opts.marginMs;
}

/** Whether a worker has been unresponsive for longer than `unreachableMs`. */
export function isUnreachable(
	view: types.WorkerView,
	takeover: Takeover,
	opts: TimingOptions,
	now: number,
): boolean {
	return now - Math.max(view.lastAnswerAt, takeover.at) > opts.unreachableMs;
}

/** Changes that follow at time `now` if the worker is unreachable. */
export function unreachableChanges(
	state: shards.ShardState,
	view: types.WorkerView,
	takeover: Takeover,
	opts: TimingOptions,
	now: number,
): shards.Change[] {
	if (!isUnreachable(view, takeover, opts, now)) return [];
	const isProvenStopped = now > provenStoppedAt(view, takeover, opts);
	const changes: shards.Change[] = [];
	for (const task of state.tasks.values()) {
		if (task.worker !== view.listed.id) continue;
		const isService = state.jobs.get(task.job)?.part.spec.kind === 'service';
		if (isService || isProvenStopped) changes.push(lostChange(task, view, isService));
	}
	// A worker that is off the list and past every lease will never confirm its held placements, so they are cleared. If it
	// returns, its report adds what still runs there to its allocations (see `placementWorkers`), and those runs are
	// stopped.
	if (isProvenStopped && !view.isListed) changes.push(...clearedChanges(state, view));
	return changes;
}

function clearedChanges(state: shards.ShardState, view: types.WorkerView): shards.Change[] {
	const worker = view.listed.id;
	return [...state.tasks.values()].flatMap((task) =>
		task.held
			.filter((placement) => placement.worker === worker)
			.map(
				(placement) =>
					({ type: 'place.cleared', task: task.id, attempt: placement.attempt, worker }) as const,
			),
	);
}

/**
 * The loss of a task. A service replica may exist twice for a while, so it is replaced at once and its placement stays held.
 */
function lostChange(task: shards.TaskRecord, view: types.WorkerView, isService: boolean): shards.Change {
	const report = view.reports.get(task.id);
	const checkpoint = report?.attempt === task.attempt ? report.checkpoint : undefined;
	const proof = isService
		? 'the worker is unreachable; its place stays held'
		: 'every lease on the worker has ended';
	return { type: 'task.lost', task: task.id, attempt: task.attempt, checkpoint, proof, holds: isService };
}
