/** Faults of workers and of the store's list of workers. */
import * as boxFaults from './box-faults.js';
import * as random from '../random.js';
import type * as worlds from './world.js';

/** Maximum number of workers that crash at one time: half of the usual six. */
const mostCrashed = 3;

/** How long the entries of crashed incarnations stay listed, in milliseconds: about three heartbeats. */
const listedMs = 4_500;

/** Crashes some workers. Their next incarnations start at the same addresses. */
function crash(world: worlds.World, next: () => number): string {
	const count = random.between(next, 1, Math.min(mostCrashed, world.workers.length));
	const crashed = Array.from({ length: count }, () => random.pick(next, world.workers));
	const named = crashed.map((worker) => {
		const before = worker.id;
		world.replaceWorker(worker);
		return `${before} (now ${worker.id})`;
	});
	return named.join(', ');
}

/** Makes the store forget its history, so that every box reads its lists again. */
export function forget(world: worlds.World): string {
	world.platform.store.forget();
	return 'the store';
}

/** Faults that make an owner read the list of workers again. */
const rereads: worlds.Fault[] = [
	forget,
	boxFaults.killOwner,
	(world) => {
		world.platform.store.drop('woodcross/owner');
		return 'owner';
	},
];

/** Crashes workers, and has the list read while it holds both incarnations of each. */
async function crashAndReread(world: worlds.World, next: () => number, forMs: number): Promise<string> {
	const where = crash(world, next);
	const reread = random.pick(next, rereads);
	await world.sleep(random.between(next, 0, listedMs));
	return `${where}, ${await reread(world, next, forMs)}`;
}

/**
 * Bounds of a reduced capacity, in thousandths of a core. The reduction outlasts the duration of the fault by the time that
 * it takes to count, in milliseconds.
 */
const leastShrunk = 4_000;
const mostShrunk = 24_000;
const longerMs = 4_500;

/** Reduces the capacity of a worker for a while, once at a time. */
export async function shrink(world: worlds.World, next: () => number, forMs: number): Promise<string> {
	const worker = random.pick(next, world.workers);
	const milliCores = random.between(next, leastShrunk, mostShrunk);
	if (worker.shrunk !== undefined) return boxFaults.nowhere;
	await world.shrink(worker, milliCores, forMs + longerMs);
	return `${worker.id} to ${String(milliCores)}`;
}

/** An evacuation lasts at least this long, in milliseconds: longer than the time after which it has to be in effect. */
const heededAfterMs = 5_500;

/** Evacuates the workers' zone and reopens it, once at a time. */
export async function evacuate(world: worlds.World, _next: () => number, forMs: number): Promise<string> {
	if (world.evacuatedAt !== undefined) return boxFaults.nowhere;
	await world.evacuate(heededAfterMs + forMs);
	return 'all workers';
}

/** Maximum time for which a restarting worker is down, in milliseconds: from at once to as long as after a crash. */
const mostDownMs = 3_000;

/** Restarts some workers under their names, one after the other or at once. */
async function restart(world: worlds.World, next: () => number): Promise<string> {
	const count = random.between(next, 1, Math.min(mostCrashed, world.workers.length));
	const names: string[] = [];
	for (let index = 0; index < count; index += 1) {
		const { id } = random.pick(next, world.workers);
		const life = world.platform.fleet.workers.get(id);
		if (life === undefined) continue;
		world.takeDown(life, random.between(next, 1, mostDownMs));
		names.push(id);
		if (next() < 0.5) await world.sleep(random.between(next, 1, mostDownMs));
	}
	return names.length === 0 ? boxFaults.nowhere : names.join(', ');
}

/** Faults that the fifth set adds, by name. */
export const restarts: Record<string, worlds.Fault> = {
	'worker-restarted': restart,
	// A second entry makes restarts twice as frequent as other faults.
	'worker-restarted-again': restart,
};

/** Faults of the second and later sets, by name. */
export const faults: Record<string, worlds.Fault> = {
	'worker-crashed': crash,
	'worker-crashed-and-list-read': crashAndReread,
};
