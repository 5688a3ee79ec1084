/** Faults of workers and of what the store lists of them. */
import * as boxFaults from './box-faults.js';
import * as random from '../random.js';
import type * as worlds from './world.js';

/** At one time so many workers crash at most: half of the usual six. */
const mostCrashed = 3;

/** The entries of dead lives stay listed for about so long, in milliseconds: three heartbeats. */
const listedMs = 4_500;

/** Some workers crash, and their next lives come at the same addresses. */
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

/** The store forgets its history: every box reads its lists again. */
export function forget(world: worlds.World): string {
	world.platform.store.forget();
	return 'the store';
}

/** What makes an owner read the list of workers anew. */
const rereads: worlds.Fault[] = [
	forget,
	boxFaults.killOwner,
	(world) => {
		world.platform.store.drop('woodcross/owner');
		return 'owner';
	},
];

/** Workers crash, and the list is read while it holds both their lives. */
async function crashAndReread(world: worlds.World, next: () => number, forMs: number): Promise<string> {
	const where = crash(world, next);
	const reread = random.pick(next, rereads);
	await world.sleep(random.between(next, 0, listedMs));
	return `${where}, ${await reread(world, next, forMs)}`;
}

/** A room shrinks to a part of what it was, for longer than that takes to count. */
const leastShrunk = 4_000;
const mostShrunk = 24_000;
const longerMs = 4_500;

/** A worker's room shrinks and grows again; once at a time. */
export async function shrink(world: worlds.World, next: () => number, forMs: number): Promise<string> {
	const worker = random.pick(next, world.workers);
	const milliCores = random.between(next, leastShrunk, mostShrunk);
	if (worker.shrunk !== undefined) return boxFaults.nowhere;
	await world.shrink(worker, milliCores, forMs + longerMs);
	return `${worker.id} to ${String(milliCores)}`;
}

/** An evacuation outlasts the time after which it has to be heeded by so long at least, in milliseconds. */
const heededAfterMs = 5_500;

/** The workers' zone is evacuated and taken back; once at a time. */
export async function evacuate(world: worlds.World, _next: () => number, forMs: number): Promise<string> {
	if (world.evacuatedAt !== undefined) return boxFaults.nowhere;
	await world.evacuate(heededAfterMs + forMs);
	return 'all workers';
}

/** A worker that restarts is down for so long at most, in milliseconds: from at once to as long as after a crash. */
const mostDownMs = 3_000;

/** Some workers start again under the names that they had, one after the other or at once. */
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

/** By name, for the fifth set. */
export const restarts: Record<string, worlds.Fault> = {
	'worker-restarted': restart,
	// Twice as often as other faults.
	'worker-restarted-again': restart,
};

/** By name, for the sets of faults. */
export const faults: Record<string, worlds.Fault> = {
	'worker-crashed': crash,
	'worker-crashed-and-list-read': crashAndReread,
};
