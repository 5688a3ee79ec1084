/**
 * Faults beside long-running tasks: series with calm stretches between them. In a series workers crash for good or are cut off
 * while they run on, and about then the owner or the store has faults, so that a successor knows little of the workers.
 */
import * as boxFaults from './box-faults.js';
import * as random from '../random.js';
import type * as environments from './environment.js';
import type * as proxies from '../../stand-ins/proxy/index.js';

/** Bounds of a calm stretch between series, in milliseconds. */
const minCalmMs = 8_000;
const maxCalmMs = 16_000;

/** Fraction of the series that a second one overlaps, and bounds of the delay between their starts, in milliseconds. */
const overlappingFraction = 0.4;
const minOverlapDelayMs = 500;
const maxOverlapDelayMs = 4_000;

/** Maximum time between the crash of a series and the start of its other faults, before or after it, in milliseconds. */
const maxOffsetMs = 3_000;

/** Fraction of the faults that start at the moment of the crash. */
const sameMomentFraction = 0.3;

/** Maximum number of workers that crash in a series, that are cut off, and of faults of the owner and the store. */
const maxCrashed = 3;
const maxCutOff = 2;
const maxCompanions = 3;

/** At least this many workers stay up and reached, so that long-running tasks find capacity. */
const minUsableWorkers = 4;

/** Largest seed of the random numbers of one fault. */
const maxSeed = 1_000_000;

/** Fraction of the crashing workers that are picked among those with long-running tasks. */
const loadedFraction = 0.75;

/** Bounds of the time until a new worker joins for a crashed one, in milliseconds. */
const minJoinMs = 2_000;
const maxJoinMs = 8_000;

/** Bounds of the durations of faults, in milliseconds. */
const cutOffMs = { min: 2_000, max: 12_000 };
const pauseMs = { min: 2_000, max: 4_000 };
const storeAwayMs = { min: 1_000, max: 4_500 };
const turnedAwayMs = { min: 4_000, max: 7_000 };

/** Bounds of the time for which an owner is the owner before it is killed too, in milliseconds. */
const ownedMs = { min: 300, max: 2_000 };

/**
 * No fault of an owner or of the store starts later than this after the first crash of overlapping series, in milliseconds:
 * with a takeover (up to 3 s), 1.5 s are left of the 9 s in which a long-running task has to run again.
 */
const maxCompanionAfterCrashMs = 4_500;

/** Interval between two looks at who is the owner, and how long a new one is waited for, in milliseconds. */
const ownerPollMs = 50;
const ownerTimeoutMs = 6_000;

const cutOffModes: proxies.ProxyMode[] = [{ kind: 'cut' }, { kind: 'freeze' }, { kind: 'drop-answers' }];
const turnedAwayModes: proxies.ProxyMode[] = [{ kind: 'cut' }, { kind: 'freeze' }];

/** What the faults of a series share. */
interface Series {
	environment: environments.Environment;
	nextRandom: () => number;
	/** Clock time of the crash. */
	crashAt: number;
	/** Clock time of the first crash among the series that overlap. */
	firstCrashAt: number;
	/** Whether a worker has long-running tasks. */
	isLoaded: (worker: environments.SoakWorker) => boolean;
	logFault: (line: string) => void;
}

/** A fault of the owner or the store. Returns where it was injected. */
type Companion = (series: Series) => Promise<string>;

/** Keep the order: a seed picks faults by position. */
const companions: Record<string, Companion> = {
	'owner-killed': killOwner,
	'owners-killed': killOwnersInSeries,
	'owner-paused': pauseOwner,
	'owner-stopped': stopOwner,
	'owner-turned-away': turnOwnerAway,
	'store-silent': silenceStore,
	'store-down': shutStore,
	'connections-silent': silenceConnections,
};

/** Injects series of faults until `until` (clock time). Resolves once the last fault has ended. */
export async function inject(
	opts: Pick<Series, 'environment' | 'nextRandom' | 'isLoaded' | 'logFault'>,
	until: number,
): Promise<void> {
	const { environment, nextRandom } = opts;
	for (;;) {
		await environment.sleep(random.randomInteger(nextRandom, minCalmMs, maxCalmMs));
		if (environment.now() >= until) return;
		const firstCrashAt = environment.now() + maxOffsetMs;
		const series = [injectSeries({ ...opts, firstCrashAt })];
		if (nextRandom() < overlappingFraction) {
			await environment.sleep(random.randomInteger(nextRandom, minOverlapDelayMs, maxOverlapDelayMs));
			series.push(injectSeries({ ...opts, firstCrashAt }));
		}
		await Promise.all(series);
	}
}

/**
 * Injects one series. Each of its faults has random numbers of its own, so that they don't depend on how the other faults
 * proceed.
 */
