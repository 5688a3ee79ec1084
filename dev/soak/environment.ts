/** The environment of a soak: the real programs as processes behind proxies, and the stand-in of the users' platform. */
import * as boxes from '../../stand-ins/box-process.js';
import * as clocks from '../../src/core/clock.js';
import * as crashing from './crashing.js';
import * as faultTimes from './fault-times.js';
import * as fleets from '../../stand-ins/fleet/workers.js';
import * as linking from './links.js';
import * as proxies from '../../stand-ins/proxy/index.js';

import * as users from '../../stand-ins/users-platform/server.js';
import type * as checkers from './invariant-checker.js';
import type * as workers from '../../stand-ins/fleet/workers.js';

/** Host of all queues. */
export const host = 'proofs.example';

/** The queue to which callers submit their jobs. It is never dropped. */
export const firstQueue = '/jobs/';

/** After a fault at a box has ended, nothing with a time limit is required of the box for this time, in milliseconds. */
const stableAfterMs = 3_000;

/**
 * The zone of all workers, and the time after its evacuation is stored from which nothing may start there, in milliseconds.
 */
const workersZone = 'rennes';
const evacuationDeadlineMs = 5_000;

/**
 * Interval at which workers write their entries, in milliseconds, in every set but the first. The users' workers have the
 * same.
 */
const heartbeatIntervalMs = 1_500;

/** Time after which a reduced capacity counts: the box is stable again and has received a heartbeat. */
const reductionKnownAfterMs = stableAfterMs + heartbeatIntervalMs;

/**
 * Maximum difference between the start times of two successive incarnations of a worker, in milliseconds, and the fraction
 * of the start times that are smaller than the previous one.
 */
const maxClockStepMs = 5_000;
const setBackFraction = 0.3;

/** In the set with long-running tasks, this fraction of the workers has the slowest clock that is stated for them. */
const slowClockFraction = 0.3;
const slowestClockRate = 0.98;

/**
 * A command that a worker leaves unanswered is carried out within this time, in milliseconds. No capacity is promised to
 * such commands.
 */
const lateCommandsMs = 8_000;

/**
 * Which faults are injected.
 * 1: the first set, for seeds that were found with it. Workers have one entry, which is removed when they crash.
 * 2: workers have heartbeats, and the entries of crashed incarnations expire.
 * 3: besides, open connections stall, and queues are added and dropped one after another.
 * 4: besides, some tasks crash their workers, and workers' capacity is reduced.
 * 5: besides, workers restart under the same names.
 * 6: besides, the workers' zone is evacuated at times.
 * 7: planned stops, one box after another, and few other faults. Some callers have a network delay and leave
 *    connections idle.
 * 8: as 7, without tasks that crash their workers.
 * 9: long-running tasks, and series of faults with calm between them: workers that crash for good or are cut off while they
 *    run on, beside faults of the owner and of the store.
 */
export type FaultSet = 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8 | 9;

/** Whether a set has tasks that crash their workers. */
export function hasCrashingTasks(faults: FaultSet): boolean {
	return faults >= 4 && faults <= 7;
}

/** Whether a set has delayed callers. */
export function hasDelayedCallers(faults: FaultSet): boolean {
	return faults === 7 || faults === 8;
}

/** Whether a set has long-running tasks. */
export function hasLastingTasks(faults: FaultSet): boolean {
	return faults === 9;
}

/** Whether workers restart under their names and tell when they started. Lost workers of set 9 do not come back. */
function tellsStart(faults: FaultSet): boolean {
	return faults >= 5 && faults !== 9;
}

/** A change of a queue. */
export interface QueueChange {
	prefix: string;
	/** Whether the queue was added. Otherwise it was dropped. */
	exists: boolean;
	/** Clock time at which the change was stored. */
	at: number;
}

