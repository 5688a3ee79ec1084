/**
 * Simulated workers with leases on their own clocks, epochs and run numbers. Fields switch faults on, such as unanswered or
 * delayed commands.
 */
import * as fencing from '../../src/core/dispatch/fencing-tokens.js';
import * as incarnations from '../../src/core/fleet/incarnations.js';
import * as results from '../../src/core/result.js';
import type * as clocks from '../../src/core/clock.js';
import type * as fleet from '../../src/core/fleet/types.js';
import type * as types from './types.js';

export type { CallFate, CallName, Crash, CrashRecord, FleetJournal, RunPlan, StartRecord } from './types.js';

/**
 * What happens to calls. `silent`: not carried out, not answered. `lost`: carried out, not answered. `late`: not answered,
 * and carried out after the caller has timed out. `refused`: connections are refused.
 */
export type WorkerFault = 'none' | 'silent' | 'lost' | 'late' | 'refused';

/** Network delay of a call, and timeout of its caller, in milliseconds. */
const arrivalMs = 2;
const callTimeoutMs = 1_000;

/** How long after the caller's timeout a late operation is carried out, in milliseconds. */
const lateDelayMs = 5_000;

/** How long a run takes to stop, in milliseconds. */
const stopDurationMs = 200;

/** Period that a reading covers, in milliseconds. */
const readingWindowMs = 500;

/** Maximum number of exits in a report. More follow once these are acknowledged. */
const maxExitsPerReport = 500;

/**
 * First reading of a worker's clock, in milliseconds. It is far from the fleet's clock, so that neither can be mistaken for
 * the other.
 */
const initialClockMs = 500_000;

/** First reading of the clock of a worker that reports its start time, in milliseconds. */
const initialClockWithBornMs = 1_000;

/** Start time of the first worker that reports one, in Unix milliseconds. */
export const initialBornMs = 1_796_000_000_000;

const noAnswer: fleet.WorkerFailure = { kind: 'no-answer', reason: 'silent' };

/** The part of a call that runs at the worker. */
type WorkerOperation<T> = (worker: FakeWorker) => results.Result<T, fleet.WorkerFailure>;

interface ActiveRun {
	run: number;
	timer: clocks.Timer | undefined;
	/** Work left, in milliseconds at full pace, as of `paceSetAt`. */
	leftMs: number;
	paceSetAt: number;
	how: fleet.ExitKind;
	/** Interference at full pace: the fraction by which it raises the readings of other runs on the worker. */
	interference: number;
	stopping: boolean;
	reading: number | (() => number);
	percent: number;
	/** Pace in percent of full speed. */
	pace: number;
	/** Pace before its last change, and the time of that change. */
	previousPace: number;
	paceChangedAt: number;
}

/** Settings of a fleet. */
export interface FleetOptions {
	clock: clocks.Clock;
	maxLeaseMs: number;
	plan: (task: string, run: number) => types.RunPlan;
	journal?: types.FleetJournal;
}

/** A crash that a task causes. */
const defaultCrash: types.Crash = { downMs: 3_000, unresponsive: false };

/** How long the platform lists an incarnation after its crash, in milliseconds: three heartbeats. */
const entryLapseMs = 4_500;

/** One incarnation of a worker. */
export class FakeWorker {
	fault: WorkerFault = 'none';
	/** The worker answers stop commands like other calls, but doesn't carry them out. */
	ignoresStops = false;
	/** The worker leaves pace commands unanswered and carries them out late. It answers all other calls. */
	delaysPaceCommands = false;
	/** Speed of its clock relative to the fleet's clock. */
	clockRate = 1;
	readonly running = new Map<string, ActiveRun>();
	readonly ended: fleet.RunExit[] = [];
	/** Whether this incarnation has ended. */
	terminated = false;
	/** Highest fencing token seen. */
	private highestToken = 0;
	private leaseUntil = 0;
	private leaseTimer: clocks.Timer | undefined;
	/** Highest run number seen, by task. */
	private readonly highestRuns = new Map<string, number>();
	/** Sequence number of the newest exit. */
	private seq = 0;
	private waiting: (() => void)[] = [];
	private readonly startedAt: number;

