/** Workers in memory: leases on their own clocks, epochs, run numbers, and unanswered or late orders as switches. */
import * as fencing from '../../src/core/dispatch/fencing-tokens.js';
import * as lives from '../../src/core/fleet/incarnations.js';
import * as results from '../../src/core/result.js';
import type * as clocks from '../../src/core/clock.js';
import type * as fleet from '../../src/core/fleet/types.js';
import type * as types from './types.js';

export type { Crash, CrashRecord, FleetJournal, RunPlan, StartRecord } from './types.js';

/**
 * What happens to calls. `lost`: carried out, not answered. `late`: not answered, and carried out much later.
 * `refused`: connections are turned away.
 */
export type WorkerFault = 'none' | 'silent' | 'lost' | 'late' | 'refused';

/** A call's way there, and until a caller gives up, in milliseconds. */
const arrivalMs = 2;
const giveUpMs = 1_000;

/** When late orders are carried out, after the caller gave up, in milliseconds. */
const lateMs = 5_000;

/** A stop takes so long, in milliseconds. */
const stopMs = 200;

/** A reading covers so long, in milliseconds. */
const readingMs = 500;

/** Ends in one report, at most: the others come once these are forgotten. */
const mostEnds = 500;

/** First reading of a worker's clock, in milliseconds: far from ours, so that nobody takes one for the other. */
const firstClockMs = 500_000;

/** First reading of the clock of a worker that tells when it started, in milliseconds. */
const restartClockMs = 1_000;

/** When the first worker that tells it started, in Unix milliseconds. */
export const firstBornMs = 1_796_000_000_000;

const noAnswer: fleet.WorkerFailure = { kind: 'no-answer', reason: 'silent' };

/** What a call does at a worker. */
type Order<T> = (worker: FakeWorker) => results.Result<T, fleet.WorkerFailure>;

interface Running {
	run: number;
	timer: clocks.Timer | undefined;
	/** Work left, in milliseconds at full pace, as of `pacedAt`. */
	leftMs: number;
	pacedAt: number;
	how: fleet.ExitKind;
	/** How much it adds to readings beside it at full pace, as a part of them. */
	disturbs: number;
	stopping: boolean;
	reading: number;
	percent: number;
	/** Share of its speed at which it works, in per cent. */
	pace: number;
	/** What it was before its last change, and when that was. */
	paceBefore: number;
	changedAt: number;
}

/** Settings of a fleet. */
export interface FleetOptions {
	clock: clocks.Clock;
	maxLeaseMs: number;
	plan: (task: string, run: number) => types.RunPlan;
	journal?: types.FleetJournal;
}

/** A crash as tasks bring it about. */
const plainCrash: types.Crash = { downMs: 3_000, dark: false };

/** The platform lists a life for so long after it crashed, in milliseconds: three heartbeats. */
const lapseMs = 4_500;

/** One worker. */
export class FakeWorker {
	fault: WorkerFault = 'none';
	/** It answers all calls but stops, which it does not carry out. */
	ignoresStops = false;
	/** It answers all calls but orders on pace, which it carries out much later. */
	delaysPaces = false;
	/** Its clock's rate against ours. */
	rate = 1;
	readonly running = new Map<string, Running>();
	readonly ended: fleet.RunExit[] = [];
	/** Whether this life is over. */
	dead = false;
	/** The highest token it has seen. */
	private token = 0;
	private leaseUntil = 0;
	private leaseTimer: clocks.Timer | undefined;
	/** Highest run number seen, by task. */
	private readonly highest = new Map<string, number>();
	/** Number of the newest end. */
	private seq = 0;
	private waiting: (() => void)[] = [];
	private readonly startedAt: number;

	private constructor(
		readonly entry: fleet.WorkerEntry,
		private readonly opts: FleetOptions,
		private readonly starts: types.StartRecord[],
		private readonly crash: (worker: FakeWorker) => void,
		/** Its time of day at its start, in milliseconds; undefined: it does not tell. */
		readonly born: number | undefined,
	) {
		this.startedAt = opts.clock.now();
	}

	/** `starts`: where the starts that it carries out are listed; `crash`: brings it down. */
	static create(
		entry: fleet.WorkerEntry,
		opts: FleetOptions,
		starts: types.StartRecord[],
		crash: (worker: FakeWorker) => void,
		born?: number,
	): FakeWorker {
		return new FakeWorker(entry, opts, starts, crash, born);
	}

