/**
 * Model of the shard log and the workers' leases: owners pause, crash and lose answers, workers restart, and messages arrive
 * late or twice. A dead owner is one that takes no more steps. Time is a count of ticks that all clocks share, kept as ages
 * and as ticks left, so the number of ticks has no bound. The cost of differing clock rates is the margin and `clockRate` of
 * the settings (docs/PROOFS.md). The wait before an unresponsive worker's tasks are presumed stopped is computed by the
 * program's own function.
 */
import * as reachability from '../src/core/scheduler/reachability.js';
import * as types from '../src/core/scheduler/types.js';
import type * as explore from './explore.js';

/** Bounds and guards. A mutant is the model with one guard left out. */
export interface LeaseOptions {
	name: string;
	workers: number;
	tasks: number;
	/** Attempts of each task, at most. */
	attempts: number;
	takeovers: number;
	restarts: number;
	/**
	 * Whose messages may arrive late or twice, besides the direct exchanges: no owner's, the first owner's, or any owner's.
	 */
	late: 'none' | 'first' | 'any';
	/** Whether tasks ever complete; if not, the model has no goal. */
	tasksComplete: boolean;
	/** Whether appends may go unanswered, whether they were stored or not. */
	lost: boolean;
	guards: Guards;
}

/** The guards of the protocol, which has them all; each mutant leaves one out. `spec/expected.json` contains these names. */
export interface Guards {
	/** Workers refuse an older epoch. */
	epoch: boolean;
	/** Workers refuse a message that is older than one that they accepted under the same epoch. */
	order: boolean;
	/** Workers refuse messages for another incarnation. */
	incarnation: boolean;
	/** Workers refuse a start after its time has run out. */
	notAfter: boolean;
	/** Owners renew and start only within the horizon of their last committed entry. */
	horizon: boolean;
	/** Owners wait until every lease has expired, also those of earlier owners. */
	wait: boolean;
	/** Owners resolve an unanswered append by reading the slot back. */
	readBack: boolean;
	/** Appends go through only if the owner knows the whole log before them. */
	compareAndSwap: boolean;
	/** Owners keep a placement reserved until its task is proven stopped. */
	reserve: boolean;
	/** A task's exit is committed before it is acknowledged to the worker. */
	commitFirst: boolean;
}

/** Every guard on. */
export const allGuards: Guards = {
	epoch: true,
	order: true,
	incarnation: true,
	notAfter: true,
	horizon: true,
	wait: true,
	readBack: true,
	compareAndSwap: true,
	reserve: true,
	commitFirst: true,
};

/** Ticks of a lease and of the horizon. */
const leaseTicks = 1;
const horizonTicks = 1;

const timing: reachability.TimingOptions = {
	leaseMs: leaseTicks,
	horizonMs: horizonTicks,
	marginMs: 0,
	maxClockDrift: 0,
	unreachableMs: 0,
};

type Change =
	| { type: 'beat' }
	| { type: 'place'; task: number; worker: number; boot: number }
	| { type: 'free'; task: number }
	| { type: 'done'; task: number };

interface Task {
	state: 'pending' | 'placed' | 'done';
	attempt: number;
	worker: number;
	boot: number;
}

interface Attempt {
	attempt: number;
	state: 'running' | 'stopped' | 'ended';
	/** Ticks left of its lease. */
	left: number;
}

interface WorkerView {
	fenced: boolean;
	boot: number;
	ticksSinceAnswer: number;
	/** Ticks until every lease granted has expired; negative: all have. */
	ticksUntilLeaseExpiry: number;
	reports: (Omit<Attempt, 'left'> | null)[];
}

interface Owner {
	epoch: number;
	knowsWholeLog: boolean;
	/** The tasks as the owner knows them. */
	tasks: Task[];
	ticksSinceTakeover: number;
	/** Ticks since it sent its newest committed entry. */
	ticksSinceSend: number;
	views: WorkerView[];
	/** An append without an answer. Only the platform knows `stored`, whether it took effect. */
	pending: { change: Change; ticksSinceSend: number; stored: boolean } | null;
}

