/** Computes whether a task fits on a worker, and how full the worker would be. */
import type * as types from './types.js';

/** Tolerance for rounding errors in sums of fractional cores. */
const epsilon = 1e-6;

/** The sum of the worker's allocations. */
export function used(box: types.Box): types.Amount {
	const sum = { cores: 0, memoryMb: 0, accelerators: 0 };
	for (const resident of box.residents) add(sum, resident.amount);
	return sum;
}

/** Adds `amount` to `sum`, in place. */
export function add(sum: types.Amount, amount: types.Amount): void {
	sum.cores += amount.cores;
	sum.memoryMb += amount.memoryMb;
	sum.accelerators += amount.accelerators;
}

/** Whether `amount` and `additional` together stay within `limit`. */
export function within(amount: types.Amount, more: types.Amount, limit: types.Amount): boolean {
	return (
		amount.cores + more.cores <= limit.cores + epsilon &&
		amount.memoryMb + more.memoryMb <= limit.memoryMb + epsilon &&
		amount.accelerators + more.accelerators <= limit.accelerators + epsilon
	);
}

/** The part of a worker that one job's tasks may use together. */
function shareLimit(box: types.Box, share: number): types.Amount {
	return {
		cores: box.capacity.cores * share,
		memoryMb: box.capacity.memoryMb * share,
		accelerators: box.capacity.accelerators,
	};
}

/** Whether the task would fit on the worker if the worker were empty. */
export function couldHold(capacity: types.Amount, needs: types.Amount, maxShareOfBox: number): boolean {
	const box = { id: '', rack: '', capacity, residents: [] };
	return within({ cores: 0, memoryMb: 0, accelerators: 0 }, needs, shareLimit(box, maxShareOfBox));
}

/** Whether the task fits beside the worker's allocations, within its capacity and within the job's share of it. */
export function fits(task: types.Waiting, box: types.Box): boolean {
	if (!within(used(box), task.needs, box.capacity)) return false;
	const ofJob = { cores: 0, memoryMb: 0, accelerators: 0 };
	for (const resident of box.residents) {
		if (resident.job === task.job) add(ofJob, resident.amount);
	}
	return within(ofJob, task.needs, shareLimit(box, task.maxShareOfBox));
}

/** Utilization of the most used resource, 0 to 1, with `additional` allocated as well. */
export function load(box: types.Box, more: types.Amount): number {
	const sum = used(box);
	add(sum, more);
	const part = (amount: number, of: number): number => (of > 0 ? amount / of : 0);
	return Math.max(
		part(sum.cores, box.capacity.cores),
		part(sum.memoryMb, box.capacity.memoryMb),
		part(sum.accelerators, box.capacity.accelerators),
	);
}
