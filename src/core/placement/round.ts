/** One round of placement: takes pending tasks in order of urgency and places each on the best worker that fits. */
import * as fit from './fit.js';
import type * as types from './types.js';

/** Settings of a round. */
export interface RoundOptions {
	score: types.Score;
	/** Upper bound of placements in one round; the remaining tasks wait for the next round. */
	maxPlacements: number;
	/** Tasks that are being evicted and still hold their placements. */
	evicting: ReadonlySet<string>;
}

/**
 * Orders urgent tasks before services, and services before batch tasks; within a class, the longest waiting task comes
 * first.
 */
export function queueOrder(a: types.PendingTask, b: types.PendingTask): number {
	return urgencyRank(a) - urgencyRank(b) || a.waitingSince - b.waitingSince || (a.task < b.task ? -1 : 1);
}

function urgencyRank(task: types.PendingTask): number {
	if (task.urgent) return 0;
	return task.kind === 'service' ? 1 : 2;
}

/**
 * Places the tasks of `pending`. Adds each placement to its worker's allocations, so that one round never exceeds a worker's
 * capacity.
 */
export function placeRound(
	pending: types.PendingTask[],
	workers: types.Worker[],
	opts: RoundOptions,
): types.RoundResult {
	const round: types.RoundResult = { placements: [], waiting: new Map(), evictions: [] };
	const workerById = new Map(workers.map((worker) => [worker.id, worker]));
	const workerAfterEvictions = new Map(
		workers.map((worker) => [worker.id, withoutEvicted(worker, opts.evicting)]),
	);
	for (const task of [...pending].sort(queueOrder)) {
		if (round.placements.length >= opts.maxPlacements) {
			round.waiting.set(
				task.task,
				`waits for the next round: this one reached its limit of ${opts.maxPlacements} placements`,
			);
			continue;
		}
		const placement = chooseWorker(task, workers, opts.score);
		if (placement !== undefined) {
			round.placements.push(placement);
			workerById.get(placement.box)?.allocations.push(toAllocation(task));
			workerAfterEvictions.get(placement.box)?.allocations.push(toAllocation(task));
			continue;
		}
		const hasPlannedEvictions = task.urgent && planEvictions(task, [...workerAfterEvictions.values()], round);
		round.waiting.set(
			task.task,
			hasPlannedEvictions ? 'waits for batch tasks to be evicted' : waitReason(task, workers),
		);
	}
	return round;
}

/** The worker as it will be when the tasks being evicted have left. */
function withoutEvicted(worker: types.Worker, evicting: ReadonlySet<string>): types.Worker {
	return {
		...worker,
		allocations: worker.allocations.filter((allocation) => !evicting.has(allocation.task)),
	};
}

function toAllocation(task: types.PendingTask): types.Allocation {
	return { task: task.task, job: task.job, kind: task.kind, urgent: task.urgent, resources: task.needs };
}

function chooseWorker(
	task: types.PendingTask,
	workers: types.Worker[],
	score: types.Score,
): types.Placement | undefined {
	const openWorkers = workers.filter((worker) => worker.closed === undefined && fit.fits(task, worker));
	const untriedWorkers = openWorkers.filter((worker) => !task.failedOn.includes(worker.id));
	const candidates = untriedWorkers.length > 0 ? untriedWorkers : openWorkers;
	let best: { box: types.Worker; score: number } | undefined;
	for (const worker of candidates) {
		const scored = { box: worker, score: score(task, worker) };
		if (
			best === undefined ||
			scored.score < best.score ||
			(scored.score === best.score && worker.id < best.box.id)
		) {
			best = scored;
		}
	}
	if (best === undefined) return undefined;
	const why = `score ${best.score.toFixed(3)}, best of ${candidates.length} that fit out of ${workers.length}`;
	return { task: task.task, box: best.box.id, why };
}

/**
 * Plans the eviction of non-urgent batch tasks from the one worker where the fewest have to leave for `task` to fit. Adds
 * `task` to that worker in `workersAfterEvictions`, so that no other urgent task relies on the same capacity. Returns false
 * if evictions on no single worker suffice.
 */
function planEvictions(
	task: types.PendingTask,
	workersAfterEvictions: types.Worker[],
	round: types.RoundResult,
): boolean {
	let best: { box: types.Worker; victims: types.Allocation[] } | undefined;
	for (const worker of workersAfterEvictions) {
		if (worker.closed !== undefined) continue;
		const victims = victimsOn(task, worker);
		if (victims === undefined) continue;
		if (best === undefined || victims.length < best.victims.length) best = { box: worker, victims };
	}
	if (best === undefined) return false;
	const { box: worker, victims } = best;
	worker.allocations = [
		...worker.allocations.filter((allocation) => !victims.includes(allocation)),
		toAllocation(task),
	];
	const reason = `evicted for urgent task ${task.task}`;
	round.evictions.push(...victims.map((victim) => ({ task: victim.task, reason })));
	return true;
}

function victimsOn(task: types.PendingTask, worker: types.Worker): types.Allocation[] | undefined {
	const victims: types.Allocation[] = [];
	const remaining = { ...worker };
	const evictable = worker.allocations
		.filter((allocation) => allocation.kind === 'batch' && !allocation.urgent)
		.sort((a, b) => b.resources.cores - a.resources.cores || (a.task < b.task ? -1 : 1));
	for (const allocation of evictable) {
		if (fit.fits(task, remaining)) break;
		remaining.allocations = remaining.allocations.filter((one) => one !== allocation);
		victims.push(allocation);
	}
	return fit.fits(task, remaining) ? victims : undefined;
}

function waitReason(task: types.PendingTask, workers: types.Worker[]): string {
	const openWorkers = workers.filter((worker) => worker.closed === undefined);
	if (openWorkers.length === 0) {
		const reasons = [...new Set(workers.map((worker) => worker.closed))].join(', ');
		return workers.length === 0 ? 'no workers are listed' : `no worker accepts work: ${reasons}`;
	}
	const largeEnough = openWorkers.filter((worker) =>
		fit.fitsWhenEmpty(worker.capacity, task.needs, task.maxShareOfBox),
	);
	if (largeEnough.length === 0) return `none of ${openWorkers.length} workers is large enough`;
	return `waits for free capacity on one of ${largeEnough.length} workers: needs ${task.needs.cores} cores and ${task.needs.memoryMb} MiB`;
}
