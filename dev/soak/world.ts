/** The environment of a soak: the real programs as processes behind proxies, and the stand-in of the users' platform. */
import * as boxes from '../../stand-ins/box-process.js';
import * as clocks from '../../src/core/clock.js';
import * as crashing from './crashing.js';
import * as fleets from '../../stand-ins/fleet/workers.js';
import * as linking from './links.js';
import * as proxies from '../../stand-ins/proxy/index.js';

import * as users from '../../stand-ins/users-platform/server.js';
import type * as judges from './judge.js';
import type * as workers from '../../stand-ins/fleet/workers.js';

/** Host of all queues. */
export const host = 'proofs.example';

/** The queue to which callers submit their jobs. It is never dropped. */
export const firstQueue = '/jobs/';

/** After a fault at a box has ended, nothing with a time limit is required of the box for this time, in milliseconds. */
const calmAfterMs = 3_000;

/**
 * The zone of all workers, and the time after its evacuation is stored from which nothing may start there, in milliseconds.
 */
const workersZone = 'rennes';
const evacuateMs = 5_000;

/**
 * Interval at which workers write their entries, in milliseconds, in every set but the first. The users' workers have the
 * same.
 */
const heartbeatMs = 1_500;

/** Time after which a reduced capacity counts: the box is stable again and has received a heartbeat. */
const shrunkAfterMs = calmAfterMs + heartbeatMs;

/**
 * Maximum difference between the start times of two successive incarnations of a worker, in milliseconds, and the fraction
 * of the start times that are smaller than the previous one.
 */
const mostClockStepMs = 5_000;
const setBackPart = 0.3;

/**
 * A command that a worker leaves unanswered is carried out within this time, in milliseconds. No capacity is promised to
 * such commands.
 */
const lateOrdersMs = 8_000;

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
 */
export type FaultSet = 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8;

/** Whether a set has tasks that crash their workers. */
export function hasCrashing(faults: FaultSet): boolean {
	return faults >= 4 && faults !== 8;
}

/** Whether a set has delayed callers. */
export function hasFarCallers(faults: FaultSet): boolean {
	return faults >= 7;
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
	life: number;
	/** Log lines of each of its processes. */
	lines: boxes.LogLine[][];
	/** Clock time until which a fault at the box lasts. */
	troubledUntil: number;
	/** Clock time until which a planned stop may last. */
	stoppingUntil: number;
}

/** Injects one fault, for `durationMs` milliseconds if it lasts. Returns where it was injected. */
export type Fault = (world: World, next: () => number, forMs: number) => Promise<string> | string;

/** A worker, with all its incarnations. */
export interface SoakWorker {
	id: string;
	/** Where all its incarnations listen. */
	address: string;
	lives: number;
	/**
	 * The reduced capacity in thousandths of a core, and the clock time since which it holds. Undefined: the capacity is not
	 * reduced.
	 */
	shrunk: { milliCores: number; at: number } | undefined;
	/** Start time that the newest incarnation reports. Undefined: it reports none, and each incarnation gets a new name. */
	born: number | undefined;
	/** Clock time until which the worker may carry out commands late. */
	lateUntil: number;
}

/** Options of an environment. */
export interface WorldOptions {
	boxes: number;
	workers: number;
	judge: judges.Judge;
	plan: (task: string, run: number) => workers.RunPlan;
	faults: FaultSet;
	/** Decides the ids and start times of workers' incarnations. */
	next: () => number;
}

/** All processes and servers that a soak starts. */
export class World {
	readonly boxes: SoakBox[] = [];
	readonly workers: SoakWorker[] = [];
	/** Links from boxes to workers and to each other. */
	readonly links: linking.Links;
	/** Prefixes of paths that have a queue, the newest last. */
	prefixes = [firstQueue];
	version = 1;
	/** The newest change of each queue by its prefix, the newest of all last. */
	readonly changes = new Map<string, QueueChange>();
	/** Clock time from which the workers' zone is evacuated; undefined: it is not. */
	evacuatedAt: number | undefined;
	/** Clock time until which a fault of the store affects all boxes. */
	storeTroubledUntil = 0;
	private closing = false;

