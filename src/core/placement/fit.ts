/** Whether and how well a task fits a worker. */
import type * as types from './types.js';

/** Slack for sums of fractions of cores. */
const epsilon = 1e-6;

/** The sum of what residents hold. */
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

/** Whether `amount` and `more` together stay within `limit`. */
export function within(amount: types.Amount, more: types.Amount, limit: types.Amount): boolean {
	return (
		amount.cores + more.cores <= limit.cores + epsilon &&
		amount.memoryMb + more.memoryMb <= limit.memoryMb + epsilon &&
		amount.accelerators + more.accelerators <= limit.accelerators + epsilon
	);
}

/** The part of a worker that one job's tasks may hold together. */
function shareLimit(box: types.Box, share: number): types.Amount {
	return {
		cores: box.capacity.cores * share,
		memoryMb: box.capacity.memoryMb * share,
		accelerators: box.capacity.accelerators,
	};
}

/** Whether the task could ever run on the worker, were it empty. */
export function couldHold(capacity: types.Amount, needs: types.Amount, maxShareOfBox: number): boolean {
	const box = { id: '', rack: '', capacity, residents: [] };
	return within({ cores: 0, memoryMb: 0, accelerators: 0 }, needs, shareLimit(box, maxShareOfBox));
}

/** Whether the task fits beside the residents, within the worker and within its job's share of it. */
export function fits(task: types.Waiting, box: types.Box): boolean {
	if (!within(used(box), task.needs, box.capacity)) return false;
	const ofJob = { cores: 0, memoryMb: 0, accelerators: 0 };
	for (const resident of box.residents) {
		if (resident.job === task.job) add(ofJob, resident.amount);
	}
	return within(ofJob, task.needs, shareLimit(box, task.maxShareOfBox));
}

/** The largest part of any resource in use, 0 to 1, were `more` added. */
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