/** A box, with all the processes that it has run. */
export interface SoakBox {
	name: string;
	/** The proxy between the box and the store. */
	store: proxies.FaultProxy;
	process: boxes.BoxProcess | undefined;
	/** The newest of its processes that was stopped as planned. It may have ended since. */
	stopping: boxes.BoxProcess | undefined;
	processCount: number;
	/** Log lines of each of its processes. */
	lines: boxes.LogLine[][];
	/** Clock time until which a fault at the box lasts. */
	faultUntil: number;
	/** Clock time until which a planned stop may last. */
	plannedStopUntil: number;
}

/** Injects one fault, for `durationMs` milliseconds if it lasts. Returns where it was injected. */
export type Fault = (
	environment: Environment,
	nextRandom: () => number,
	durationMs: number,
) => Promise<string> | string;

/** A worker, with all its incarnations. */
export interface SoakWorker {
	id: string;
	/** Where all its incarnations listen. */
	address: string;
	incarnationCount: number;
	/**
	 * The reduced capacity in thousandths of a core, and the clock time since which it holds. Undefined: the capacity is not
	 * reduced.
	 */
	reducedCapacity: { milliCores: number; at: number } | undefined;
	/** Start time that the newest incarnation reports. Undefined: it reports none, and each incarnation gets a new name. */
	born: number | undefined;
	/** Clock time until which the worker may carry out commands late. */
	lateCommandsUntil: number;
	/** Whether no box reaches it. */
	isCutOff: boolean;
}

/** Options of an environment. */
export interface EnvironmentOptions {
	boxes: number;
	workers: number;
	checker: checkers.InvariantChecker;
	plan: (task: string, run: number) => workers.RunPlan;
	faults: FaultSet;
	/** Decides the ids and start times of workers' incarnations. */
	nextRandom: () => number;
	/** Longest lease of a worker, in milliseconds. */
	holdMaxMs: number;
}

/** All processes and servers that a soak starts. */
export class Environment {
	readonly boxes: SoakBox[] = [];
	readonly workers: SoakWorker[] = [];
	/** Links from boxes to workers and to each other. */
	readonly links: linking.Links;
	/** The faults of the set with long-running tasks. */
	readonly faultTimes: faultTimes.FaultTimes;
	/** Prefixes of paths that have a queue, the newest last. */
	prefixes = [firstQueue];
	version = 1;
	/** The newest change of each queue by its prefix, the newest of all last. */
	readonly changes = new Map<string, QueueChange>();
	/** Clock time from which the workers' zone is evacuated; undefined: it is not. */
	evacuatedAt: number | undefined;
	/** Clock time until which a fault of the store affects all boxes. */
	storeFaultUntil = 0;
	private isClosing = false;

	private constructor(
		readonly platform: users.UsersPlatform,
		private readonly opts: EnvironmentOptions,
	) {
		this.links = linking.Links.create(boxNames(opts.boxes));
		this.faultTimes = faultTimes.FaultTimes.create(opts.checker.now);
	}

	static async create(opts: EnvironmentOptions): Promise<Environment> {
		const { checker, plan, holdMaxMs: maxLeaseMs } = opts;
		const heartbeatOptions = opts.faults === 1 ? {} : { heartbeatMs: heartbeatIntervalMs };
		const environment = new Environment(
			users.UsersPlatform.create({ plan, journal: checker, maxLeaseMs, ...heartbeatOptions }),
			opts,
		);
		checker.running = () => environment.running();
		checker.capacityOf = (id) => environment.knownCapacityOf(id);
		checker.mayStartAt = (id) => environment.mayStartAt(id);
		environment.platform.fleet.onCrash = (incarnation) => {
			environment.crashWorker(incarnation);
		};
		environment.storeConfiguration();
		environment.noteChange(firstQueue, true);
		for (let number = 1; number <= opts.workers; number += 1)
			await environment.addWorker(opts.faults === 1 ? `i-${number}` : environment.newId());
		for (const name of boxNames(opts.boxes)) {
			const store = await environment.platform.startStore(environment.links.addressBookOf(name));
			environment.boxes.push(newBox(name, await proxies.FaultProxy.create(store)));
		}
		await Promise.all(environment.boxes.map((box) => environment.startBox(box)));
		return environment;
	}

