/**
 * Faults that are injected from outside the processes, in an order that the seed decides. They overlap and come in series.
 */
import * as boxFaults from './box-faults.js';
import * as lastingFaults from './lasting-faults.js';
import * as linkFaults from './link-faults.js';
import * as random from '../random.js';
import * as workerFaults from './worker-faults.js';
import type * as lasting from './lasting-tasks.js';
import type * as workers from '../../stand-ins/fleet/workers.js';
import * as environments from './environment.js';

/** Interval between the starts of two faults, in milliseconds. Several faults are under way at most times. */
const minIntervalMs = 150;
const maxIntervalMs = 1_100;

/**
 * Duration of a fault, in milliseconds: from a short interruption to more than twice the owner's lease and more than the
 * renewal horizon.
 */
const minFaultMs = 200;
const maxFaultMs = 6_000;

/**
 * In every set but the first, this fraction of the link faults and pauses of boxes outlasts a worker's lease (10 s). They
 * last from just below a lease to beyond a lease and the horizon that a successor waits for (13.4 s), in milliseconds.
 */
const longFraction = 0.25;
const minLongFaultMs = 9_000;
const maxLongFaultMs = 18_000;

/** Names of the faults that may last that long. */
const longFaultNames = /-link-|^box-paused$/;

/**
 * A series of queue changes: its maximum number of changes, the maximum interval between two of them in milliseconds, and
 * the fraction of the changes that drop a queue.
 */
const maxQueueChanges = 5;
const maxChangeIntervalMs = 900;
const droppedFraction = 0.4;

/** The first set. Keep the order: a seed picks faults by position. */
const firstFaults: Record<string, environments.Fault> = {
	'box-killed': boxFaults.kill,
	'box-stopped': boxFaults.stop,
	'box-paused': boxFaults.pause,
	...linkFaults.storeFaults,
	'store-down': (environment, _next, durationMs) => injectStoreFault(environment, durationMs, 'down'),
	'store-loses-answers': (environment, _next, durationMs) =>
		injectStoreFault(environment, durationMs, 'lost'),
	'store-writes-late': (environment, _next, durationMs) => injectStoreFault(environment, durationMs, 'late'),
	'owner-name-revoked': (environment) => {
		environment.platform.store.remove('woodcross/owner');
		return 'owner';
	},
	...linkFaults.workerFaults,
	'worker-loses-answers': (environment, nextRandom, durationMs) =>
		injectWorkerFault(environment, nextRandom, durationMs, 'lost'),
	'worker-orders-late': (environment, nextRandom, durationMs) =>
		injectWorkerFault(environment, nextRandom, durationMs, 'late'),
	'worker-crashed': (environment, nextRandom) => {
		const worker = random.pick(nextRandom, environment.workers);
		environment.replaceWorker(worker);
		return worker.id;
	},
	'worker-clock-slow': (environment, nextRandom) => {
		const worker = random.pick(nextRandom, environment.workers);
		const incarnation = environment.platform.fleet.workers.get(worker.id);
		// The slowest clock rate that is stated for the users' workers.
		if (incarnation !== undefined) incarnation.clockRate = 0.98;
		return worker.id;
	},
	'configuration-changed': (environment) => {
		environment.storeConfiguration(`/more-${environment.version}/`);
		return `version ${environment.version}`;
	},
};

/** The second set. */
const secondFaults: Record<string, environments.Fault> = {
	...firstFaults,
	'owner-killed': boxFaults.killOwner,
	...linkFaults.singleBoxFaults,
	...workerFaults.faults,
	'store-forgets': workerFaults.forget,
};

/** The third set. */
const thirdFaults: Record<string, environments.Fault> = {
	...secondFaults,
	...linkFaults.silentConnectionFaults,
	'queues-changed': changeQueues,
};

/** The fourth set. */
const fourthFaults: Record<string, environments.Fault> = {
	...thirdFaults,
	'worker-shrunk': workerFaults.reduceCapacity,
};

/** The faults of the sets of planned stops. */
const plannedStopFaults: Record<string, environments.Fault> = {
	'box-stopped': boxFaults.stop,
	'boxes-stopped': boxFaults.stopInSeries,
	'box-killed': boxFaults.kill,
	'box-paused': boxFaults.pause,
	'store-loses-answers': (environment, _next, durationMs) =>
		injectStoreFault(environment, durationMs, 'lost'),
};

