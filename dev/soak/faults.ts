/**
 * Faults that are injected from outside the processes, in an order that the seed decides. They overlap and come in series.
 */
import * as boxFaults from './box-faults.js';
import * as linkFaults from './link-faults.js';
import * as random from '../random.js';
import * as workerFaults from './worker-faults.js';
import type * as workers from '../../stand-ins/fleet/workers.js';
import * as worlds from './world.js';

/** Interval between the starts of two faults, in milliseconds. Several faults are under way at most times. */
const leastGapMs = 150;
const mostGapMs = 1_100;

/**
 * Duration of a fault, in milliseconds: from a short interruption to more than twice the owner's lease and more than the
 * renewal horizon.
 */
const leastMs = 200;
const mostMs = 6_000;

/**
 * In every set but the first, this fraction of the link faults and pauses of boxes outlasts a worker's lease (10 s). They
 * last from just below a lease to beyond a lease and the horizon that a successor waits for (13.4 s), in milliseconds.
 */
const longPart = 0.25;
const leastLongMs = 9_000;
const mostLongMs = 18_000;

/** Names of the faults that may last that long. */
const mayBeLong = /-link-|^box-paused$/;

/**
 * A series of queue changes: its maximum number of changes, the maximum interval between two of them in milliseconds, and
 * the fraction of the changes that drop a queue.
 */
const mostChanges = 5;
const mostBetweenChangesMs = 900;
const droppedPart = 0.4;

/** The first set. Keep the order: a seed picks faults by position. */
const formerFaults: Record<string, worlds.Fault> = {
	'box-killed': boxFaults.kill,
	'box-stopped': boxFaults.stop,
	'box-paused': boxFaults.pause,
	...linkFaults.storeFaults,
	'store-down': (world, _next, forMs) => storeFault(world, forMs, 'down'),
	'store-loses-answers': (world, _next, forMs) => storeFault(world, forMs, 'lost'),
	'store-writes-late': (world, _next, forMs) => storeFault(world, forMs, 'late'),
	'owner-name-revoked': (world) => {
		world.platform.store.drop('woodcross/owner');
		return 'owner';
	},
	...linkFaults.workerFaults,
	'worker-loses-answers': (world, next, forMs) => workerFault(world, next, forMs, 'lost'),
	'worker-orders-late': (world, next, forMs) => workerFault(world, next, forMs, 'late'),
	'worker-crashed': (world, next) => {
		const worker = random.pick(next, world.workers);
		world.replaceWorker(worker);
		return worker.id;
	},
	'worker-clock-slow': (world, next) => {
		const worker = random.pick(next, world.workers);
		const life = world.platform.fleet.workers.get(worker.id);
		// The slowest clock rate that is stated for the users' workers.
		if (life !== undefined) life.rate = 0.98;
		return worker.id;
	},
	'configuration-changed': (world) => {
		world.configure(`/more-${world.version}/`);
		return `version ${world.version}`;
	},
};

/** The second set. */
const secondFaults: Record<string, worlds.Fault> = {
	...formerFaults,
	'owner-killed': boxFaults.killOwner,
	...linkFaults.pairFaults,
	...workerFaults.faults,
	'store-forgets': workerFaults.forget,
};

/** The third set. */
const thirdFaults: Record<string, worlds.Fault> = {
	...secondFaults,
	...linkFaults.silentFaults,
	'queues-changed': changeQueues,
};

/** The fourth set. */
const fourthFaults: Record<string, worlds.Fault> = { ...thirdFaults, 'worker-shrunk': workerFaults.shrink };

/** The faults of the sets of planned stops. */
const stopFaults: Record<string, worlds.Fault> = {
	'box-stopped': boxFaults.stop,
	'boxes-stopped': boxFaults.stopInSeries,
	'box-killed': boxFaults.kill,
	'box-paused': boxFaults.pause,
	'store-loses-answers': (world, _next, forMs) => storeFault(world, forMs, 'lost'),
};

/** The faults that may be injected, by set. */
const faultSets: Record<worlds.FaultSet, Record<string, worlds.Fault>> = {
	1: formerFaults,
	2: secondFaults,
	3: thirdFaults,
	4: fourthFaults,
	5: { ...fourthFaults, ...workerFaults.restarts },
	6: { ...fourthFaults, ...workerFaults.restarts, 'zone-evacuated': workerFaults.evacuate },
	7: stopFaults,
	8: stopFaults,
};

/** Injects faults until `until` (clock time). Resolves once the last fault has ended. */
export async function inject(
	world: worlds.World,
	next: () => number,
	until: number,
	log: (line: string) => void,
): Promise<void> {
	const open: Promise<void>[] = [];
	const faults = faultSets[world.faults];
	while (world.now() < until) {
		const name = random.pick(next, Object.keys(faults));
		const forMs = lastsMs(world, next, name, until);
		open.push(run(name, world, next, forMs, log));
		await world.sleep(random.between(next, leastGapMs, mostGapMs));
	}
	await Promise.all(open);
}

/** Duration of a fault, in milliseconds. No fault goes on for longer after `until` than a short one could. */
function lastsMs(world: worlds.World, next: () => number, name: string, until: number): number {
	const shortMs = random.between(next, leastMs, mostMs);
	if (world.faults === 1) return shortMs;
	const isLong = next() < longPart;
	const longMs = random.between(next, leastLongMs, mostLongMs);
	const isInTime = world.now() + longMs < until + mostMs;
	return isLong && isInTime && mayBeLong.test(name) ? longMs : shortMs;
}

/** Injects one fault and logs it once it is over. */
async function run(
	name: string,
	world: worlds.World,
	next: () => number,
	forMs: number,
	log: (line: string) => void,
): Promise<void> {
	const startedAt = world.now();
	const at = await faultSets[world.faults][name]?.(world, next, forMs);
	if (at !== boxFaults.nowhere) log(`${name} at ${at ?? ''} for ${Math.round(world.now() - startedAt)} ms`);
}

/** Adds and drops queues one after another, at intervals shorter than the time in which boxes have to know a change. */
async function changeQueues(world: worlds.World, next: () => number): Promise<string> {
	const times = random.between(next, 2, mostChanges);
	const names: string[] = [];
	for (let time = 0; time < times; time += 1) {
		const dropped = next() < droppedPart ? random.pick(next, world.prefixes) : worlds.firstQueue;
		if (dropped === worlds.firstQueue) {
			const added = `/series-${world.version}/`;
			world.configure(added);
			names.push(`+${added}`);
		} else {
			world.dropQueue(dropped);
			names.push(`-${dropped}`);
		}
		await world.sleep(random.between(next, 0, mostBetweenChangesMs));
	}
	return names.join(' ');
}

async function storeFault(
	world: worlds.World,
	forMs: number,
	fault: 'down' | 'lost' | 'late',
): Promise<string> {
	if (world.platform.storeFault !== 'none') return boxFaults.nowhere;
	world.storeTroubledUntil = world.now() + forMs;
	world.platform.storeFault = fault;
	await world.sleep(forMs);
	world.platform.storeFault = 'none';
	return 'the store';
}

async function workerFault(
	world: worlds.World,
	next: () => number,
	forMs: number,
	fault: workers.WorkerFault,
): Promise<string> {
	const { id } = random.pick(next, world.workers);
	const life = world.platform.fleet.workers.get(id);
	if (life === undefined) return boxFaults.nowhere;
	life.fault = fault;
	if (fault === 'late') world.ordersLate(id, forMs);
	await world.sleep(forMs);
	life.fault = 'none';
	return id;
}