	get faults(): FaultSet {
		return this.opts.faults;
	}

	now(): number {
		return clocks.systemClock.now();
	}

	sleep(ms: number): Promise<void> {
		return clocks.sleep(clocks.systemClock, ms);
	}

	/** Starts a process for a box that has none. */
	async startBox(box: SoakBox): Promise<void> {
		const newProcess = await boxes.BoxProcess.create(
			box.name,
			box.store.address,
			undefined,
			this.opts.holdMaxMs,
		);
		box.processCount += 1;
		box.process = newProcess;
		box.lines.push(newProcess.lines);
		const { processCount: processNumber } = box;
		newProcess.process.once('exit', (code, signal) => {
			this.links.noteProcessEnded(box.name);
			const isExpected = this.isClosing || signal === 'SIGKILL' || box.plannedStopUntil > this.now();
			if (box.processCount === processNumber) box.process = undefined;
			if (!isExpected)
				this.opts.checker.reportViolation(
					'process-ended',
					`${box.name}: status ${String(code)}, ${String(signal)}`,
				);
		});
		this.noteFault(box, 0);
		if (this.isClosing) await newProcess.kill();
	}

	/** Records that a fault at a box lasts for `ms` milliseconds from now. */
	noteFault(box: SoakBox, ms: number): void {
		box.faultUntil = Math.max(box.faultUntil, this.now() + ms);
	}

	/** The box that became the owner last, according to the boxes' logs. Undefined: there is none, or it has no process. */
	owner(): SoakBox | undefined {
		const generations = this.boxes.map((box) => newestGeneration(box));
		const newest = Math.max(...generations);
		const owner = newest === 0 ? undefined : this.boxes[generations.indexOf(newest)];
		return owner?.process === undefined ? undefined : owner;
	}

	/** The newest generation of owners, according to the boxes' logs. 0: there was no owner yet. */
	generation(): number {
		return Math.max(...this.boxes.map((box) => newestGeneration(box)));
	}

	/** Whether a box has been without a fault for a while, and the store too. */
	isStable(box: SoakBox): boolean {
		const until = Math.max(box.faultUntil, this.storeFaultUntil, box.plannedStopUntil);
		return box.process !== undefined && this.now() > until + stableAfterMs;
	}

	/** Starts another incarnation of a worker at its address. */
	replaceWorker(worker: SoakWorker): void {
		const previousId = worker.id;
		const isFirstSet = this.opts.faults === 1;
		worker.incarnationCount += 1;
		// A new incarnation reports the capacity of its machine.
		worker.reducedCapacity = undefined;
		worker.id = isFirstSet
			? `${previousId.split('.')[0] ?? previousId}.${worker.incarnationCount}`
			: this.newId();
		const entry = isFirstSet ? 'dropped' : 'lapsing';
		this.platform.replaceWorker(previousId, worker.id, worker.address, entry);
	}

	/** Crashes a worker with what runs there. It is back after `downMs` milliseconds. */
	crashWorker(incarnation: workers.FakeWorker, downMs = crashing.downMs): void {
		const worker = this.workers.find((one) => one.id === incarnation.name);
		if (worker === undefined || incarnation.terminated) return;
		const { incarnationCount } = worker;
		this.platform.fleet.takeDown(incarnation);
		this.platform.stopHeartbeats(worker.id);
		clocks.systemClock.after(downMs, () => {
			// Another fault may have restored the worker already.
			if (!this.isClosing && worker.incarnationCount === incarnationCount) this.restoreWorker(worker);
		});
	}