	private constructor(
		readonly entry: fleet.WorkerEntry,
		private readonly opts: FleetOptions,
		private readonly starts: types.StartRecord[],
		private readonly crash: (worker: FakeWorker) => void,
		/** Start by its own wall clock, in Unix milliseconds; undefined: the worker doesn't report it. */
		readonly born: number | undefined,
	) {
		this.startedAt = opts.clock.now();
	}

	/** `starts`: list to which the worker adds each start that it carries out. `crash`: crashes the worker. */
	static create(
		entry: fleet.WorkerEntry,
		opts: FleetOptions,
		starts: types.StartRecord[],
		crash: (worker: FakeWorker) => void,
		born?: number,
	): FakeWorker {
		return new FakeWorker(entry, opts, starts, crash, born);
	}

	/** The name that all its incarnations share. */
	get name(): string {
		return incarnations.nameOf(this.entry.id);
	}

	/** Its monotonic clock, in milliseconds. */
	clockMs(): number {
		const now = this.opts.clock.now();
		if (this.born !== undefined) return initialClockWithBornMs + (now - this.startedAt) * this.clockRate;
		return initialClockMs + now * this.clockRate;
	}

	/** Extends the lease, drops acknowledged exits, and reports. */
	handleReportRequest(req: fleet.ReportRequest): results.Result<fleet.WorkerReport, fleet.WorkerFailure> {
		if (!this.acceptToken(req.token)) return results.fail({ kind: 'fenced' });
		this.extendLease(req.leaseUntil);
		while (this.ended[0] !== undefined && this.ended[0].seq <= req.acknowledgeUpTo) {
			this.opts.journal?.acknowledged(this.ended[0]);
			this.ended.shift();
		}
		return results.ok(this.report());
	}

	/** Report of the current state. */
	report(): fleet.WorkerReport {
		const running = [...this.running].map(([task, one]) => ({
			task,
			run: one.run,
			checkpoint: '',
			percent: one.percent,
			reading: this.readingOf(one),
		}));
		const ended = this.ended.slice(0, maxExitsPerReport);
		const { born } = this;
		return {
			born,
			clockMs: this.clockMs(),
			running,
			ended,
			hasMoreExits: ended.length === maxExitsPerReport,
		};
	}

	/** Starts a run, unless the token, the run number or the lease forbids it. A repeated start command changes nothing. */
	start(req: fleet.StartCommand): results.Result<fleet.ClockReading, fleet.WorkerFailure> {
		if (!this.acceptToken(req.token)) return results.fail({ kind: 'fenced' });
		this.extendLease(req.leaseUntil);
		if (this.running.get(req.task)?.run === req.run) return results.ok({ clockMs: this.clockMs() });
		if (req.run <= (this.highestRuns.get(req.task) ?? 0) || this.running.has(req.task))
			return results.fail({ kind: 'stale-run' });
		if (this.leaseUntil <= this.clockMs()) return results.fail({ kind: 'too-late' });
		this.startRun(req);
		return results.ok({ clockMs: this.clockMs() });
	}

	/** Stops a run after a delay, and refuses later starts of it. */
	stop(task: string, run: number, token: number): results.Result<fleet.ClockReading, fleet.WorkerFailure> {
		if (!this.acceptToken(token)) return results.fail({ kind: 'fenced' });
		this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
		const active = this.running.get(task);
		if (active !== undefined && active.run <= run && !active.stopping) {
			active.stopping = true;
			active.timer?.cancel();
			active.timer = this.opts.clock.after(stopDurationMs, () => {
				this.exitRun(task, active.run, 'stopped');
			});
		}
		return results.ok({ clockMs: this.clockMs() });
	}

	/** Sets the pace of a run. */
	pace(
		task: string,
		run: number,
		percent: number,
		token: number,
	): results.Result<fleet.ClockReading, fleet.WorkerFailure> {
		if (!this.acceptToken(token)) return results.fail({ kind: 'fenced' });
		const active = this.running.get(task);
		if (active?.run === run && !active.stopping) this.setPace(task, active, percent);
		return results.ok({ clockMs: this.clockMs() });
	}