interface Worker {
	boot: number;
	epoch: number;
	attempts: (Attempt | null)[];
}

interface AttemptRef {
	task: number;
	attempt: number;
}

interface Message {
	epoch: number;
	boot: number;
	/** Ticks until the message expires; negative: expired. */
	ticksLeft: number;
	starts: AttemptRef[];
	renewals: AttemptRef[];
	acknowledgements: AttemptRef[];
	/** The worker has already accepted a message that was sent later. */
	isOvertaken: boolean;
}

/** A state of the model. */
export interface LeaseState {
	epoch: number;
	/** The tasks as the whole log defines them. */
	tasks: Task[];
	owners: (Owner | null)[];
	workers: Worker[];
	/** A message in flight to each worker; null: none. */
	messagesInFlight: (Message | null)[];
	/** Attempts ever started, by task. */
	started: number[][];
	restarts: number;
	violation: string;
}

type AddStep = (name: string, change: (next: LeaseState) => void) => void;

const incrementAge = (ticks: number, cap: number): number => Math.min(cap, ticks + 1);

const decrementTicks = (ticks: number): number => Math.max(-1, ticks - 1);

function applyChange(tasks: Task[], change: Change): void {
	if (!('task' in change)) return;
	const task = tasks[change.task];
	if (task === undefined) return;
	if (change.type === 'place') {
		Object.assign(task, {
			state: 'placed',
			attempt: task.attempt + 1,
			worker: change.worker,
			boot: change.boot,
		});
		return;
	}
	Object.assign(task, { state: change.type === 'done' ? 'done' : 'pending', worker: -1, boot: -1 });
}