	/**
	 * Crashes a worker with what runs there. Nothing is ever started again at its address. `unresponsive`: connections to it
	 * are accepted and get no answer. Otherwise they are refused.
	 */
	removeWorker(worker: SoakWorker, unresponsive: boolean): void {
		const incarnation = this.platform.fleet.workers.get(worker.id);
		this.workers.splice(this.workers.indexOf(worker), 1);
		for (const { proxy } of this.links.to(worker.address))
			if (unresponsive) proxy.addFault({ kind: 'freeze' });
			else proxy.close();
		if (incarnation !== undefined) this.platform.fleet.takeDown(incarnation, unresponsive);
		this.platform.stopHeartbeats(worker.id);
	}

	/** Adds a worker under a new id at a new address. Returns the id. */
	async joinWorker(): Promise<string> {
		const id = this.newId();
		if (!this.isClosing) await this.addWorker(id);
		return id;
	}

	/** Cuts a worker off from all boxes, and from the store if `fromStore`, for `durationMs` milliseconds. It runs on. */
	async cutOffWorker(
		worker: SoakWorker,
		mode: proxies.ProxyMode,
		fromStore: boolean,
		durationMs: number,
	): Promise<void> {
		worker.isCutOff = true;
		if (fromStore) this.platform.stopHeartbeats(worker.id);
		const undos = this.links.to(worker.address).map(({ proxy }) => proxy.addFault(mode));
		await this.sleep(durationMs);
		for (const undo of undos) undo();
		worker.isCutOff = false;
		if (fromStore && this.workers.includes(worker))
			this.platform.resumeHeartbeats(worker.id, worker.address, worker.born);
	}

	/** The workers that are up and not cut off, with what they have left. */
	usableWorkers(): { id: string; freeMilliCores: number }[] {
		return this.workers
			.filter((worker) => !worker.isCutOff)
			.map(({ id }) => ({
				id,
				freeMilliCores: users.workerMilliCores - this.opts.checker.usedMilliCores(id),
			}));
	}

	private restoreWorker(worker: SoakWorker): void {
		if (worker.born === undefined) this.replaceWorker(worker);
		else this.restartWorker(worker, worker.born);
	}

	/** Restarts a worker under its name. Its time of day may have been set back meanwhile. */
	private restartWorker(worker: SoakWorker, previousStart: number): void {
		const stepMs = 1 + Math.floor(this.opts.nextRandom() * maxClockStepMs);
		worker.incarnationCount += 1;
		worker.reducedCapacity = undefined;
		worker.born = previousStart + (this.opts.nextRandom() < setBackFraction ? -stepMs : stepMs);
		this.platform.restartWorker(worker.id, worker.address, worker.born);
	}

	/** Reduces the capacity in a worker's entry for a while. */
	async reduceCapacity(worker: SoakWorker, milliCores: number, durationMs: number): Promise<void> {
		worker.reducedCapacity = { milliCores, at: this.now() };
		this.platform.resize(worker.id, worker.address, milliCores);
		await this.sleep(durationMs);
		worker.reducedCapacity = undefined;
		this.platform.resize(worker.id, worker.address, users.workerMilliCores);
	}

	/** Evacuates the workers' zone for `durationMs` milliseconds. */
	async evacuate(durationMs: number): Promise<void> {
		this.evacuatedAt = this.now();
		this.platform.evacuate(workersZone);
		await this.sleep(durationMs);
		this.platform.cancelEvacuation(workersZone);
		this.evacuatedAt = undefined;
	}

	/** Whether evacuations allow a start on a worker now. Commands that are carried out late are always allowed. */
	private mayStartAt(id: string): boolean {
		const now = this.now();
		const lateCommandsUntil = this.workers.find((one) => one.id === id)?.lateCommandsUntil ?? 0;
		return (
			this.evacuatedAt === undefined ||
			now - this.evacuatedAt <= evacuationDeadlineMs ||
			now <= lateCommandsUntil
		);
	}

	/** Records that a worker may carry out late the commands that are on their way to it. */
	noteLateCommands(id: string, durationMs: number): void {
		const worker = this.workers.find((one) => one.id === id);
		if (worker !== undefined) worker.lateCommandsUntil = this.now() + durationMs + lateCommandsMs;
	}