	/** What it is called, over all its lives. */
	get name(): string {
		return lives.nameOf(this.entry.id);
	}

	/** Its monotonic clock, in milliseconds. */
	clockMs(): number {
		const now = this.opts.clock.now();
		if (this.born !== undefined) return restartClockMs + (now - this.startedAt) * this.rate;
		return firstClockMs + now * this.rate;
	}

	/** Extends the lease, forgets ends, and reports. */
	hold(req: fleet.ReportRequest): results.Result<fleet.WorkerReport, fleet.WorkerFailure> {
		if (!this.accepts(req.token)) return results.fail({ kind: 'fenced' });
		this.extend(req.leaseUntil);
		while (this.ended[0] !== undefined && this.ended[0].seq <= req.acknowledgeUpTo) {
			this.opts.journal?.forgotten(this.ended[0]);
			this.ended.shift();
		}
		return results.ok(this.report());
	}

	/** What it says of itself now. */
	report(): fleet.WorkerReport {
		const running = [...this.running].map(([task, one]) => ({
			task,
			run: one.run,
			checkpoint: '',
			percent: one.percent,
			reading: this.readingOf(one),
		}));
		const ended = this.ended.slice(0, mostEnds);
		const { born } = this;
		return { born, clockMs: this.clockMs(), running, ended, hasMoreExits: ended.length === mostEnds };
	}

	/** Starts a run, unless the token, the run number or the lease forbids it; a repeated start changes nothing. */
	start(req: fleet.StartCommand): results.Result<fleet.ClockReading, fleet.WorkerFailure> {
		if (!this.accepts(req.token)) return results.fail({ kind: 'fenced' });
		this.extend(req.leaseUntil);
		if (this.running.get(req.task)?.run === req.run) return results.ok({ clockMs: this.clockMs() });
		if (req.run <= (this.highest.get(req.task) ?? 0) || this.running.has(req.task))
			return results.fail({ kind: 'stale-run' });
		if (this.leaseUntil <= this.clockMs()) return results.fail({ kind: 'too-late' });
		this.begin(req);
		return results.ok({ clockMs: this.clockMs() });
	}

	/** Ends a run after a while, and refuses later starts of it. */
	stop(task: string, run: number, token: number): results.Result<fleet.ClockReading, fleet.WorkerFailure> {
		if (!this.accepts(token)) return results.fail({ kind: 'fenced' });
		this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
		const one = this.running.get(task);
		if (one !== undefined && one.run <= run && !one.stopping) {
			one.stopping = true;
			one.timer?.cancel();
			one.timer = this.opts.clock.after(stopMs, () => {
				this.end(task, one.run, 'stopped');
			});
		}
		return results.ok({ clockMs: this.clockMs() });
	}

	/** Lets a run work at a share of its speed. */
	pace(
		task: string,
		run: number,
		percent: number,
		token: number,
	): results.Result<fleet.ClockReading, fleet.WorkerFailure> {
		if (!this.accepts(token)) return results.fail({ kind: 'fenced' });
		const one = this.running.get(task);
		if (one?.run === run && !one.stopping) this.setPace(task, one, percent);
		return results.ok({ clockMs: this.clockMs() });
	}

	/** This life is over: what runs dies without an end, and calls that wait get no answer. */
	die(): void {
		this.dead = true;
		this.leaseTimer?.cancel();
		for (const one of this.running.values()) one.timer?.cancel();
		this.running.clear();
		this.wake();
	}

	/** Calls `fn` at the next end. */
	onEnd(fn: () => void): void {
		this.waiting.push(fn);
	}

	private accepts(token: number): boolean {
		if (token < this.token) return false;
		this.token = token;
		return true;
	}