	/** Ends this incarnation. Its runs end without an exit, and waiting calls get no answer. */
	terminate(): void {
		this.terminated = true;
		this.leaseTimer?.cancel();
		for (const one of this.running.values()) one.timer?.cancel();
		this.running.clear();
		this.notifyListeners();
	}

	/** Calls `fn` once, at the next exit. */
	onNextExit(fn: () => void): void {
		this.waiting.push(fn);
	}

	private acceptToken(token: number): boolean {
		if (token < this.highestToken) return false;
		this.highestToken = token;
		return true;
	}

	private extendLease(until: number | undefined): void {
		if (until === undefined) return;
		const latestAllowed = this.clockMs() + this.opts.maxLeaseMs;
		this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, latestAllowed));
		this.leaseTimer?.cancel();
		this.leaseTimer = this.opts.clock.after((this.leaseUntil - this.clockMs()) / this.clockRate, () => {
			for (const [task, one] of [...this.running]) this.exitRun(task, one.run, 'lapsed');
		});
	}

	private startRun(req: fleet.StartCommand): void {
		const plan = this.opts.plan(req.task, req.run);
		const active: ActiveRun = {
			run: req.run,
			timer: undefined,
			leftMs: plan.ms === 'endless' ? Infinity : plan.ms,
			paceSetAt: this.opts.clock.now(),
			how: plan.how,
			interference: plan.interference ?? 0,
			stopping: false,
			reading: plan.reading ?? 0,
			percent: plan.percent ?? 100,
			pace: 100,
			previousPace: 100,
			paceChangedAt: -Infinity,
		};
		this.running.set(req.task, active);
		this.setPace(req.task, active, active.pace);
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
		if (plan.crashAfterMs !== undefined)
			this.opts.clock.after(plan.crashAfterMs, () => {
				this.crashFromRun(req);
			});
	}

	/** Sets a run's pace, in percent, and reschedules its exit accordingly. */
	private setPace(task: string, active: ActiveRun, percent: number): void {
		const now = this.opts.clock.now();
		active.leftMs -= ((now - active.paceSetAt) * active.pace) / 100;
		if (active.pace !== percent) {
			active.previousPace = active.pace;
			active.paceChangedAt = now;
		}
		active.paceSetAt = now;
		active.pace = percent;
		active.timer?.cancel();
		active.timer = undefined;
		if (percent === 0 || active.leftMs === Infinity) return;
		active.timer = this.opts.clock.after((active.leftMs * 100) / percent, () => {
			this.exitRun(task, active.run, active.how);
		});
	}

	/**
	 * A run's reading, with the interference from the other runs on the worker. Runs that interfere with others are not
	 * affected themselves.
	 */
	private readingOf(active: ActiveRun): number {
		if (typeof active.reading === 'function') return active.reading();
		let addedFraction = 0;
		for (const other of this.running.values())
			if (other !== active) addedFraction += (other.interference * other.pace) / 100;
		const own = (active.reading * this.recentPaceOf(active)) / 100;
		return active.interference > 0 ? own : own * (1 + addedFraction);
	}

	/** Mean pace of a run over the period that its newest reading covers, in percent. */
	private recentPaceOf({ pace, previousPace, paceChangedAt }: ActiveRun): number {
		const sinceMs = Math.min(readingWindowMs, this.opts.clock.now() - paceChangedAt);
		return pace + ((previousPace - pace) * (readingWindowMs - sinceMs)) / readingWindowMs;
	}

	/** Crashes the worker because of a run, if the run is still active. */
	private crashFromRun({ task, run }: fleet.StartCommand): void {
		if (this.running.get(task)?.run === run) this.crash(this);
	}

	private exitRun(task: string, run: number, how: fleet.ExitKind): void {
		const active = this.running.get(task);
		if (active?.run !== run) return;
		active.timer?.cancel();
		this.running.delete(task);
		this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
		this.seq += 1;
		const exit: fleet.RunExit = { seq: this.seq, task, run, how, checkpoint: '' };
		this.ended.push(exit);
		this.opts.journal?.ended(exit);
		this.notifyListeners();
	}

	private notifyListeners(): void {
		const waiting = this.waiting;
		this.waiting = [];
		for (const fn of waiting) fn();
	}
}

