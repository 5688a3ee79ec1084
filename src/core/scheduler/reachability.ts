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
export interface TimingOptions {
	leaseMs: number;
	horizonMs: number;
	marginMs: number;
	maxClockDrift: number;
	unreachableMs: number;
}

/** A lease given now, in the worker's time, ends within this many milliseconds of the owner's time. */
export function maxLeaseMs(opts: TimingOptions): number {
	return opts.leaseMs * (1 + opts.maxClockDrift);
}

/**
 * When a silent worker's batch tasks are proved stopped, on the owner's clock.
 * Leases given by this owner end by `leaseEndsBy`. Leases given by owners before it end a lease after the horizon of
 * the last entry that one of them can have committed, which is older than the takeover; once the worker has accepted
 * this epoch they can't reach it, and `leaseEndsBy` covers them.
 */
export function provenStoppedAt(view: types.WorkerView, takeover: Takeover, opts: TimingOptions): number {
	const horizon = takeover.released ? 0 : opts.horizonMs * (1 + opts.maxClockDrift);
	const earlierLeasesEndBy = view.fenced ? -Infinity : takeover.at + horizon + maxLeaseMs(opts);
	return Math.max(view.leaseEndsBy, earlierLeasesEndBy) + opts.marginMs;
}

/** Whether a worker has been silent for too long to count on. */
export function isUnreachable(
	view: types.WorkerView,
	takeover: Takeover,
	opts: TimingOptions,
	now: number,
): boolean {
	return now - Math.max(view.lastAnswerAt, takeover.at) > opts.unreachableMs;
}

/** Changes that follow from a worker's silence at time `now`. */
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
	// Off the list and past every lease: nobody will ever confirm its held places. Should it come back, what still
	// runs there is counted against it by its own report (see boxesOf) and stopped.
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

/** A service replica may exist twice for a while, so it is replaced at once; its place stays held. */
function lostChange(task: shards.TaskRecord, view: types.WorkerView, isService: boolean): shards.Change {
	const report = view.reports.get(task.id);
	const checkpoint = report?.attempt === task.attempt ? report.checkpoint : undefined;
	const proof = isService
		? 'the worker is unreachable; its place stays held'
		: 'every lease on the worker has ended';
	return { type: 'task.lost', task: task.id, attempt: task.attempt, checkpoint, proof, holds: isService };
}
