/** Faults of workers and of the store's list of workers. */
import * as boxFaults from './box-faults.js';
import * as random from '../random.js';
import type * as environments from './environment.js';

/** Maximum number of workers that crash at one time: half of the usual six. */
const maxCrashed = 3;

/** How long the entries of crashed incarnations stay listed, in milliseconds: about three heartbeats. */
const staleEntryMs = 4_500;

/** Crashes some workers. Their next incarnations start at the same addresses. */
function crashWorkers(environment: environments.Environment, nextRandom: () => number): string {
	const count = random.randomInteger(nextRandom, 1, Math.min(maxCrashed, environment.workers.length));
	const crashed = Array.from({ length: count }, () => random.pick(nextRandom, environment.workers));
	const crashedNames = crashed.map((worker) => {
		const previousId = worker.id;
		environment.replaceWorker(worker);
		return `${previousId} (now ${worker.id})`;
	});
	return crashedNames.join(', ');
}

/** Makes the store forget its history, so that every box reads its lists again. */
export function forget(environment: environments.Environment): string {
	environment.platform.store.forget();
	return 'the store';
}

/** Faults that make an owner read the list of workers again. */
const rereadTriggers: environments.Fault[] = [
	forget,
	boxFaults.killOwner,
	(environment) => {
		environment.platform.store.remove('woodcross/owner');
		return 'owner';
	},
];

/** Crashes workers, and has the list read while it holds both incarnations of each. */
async function crashAndReread(
	environment: environments.Environment,
	nextRandom: () => number,
	durationMs: number,
): Promise<string> {
	const crashedNames = crashWorkers(environment, nextRandom);
	const triggerReread = random.pick(nextRandom, rereadTriggers);
	await environment.sleep(random.randomInteger(nextRandom, 0, staleEntryMs));
	return `${crashedNames}, ${await triggerReread(environment, nextRandom, durationMs)}`;
}

/**
 * Bounds of a reduced capacity, in thousandths of a core. The reduction outlasts the duration of the fault by the time that
 * it takes to count, in milliseconds.
 */
const minReducedMilliCores = 4_000;
const maxReducedMilliCores = 24_000;
const extraReducedMs = 4_500;

/** Reduces the capacity of a worker for a while, once at a time. */
export async function reduceCapacity(
	environment: environments.Environment,
	nextRandom: () => number,
	durationMs: number,
): Promise<string> {
	const worker = random.pick(nextRandom, environment.workers);
	const milliCores = random.randomInteger(nextRandom, minReducedMilliCores, maxReducedMilliCores);
	if (worker.reducedCapacity !== undefined) return boxFaults.notInjected;
	await environment.reduceCapacity(worker, milliCores, durationMs + extraReducedMs);
	return `${worker.id} to ${String(milliCores)}`;
}

/** An evacuation lasts at least this long, in milliseconds: longer than the time after which it has to be in effect. */
const evacuationEffectiveMs = 5_500;

/** Evacuates the workers' zone and reopens it, once at a time. */
export async function evacuateZone(
	environment: environments.Environment,
	_next: () => number,
	durationMs: number,
): Promise<string> {
	if (environment.evacuatedAt !== undefined) return boxFaults.notInjected;
	await environment.evacuate(evacuationEffectiveMs + durationMs);
	return 'all workers';
}

/** Maximum time for which a restarting worker is down, in milliseconds: from at once to as long as after a crash. */
const maxDownMs = 3_000;

/** Restarts some workers under their names, one after the other or at once. */
async function restartWorkers(
	environment: environments.Environment,
	nextRandom: () => number,
): Promise<string> {
	const count = random.randomInteger(nextRandom, 1, Math.min(maxCrashed, environment.workers.length));
	const names: string[] = [];
	for (let index = 0; index < count; index += 1) {
		const { id } = random.pick(nextRandom, environment.workers);
		const incarnation = environment.platform.fleet.workers.get(id);
		if (incarnation === undefined) continue;
		environment.crashWorker(incarnation, random.randomInteger(nextRandom, 1, maxDownMs));
		names.push(id);
		if (nextRandom() < 0.5) await environment.sleep(random.randomInteger(nextRandom, 1, maxDownMs));
	}
	return names.length === 0 ? boxFaults.notInjected : names.join(', ');
}

/** Faults that the fifth set adds, by name. */
export const restartFaults: Record<string, environments.Fault> = {
	'worker-restarted': restartWorkers,
	// A second entry makes restarts twice as frequent as other faults.
	'worker-restarted-again': restartWorkers,
};

/** Faults of the second and later sets, by name. */
export const faults: Record<string, environments.Fault> = {
	'worker-crashed': crashWorkers,
	'worker-crashed-and-list-read': crashAndReread,
};
