/** The real programs as processes, behind proxies, over the stand-in of the users' platform. */
import * as boxes from '../../stand-ins/box-process.js';
import * as clocks from '../../src/core/clock.js';
import * as crashing from './crashing.js';
import * as fleets from '../../stand-ins/fleet/workers.js';
import * as linking from './links.js';
import * as proxies from '../../stand-ins/proxy/index.js';

import * as users from '../../stand-ins/users-platform/server.js';
import type * as checkers from './invariant-checker.js';
import type * as workers from '../../stand-ins/fleet/workers.js';

/** Host of all queues. */
export const host = 'proofs.example';

/** The queue to which callers hand their jobs in, which is never dropped. */
export const firstQueue = '/jobs/';

/** After trouble at a box ended, nothing with a time bound is asked of it for so long, in milliseconds. */
const stableAfterMs = 3_000;

/** The zone of all workers; from so long after its evacuation was stored on, nothing starts there, in milliseconds. */
const workersZone = 'rennes';
const evacuationDeadlineMs = 5_000;

/** Workers of the second set write their entries so often, in milliseconds: as the users' workers do. */
const heartbeatIntervalMs = 1_500;

/** A room that has shrunk counts after so long: a box is in touch again, and has heard a heartbeat. */
const reductionKnownAfterMs = stableAfterMs + heartbeatIntervalMs;

/** The start of a worker's next life differs by so much at most, in milliseconds, and this part of them are smaller. */
const maxClockStepMs = 5_000;
const setBackFraction = 0.3;

/** An order that a worker leaves unanswered is carried out by then, in milliseconds; no room is promised to such orders. */
const lateCommandsMs = 8_000;

/**
 * Which faults are injected. 1: the former set, which seeds that were found with it go on to play; workers keep one entry
 * that goes when they crash. 2: workers have heartbeats, and entries of dead lives lapse. 3: open connections go silent
 * besides, and queues are added and dropped one after another. 4: some tasks crash their workers besides, and rooms shrink.
 * 5: workers start again under the names that they had.
 * 6: the workers' zone is evacuated now and then besides.
 * 7: planned stops, one box after another, beside little else; some callers are far and leave connections unused.
 * 8: the same without tasks that crash their workers.
 */
export type FaultSet = 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8;

/** Whether a set has tasks that crash their workers. */
export function hasCrashingTasks(faults: FaultSet): boolean {
	return faults >= 4 && faults !== 8;
}

/** Whether a set plays far callers. */
export function hasDelayedCallers(faults: FaultSet): boolean {
	return faults >= 7;
}

/** A change of a queue. */
export interface QueueChange {
	prefix: string;
	/** Whether it was added, else dropped. */
	exists: boolean;
	/** Clock time at which the change was stored. */
	at: number;
}

/** A box, over all the processes that it has run. */
export interface SoakBox {
	name: string;
	/** Its way to the store. */
	store: proxies.FaultProxy;
	process: boxes.BoxProcess | undefined;
	/** The newest of its processes that was stopped as planned; it may have ended since. */
	stopping: boxes.BoxProcess | undefined;
	/** Counts its processes. */
	processCount: number;
	/** What all its processes logged. */
	lines: boxes.LogLine[][];
	/** Clock time until which trouble at it lasts. */
	faultUntil: number;
	/** Clock time until which a planned stop may last. */
	plannedStopUntil: number;
}

/** Injects one fault, for `forMs` milliseconds if it lasts; says where it was. */
export type Fault = (
	environment: Environment,
	nextRandom: () => number,
	durationMs: number,
) => Promise<string> | string;

/** A worker, over all its lives. */
export interface SoakWorker {
	id: string;
	/** Where all its lives listen. */
	address: string;
	incarnationCount: number;
	/** Since when it holds less than it did, and how much; undefined: it does not. */
	reducedCapacity: { milliCores: number; at: number } | undefined;
	/** When its newest life says that it started; undefined: it does not tell, and gets a new name with each life. */
	born: number | undefined;
	/** Clock time until which orders may be carried out late there. */
	lateCommandsUntil: number;
}

/** Sizes of a soak. */
export interface EnvironmentOptions {
	boxes: number;
	workers: number;
	checker: checkers.InvariantChecker;
	plan: (task: string, run: number) => workers.RunPlan;
	faults: FaultSet;
	/** Decides the ids of workers' lives. */
	nextRandom: () => number;
}

/** Everything that a soak started. */
export class Environment {
	readonly boxes: SoakBox[] = [];
	readonly workers: SoakWorker[] = [];
	/** From boxes to workers and to each other. */
	readonly links: linking.Links;
	/** Prefixes of paths that have a queue; the newest last. */
	prefixes = [firstQueue];
	version = 1;
	/** The newest change of each queue, by its prefix; the newest of all last. */
	readonly changes = new Map<string, QueueChange>();
	/** Clock time from which the workers' zone is evacuated; undefined: it is not. */
	evacuatedAt: number | undefined;
	/** Clock time until which the store is in trouble for all. */
	storeFaultUntil = 0;
	private isClosing = false;

	private constructor(
		readonly platform: users.UsersPlatform,
		private readonly opts: EnvironmentOptions,
	) {
		this.links = linking.Links.create(boxNames(opts.boxes));
	}

