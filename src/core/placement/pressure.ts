/**
 * Handles workers whose measured use exceeds their capacity: throttles batch tasks for cores, evicts them for memory. Pure.
 */
import * as fit from './fit.js';
import type * as types from './types.js';

/** Smallest part of its cores that a throttled task keeps. */
const minThrottleShare = 0.1;

/** Throttles and evictions for one worker; `throttles` maps a task to the part of its cores that it may use. */
export interface PressureRelief {
	throttles: Map<string, number>;
	evictions: { task: string; reason: string }[];
}

/**
 * Throttles all batch tasks by the same factor until the sum of cores fits. Evicts batch tasks where throttling is not
 * enough or memory exceeds the capacity: non-urgent tasks first, then those that lose the least progress.
 */
export function relievePressure(
	worker: types.Worker,
	lostProgressOf: (task: string) => number,
): PressureRelief {
	const relief: PressureRelief = { throttles: new Map(), evictions: [] };
	const batch = worker.allocations.filter((allocation) => allocation.kind === 'batch');
	batch.sort(
		(a, b) => Number(a.urgent) - Number(b.urgent) || lostProgressOf(a.task) - lostProgressOf(b.task),
	);
	const remaining = { ...worker, allocations: [...worker.allocations] };
	const excess = (): { cores: number; memoryMb: number } => {
		const sum = fit.allocated(remaining);
		return { cores: sum.cores - worker.capacity.cores, memoryMb: sum.memoryMb - worker.capacity.memoryMb };
	};
	for (const allocation of batch) {
		if (excess().memoryMb <= 0 && fitsWhenThrottled(remaining, excess().cores)) break;
		remaining.allocations = remaining.allocations.filter((one) => one !== allocation);
		relief.evictions.push({ task: allocation.task, reason: 'measured use outgrew the worker' });
	}
	throttleEvenly(remaining, excess().cores, relief);
	return relief;
}

function batchCores(worker: types.Worker): number {
	const batch = worker.allocations.filter((allocation) => allocation.kind === 'batch');
	return batch.reduce((sum, allocation) => sum + allocation.resources.cores, 0);
}

function fitsWhenThrottled(worker: types.Worker, excessCores: number): boolean {
	return excessCores <= batchCores(worker) * (1 - minThrottleShare);
}

function throttleEvenly(worker: types.Worker, excessCores: number, relief: PressureRelief): void {
	const cores = batchCores(worker);
	if (excessCores <= 0 || cores === 0) return;
	const share = Math.max(minThrottleShare, 1 - excessCores / cores);
	for (const allocation of worker.allocations) {
		if (allocation.kind === 'batch') relief.throttles.set(allocation.task, share);
	}
}