	private extend(until: number | undefined): void {
		if (until === undefined) return;
		const longest = this.clockMs() + this.opts.maxLeaseMs;
		this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, longest));
		this.leaseTimer?.cancel();
		this.leaseTimer = this.opts.clock.after((this.leaseUntil - this.clockMs()) / this.rate, () => {
			for (const [task, one] of [...this.running]) this.end(task, one.run, 'lapsed');
		});
	}

	private begin(req: fleet.StartCommand): void {
		const plan = this.opts.plan(req.task, req.run);
		const one: Running = {
			run: req.run,
			timer: undefined,
			leftMs: plan.ms === 'endless' ? Infinity : plan.ms,
			pacedAt: this.opts.clock.now(),
			how: plan.how,
			disturbs: plan.disturbs ?? 0,
			stopping: false,
			reading: plan.reading ?? 0,
			percent: plan.percent ?? 100,
			pace: 100,
			paceBefore: 100,
			changedAt: -Infinity,
		};
		this.running.set(req.task, one);
		this.setPace(req.task, one, one.pace);
		const start: types.StartRecord = {
			at: this.opts.clock.now(),
			task: req.task,
			run: req.run,
			worker: this.name,
			checkpoint: req.checkpoint,
			epoch: fencing.epochOf(req.token),
		};
		this.starts.push(start);
		this.opts.journal?.started(start);
		if (plan.crashMs !== undefined)
			this.opts.clock.after(plan.crashMs, () => {
				this.crashUnder(req);
			});
	}

	/** Lets a run go on at this share of its speed, in per cent, to its end. */
	private setPace(task: string, one: Running, percent: number): void {
		const now = this.opts.clock.now();
		one.leftMs -= ((now - one.pacedAt) * one.pace) / 100;
		if (one.pace !== percent) {
			one.paceBefore = one.pace;
			one.changedAt = now;
		}
		one.pacedAt = now;
		one.pace = percent;
		one.timer?.cancel();
		one.timer = undefined;
		if (percent === 0 || one.leftMs === Infinity) return;
		one.timer = this.opts.clock.after((one.leftMs * 100) / percent, () => {
			this.end(task, one.run, one.how);
		});
	}

	/** What a run's reading is beside what disturbs it. */
	private readingOf(one: Running): number {
		let more = 0;
		for (const other of this.running.values()) if (other !== one) more += (other.disturbs * other.pace) / 100;
		const own = (one.reading * this.recentPaceOf(one)) / 100;
		return one.disturbs > 0 ? own : own * (1 + more);
	}

	/** The mean pace of a run while its newest reading was taken, in per cent. */
	private recentPaceOf({ pace, paceBefore, changedAt }: Running): number {
		const sinceMs = Math.min(readingMs, this.opts.clock.now() - changedAt);
		return pace + ((paceBefore - pace) * (readingMs - sinceMs)) / readingMs;
	}

	/** A run brings its worker down, if it still runs there. */
	private crashUnder({ task, run }: fleet.StartCommand): void {
		if (this.running.get(task)?.run === run) this.crash(this);
	}

	private end(task: string, run: number, how: fleet.ExitKind): void {
		const one = this.running.get(task);
		if (one?.run !== run) return;
		one.timer?.cancel();
		this.running.delete(task);
		this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
		this.seq += 1;
		const ended: fleet.RunExit = { seq: this.seq, task, run, how, checkpoint: '' };
		this.ended.push(ended);
		this.opts.journal?.ended(ended);
		this.wake();
	}

	private wake(): void {
		const waiting = this.waiting;
		this.waiting = [];
		for (const fn of waiting) fn();
	}
}

/** What a worker that comes in another's place has of its entry. */
function placeOf({ entry }: FakeWorker): Partial<fleet.WorkerEntry> {
	const { address, zone, pool, capacity, labels } = entry;
	return { address, zone, pool, capacity, labels };
}

/** Whether a box's calls to a worker, by its name, do not arrive. */
type IsCut = (worker: string) => boolean;

/** All workers of a test, and the calls to them. */
export class FakeFleet {
	readonly workers = new Map<string, FakeWorker>();
	/** How long a report waits on its way back, in milliseconds: the owner's link or processor is full. */
	reportDelayMs = 0;
	/** Every start that was carried out, in order. */
	readonly starts: types.StartRecord[] = [];
	private readonly byAddress = new Map<string, FakeWorker>();
	/** Entries of lives that have ended, which the platform lists until they lapse. */
	lapsing: fleet.WorkerEntry[] = [];
	/** Every crash, in order. */
	readonly crashes: types.CrashRecord[] = [];
	/** A run brings its worker down. */
	onCrash: (worker: FakeWorker) => void = (worker) => {
		this.crash(worker, plainCrash);
	};
	/** Told as the platform's list changes by crashes: entries that are new, ids that went. */
	onListed: (added: fleet.WorkerEntry[], removed: string[]) => void = () => undefined;
	/** How many workers have started again under their names. */
	private restarts = 0;
	/** Addresses of workers that crashed and are not back; `dark`: nothing answers there. */
	private readonly down = new Map<string, 'dark' | 'closed'>();