	static async create(opts: EnvironmentOptions): Promise<Environment> {
		const { checker, plan } = opts;
		const heartbeatOptions = opts.faults === 1 ? {} : { heartbeatMs: heartbeatIntervalMs };
		const environment = new Environment(
			users.UsersPlatform.create({ plan, journal: checker, ...heartbeatOptions }),
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
		const newProcess = await boxes.BoxProcess.create(box.name, box.store.address);
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

	/** Trouble lasts at a box for so long from now. */
	noteFault(box: SoakBox, ms: number): void {
		box.faultUntil = Math.max(box.faultUntil, this.now() + ms);
	}

	/** The box that owned last, as far as the boxes' logs tell; undefined: none, or it has no process. */
	owner(): SoakBox | undefined {
		const generations = this.boxes.map((box) => Math.max(0, ...box.lines.flat().map(generationTaken)));
		const newest = Math.max(...generations);
		const owner = newest === 0 ? undefined : this.boxes[generations.indexOf(newest)];
		return owner?.process === undefined ? undefined : owner;
	}

	/** Whether a box has been without trouble for a while, the store too. */
	isStable(box: SoakBox): boolean {
		const until = Math.max(box.faultUntil, this.storeFaultUntil, box.plannedStopUntil);
		return box.process !== undefined && this.now() > until + stableAfterMs;
	}

	/** Another life of a worker begins at its address. */
	replaceWorker(worker: SoakWorker): void {
		const previousId = worker.id;
		const isFirstSet = this.opts.faults === 1;
		worker.incarnationCount += 1;
		// What it says of itself anew is what its machine has.
		worker.reducedCapacity = undefined;
		worker.id = isFirstSet
			? `${previousId.split('.')[0] ?? previousId}.${worker.incarnationCount}`
			: this.newId();
		const entry = isFirstSet ? 'dropped' : 'lapsing';
		this.platform.replaceWorker(previousId, worker.id, worker.address, entry);
	}

	/** A worker goes down with what runs there, and is back after a while. */
	crashWorker(incarnation: workers.FakeWorker, downMs = crashing.downMs): void {
		const worker = this.workers.find((one) => one.id === incarnation.name);
		if (worker === undefined || incarnation.dead) return;
		const { incarnationCount } = worker;
		this.platform.fleet.takeDown(incarnation);
		this.platform.silence(worker.id);
		clocks.systemClock.after(downMs, () => {
			// Another fault may have brought it back already.
			if (!this.isClosing && worker.incarnationCount === incarnationCount) this.restoreWorker(worker);
		});
	}

	private restoreWorker(worker: SoakWorker): void {
		if (worker.born === undefined) this.replaceWorker(worker);
		else this.restartWorker(worker, worker.born);
	}

	/** A worker starts again under its name; its time of day may have been set back meanwhile. */
	private restartWorker(worker: SoakWorker, previousStart: number): void {
		const stepMs = 1 + Math.floor(this.opts.nextRandom() * maxClockStepMs);
		worker.incarnationCount += 1;
		worker.reducedCapacity = undefined;
		worker.born = previousStart + (this.opts.nextRandom() < setBackFraction ? -stepMs : stepMs);
		this.platform.restartWorker(worker.id, worker.address, worker.born);
	}

	/** A worker holds so much less for a while, as its entry says. */
	async reduceCapacity(worker: SoakWorker, milliCores: number, durationMs: number): Promise<void> {
		worker.reducedCapacity = { milliCores, at: this.now() };
		this.platform.resize(worker.id, worker.address, milliCores);
		await this.sleep(durationMs);
		worker.reducedCapacity = undefined;
		this.platform.resize(worker.id, worker.address, users.workerMilliCores);
	}

	/** The workers' zone is evacuated for so long. */
	async evacuate(durationMs: number): Promise<void> {
		this.evacuatedAt = this.now();
		this.platform.evacuate(workersZone);
		await this.sleep(durationMs);
		this.platform.takeBack(workersZone);
		this.evacuatedAt = undefined;
	}

	/** Whether a start may begin at a worker now, as far as evacuations go; orders that are carried out late always may. */
	private mayStartAt(id: string): boolean {
		const now = this.now();
		const lateCommandsUntil = this.workers.find((one) => one.id === id)?.lateCommandsUntil ?? 0;
		return (
			this.evacuatedAt === undefined ||
			now - this.evacuatedAt <= evacuationDeadlineMs ||
			now <= lateCommandsUntil
		);
	}

	/** Orders that are under way to a worker may be carried out late. */
	noteLateCommands(id: string, durationMs: number): void {
		const worker = this.workers.find((one) => one.id === id);
		if (worker !== undefined) worker.lateCommandsUntil = this.now() + durationMs + lateCommandsMs;
	}

	/** What a worker holds, as far as its owner has to know, in thousandths of a core. */
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

	/** Stores a new version of the configuration, with one queue less. */
	dropQueue(prefix: string): void {
		this.storeQueues(this.prefixes.filter((one) => one !== prefix));
		this.noteChange(prefix, false);
	}

	/** Ends every process that was started here, and every server. */
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
		this.platform.configure(this.version, host, prefixes);
	}

	private noteChange(prefix: string, exists: boolean): void {
		// A map keeps the place of a key that it has: a queue that is changed again would stay among the oldest.
		this.changes.delete(prefix);
		this.changes.set(prefix, { prefix, exists, at: this.now() });
	}

	private async addWorker(id: string): Promise<void> {
		const born = this.opts.faults >= 5 ? fleets.firstBornMs : undefined;
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
			born,
		});
	}

	/** A new life's id, which may sort before or after that of the one before it. */
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

/** The generation in which a box says that it owns; 0: another line. */
function generationTaken(line: boxes.LogLine): number {
	return line.name === 'owner.taken' ? Number(line.fields.generation) : 0;
}

/** A box without a process. */
function newBox(name: string, store: proxies.FaultProxy): SoakBox {
	const noProcess = { process: undefined, stopping: undefined, processCount: 0, lines: [] };
	return { name, store, ...noProcess, faultUntil: 0, plannedStopUntil: 0 };
}