	/** The capacity of a worker that its owner has to know, in thousandths of a core. */
	private knownCapacityOf(id: string): number {
		const worker = this.workers.find((one) => one.id === id);
		const { reducedCapacity, lateCommandsUntil = 0 } = worker ?? {};
		const now = this.now();
		const isReductionKnown =
			reducedCapacity !== undefined &&
			now - reducedCapacity.at > reductionKnownAfterMs &&
			now > lateCommandsUntil;
		return isReductionKnown ? reducedCapacity.milliCores : users.workerMilliCores;
	}

	/** Stores a new version of the configuration, with one more queue if one is given. */
	storeConfiguration(added?: string): void {
		this.storeQueues(added === undefined ? this.prefixes : [...this.prefixes, added]);
		if (added !== undefined) this.noteChange(added, true);
	}

	/** Stores a new version of the configuration without one of the queues. */
	dropQueue(prefix: string): void {
		this.storeQueues(this.prefixes.filter((one) => one !== prefix));
		this.noteChange(prefix, false);
	}

	/** Ends all processes and servers of the environment. */
	async close(): Promise<void> {
		this.isClosing = true;
		const running = this.boxes.flatMap((box) => box.process ?? []);
		await Promise.all(running.map((one) => one.kill()));
		for (const box of this.boxes) box.store.close();
		this.links.close();
		this.platform.close();
	}

	private storeQueues(prefixes: string[]): void {
		this.prefixes = prefixes;
		this.version += 1;
		this.platform.writeConfiguration(this.version, host, prefixes);
	}

	private noteChange(prefix: string, exists: boolean): void {
		// A map keeps the position of a key that it has. Without this, a queue that is changed again would stay among the
		// oldest.
		this.changes.delete(prefix);
		this.changes.set(prefix, { prefix, exists, at: this.now() });
	}

	private async addWorker(id: string): Promise<void> {
		const born = tellsStart(this.opts.faults) ? fleets.initialBornMs : undefined;
		const listedAs = async (listening: string): Promise<string> => {
			await this.links.addLinks(listening);
			return listening;
		};
		const address = await this.platform.startWorker(id, listedAs, born);
		this.workers.push({
			id,
			address,
			incarnationCount: 1,
			reducedCapacity: undefined,
			lateCommandsUntil: 0,
			isCutOff: false,
			born,
		});
		const incarnation = this.platform.fleet.workers.get(id);
		if (incarnation !== undefined && hasLastingTasks(this.opts.faults))
			incarnation.clockRate = this.opts.nextRandom() < slowClockFraction ? slowestClockRate : 1;
	}

	/** Returns the id of a new incarnation, which may sort before or after the id of the previous one. */
	private newId(): string {
		const number = Math.floor(this.opts.nextRandom() * 0x1_0000_0000);
		return `i-${number.toString(16).padStart(8, '0')}`;
	}

	private running(): { worker: string; task: string }[] {
		return [...this.platform.fleet.workers].flatMap(([worker, one]) =>
			[...one.running.keys()].map((task) => ({ worker, task })),
		);
	}
}

function boxNames(count: number): string[] {
	return Array.from({ length: count }, (_, index) => `entry-${index + 1}`);
}

/** The generation in which a box became the owner according to this line. 0: the line is about something else. */
function generationTaken(line: boxes.LogLine): number {
	return line.name === 'owner.taken' ? Number(line.fields.generation) : 0;
}

/** The newest generation in which a box became the owner. 0: it never was. */
function newestGeneration(box: SoakBox): number {
	return Math.max(0, ...box.lines.flat().map(generationTaken));
}

/** A box without a process. */
function newBox(name: string, store: proxies.FaultProxy): SoakBox {
	const noProcess = { process: undefined, stopping: undefined, processCount: 0, lines: [] };
	return { name, store, ...noProcess, faultUntil: 0, plannedStopUntil: 0 };
}