	private constructor(private readonly opts: FleetOptions) {}

	static create(opts: FleetOptions): FakeFleet {
		return new FakeFleet(opts);
	}

	/** Adds a worker of 32 cores; `born`: it tells that it started then. */
	add(name: string, more: Partial<fleet.WorkerEntry> = {}, born?: number): FakeWorker {
		const entry: fleet.WorkerEntry = {
			id: lives.idOf(name, born),
			address: `${name}:1`,
			zone: 'rennes',
			pool: 'press',
			capacity: { milliCores: 32_000, memoryMb: 128_000, accelerators: 0 },
			labels: [],
			draining: false,
			...more,
		};
		const other = this.atAddress(entry.address);
		if (other !== undefined) this.remove(other);
		const onCrash = (one: FakeWorker): void => {
			this.onCrash(one);
		};
		const worker = FakeWorker.create(entry, this.opts, this.starts, onCrash, born);
		this.down.delete(entry.address);
		this.workers.set(name, worker);
		this.byAddress.set(entry.address, worker);
		return worker;
	}

	/** A worker goes down with all that runs there; nobody listens at its address until another life is added there. */
	takeDown(worker: FakeWorker, dark = false): void {
		const { address } = worker.entry;
		this.crashes.push({ at: this.opts.clock.now(), worker: worker.name, tasks: [...worker.running.keys()] });
		this.remove(worker);
		this.down.set(address, dark ? 'dark' : 'closed');
	}

	/** A worker goes down with all that runs there, and comes back. */
	crash(worker: FakeWorker, how: types.Crash): void {
		if (worker.dead) return;
		const { entry } = worker;
		const { clock } = this.opts;
		this.takeDown(worker, how.dark);
		this.lapsing.push(entry);
		const lapse = clock.after(lapseMs, () => {
			this.unlist(entry);
			this.onListed([], [worker.name]);
		});
		clock.after(how.downMs, () => {
			if (how.keepsName !== true) {
				this.onListed([this.addNext(worker).entry], []);
				return;
			}
			// The entry of the life before stands under the same key.
			lapse.cancel();
			this.unlist(entry);
			this.restart(worker);
		});
	}

	/** A worker starts again under the name that it had, and knows nothing of before. */
	private restart(worker: FakeWorker): void {
		const reborn = this.add(worker.name, placeOf(worker), this.bornAfter(worker));
		this.onListed([reborn.entry], []);
	}

	/** Another worker comes at the address of one that went down. */
	private addNext(worker: FakeWorker): FakeWorker {
		const [name = worker.name, life = '1'] = worker.name.split('~');
		return this.add(`${name}~${String(Number(life) + 1)}`, placeOf(worker));
	}

	/** When a worker's next life says that it started: the time of day, which may have been set back meanwhile. */
	private bornAfter(worker: FakeWorker): number {
		this.restarts += 1;
		const isSetBack = this.restarts % 3 === 0;
		return (worker.born ?? firstBornMs) + (isSetBack ? -1 : this.restarts);
	}

	private unlist(entry: fleet.WorkerEntry): void {
		this.lapsing = this.lapsing.filter((one) => one !== entry);
	}

	private remove(worker: FakeWorker): void {
		this.opts.journal?.crashed?.([...worker.running.keys()]);
		worker.die();
		if (this.workers.get(worker.name) === worker) this.workers.delete(worker.name);
	}

	/** Entries as the platform lists them, by id. */
	entries(): fleet.WorkerEntry[] {
		const living = [...this.workers.values()].map((one) => one.entry);
		return [...living, ...this.lapsing].sort((a, b) => (a.id < b.id ? -1 : 1));
	}

	/** Tasks with two runs at once. */
	doubled(): string[] {
		const running = [...this.workers.values()].flatMap((one) => [...one.running.keys()]);
		return running.filter((task, index) => running.indexOf(task) !== index);
	}

