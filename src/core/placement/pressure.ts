/** What to do where measured use outgrows a worker: throttle batch for cores, evict batch for memory. Pure. */
import * as fit from './fit.js';
import type * as types from './types.js';

/** Least part of its cores that a throttled task keeps. */
const leastShare = 0.1;

/** Decisions for one worker. */
export interface Relief {
	throttles: Map<string, number>;
	evictions: { task: string; reason: string }[];
}

/**
 * Throttles batch tasks evenly until the sum of cores fits; where that is not enough, and where memory overflows,
 * evicts batch tasks, the least progress lost first.
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
