/** Faults of workers and of what the store lists of them. */
import * as boxFaults from './box-faults.js';
import * as random from '../random.js';
import type * as environments from './environment.js';

/** At one time so many workers crash at most: half of the usual six. */
const maxCrashed = 3;

/** The entries of dead lives stay listed for about so long, in milliseconds: three heartbeats. */
const staleEntryMs = 4_500;

/** Some workers crash, and their next lives come at the same addresses. */
function crashWorkers(environment: environments.Environment, nextRandom: () => number): string {
	const count = random.between(nextRandom, 1, Math.min(maxCrashed, environment.workers.length));
	const crashed = Array.from({ length: count }, () => random.pick(nextRandom, environment.workers));
	const crashedNames = crashed.map((worker) => {
		const previousId = worker.id;
		environment.replaceWorker(worker);
		return `${previousId} (now ${worker.id})`;
	});
	return crashedNames.join(', ');
}

/** The store forgets its history: every box reads its lists again. */
export function forget(environment: environments.Environment): string {
	environment.platform.store.forget();
	return 'the store';
}

/** What makes an owner read the list of workers anew. */
const rereadTriggers: environments.Fault[] = [
	forget,
	boxFaults.killOwner,
	(environment) => {
		environment.platform.store.drop('woodcross/owner');
		return 'owner';
	},
];

/** Workers crash, and the list is read while it holds both their lives. */
async function crashAndReread(
	environment: environments.Environment,
	nextRandom: () => number,
	durationMs: number,
): Promise<string> {
	const crashedNames = crashWorkers(environment, nextRandom);
	const triggerReread = random.pick(nextRandom, rereadTriggers);
	await environment.sleep(random.between(nextRandom, 0, staleEntryMs));
	return `${crashedNames}, ${await triggerReread(environment, nextRandom, durationMs)}`;
}

/** A room shrinks to a part of what it was, for longer than that takes to count. */
const minReducedMilliCores = 4_000;
const maxReducedMilliCores = 24_000;
const extraReducedMs = 4_500;

/** A worker's room shrinks and grows again; once at a time. */
export async function reduceCapacity(
	environment: environments.Environment,
	nextRandom: () => number,
	durationMs: number,
): Promise<string> {
	const worker = random.pick(nextRandom, environment.workers);
	const milliCores = random.between(nextRandom, minReducedMilliCores, maxReducedMilliCores);
	if (worker.reducedCapacity !== undefined) return boxFaults.notInjected;
	await environment.reduceCapacity(worker, milliCores, durationMs + extraReducedMs);
	return `${worker.id} to ${String(milliCores)}`;
}

/** An evacuation outlasts the time after which it has to be heeded by so long at least, in milliseconds. */
const evacuationEffectiveMs = 5_500;

/** The workers' zone is evacuated and taken back; once at a time. */
export async function evacuateZone(
	environment: environments.Environment,
	_next: () => number,
	durationMs: number,
): Promise<string> {
	if (environment.evacuatedAt !== undefined) return boxFaults.notInjected;
	await environment.evacuate(evacuationEffectiveMs + durationMs);
	return 'all workers';
}

/** A worker that restarts is down for so long at most, in milliseconds: from at once to as long as after a crash. */
const maxDownMs = 3_000;

/** Some workers start again under the names that they had, one after the other or at once. */
async function restartWorkers(
	environment: environments.Environment,
	nextRandom: () => number,
): Promise<string> {
	const count = random.between(nextRandom, 1, Math.min(maxCrashed, environment.workers.length));
	const names: string[] = [];
	for (let index = 0; index < count; index += 1) {
		const { id } = random.pick(nextRandom, environment.workers);
		const incarnation = environment.platform.fleet.workers.get(id);
		if (incarnation === undefined) continue;
		environment.crashWorker(incarnation, random.between(nextRandom, 1, maxDownMs));
		names.push(id);
		if (nextRandom() < 0.5) await environment.sleep(random.between(nextRandom, 1, maxDownMs));
	}
	return names.length === 0 ? boxFaults.notInjected : names.join(', ');
}

/** By name, for the fifth set. */
export const restartFaults: Record<string, environments.Fault> = {
	'worker-restarted': restartWorkers,
	// Twice as often as other faults.
	'worker-restarted-again': restartWorkers,
};

/** By name, for the sets of faults. */
export const faults: Record<string, environments.Fault> = {
	'worker-crashed': crashWorkers,
	'worker-crashed-and-list-read': crashAndReread,
};