/** Fields of the entry that a replacement worker takes over. */
function inheritedFields({ entry }: FakeWorker): Partial<fleet.WorkerEntry> {
	const { address, zone, pool, capacity, labels } = entry;
	return { address, zone, pool, capacity, labels };
}

/** Whether calls of a box to the worker of this name are cut off. */
type IsCut = (worker: string) => boolean;

/** All simulated workers of a test, and the calls to them. */
export class FakeFleet {
	readonly workers = new Map<string, FakeWorker>();
	/** Extra delay of each report on its way back, in milliseconds, as when the owner's link or processor is saturated. */
	reportDelayMs = 0;
	/** All starts that were carried out, in order. */
	readonly starts: types.StartRecord[] = [];
	private readonly byAddress = new Map<string, FakeWorker>();
	/** Entries of crashed incarnations, which the platform lists until they lapse. */
	lapsingEntries: fleet.WorkerEntry[] = [];
	/** All crashes, in order. */
	readonly crashes: types.CrashRecord[] = [];
	/** Called when a run crashes its worker. */
	onCrash: (worker: FakeWorker) => void = (worker) => {
		this.crashAndRecover(worker, defaultCrash);
	};
	/** Called when crashes change the platform's list; gets the new entries and the names of the removed workers. */
	onEntriesChanged: (added: fleet.WorkerEntry[], removed: string[]) => void = () => undefined;
	/** What becomes of a call to a worker; undefined: it arrives and is answered at once. */
	fateOf: (worker: string, call: types.CallName) => types.CallFate | undefined = () => undefined;
	/** Number of workers that have restarted under their old names. */
	private restarts = 0;
	/**
	 * Addresses of crashed workers that are not replaced yet. `closed`: connections are refused. `dark`: nothing answers.
	 */
	private readonly down = new Map<string, 'dark' | 'closed'>();

	private constructor(private readonly opts: FleetOptions) {}

	static create(opts: FleetOptions): FakeFleet {
		return new FakeFleet(opts);
	}

	/** Adds a worker of 32 cores. `born`: the start time that it reports; absent: it reports none. */
	add(name: string, more: Partial<fleet.WorkerEntry> = {}, born?: number): FakeWorker {
		const entry: fleet.WorkerEntry = {
			id: incarnations.idOf(name, born),
			address: `${name}:1`,
			zone: 'rennes',
			pool: 'press',
			capacity: { milliCores: 32_000, memoryMb: 128_000, accelerators: 0 },
			labels: [],
			draining: false,
			...more,
		};
		const previous = this.atAddress(entry.address);
		if (previous !== undefined) this.remove(previous);
		const onCrash = (one: FakeWorker): void => {
			this.onCrash(one);
		};
		const worker = FakeWorker.create(entry, this.opts, this.starts, onCrash, born);
		this.down.delete(entry.address);
		this.workers.set(name, worker);
		this.byAddress.set(entry.address, worker);
		return worker;
	}

	/** Crashes a worker with all its runs. Nothing listens at its address until another incarnation is added there. */
	takeDown(worker: FakeWorker, unresponsive = false): void {
		const { address } = worker.entry;
		this.crashes.push({ at: this.opts.clock.now(), worker: worker.name, tasks: [...worker.running.keys()] });
		this.remove(worker);
		this.down.set(address, unresponsive ? 'dark' : 'closed');
	}

	/** Crashes a worker with all its runs, and brings up a replacement or a new incarnation after `how.downMs`. */
	crashAndRecover(worker: FakeWorker, how: types.Crash): void {
		if (worker.terminated) return;
		const { entry } = worker;
		const { clock } = this.opts;
		this.takeDown(worker, how.unresponsive);
		this.lapsingEntries.push(entry);
		const lapse = clock.after(entryLapseMs, () => {
			this.unlist(entry);
			this.onEntriesChanged([], [worker.name]);
		});
		clock.after(how.downMs, () => {
			if (how.keepsName !== true) {
				this.onEntriesChanged([this.addReplacement(worker).entry], []);
				return;
			}
			// The entry of the previous incarnation has the same key.
			lapse.cancel();
			this.unlist(entry);
			this.restart(worker);
		});
	}