async function injectSeries(opts: Omit<Series, 'crashAt'>): Promise<void> {
	const { environment, nextRandom } = opts;
	const crashAt = environment.now() + maxOffsetMs;
	const newSeries = (): Series => {
		const seed = random.randomInteger(nextRandom, 0, maxSeed);
		return { ...opts, crashAt, nextRandom: random.seededRandom(seed) };
	};
	const companionNames = Array.from({ length: random.randomInteger(nextRandom, 0, maxCompanions) }, () =>
		random.pick(nextRandom, Object.keys(companions)),
	);
	const cutOffCount = random.randomInteger(nextRandom, 0, maxCutOff);
	const crashedCount = random.randomInteger(nextRandom, 1, maxCrashed);
	await Promise.all([
		at(newSeries(), 0, (series) => crashWorkers(series, crashedCount)),
		...Array.from({ length: cutOffCount }, () => at(newSeries(), offsetMs(nextRandom), cutOffWorker)),
		...companionNames.map((name) =>
			at(newSeries(), offsetMs(nextRandom), (series) => injectCompanion(series, name)),
		),
	]);
}

/** Runs `fn` at a time that is given relative to the crash of the series, in milliseconds. */
async function at(series: Series, ms: number, fn: (series: Series) => Promise<void>): Promise<void> {
	const { environment, crashAt } = series;
	await environment.sleep(Math.max(0, crashAt + ms - environment.now()));
	await fn(series);
}

function offsetMs(nextRandom: () => number): number {
	const ms = random.randomInteger(nextRandom, -maxOffsetMs, maxOffsetMs);
	return nextRandom() < sameMomentFraction ? 0 : ms;
}

function durationMs(nextRandom: () => number, { min, max }: { min: number; max: number }): number {
	return random.randomInteger(nextRandom, min, max);
}

async function injectCompanion(series: Series, name: string): Promise<void> {
	const { environment, logFault } = series;
	const startedAt = environment.now();
	if (isTooLate(series)) return;
	const location = await companions[name]?.(series);
	if (location !== boxFaults.notInjected)
		logFault(`${name} at ${location ?? ''} for ${Math.round(environment.now() - startedAt)} ms`);
}

/** Crashes workers for good. A new one joins for each of them. */
async function crashWorkers(series: Series, count: number): Promise<void> {
	const { environment, nextRandom, logFault } = series;
	const joining: Promise<void>[] = [];
	for (let index = 0; index < count; index += 1) {
		const unresponsive = nextRandom() < 1 / 2;
		const joinMs = durationMs(nextRandom, { min: minJoinMs, max: maxJoinMs });
		const worker = pickWorker(series, nextRandom() < loadedFraction);
		if (worker === undefined) continue;
		environment.faultTimes.noteMoment();
		environment.removeWorker(worker, unresponsive);
		logFault(`worker-gone at ${worker.id}, ${unresponsive ? 'dark' : 'closed'}`);
		joining.push(environment.sleep(joinMs).then(() => joinWorker(series, worker.id)));
	}
	await Promise.all(joining);
}

async function joinWorker({ environment, logFault }: Series, forId: string): Promise<void> {
	const id = await environment.joinWorker();
	logFault(`${id} joined for ${forId}`);
}

/** Cuts a worker off from all boxes, half of the time from the store too. */
async function cutOffWorker(series: Series): Promise<void> {
	const { environment, nextRandom, logFault } = series;
	const mode = random.pick(nextRandom, cutOffModes);
	const fromStore = nextRandom() < 1 / 2;
	const ms = durationMs(nextRandom, cutOffMs);
	const worker = pickWorker(series, nextRandom() < loadedFraction);
	if (worker === undefined) return;
	const end = environment.faultTimes.begin();
	await environment.cutOffWorker(worker, mode, fromStore, ms);
	end();
	logFault(`worker-cut-off (${mode.kind}) at ${worker.id}${fromStore ? ' and the store' : ''} for ${ms} ms`);
}

/** Picks a worker that is up and reached, if possible one with long-running tasks. Undefined: too few are left. */
function pickWorker(
	{ environment, nextRandom, isLoaded }: Series,
	preferLoaded: boolean,
): environments.SoakWorker | undefined {
	const usable = environment.workers.filter((worker) => !worker.isCutOff);
	const loaded = usable.filter(isLoaded);
	const position = nextRandom();
	if (usable.length <= minUsableWorkers) return undefined;
	return random.pick(() => position, preferLoaded && loaded.length > 0 ? loaded : usable);
}

/** Kills the owner. */
async function killOwner({ environment }: Series): Promise<string> {
	const owner = faultFreeOwner(environment);
	if (owner === undefined) return boxFaults.notInjected;
	await kill(environment, owner);
	return owner.name;
}

