/** Whether and how well a task fits a worker. */
import type * as types from './types.js';

/** Slack for sums of fractions of cores. */
const epsilon = 1e-6;

/** The sum of what residents hold. */
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

/** Whether `amount` and `more` together stay within `limit`. */
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

/** The part of a worker that one job's tasks may hold together. */
function jobLimit(worker: types.Worker, share: number): types.Resources {
	return {
		cores: worker.capacity.cores * share,
		memoryMb: worker.capacity.memoryMb * share,
		accelerators: worker.capacity.accelerators,
	};
}

/** Whether the task could ever run on the worker, were it empty. */
export function fitsWhenEmpty(
	capacity: types.Resources,
	needs: types.Resources,
	maxShareOfBox: number,
): boolean {
	const worker = { id: '', rack: '', capacity, allocations: [] };
	return fitsWithin({ cores: 0, memoryMb: 0, accelerators: 0 }, needs, jobLimit(worker, maxShareOfBox));
}

/** Whether the task fits beside the residents, within the worker and within its job's share of it. */
export function fits(task: types.PendingTask, worker: types.Worker): boolean {
	if (!fitsWithin(allocated(worker), task.needs, worker.capacity)) return false;
	const allocatedToJob = { cores: 0, memoryMb: 0, accelerators: 0 };
	for (const allocation of worker.allocations) {
		if (allocation.job === task.job) addResources(allocatedToJob, allocation.resources);
	}
	return fitsWithin(allocatedToJob, task.needs, jobLimit(worker, task.maxShareOfBox));
}

/** The largest part of any resource in use, 0 to 1, were `more` added. */
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