/** The model under the given bounds and guards. */
export function leaseModel(opts: LeaseOptions): explore.Model<LeaseState> {
	const { guards } = opts;
	const noAttempts = <T>(): (T | null)[] => Array.from({ length: opts.tasks }, () => null);
	const initial: LeaseState = {
		epoch: 0,
		tasks: Array.from({ length: opts.tasks }, () => ({ state: 'pending', attempt: 0, worker: -1, boot: -1 })),
		owners: [null, null],
		workers: Array.from({ length: opts.workers }, () => ({ boot: 0, epoch: 0, attempts: noAttempts() })),
		messagesInFlight: Array.from({ length: opts.workers }, () => null),
		started: Array.from({ length: opts.tasks }, () => []),
		restarts: 0,
		violation: '',
	};

	/** The changes that the owner may append next. */
	const possibleChanges = (state: LeaseState, owner: Owner): Change[] => {
		const changes: Change[] = [{ type: 'beat' }];
		for (const [task, known] of owner.tasks.entries()) {
			if (known.state === 'pending') changes.push(...placements(state, owner, task, known));
			if (known.state === 'placed') changes.push(...releases(owner, task, known));
		}
		return changes;
	};

	const placements = (state: LeaseState, owner: Owner, task: number, known: Task): Change[] => {
		if (known.attempt >= opts.attempts) return [];
		const changes: Change[] = [];
		for (const [worker, view] of owner.views.entries()) {
			// Workers are interchangeable: the first placement of all goes to the first one.
			if (worker > 0 && state.tasks.every((one) => one.attempt === 0)) continue;
			const isFull = owner.tasks.some((one) => one.state === 'placed' && one.worker === worker);
			if (view.fenced && !(isFull && guards.reserve))
				changes.push({ type: 'place', task, worker, boot: view.boot });
		}
		return changes;
	};

	const releases = (owner: Owner, task: number, known: Task): Change[] => {
		const view = owner.views[known.worker];
		if (view === undefined) return [];
		const report = view.reports[task];
		if (view.fenced && view.boot !== known.boot) return [{ type: 'free', task }];
		if (view.fenced && report?.attempt === known.attempt) {
			if (report.state === 'ended') return [{ type: 'done', task }];
			if (report.state === 'stopped') return [{ type: 'free', task }];
		}
		const fullView = {
			...types.newWorkerView(emptyListing),
			fenced: view.fenced,
			leaseEndsBy: view.ticksUntilLeaseExpiry,
		};
		const provenStoppedAt = reachability.provenStoppedAt(
			fullView,
			{ at: -owner.ticksSinceTakeover, released: false },
			timing,
		);
		return (guards.wait ? 0 > provenStoppedAt : view.ticksUntilLeaseExpiry < 0)
			? [{ type: 'free', task }]
			: [];
	};

	/** The message that the owner would send to the worker. */
	const composeMessage = (owner: Owner, worker: number): Message => {
		const view = owner.views[worker];
		const message: Message = {
			...{
				epoch: owner.epoch,
				boot: view?.fenced === true ? view.boot : -1,
				ticksLeft: leaseTicks - (view?.ticksSinceAnswer ?? 0),
			},
			...{ starts: [], renewals: [], acknowledgements: [], isOvertaken: false },
		};
		if (view?.fenced !== true) return message;
		const mayRenew = !guards.horizon || owner.ticksSinceSend <= horizonTicks;
		for (const [task, known] of owner.tasks.entries()) {
			const unansweredChange = owner.pending?.change;
			if (unansweredChange !== undefined && 'task' in unansweredChange && unansweredChange.task === task)
				continue;
			const ref = { task, attempt: known.attempt };
			const isPlacedHere = known.state === 'placed' && known.worker === worker && known.boot === view.boot;
			const report = view.reports[task];
			const isReported = report?.attempt === known.attempt;
			if (isPlacedHere && mayRenew && !isReported) message.starts.push(ref);
			if (isPlacedHere && mayRenew && isReported && report.state === 'running') message.renewals.push(ref);
			const hasEnded = isReported && report.state === 'ended';
			if (hasEnded && (known.state === 'done' || !guards.commitFirst)) message.acknowledgements.push(ref);
		}
		return message;
	};

	const noteSent = (owner: Owner, worker: number, message: Message): void => {
		const view = owner.views[worker];
		if (view === undefined || message.starts.length + message.renewals.length === 0) return;
		view.ticksUntilLeaseExpiry = Math.max(view.ticksUntilLeaseExpiry, message.ticksLeft);
	};

	/** The worker handles a message; false: it refused. */
	const receive = (state: LeaseState, index: number, message: Message): boolean => {
		const worker = state.workers[index];
		if (worker === undefined) return false;
		if (guards.epoch && message.epoch < worker.epoch) return false;
		if (guards.order && message.isOvertaken && message.epoch === worker.epoch) return false;
		if (guards.incarnation && message.boot !== -1 && message.boot !== worker.boot) return false;
		worker.epoch = Math.max(worker.epoch, message.epoch);
		const inFlight = state.messagesInFlight[index];
		if (inFlight && inFlight !== message && inFlight.epoch === message.epoch) inFlight.isOvertaken = true;
		for (const ref of message.renewals) {
			const attempt = worker.attempts[ref.task];
			if (attempt?.attempt === ref.attempt && attempt.state === 'running') {
				attempt.left = Math.max(attempt.left, message.ticksLeft);
			}
		}
		for (const ref of message.starts) start(state, worker, ref, message.ticksLeft);
		for (const ref of message.acknowledgements) {
			const attempt = worker.attempts[ref.task];
			if (attempt?.attempt === ref.attempt && attempt.state !== 'running') worker.attempts[ref.task] = null;
		}
		return true;
	};

	const start = (state: LeaseState, worker: Worker, ref: AttemptRef, left: number): void => {
		const known = worker.attempts[ref.task];
		if (known && known.attempt >= ref.attempt) return;
		if (guards.notAfter && left <= 0) return;
		const started = state.started[ref.task] ?? [];
		if (started.includes(ref.attempt))
			state.violation = `attempt ${ref.attempt} of task ${ref.task} started twice`;
		started.push(ref.attempt);
		started.sort();
		worker.attempts[ref.task] = { attempt: ref.attempt, state: 'running', left: Math.max(left, leaseTicks) };
		if (guards.notAfter) worker.attempts[ref.task] = { attempt: ref.attempt, state: 'running', left };
		checkInvariants(state);
	};

	/** No task runs on two workers, and no worker runs two tasks. */
	const checkInvariants = (state: LeaseState): void => {
		for (let task = 0; task < opts.tasks; task += 1) {
			const workersRunning = state.workers.filter((worker) => worker.attempts[task]?.state === 'running');
			if (workersRunning.length > 1) state.violation = `task ${task} runs in two places`;
		}
		for (const worker of state.workers) {
			const running = worker.attempts.filter((attempt) => attempt?.state === 'running');
			if (running.length > 1) state.violation = 'a worker holds more than it has room for';
		}
	};

	const applyAnswer = (owner: Owner, workerState: Worker, worker: number): void => {
		const view = owner.views[worker];
		if (view === undefined) return;
		if (!view.fenced) view.ticksUntilLeaseExpiry = Math.max(view.ticksUntilLeaseExpiry, leaseTicks);
		view.fenced = true;
		view.boot = workerState.boot;
		view.ticksSinceAnswer = 0;
		view.reports = workerState.attempts.map((one) => one && { attempt: one.attempt, state: one.state });
	};

	const steps = (state: LeaseState): { name: string; next: LeaseState }[] => {
		const out: { name: string; next: LeaseState }[] = [];
		if (state.violation !== '') return out;
		const from = JSON.stringify(state);
		const add: AddStep = (name, change) => {
			const next = JSON.parse(from) as LeaseState;
			change(next);
			for (const [index, owner] of next.owners.entries()) {
				if (owner && isPowerless(owner)) next.owners[index] = null;
				else if (owner) dropIrrelevant(owner);
			}
			out.push({ name, next });
		};
		add('a tick passes', passTime);
		for (const index of [0, 1]) ownerSteps(state, index, add);
		for (let worker = 0; worker < opts.workers; worker += 1) workerSteps(state, worker, add);
		return out;
	};

	/**
	 * Whether an owner is superseded and past its horizon: nothing that it sends starts or renews a run, and no append of it
	 * takes effect.
	 */
	const isPowerless = (owner: Owner): boolean =>
		!owner.knowsWholeLog &&
		guards.horizon &&
		guards.compareAndSwap &&
		owner.ticksSinceSend > horizonTicks &&
		!owner.pending?.stored;

	/** Drops what can't matter any more, so that states that differ only in it are one. */
	const dropIrrelevant = (owner: Owner): void => {
		for (const view of owner.views) {
			view.reports = view.reports.map((one, task) =>
				one && one.attempt < (owner.tasks[task]?.attempt ?? 0) ? null : one,
			);
		}
		const allFenced = owner.views.every((view) => view.fenced);
		if (allFenced) owner.ticksSinceTakeover = horizonTicks + leaseTicks + 1;
		if (owner.knowsWholeLog || !guards.compareAndSwap) return;
		// No decision of it would be stored, so what it would base decisions on is dropped.
		owner.ticksSinceTakeover = horizonTicks + leaseTicks + 1;
		for (const view of owner.views) view.ticksUntilLeaseExpiry = -1;
		if (owner.pending && !owner.pending.stored) owner.pending = null;
	};

	const passTime = (next: LeaseState): void => {
		for (const worker of next.workers) {
			for (const attempt of worker.attempts) {
				if (attempt?.state !== 'running') continue;
				attempt.left -= 1;
				if (attempt.left <= 0) Object.assign(attempt, { state: 'stopped', left: 0 });
			}
		}
		for (const owner of next.owners) if (owner) ageOwner(owner);
		for (const message of next.messagesInFlight)
			if (message) message.ticksLeft = decrementTicks(message.ticksLeft);
	};

	const ageOwner = (owner: Owner): void => {
		owner.ticksSinceTakeover = incrementAge(owner.ticksSinceTakeover, horizonTicks + leaseTicks + 1);
		owner.ticksSinceSend = incrementAge(owner.ticksSinceSend, horizonTicks + 1);
		if (owner.pending)
			owner.pending.ticksSinceSend = incrementAge(owner.pending.ticksSinceSend, horizonTicks + 1);
		for (const view of owner.views) {
			view.ticksSinceAnswer = incrementAge(view.ticksSinceAnswer, leaseTicks);
			view.ticksUntilLeaseExpiry = decrementTicks(view.ticksUntilLeaseExpiry);
		}
	};

	const ownerSteps = (state: LeaseState, index: number, add: AddStep): void => {
		const owner = state.owners[index];
		// Owners are interchangeable: the first to take the shard is the first one. A restart after a death is a takeover
		// too.
		if (!owner?.knowsWholeLog && state.epoch < opts.takeovers && (index === 0 || state.epoch > 0)) {
			add(`owner ${index} takes the shard`, (next) => {
				takeOver(next, index);
			});
		}
		if (!owner) return;
		if (owner.pending !== null) {
			add(`owner ${index} settles its append`, (next) => {
				resolveAppend(next, index);
			});
		} else if (owner.knowsWholeLog || !guards.compareAndSwap) {
			for (const change of possibleChanges(state, owner)) appendSteps(index, change, add);
		}
		for (let worker = 0; worker < opts.workers; worker += 1) exchangeSteps(state, index, worker, add);
	};

	const takeOver = (next: LeaseState, index: number): void => {
		next.epoch += 1;
		for (const other of next.owners) if (other) other.knowsWholeLog = false;
		const views = next.workers.map(() => ({
			fenced: false,
			boot: -1,
			ticksSinceAnswer: leaseTicks,
			ticksUntilLeaseExpiry: -1,
			reports: noAttempts<Attempt>(),
		}));
		const tasks = structuredClone(next.tasks);
		next.owners[index] = {
			...{
				epoch: next.epoch,
				knowsWholeLog: true,
				tasks,
				ticksSinceTakeover: 0,
				ticksSinceSend: 0,
				views,
				pending: null,
			},
		};
	};

	const appendSteps = (index: number, change: Change, add: AddStep): void => {
		const where = change.type === 'place' ? ` on worker ${change.worker}` : '';
		const what = `${change.type}${'task' in change ? ` task ${change.task}` : ''}${where}`;
		add(`owner ${index} commits ${what}`, (next) => {
			commit(next, index, change, 0);
		});
		if (change.type === 'beat' || !opts.lost) return;
		add(`owner ${index} stores ${what}, the answer is lost`, (next) => {
			const owner = next.owners[index];
			if (!owner) return;
			const isStored = owner.knowsWholeLog || !guards.compareAndSwap;
			if (isStored) applyChange(next.tasks, change);
			noteUnanswered(owner, change, isStored);
		});
		add(`owner ${index} sends ${what}, the request is lost`, (next) => {
			const owner = next.owners[index];
			if (owner) noteUnanswered(owner, change, false);
		});
	};

	const noteUnanswered = (owner: Owner, change: Change, stored: boolean): void => {
		if (guards.readBack) {
			owner.pending = { change, ticksSinceSend: 0, stored };
			return;
		}
		// Without the guard the owner presumes that an unanswered append succeeded.
		applyChange(owner.tasks, change);
		owner.ticksSinceSend = 0;
	};

	const commit = (next: LeaseState, index: number, change: Change, ticksSinceSend: number): void => {
		const owner = next.owners[index];
		if (!owner) return;
		if (!owner.knowsWholeLog && guards.compareAndSwap) {
			next.owners[index] = null;
			return;
		}
		applyChange(next.tasks, change);
		for (const other of next.owners) if (other && other !== owner) other.knowsWholeLog = false;
		applyChange(owner.tasks, change);
		owner.ticksSinceSend = ticksSinceSend;
		owner.pending = null;
	};

	const resolveAppend = (next: LeaseState, index: number): void => {
		const owner = next.owners[index];
		if (!owner?.pending) return;
		const { change, ticksSinceSend, stored } = owner.pending;
		if (!stored) {
			commit(next, index, change, ticksSinceSend);
			return;
		}
		applyChange(owner.tasks, change);
		owner.ticksSinceSend = ticksSinceSend;
		owner.pending = null;
	};

	const exchangeSteps = (state: LeaseState, index: number, worker: number, add: AddStep): void => {
		add(`owner ${index} and worker ${worker} exchange`, (next) => {
			const owner = next.owners[index];
			const workerState = next.workers[worker];
			if (!owner || workerState === undefined) return;
			const message = composeMessage(owner, worker);
			noteSent(owner, worker, message);
			if (receive(next, worker, message)) applyAnswer(owner, workerState, worker);
			else applyRefusal(owner, workerState, worker);
		});
		const owner = state.owners[index];
		if (opts.late === 'none' || (opts.late === 'first' && index > 0)) return;
		if (state.messagesInFlight[worker] || !owner) return;
		const composed = composeMessage(owner, worker);
		const isUseless = guards.notAfter && composed.ticksLeft <= 0;
		if (isUseless || composed.starts.length + composed.renewals.length === 0) return;
		add(`owner ${index} sends worker ${worker} a message that comes late`, (next) => {
			const sender = next.owners[index];
			if (!sender) return;
			next.messagesInFlight[worker] = composeMessage(sender, worker);
			noteSent(sender, worker, composed);
		});
	};

	const applyRefusal = (owner: Owner, workerState: Worker, worker: number): void => {
		const view = owner.views[worker];
		if (view !== undefined && workerState.epoch <= owner.epoch) view.fenced = false;
	};

	const workerSteps = (state: LeaseState, worker: number, add: AddStep): void => {
		if (state.messagesInFlight[worker]) {
			add(`worker ${worker} gets the late message`, (next) => {
				const lateMessage = next.messagesInFlight[worker];
				if (lateMessage) receive(next, worker, lateMessage);
				next.messagesInFlight[worker] = null;
			});
			add(`worker ${worker} gets the late message, and will again`, (next) => {
				const lateMessage = next.messagesInFlight[worker];
				if (lateMessage) receive(next, worker, lateMessage);
			});
		}
		const workerState = state.workers[worker];
		for (const [task, attempt] of (workerState?.attempts ?? []).entries()) {
			if (!opts.tasksComplete || attempt?.state !== 'running') continue;
			add(`task ${task} ends on worker ${worker}`, (next) => {
				const endedAttempt = next.workers[worker]?.attempts[task];
				if (endedAttempt) Object.assign(endedAttempt, { state: 'ended', left: 0 });
			});
		}
		// A restart matters only where something is placed or was started.
		const isUsed =
			state.tasks.some((task) => task.worker === worker) ||
			(workerState?.attempts ?? []).some((one) => one !== null);
		if (isUsed && state.restarts < opts.restarts) {
			add(`worker ${worker} restarts`, (next) => {
				next.restarts += 1;
				next.workers[worker] = { boot: (workerState?.boot ?? 0) + 1, epoch: 0, attempts: noAttempts() };
			});
		}
	};

	const lateText = {
		none: '',
		first: ", the first owner's messages late or doubled",
		any: ', messages late or doubled',
	}[opts.late];
	const lostText = opts.lost ? ', answers and requests lost' : '';
	return {
		name: opts.name,
		bounds: `2 owners, ${opts.workers} workers, ${opts.tasks} tasks, ${opts.attempts} attempts, ${opts.takeovers} takeovers, ${opts.restarts} restarts${lateText}${lostText}${opts.tasksComplete ? '' : ', tasks without end'}`,
		initial,
		steps,
		violation: (state) => (state.violation === '' ? undefined : state.violation),
		isGoal: opts.tasksComplete ? (state) => state.tasks.every((task) => task.state === 'done') : undefined,
		// The last attempt may have been lost, and the last owner may have been superseded, so the bounds cut the state off.
		isOutOfBounds: (state) =>
			state.epoch >= opts.takeovers ||
			state.tasks.some((task) => task.state !== 'done' && task.attempt >= opts.attempts),
	};
}

/** A worker's listing; the wait reads nothing of it. */
const emptyListing: types.ListedWorker = {
	id: '',
	address: '',
	rack: '',
	capacity: { cores: 0, memoryMb: 0, accelerators: 0 },
	leaving: false,
};
