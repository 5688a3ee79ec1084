/**
 * Handles workers whose measured use exceeds their capacity: throttles batch tasks for cores, evicts them for memory. Pure.
 */
import * as fit from './fit.js';
import type * as types from './types.js';

/** Smallest part of its cores that a throttled task keeps. */
const leastShare = 0.1;

/** Throttles and evictions for one worker; `throttles` maps a task to the part of its cores that it may use. */
export interface Relief {
	throttles: Map<string, number>;
	evictions: { task: string; reason: string }[];
}

/**
 * Throttles all batch tasks by the same factor until the sum of cores fits. Evicts batch tasks where throttling is not
 * enough or memory exceeds the capacity: non-urgent tasks first, then those that lose the least progress.
 */
export function relieve(box: types.Box, lossOf: (task: string) => number): Relief {
	const relief: Relief = { throttles: new Map(), evictions: [] };
	const batch = box.residents.filter((resident) => resident.kind === 'batch');
	batch.sort((a, b) => Number(a.urgent) - Number(b.urgent) || lossOf(a.task) - lossOf(b.task));
	const left = { ...box, residents: [...box.residents] };
	const over = (): { cores: number; memoryMb: number } => {
		const sum = fit.used(left);
		return { cores: sum.cores - box.capacity.cores, memoryMb: sum.memoryMb - box.capacity.memoryMb };
	};
	for (const resident of batch) {
		if (over().memoryMb <= 0 && coresFitThrottled(left, over().cores)) break;
		left.residents = left.residents.filter((one) => one !== resident);
		relief.evictions.push({ task: resident.task, reason: 'measured use outgrew the worker' });
	}
	throttleEvenly(left, over().cores, relief);
	return relief;
}

function batchCores(box: types.Box): number {
	const batch = box.residents.filter((resident) => resident.kind === 'batch');
	return batch.reduce((sum, resident) => sum + resident.amount.cores, 0);
}

function coresFitThrottled(box: types.Box, over: number): boolean {
	return over <= batchCores(box) * (1 - leastShare);
}

function throttleEvenly(box: types.Box, over: number, relief: Relief): void {
	const cores = batchCores(box);
	if (over <= 0 || cores === 0) return;
	const share = Math.max(leastShare, 1 - over / cores);
	for (const resident of box.residents) {
		if (resident.kind === 'batch') relief.throttles.set(resident.task, share);
	}
}