	private constructor(
		readonly platform: users.UsersPlatform,
		private readonly opts: WorldOptions,
	) {
		this.links = linking.Links.create(boxNames(opts.boxes));
	}

	static async create(opts: WorldOptions): Promise<World> {
		const { judge, plan } = opts;
		const beats = opts.faults === 1 ? {} : { heartbeatMs };
		const world = new World(users.UsersPlatform.create({ plan, journal: judge, ...beats }), opts);
		judge.running = () => world.running();
		judge.roomOf = (id) => world.roomOf(id);
		judge.mayStartAt = (id) => world.mayStartAt(id);
		world.platform.fleet.onCrash = (life) => {
			world.takeDown(life);
		};
		world.configure();
		world.noteChange(firstQueue, true);
		for (let number = 1; number <= opts.workers; number += 1)
			await world.addWorker(opts.faults === 1 ? `i-${number}` : world.newId());
		for (const name of boxNames(opts.boxes)) {
			const store = await world.platform.startStore(world.links.bookOf(name));
			world.boxes.push(newBox(name, await proxies.FaultProxy.create(store)));
		}
		await Promise.all(world.boxes.map((box) => world.startBox(box)));
		return world;
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
		const started = await boxes.BoxProcess.create(box.name, box.store.address);
		box.life += 1;
		box.process = started;
		box.lines.push(started.lines);
		const { life } = box;
		started.process.once('exit', (code, signal) => {
			this.links.left(box.name);
			const isAsked = this.closing || signal === 'SIGKILL' || box.stoppingUntil > this.now();
			if (box.life === life) box.process = undefined;
			if (!isAsked)
				this.opts.judge.report('process-ended', `${box.name}: status ${String(code)}, ${String(signal)}`);
		});
		this.troubled(box, 0);
		if (this.closing) await started.kill();
	}

	/** Records that a fault at a box lasts for `ms` milliseconds from now. */
	troubled(box: SoakBox, ms: number): void {
		box.troubledUntil = Math.max(box.troubledUntil, this.now() + ms);
	}

	/** The box that became the owner last, according to the boxes' logs. Undefined: there is none, or it has no process. */
	owner(): SoakBox | undefined {
		const generations = this.boxes.map((box) => Math.max(0, ...box.lines.flat().map(generationTaken)));
		const newest = Math.max(...generations);
		const owner = newest === 0 ? undefined : this.boxes[generations.indexOf(newest)];
		return owner?.process === undefined ? undefined : owner;
	}

	/** Whether a box has been without a fault for a while, and the store too. */
	isCalm(box: SoakBox): boolean {
		const until = Math.max(box.troubledUntil, this.storeTroubledUntil, box.stoppingUntil);
		return box.process !== undefined && this.now() > until + calmAfterMs;
	}

	/** Starts another incarnation of a worker at its address. */
	replaceWorker(worker: SoakWorker): void {
		const before = worker.id;
		const isFormer = this.opts.faults === 1;
		worker.lives += 1;
		// A new incarnation reports the capacity of its machine.
		worker.shrunk = undefined;
		worker.id = isFormer ? `${before.split('.')[0] ?? before}.${worker.lives}` : this.newId();
		const entry = isFormer ? 'dropped' : 'lapsing';
		this.platform.replaceWorker(before, worker.id, worker.address, entry);
	}

	/** Crashes a worker with what runs there. It is back after `downMs` milliseconds. */
	takeDown(life: workers.FakeWorker, downMs = crashing.downMs): void {
		const worker = this.workers.find((one) => one.id === life.name);
		if (worker === undefined || life.dead) return;
		const { lives } = worker;
		this.platform.fleet.takeDown(life);
		this.platform.silence(worker.id);
		clocks.systemClock.after(downMs, () => {
			// Another fault may have restored the worker already.
			if (!this.closing && worker.lives === lives) this.bringBack(worker);
		});
	}

	private bringBack(worker: SoakWorker): void {
		if (worker.born === undefined) this.replaceWorker(worker);
		else this.restartWorker(worker, worker.born);
	}

	/** Restarts a worker under its name. Its time of day may have been set back meanwhile. */
	private restartWorker(worker: SoakWorker, before: number): void {
		const stepMs = 1 + Math.floor(this.opts.next() * mostClockStepMs);
		worker.lives += 1;
		worker.shrunk = undefined;
		worker.born = before + (this.opts.next() < setBackPart ? -stepMs : stepMs);
		this.platform.restartWorker(worker.id, worker.address, worker.born);
	}

