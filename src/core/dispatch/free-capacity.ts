/** Checks which workers have free capacity for a task. Reservations decide, and never exceed a worker's capacity. */
import type * as fleet from '../fleet/types.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** Whether a worker has free capacity for one more task of a step. */
export function fitsWithoutReserve(step: jobs.StepInstance, worker: sessions.WorkerSession): boolean {
	return fits(step, worker, 0);
}

/**
 * The `count` workers with the most free cores, of those that can hold one more task of a step once their short tasks end.
 */
export function emptiestWorkers(
	step: jobs.StepInstance,
	workers: sessions.WorkerSession[],
	count: number,
): sessions.WorkerSession[] {
	const freeMilliCores = (worker: sessions.WorkerSession): number =>
		(worker.entry?.capacity.milliCores ?? 0) - worker.used.milliCores;
	const allowed = workers.filter(
		(one) => meetsConstraints(step, one) && fitsBesideLongRunning(step.spec, one),
	);
	return allowed.sort((a, b) => freeMilliCores(b) - freeMilliCores(a)).slice(0, count);
}

/** Whether a worker can hold a task beside its long-running ones, which stay. All other tasks there end sooner or later. */
function fitsBesideLongRunning(spec: jobs.StepSpec, worker: sessions.WorkerSession): boolean {
	const capacity = worker.entry?.capacity;
	const longRunning: fleet.Capacity = {
		milliCores: worker.longRunningMilliCores,
		memoryMb: 0,
		accelerators: 0,
	};
	return capacity !== undefined && fitsCapacity(spec, longRunning, capacity, 0);
}

/** Whether a worker can hold one more task of the step now, and keep `reserveMilliCores` thousandths of a core free. */
export function fits(
	step: jobs.StepInstance,
	worker: sessions.WorkerSession,
	reserveMilliCores: number,
): boolean {
	const capacity = worker.entry?.capacity;
	if (capacity === undefined || worker.runOnProbation !== undefined || !meetsConstraints(step, worker))
		return false;
	return fitsCapacity(step.spec, worker.used, capacity, reserveMilliCores);
}

/** Whether a worker could hold a task if it were empty. */
export function couldHold(spec: jobs.StepSpec, { entry }: sessions.WorkerSession): boolean {
	if (entry === undefined || (spec.requiredLabel !== '' && !entry.labels.includes(spec.requiredLabel)))
		return false;
	const none: fleet.Capacity = { milliCores: 0, memoryMb: 0, accelerators: 0 };
	return fitsCapacity(spec, none, entry.capacity, 0);
}

/** Whether the reservations on a worker exceed its capacity, as that has shrunk since. */
export function isOverCapacity({ used, entry }: sessions.WorkerSession): boolean {
	if (entry === undefined) return false;
	const { milliCores, memoryMb, accelerators } = entry.capacity;
	return used.milliCores > milliCores || used.memoryMb > memoryMb || used.accelerators > accelerators;
}

/** Whether a step's required label and its limit per worker allow one more task there. */
function meetsConstraints(step: jobs.StepInstance, worker: sessions.WorkerSession): boolean {
	const { spec } = step;
	if (spec.requiredLabel !== '' && worker.entry?.labels.includes(spec.requiredLabel) !== true) return false;
	return spec.maxPerWorker === 0 || placedCount(step, worker) < spec.maxPerWorker;
}

/**
 * Whether a task fits beside what is used, with `reserveMilliCores` thousandths of a core left. A preemptible task takes no
 * cores.
 */
function fitsCapacity(
	spec: jobs.StepSpec,
	used: fleet.Capacity,
	capacity: fleet.Capacity,
	reserveMilliCores: number,
): boolean {
	const milliCores = spec.fills ? 0 : spec.milliCores;
	return (
		used.milliCores + milliCores + reserveMilliCores <= capacity.milliCores &&
		used.memoryMb + spec.memoryMb <= capacity.memoryMb &&
		used.accelerators + spec.accelerators <= capacity.accelerators
	);
}

/** Number of tasks of a step that are placed on a worker. */
function placedCount(step: jobs.StepInstance, worker: sessions.WorkerSession): number {
	let count = 0;
	for (const place of worker.placements.values()) if (place.task.step === step) count += 1;
	return count;
}
