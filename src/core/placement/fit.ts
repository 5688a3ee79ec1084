/** Computes whether a task fits on a worker, and how full the worker would be. */
import type * as types from './types.js';

/** Tolerance for rounding errors in sums of fractional cores. */
const epsilon = 1e-6;

/** The sum of the worker's allocations. */
export function allocated(worker: types.Worker): types.Resources {
	const sum = { cores: 0, memoryMb: 0, accelerators: 0 };
	for (const allocation of worker.allocations) addResources(sum, allocation.resources);
	return sum;
}

/** Adds `amount` to `sum`, in place. */
export function addResources(sum: types.Resources, amount: types.Resources): void {
	sum.cores += amount.cores;
	sum.memoryMb += amount.memoryMb;
	sum.accelerators += amount.accelerators;
}

/** Whether `amount` and `additional` together stay within `limit`. */
export function fitsWithin(
	amount: types.Resources,
	additional: types.Resources,
	limit: types.Resources,
): boolean {
	return (
		amount.cores + additional.cores <= limit.cores + epsilon &&
		amount.memoryMb + additional.memoryMb <= limit.memoryMb + epsilon &&
		amount.accelerators + additional.accelerators <= limit.accelerators + epsilon
	);
}

/** The part of a worker that one job's tasks may use together. */
function jobLimit(worker: types.Worker, share: number): types.Resources {
	return {
		cores: worker.capacity.cores * share,
		memoryMb: worker.capacity.memoryMb * share,
		accelerators: worker.capacity.accelerators,
	};
}

/** Whether the task would fit on the worker if the worker were empty. */
export function fitsWhenEmpty(
	capacity: types.Resources,
	needs: types.Resources,
	maxShareOfBox: number,
): boolean {
	const worker = { id: '', rack: '', capacity, allocations: [] };
	return fitsWithin({ cores: 0, memoryMb: 0, accelerators: 0 }, needs, jobLimit(worker, maxShareOfBox));
}

/** Whether the task fits beside the worker's allocations, within its capacity and within the job's share of it. */
export function fits(task: types.PendingTask, worker: types.Worker): boolean {
	if (!fitsWithin(allocated(worker), task.needs, worker.capacity)) return false;
	const allocatedToJob = { cores: 0, memoryMb: 0, accelerators: 0 };
	for (const allocation of worker.allocations) {
		if (allocation.job === task.job) addResources(allocatedToJob, allocation.resources);
	}
	return fitsWithin(allocatedToJob, task.needs, jobLimit(worker, task.maxShareOfBox));
}

/** Utilization of the most used resource, 0 to 1, with `additional` allocated as well. */
export function maxUtilization(worker: types.Worker, additional: types.Resources): number {
	const sum = allocated(worker);
	addResources(sum, additional);
	const utilization = (amount: number, total: number): number => (total > 0 ? amount / total : 0);
	return Math.max(
		utilization(sum.cores, worker.capacity.cores),
		utilization(sum.memoryMb, worker.capacity.memoryMb),
		utilization(sum.accelerators, worker.capacity.accelerators),
	);
}