	/** Restarts a worker under its old name. It knows nothing of its earlier runs. */
	private restart(worker: FakeWorker): void {
		const restarted = this.add(worker.name, inheritedFields(worker), this.nextBorn(worker));
		this.onEntriesChanged([restarted.entry], []);
	}

	/** Adds a worker of a new name at the address of a crashed one. */
	private addReplacement(worker: FakeWorker): FakeWorker {
		const [name = worker.name, incarnation = '1'] = worker.name.split('~');
		return this.add(`${name}~${String(Number(incarnation) + 1)}`, inheritedFields(worker));
	}

	/**
	 * Start time that a worker's next incarnation reports. Each third one is earlier than the one before, as after a wall
	 * clock that was set back.
	 */
	private nextBorn(worker: FakeWorker): number {
		this.restarts += 1;
		const isSetBack = this.restarts % 3 === 0;
		return (worker.born ?? initialBornMs) + (isSetBack ? -1 : this.restarts);
	}

	private unlist(entry: fleet.WorkerEntry): void {
		this.lapsingEntries = this.lapsingEntries.filter((one) => one !== entry);
	}

	private remove(worker: FakeWorker): void {
		this.opts.journal?.crashed?.(worker.name, [...worker.running.keys()]);
		worker.terminate();
		if (this.workers.get(worker.name) === worker) this.workers.delete(worker.name);
	}

	/** Entries that the platform lists, sorted by id. */
	entries(): fleet.WorkerEntry[] {
		const activeEntries = [...this.workers.values()].map((one) => one.entry);
		return [...activeEntries, ...this.lapsingEntries].sort((a, b) => (a.id < b.id ? -1 : 1));
	}

	/** Tasks with two active runs. */
	tasksRunningTwice(): string[] {
		const running = [...this.workers.values()].flatMap((one) => [...one.running.keys()]);
		return running.filter((task, index) => running.indexOf(task) !== index);
	}

	/** The calls of one box. `isCut`: whether its calls to a worker are cut off. */
	calls(isCut: IsCut = () => false): fleet.WorkerCalls {
		const calls = this.directCalls(isCut);
		const deliver = <T>(
			at: fleet.WorkerTarget,
			call: types.CallName,
			send: () => fleet.WorkerResult<T>,
			waitMs = 0,
		): fleet.WorkerResult<T> => {
			const fate = this.fateOf(incarnations.nameOf(at.id), call);
			return fate === undefined ? send() : this.deliver(fate, callTimeoutMs + waitMs, send);
		};
		return {
			...calls,
			start: (at, command) => deliver(at, 'start', () => calls.start(at, command)),
			stop: (at, task, run, token) => deliver(at, 'stop', () => calls.stop(at, task, run, token)),
			pace: (at, task, run, percent, token) =>
				deliver(at, 'pace', () => calls.pace(at, task, run, percent, token)),
			requestReport: (at, request) =>
				deliver(at, 'report', () => calls.requestReport(at, request), request.waitMs),
		};
	}

	/** The calls of one box as they arrive. */
	private directCalls(isCut: IsCut): fleet.WorkerCalls {
		const call = <T>(at: fleet.WorkerTarget, operation: WorkerOperation<T>): fleet.WorkerResult<T> =>
			this.execute(at, isCut, operation);
		return {
			start: (at, command) => call(at, (worker) => worker.start(command)),
			stop: (at, task, run, token) =>
				this.atAddress(at.address)?.ignoresStops === true
					? this.timeOut()
					: call(at, (worker) => worker.stop(task, run, token)),
			pace: (at, task, run, percent, token) => {
				const operation: WorkerOperation<fleet.ClockReading> = (worker) =>
					worker.pace(task, run, percent, token);
				const worker = this.atAddress(at.address);
				if (worker?.delaysPaceCommands !== true) return call(at, operation);
				this.executeLate(worker, operation);
				return this.timeOut();
			},
			requestReport: async (at, request) => {
				const res = await this.requestReport(at, isCut, request);
				if (this.reportDelayMs > 0) await this.sleep(this.reportDelayMs);
				return res;
			},
			forget: () => undefined,
			renew: () => undefined,
		};
	}