	/** The calls as one box makes them; `isCut`: its calls to that worker do not arrive. */
	calls(isCut: IsCut = () => false): fleet.WorkerCalls {
		const call = <T>(at: fleet.WorkerTarget, order: Order<T>): fleet.WorkerResult<T> =>
			this.carryOut(at, isCut, order);
		return {
			start: (at, order) => call(at, (worker) => worker.start(order)),
			stop: (at, task, run, token) =>
				this.atAddress(at.address)?.ignoresStops === true
					? this.giveUp()
					: call(at, (worker) => worker.stop(task, run, token)),
			pace: (at, task, run, percent, token) => {
				const order: Order<fleet.ClockReading> = (worker) => worker.pace(task, run, percent, token);
				const worker = this.atAddress(at.address);
				if (worker?.delaysPaces !== true) return call(at, order);
				this.carryOutLate(worker, order);
				return this.giveUp();
			},
			requestReport: async (at, order) => {
				const res = await this.hold(at, isCut, order);
				if (this.reportDelayMs > 0) await this.sleep(this.reportDelayMs);
				return res;
			},
			forget: () => undefined,
			renew: () => undefined,
		};
	}

	/** Carries an order out at the worker that listens at the address, as that worker's fault lets it. */
	private async carryOut<T>(
		at: fleet.WorkerTarget,
		isCut: IsCut,
		order: Order<T>,
		onConnected?: () => void,
	): fleet.WorkerResult<T> {
		await this.sleep(arrivalMs);
		const worker = this.atAddress(at.address);
		if (this.down.get(at.address) === 'closed') return results.fail({ kind: 'unreachable' });
		const fault = worker === undefined || isCut(worker.name) ? 'silent' : worker.fault;
		if (worker !== undefined && fault !== 'silent') {
			if (fault !== 'refused') onConnected?.();
			if (worker.name !== lives.nameOf(at.id)) return results.fail({ kind: 'other-life' });
			if (fault === 'none') return order(worker);
			if (fault === 'refused') return results.fail({ kind: 'unreachable' });
			if (fault === 'lost') order(worker);
			else this.carryOutLate(worker, order);
		}
		await this.sleep(giveUpMs);
		return results.fail(noAnswer);
	}

	/** A call that is left without an answer. */
	private async giveUp(): fleet.WorkerResult<never> {
		await this.sleep(giveUpMs);
		return results.fail(noAnswer);
	}

	/** Carries an order out much later, by whoever has the worker's name then. */
	private carryOutLate<T>(worker: FakeWorker, order: Order<T>): void {
		this.opts.clock.after(giveUpMs + lateMs, () => {
			const heir = this.workers.get(worker.name);
			if (heir !== undefined) order(heir);
		});
	}

	/** Asks for a report; without an end to report, the answer waits for one. */
	private async hold(
		at: fleet.WorkerTarget,
		isCut: IsCut,
		order: fleet.ReportRequest,
	): fleet.WorkerResult<fleet.WorkerReport> {
		const first = await this.carryOut(at, isCut, (worker) => worker.hold(order), order.onConnected);
		const worker = this.atAddress(at.address);
		if (!first.ok || worker === undefined || order.waitMs === 0) return first;
		if (first.value.ended.length > 0) return first;
		await this.endOrTimeout(worker, order.waitMs);
		// A worker without power does not even break its connections.
		if (this.down.get(at.address) === 'dark') await this.sleep(giveUpMs);
		if (worker.dead) return results.fail(noAnswer);
		if (isCut(worker.name) || worker.fault !== 'none') return this.giveUp();
		return results.ok(worker.report());
	}

	private atAddress(address: string): FakeWorker | undefined {
		const known = this.byAddress.get(address);
		// Tests take workers out of the map themselves.
		return known !== undefined && this.workers.get(known.name) === known ? known : undefined;
	}

	private endOrTimeout(worker: FakeWorker, ms: number): Promise<void> {
		return new Promise((resolve) => {
			worker.onEnd(resolve);
			this.opts.clock.after(ms, resolve);
		});
	}

	private sleep(ms: number): Promise<void> {
		return new Promise((resolve) => {
			this.opts.clock.after(ms, resolve);
		});
	}
}