/** Kills the owner, and then whichever box owns dispatching after it, once or twice. */
async function killOwnersInSeries(series: Series): Promise<string> {
	const { environment, nextRandom } = series;
	const killed: string[] = [];
	const waits = Array.from({ length: random.randomInteger(nextRandom, 1, 2) }, () =>
		durationMs(nextRandom, ownedMs),
	);
	for (const waitMs of [0, ...waits]) {
		await environment.sleep(waitMs);
		const owner = faultFreeOwner(environment);
		if (owner === undefined || isTooLate(series)) break;
		const generation = environment.generation();
		const killing = kill(environment, owner);
		killed.push(owner.name);
		await waitForOwner(environment, generation);
		await killing;
	}
	return killed.length === 0 ? boxFaults.notInjected : killed.join(', ');
}

/** Whether it is too late for another fault of an owner or of the store. */
function isTooLate({ environment, firstCrashAt }: Series): boolean {
	return environment.now() > firstCrashAt + maxCompanionAfterCrashMs;
}

/** Waits until a box has become the owner in a newer generation. */
async function waitForOwner(environment: environments.Environment, generation: number): Promise<void> {
	const until = environment.now() + ownerTimeoutMs;
	while (environment.generation() === generation && environment.now() < until)
		await environment.sleep(ownerPollMs);
}

/** Suspends the owner's process. */
async function pauseOwner({ environment, nextRandom }: Series): Promise<string> {
	const ms = durationMs(nextRandom, pauseMs);
	const owner = faultFreeOwner(environment);
	if (owner === undefined) return boxFaults.notInjected;
	const end = environment.faultTimes.begin();
	await boxFaults.pauseBox(environment, owner, ms);
	end();
	return owner.name;
}

/** Stops the owner as planned. */
async function stopOwner({ environment }: Series): Promise<string> {
	const owner = faultFreeOwner(environment);
	if (owner === undefined) return boxFaults.notInjected;
	const end = environment.faultTimes.begin();
	await boxFaults.stopBox(environment, owner);
	end();
	return owner.name;
}

/** Cuts the owner off from the store. */
async function turnOwnerAway({ environment, nextRandom }: Series): Promise<string> {
	const ms = durationMs(nextRandom, turnedAwayMs);
	const mode = random.pick(nextRandom, turnedAwayModes);
	const owner = faultFreeOwner(environment);
	if (owner === undefined) return boxFaults.notInjected;
	environment.noteFault(owner, ms);
	const end = environment.faultTimes.begin();
	const undo = owner.store.addFault(mode);
	await environment.sleep(ms);
	undo();
	end();
	return `${owner.name} (${mode.kind})`;
}

/** Leaves all calls to the store unanswered. */
async function silenceStore({ environment, nextRandom }: Series): Promise<string> {
	const ms = durationMs(nextRandom, storeAwayMs);
	environment.storeFaultUntil = Math.max(environment.storeFaultUntil, environment.now() + ms);
	const end = environment.faultTimes.beginStoreOutage();
	const undos = environment.boxes.map((box) => box.store.addFault({ kind: 'freeze' }));
	await environment.sleep(ms);
	for (const undo of undos) undo();
	end();
	return 'the store';
}

/** Has the store refuse all calls. */
async function shutStore({ environment, nextRandom }: Series): Promise<string> {
	const ms = durationMs(nextRandom, storeAwayMs);
	if (environment.platform.storeFault !== 'none') return boxFaults.notInjected;
	environment.storeFaultUntil = Math.max(environment.storeFaultUntil, environment.now() + ms);
	const end = environment.faultTimes.beginStoreOutage();
	environment.platform.storeFault = 'down';
	await environment.sleep(ms);
	environment.platform.storeFault = 'none';
	end();
	return 'the store';
}

/** Stalls the open connections of all boxes, or of the owner to the store. */
function silenceConnections({ environment, nextRandom }: Series): Promise<string> {
	const owner = nextRandom() < 1 / 2 ? undefined : environment.owner();
	const affected = owner === undefined ? environment.boxes : [owner];
	environment.faultTimes.noteMoment();
	for (const box of affected) {
		box.store.stallConnections();
		environment.noteFault(box, 0);
	}
	if (owner === undefined) environment.links.silence();
	return Promise.resolve(owner === undefined ? 'all boxes' : owner.name);
}

/** Kills a box's process and starts another. Both count as faults at their moments. */
async function kill(environment: environments.Environment, box: environments.SoakBox): Promise<void> {
	environment.faultTimes.noteMoment();
	await boxFaults.restart(environment, box);
	environment.faultTimes.noteMoment();
}

/** The owner, unless it has a fault already. */
function faultFreeOwner(environment: environments.Environment): environments.SoakBox | undefined {
	const owner = environment.owner();
	return owner !== undefined && boxFaults.isFaultFree(environment, owner) ? owner : undefined;
}