	/**
	 * Runs an operation at the worker that listens at the address, subject to that worker's fault. `onConnected`: called
	 * when the connection is accepted.
	 */
	private async execute<T>(
		at: fleet.WorkerTarget,
		isCut: IsCut,
		operation: WorkerOperation<T>,
		onConnected?: () => void,
	): fleet.WorkerResult<T> {
		await this.sleep(arrivalMs);
		const worker = this.atAddress(at.address);
		if (this.down.get(at.address) === 'closed') return results.fail({ kind: 'unreachable' });
		const fault = worker === undefined || isCut(worker.name) ? 'silent' : worker.fault;
		if (worker !== undefined && fault !== 'silent') {
			if (fault !== 'refused') onConnected?.();
			if (worker.name !== incarnations.nameOf(at.id)) return results.fail({ kind: 'other-life' });
			if (fault === 'none') return operation(worker);
			if (fault === 'refused') return results.fail({ kind: 'unreachable' });
			if (fault === 'lost') operation(worker);
			else this.executeLate(worker, operation);
		}
		await this.sleep(callTimeoutMs);
		return results.fail(noAnswer);
	}

	/** Delivers a call as `fate` says. `send`: sends it from the moment of its arrival on. */
	private async deliver<T>(
		{ arrivesAfterMs, answersAfterMs, isRefused }: types.CallFate,
		timeoutMs: number,
		send: () => fleet.WorkerResult<T>,
	): fleet.WorkerResult<T> {
		const answering = this.sleep(arrivesAfterMs).then(() =>
			isRefused ? results.fail<fleet.WorkerFailure>({ kind: 'refused', status: 503 }) : send(),
		);
		const timingOut = this.timeOut(timeoutMs);
		if (answersAfterMs === 'lost') return timingOut;
		const answered = answering.then(async (res) => {
			await this.sleep(answersAfterMs);
			return res;
		});
		return Promise.race([answered, timingOut]);
	}

	/** A call that gets no answer. */
	private async timeOut(ms = callTimeoutMs): fleet.WorkerResult<never> {
		await this.sleep(ms);
		return results.fail(noAnswer);
	}

	/** Runs an operation after the caller's timeout, at the worker that has the name by then. */
	private executeLate<T>(worker: FakeWorker, operation: WorkerOperation<T>): void {
		this.opts.clock.after(callTimeoutMs + lateDelayMs, () => {
			const successor = this.workers.get(worker.name);
			if (successor !== undefined) operation(successor);
		});
	}

	/** Requests a report. If there is no exit to report, the answer waits for one. */
	private async requestReport(
		at: fleet.WorkerTarget,
		isCut: IsCut,
		request: fleet.ReportRequest,
	): fleet.WorkerResult<fleet.WorkerReport> {
		const first = await this.execute(
			at,
			isCut,
			(worker) => worker.handleReportRequest(request),
			request.onConnected,
		);
		const worker = this.atAddress(at.address);
		if (!first.ok || worker === undefined || request.waitMs === 0) return first;
		if (first.value.ended.length > 0) return first;
		await this.exitOrTimeout(worker, request.waitMs);
		// A worker without power doesn't close its connections either.
		if (this.down.get(at.address) === 'dark') await this.sleep(callTimeoutMs);
		if (worker.terminated) return results.fail(noAnswer);
		if (isCut(worker.name) || worker.fault !== 'none') return this.timeOut();
		return results.ok(worker.report());
	}

	private atAddress(address: string): FakeWorker | undefined {
		const known = this.byAddress.get(address);
		// Tests remove workers from the map directly.
		return known !== undefined && this.workers.get(known.name) === known ? known : undefined;
	}

	private exitOrTimeout(worker: FakeWorker, ms: number): Promise<void> {
		return new Promise((resolve) => {
			worker.onNextExit(resolve);
			this.opts.clock.after(ms, resolve);
		});
	}

	private sleep(ms: number): Promise<void> {
		return new Promise((resolve) => {
			this.opts.clock.after(ms, resolve);
		});
	}
}