	/** Reduces the capacity in a worker's entry for a while. */
	async shrink(worker: SoakWorker, milliCores: number, forMs: number): Promise<void> {
		worker.shrunk = { milliCores, at: this.now() };
		this.platform.resize(worker.id, worker.address, milliCores);
		await this.sleep(forMs);
		worker.shrunk = undefined;
		this.platform.resize(worker.id, worker.address, users.workerMilliCores);
	}

	/** Evacuates the workers' zone for `durationMs` milliseconds. */
	async evacuate(forMs: number): Promise<void> {
		this.evacuatedAt = this.now();
		this.platform.evacuate(workersZone);
		await this.sleep(forMs);
		this.platform.takeBack(workersZone);
		this.evacuatedAt = undefined;
	}

	/** Whether evacuations allow a start on a worker now. Commands that are carried out late are always allowed. */
	private mayStartAt(id: string): boolean {
		const now = this.now();
		const lateUntil = this.workers.find((one) => one.id === id)?.lateUntil ?? 0;
		return this.evacuatedAt === undefined || now - this.evacuatedAt <= evacuateMs || now <= lateUntil;
	}

	/** Records that a worker may carry out late the commands that are on their way to it. */
	ordersLate(id: string, forMs: number): void {
		const worker = this.workers.find((one) => one.id === id);
		if (worker !== undefined) worker.lateUntil = this.now() + forMs + lateOrdersMs;
	}

	/** The capacity of a worker that its owner has to know, in thousandths of a core. */
	private roomOf(id: string): number {
		const worker = this.workers.find((one) => one.id === id);
		const { shrunk, lateUntil = 0 } = worker ?? {};
		const now = this.now();
		const counts = shrunk !== undefined && now - shrunk.at > shrunkAfterMs && now > lateUntil;
		return counts ? shrunk.milliCores : users.workerMilliCores;
	}

	/** Stores a new version of the configuration, with one more queue if one is given. */
	configure(added?: string): void {
		this.changeQueues(added === undefined ? this.prefixes : [...this.prefixes, added]);
		if (added !== undefined) this.noteChange(added, true);
	}

	/** Stores a new version of the configuration without one of the queues. */
	dropQueue(prefix: string): void {
		this.changeQueues(this.prefixes.filter((one) => one !== prefix));
		this.noteChange(prefix, false);
	}

	/** Ends all processes and servers of the environment. */
	async close(): Promise<void> {
		this.closing = true;
		const running = this.boxes.flatMap((box) => box.process ?? []);
		await Promise.all(running.map((one) => one.kill()));
		for (const box of this.boxes) box.store.close();
		this.links.close();
		this.platform.close();
	}

	private changeQueues(prefixes: string[]): void {
		this.prefixes = prefixes;
		this.version += 1;
		this.platform.configure(this.version, host, prefixes);
	}

	private noteChange(prefix: string, exists: boolean): void {
		// A map keeps the position of a key that it has. Without this, a queue that is changed again would stay among the
		// oldest.
		this.changes.delete(prefix);
		this.changes.set(prefix, { prefix, exists, at: this.now() });
	}

	private async addWorker(id: string): Promise<void> {
		const born = this.opts.faults >= 5 ? fleets.firstBornMs : undefined;
		const listedAs = async (listening: string): Promise<string> => {
			await this.links.reach(listening);
			return listening;
		};
		const address = await this.platform.startWorker(id, listedAs, born);
		this.workers.push({ id, address, lives: 1, shrunk: undefined, lateUntil: 0, born });
	}

	/** Returns the id of a new incarnation, which may sort before or after the id of the previous one. */
	private newId(): string {
		const number = Math.floor(this.opts.next() * 0x1_0000_0000);
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

/** A box without a process. */
function newBox(name: string, store: proxies.FaultProxy): SoakBox {
	const processes = { process: undefined, stopping: undefined, life: 0, lines: [] };
	return { name, store, ...processes, troubledUntil: 0, stoppingUntil: 0 };
}