/** The faults that may be injected, by set. */
const faultSets: Record<environments.FaultSet, Record<string, environments.Fault>> = {
	1: firstFaults,
	2: secondFaults,
	3: thirdFaults,
	4: fourthFaults,
	5: { ...fourthFaults, ...workerFaults.restartFaults },
	6: { ...fourthFaults, ...workerFaults.restartFaults, 'zone-evacuated': workerFaults.evacuateZone },
	7: plannedStopFaults,
	8: plannedStopFaults,
	// Its faults come in series of their own.
	9: {},
};

/**
 * Injects faults until `until` (clock time). Resolves once the last fault has ended. `lastingTasks`: the long-running tasks, in
 * the set that has them.
 */
export async function inject(
	environment: environments.Environment,
	nextRandom: () => number,
	until: number,
	logFault: (line: string) => void,
	lastingTasks?: lasting.LastingTasks,
): Promise<void> {
	if (lastingTasks !== undefined) {
		const isLoaded = (worker: environments.SoakWorker): boolean => lastingTasks.hasRunOn(worker.id);
		await lastingFaults.inject({ environment, nextRandom, isLoaded, logFault }, until);
		return;
	}
	const pendingFaults: Promise<void>[] = [];
	const faults = faultSets[environment.faults];
	while (environment.now() < until) {
		const name = random.pick(nextRandom, Object.keys(faults));
		const durationMs = durationMsOf(environment, nextRandom, name, until);
		pendingFaults.push(injectOne(name, environment, nextRandom, durationMs, logFault));
		await environment.sleep(random.randomInteger(nextRandom, minIntervalMs, maxIntervalMs));
	}
	await Promise.all(pendingFaults);
}

/** Duration of a fault, in milliseconds. No fault goes on for longer after `until` than a short one could. */
function durationMsOf(
	environment: environments.Environment,
	nextRandom: () => number,
	name: string,
	until: number,
): number {
	const shortMs = random.randomInteger(nextRandom, minFaultMs, maxFaultMs);
	if (environment.faults === 1) return shortMs;
	const isLong = nextRandom() < longFraction;
	const longMs = random.randomInteger(nextRandom, minLongFaultMs, maxLongFaultMs);
	const isInTime = environment.now() + longMs < until + maxFaultMs;
	return isLong && isInTime && longFaultNames.test(name) ? longMs : shortMs;
}

/** Injects one fault and logs it once it is over. */
async function injectOne(
	name: string,
	environment: environments.Environment,
	nextRandom: () => number,
	durationMs: number,
	logFault: (line: string) => void,
): Promise<void> {
	const startedAt = environment.now();
	const location = await faultSets[environment.faults][name]?.(environment, nextRandom, durationMs);
	if (location !== boxFaults.notInjected)
		logFault(`${name} at ${location ?? ''} for ${Math.round(environment.now() - startedAt)} ms`);
}

/** Adds and drops queues one after another, at intervals shorter than the time in which boxes have to know a change. */
async function changeQueues(
	environment: environments.Environment,
	nextRandom: () => number,
): Promise<string> {
	const count = random.randomInteger(nextRandom, 2, maxQueueChanges);
	const changedQueues: string[] = [];
	for (let index = 0; index < count; index += 1) {
		const dropped =
			nextRandom() < droppedFraction
				? random.pick(nextRandom, environment.prefixes)
				: environments.firstQueue;
		if (dropped === environments.firstQueue) {
			const added = `/series-${environment.version}/`;
			environment.storeConfiguration(added);
			changedQueues.push(`+${added}`);
		} else {
			environment.dropQueue(dropped);
			changedQueues.push(`-${dropped}`);
		}
		await environment.sleep(random.randomInteger(nextRandom, 0, maxChangeIntervalMs));
	}
	return changedQueues.join(' ');
}

async function injectStoreFault(
	environment: environments.Environment,
	durationMs: number,
	fault: 'down' | 'lost' | 'late',
): Promise<string> {
	if (environment.platform.storeFault !== 'none') return boxFaults.notInjected;
	environment.storeFaultUntil = environment.now() + durationMs;
	environment.platform.storeFault = fault;
	await environment.sleep(durationMs);
	environment.platform.storeFault = 'none';
	return 'the store';
}

async function injectWorkerFault(
	environment: environments.Environment,
	nextRandom: () => number,
	durationMs: number,
	fault: workers.WorkerFault,
): Promise<string> {
	const { id } = random.pick(nextRandom, environment.workers);
	const incarnation = environment.platform.fleet.workers.get(id);
	if (incarnation === undefined) return boxFaults.notInjected;
	incarnation.fault = fault;
	if (fault === 'late') environment.noteLateCommands(id, durationMs);
	await environment.sleep(durationMs);
	incarnation.fault = 'none';
	return id;
}
