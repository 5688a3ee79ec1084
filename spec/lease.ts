/**
 * Model of the shard log and the workers' leases: owners pause, crash and lose answers, workers restart, and messages arrive
 * late or twice. A dead owner is one that takes no more steps. Time is a count of ticks that all clocks share, kept as ages
 * and as ticks left, so the number of ticks has no bound. The cost of differing clock rates is the margin and `clockRate` of
 * the settings (docs/PROOFS.md). The wait before an unresponsive worker's tasks are presumed stopped is computed by the
 * program's own function.
 */
import * as silence from '../src/core/scheduler/silence.js';
import * as types from '../src/core/scheduler/types.js';
import type * as explore from './explore.js';

/** Bounds and guards. A mutant is the model with one guard left out. */
export interface LeaseOptions {
	name: string;
	workers: number;
	tasks: number;
	/** Attempts of each task, at most. */
	attempts: number;
	epochs: number;
	restarts: number;
	/**
	 * Whose messages may arrive late or twice, besides the direct exchanges: no owner's, the first owner's, or any owner's.
	 */
	late: 'none' | 'first' | 'any';
	/** Whether tasks ever complete; if not, the model has no goal. */
	ends: boolean;
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
const lease = 1;
const horizon = 1;

const waits: silence.WaitOptions = {
	leaseMs: lease,
	horizonMs: horizon,
	marginMs: 0,
	clockRate: 0,
	unreachableMs: 0,
};

type Change =
	| { c: 'beat' }
	| { c: 'place'; task: number; worker: number; boot: number }
	| { c: 'free'; task: number }
	| { c: 'done'; task: number };

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

interface View {
	fenced: boolean;
	boot: number;
	age: number;
	/** Ticks until every lease granted has expired; negative: all have. */
	left: number;
	reports: (Omit<Attempt, 'left'> | null)[];
}

interface Owner {
	epoch: number;
	current: boolean;
	/** The tasks as the owner knows them. */
	tasks: Task[];
	takenAge: number;
	/** Ticks since it sent its newest committed entry. */
	sentAge: number;
	views: View[];
	/** An append without an answer. Only the platform knows `stored`, whether it took effect. */
	pending: { change: Change; age: number; stored: boolean } | null;
}

interface Worker {
	boot: number;
	epoch: number;
	attempts: (Attempt | null)[];
}

interface Ref {
	task: number;
	attempt: number;
}

interface Message {
	epoch: number;
	boot: number;
	/** Ticks until the message expires; negative: expired. */
	left: number;
	starts: Ref[];
	renews: Ref[];
	forgets: Ref[];
	/** The worker has already accepted a message that was sent later. */
	overtaken: boolean;
}

/** A state of the model. */
export interface LeaseState {
	epoch: number;
	/** The tasks as the whole log defines them. */
	tasks: Task[];
	owners: (Owner | null)[];
	workers: Worker[];
	/** A message in flight to each worker; null: none. */
	net: (Message | null)[];
	/** Attempts ever started, by task. */
	started: number[][];
	restarts: number;
	wrong: string;
}

type Add = (name: string, change: (next: LeaseState) => void) => void;

const older = (age: number, cap: number): number => Math.min(cap, age + 1);

const shorter = (left: number): number => Math.max(-1, left - 1);

function applyTo(tasks: Task[], change: Change): void {
	if (!('task' in change)) return;
	const task = tasks[change.task];
	if (task === undefined) return;
	if (change.c === 'place') {
		Object.assign(task, {
			state: 'placed',
			attempt: task.attempt + 1,
			worker: change.worker,
			boot: change.boot,
		});
		return;
	}
	Object.assign(task, { state: change.c === 'done' ? 'done' : 'pending', worker: -1, boot: -1 });
}

/** The model under the given bounds and guards. */
export function leaseModel(opts: LeaseOptions): explore.Model<LeaseState> {
	const { guards } = opts;
	const none = <T>(): (T | null)[] => Array.from({ length: opts.tasks }, () => null);
	const initial: LeaseState = {
		epoch: 0,
		tasks: Array.from({ length: opts.tasks }, () => ({ state: 'pending', attempt: 0, worker: -1, boot: -1 })),
		owners: [null, null],
		workers: Array.from({ length: opts.workers }, () => ({ boot: 0, epoch: 0, attempts: none() })),
		net: Array.from({ length: opts.workers }, () => null),
		started: Array.from({ length: opts.tasks }, () => []),
		restarts: 0,
		wrong: '',
	};

	/** The changes that the owner may append next. */
	const decisions = (state: LeaseState, owner: Owner): Change[] => {
		const changes: Change[] = [{ c: 'beat' }];
		for (const [task, known] of owner.tasks.entries()) {
			if (known.state === 'pending') changes.push(...placements(state, owner, task, known));
			if (known.state === 'placed') changes.push(...endings(owner, task, known));
		}
		return changes;
	};

	const placements = (state: LeaseState, owner: Owner, task: number, known: Task): Change[] => {
		if (known.attempt >= opts.attempts) return [];
		const changes: Change[] = [];
		for (const [worker, view] of owner.views.entries()) {
			// Workers are interchangeable: the first placement of all goes to the first one.
			if (worker > 0 && state.tasks.every((one) => one.attempt === 0)) continue;
			const full = owner.tasks.some((one) => one.state === 'placed' && one.worker === worker);
			if (view.fenced && !(full && guards.reserve))
				changes.push({ c: 'place', task, worker, boot: view.boot });
		}
		return changes;
	};

	const endings = (owner: Owner, task: number, known: Task): Change[] => {
		const view = owner.views[known.worker];
		if (view === undefined) return [];
		const report = view.reports[task];
		if (view.fenced && view.boot !== known.boot) return [{ c: 'free', task }];
		if (view.fenced && report?.attempt === known.attempt) {
			if (report.state === 'ended') return [{ c: 'done', task }];
			if (report.state === 'stopped') return [{ c: 'free', task }];
		}
		const seen = { ...types.newView(unlisted), fenced: view.fenced, leaseEndsBy: view.left };
		const provedAt = silence.provedStoppedAt(seen, { at: -owner.takenAge, released: false }, waits);
		return (guards.wait ? 0 > provedAt : view.left < 0) ? [{ c: 'free', task }] : [];
	};

	/** The message that the owner would send to the worker. */
	const compose = (owner: Owner, worker: number): Message => {
		const view = owner.views[worker];
		const message: Message = {
			...{ epoch: owner.epoch, boot: view?.fenced === true ? view.boot : -1, left: lease - (view?.age ?? 0) },
			...{ starts: [], renews: [], forgets: [], overtaken: false },
		};
		if (view?.fenced !== true) return message;
		const may = !guards.horizon || owner.sentAge <= horizon;
		for (const [task, known] of owner.tasks.entries()) {
			const open = owner.pending?.change;
			if (open !== undefined && 'task' in open && open.task === task) continue;
			const ref = { task, attempt: known.attempt };
			const here = known.state === 'placed' && known.worker === worker && known.boot === view.boot;
			const report = view.reports[task];
			const reported = report?.attempt === known.attempt;
			if (here && may && !reported) message.starts.push(ref);
			if (here && may && reported && report.state === 'running') message.renews.push(ref);
			const ended = reported && report.state === 'ended';
			if (ended && (known.state === 'done' || !guards.commitFirst)) message.forgets.push(ref);
		}
		return message;
	};

	const noteSent = (owner: Owner, worker: number, message: Message): void => {
		const view = owner.views[worker];
		if (view === undefined || message.starts.length + message.renews.length === 0) return;
		view.left = Math.max(view.left, message.left);
	};

	/** The worker handles a message; false: it refused. */
	const receive = (state: LeaseState, index: number, message: Message): boolean => {
		const worker = state.workers[index];
		if (worker === undefined) return false;
		if (guards.epoch && message.epoch < worker.epoch) return false;
		if (guards.order && message.overtaken && message.epoch === worker.epoch) return false;
		if (guards.incarnation && message.boot !== -1 && message.boot !== worker.boot) return false;
		worker.epoch = Math.max(worker.epoch, message.epoch);
		const under = state.net[index];
		if (under && under !== message && under.epoch === message.epoch) under.overtaken = true;
		for (const ref of message.renews) {
			const attempt = worker.attempts[ref.task];
			if (attempt?.attempt === ref.attempt && attempt.state === 'running') {
				attempt.left = Math.max(attempt.left, message.left);
			}
		}
		for (const ref of message.starts) start(state, worker, ref, message.left);
		for (const ref of message.forgets) {
			const attempt = worker.attempts[ref.task];
			if (attempt?.attempt === ref.attempt && attempt.state !== 'running') worker.attempts[ref.task] = null;
		}
		return true;
	};

	const start = (state: LeaseState, worker: Worker, ref: Ref, left: number): void => {
		const known = worker.attempts[ref.task];
		if (known && known.attempt >= ref.attempt) return;
		if (guards.notAfter && left <= 0) return;
		const started = state.started[ref.task] ?? [];
		if (started.includes(ref.attempt))
			state.wrong = `attempt ${ref.attempt} of task ${ref.task} started twice`;
		started.push(ref.attempt);
		started.sort();
		worker.attempts[ref.task] = { attempt: ref.attempt, state: 'running', left: Math.max(left, lease) };
		if (guards.notAfter) worker.attempts[ref.task] = { attempt: ref.attempt, state: 'running', left };
		judge(state);
	};

	/** No task runs on two workers, and no worker runs two tasks. */
	const judge = (state: LeaseState): void => {
		for (let task = 0; task < opts.tasks; task += 1) {
			const places = state.workers.filter((worker) => worker.attempts[task]?.state === 'running');
			if (places.length > 1) state.wrong = `task ${task} runs in two places`;
		}
		for (const worker of state.workers) {
			const running = worker.attempts.filter((attempt) => attempt?.state === 'running');
			if (running.length > 1) state.wrong = 'a worker holds more than it has room for';
		}
	};

	const answer = (owner: Owner, box: Worker, worker: number): void => {
		const view = owner.views[worker];
		if (view === undefined) return;
		if (!view.fenced) view.left = Math.max(view.left, lease);
		view.fenced = true;
		view.boot = box.boot;
		view.age = 0;
		view.reports = box.attempts.map((one) => one && { attempt: one.attempt, state: one.state });
	};

	const steps = (state: LeaseState): { name: string; next: LeaseState }[] => {
		const out: { name: string; next: LeaseState }[] = [];
		if (state.wrong !== '') return out;
		const from = JSON.stringify(state);
		const add: Add = (name, change) => {
			const next = JSON.parse(from) as LeaseState;
			change(next);
			for (const [index, owner] of next.owners.entries()) {
				if (owner && spent(owner)) next.owners[index] = null;
				else if (owner) forget(owner);
			}
			out.push({ name, next });
		};
		add('a tick passes', tick);
		for (const index of [0, 1]) ownerSteps(state, index, add);
		for (let worker = 0; worker < opts.workers; worker += 1) workerSteps(state, worker, add);
		return out;
	};

	/**
	 * Whether an owner is superseded and past its horizon: nothing that it sends starts or renews a run, and no append of it
	 * takes effect.
	 */
	const spent = (owner: Owner): boolean =>
		!owner.current &&
		guards.horizon &&
		guards.compareAndSwap &&
		owner.sentAge > horizon &&
		!owner.pending?.stored;

	/** Drops what can't matter any more, so that states that differ only in it are one. */
	const forget = (owner: Owner): void => {
		for (const view of owner.views) {
			view.reports = view.reports.map((one, task) =>
				one && one.attempt < (owner.tasks[task]?.attempt ?? 0) ? null : one,
			);
		}
		const allFenced = owner.views.every((view) => view.fenced);
		if (allFenced) owner.takenAge = horizon + lease + 1;
		if (owner.current || !guards.compareAndSwap) return;
		// No decision of it would be stored, so what it would base decisions on is dropped.
		owner.takenAge = horizon + lease + 1;
		for (const view of owner.views) view.left = -1;
		if (owner.pending && !owner.pending.stored) owner.pending = null;
	};

	const tick = (next: LeaseState): void => {
		for (const worker of next.workers) {
			for (const attempt of worker.attempts) {
				if (attempt?.state !== 'running') continue;
				attempt.left -= 1;
				if (attempt.left <= 0) Object.assign(attempt, { state: 'stopped', left: 0 });
			}
		}
		for (const owner of next.owners) if (owner) ageOwner(owner);
		for (const message of next.net) if (message) message.left = shorter(message.left);
	};

	const ageOwner = (owner: Owner): void => {
		owner.takenAge = older(owner.takenAge, horizon + lease + 1);
		owner.sentAge = older(owner.sentAge, horizon + 1);
		if (owner.pending) owner.pending.age = older(owner.pending.age, horizon + 1);
		for (const view of owner.views) {
			view.age = older(view.age, lease);
			view.left = shorter(view.left);
		}
	};

	const ownerSteps = (state: LeaseState, index: number, add: Add): void => {
		const owner = state.owners[index];
		// Owners are interchangeable: the first to take the shard is the first one. A restart after a death is a takeover
		// too.
		if (!owner?.current && state.epoch < opts.epochs && (index === 0 || state.epoch > 0)) {
			add(`owner ${index} takes the shard`, (next) => {
				take(next, index);
			});
		}
		if (!owner) return;
		if (owner.pending !== null) {
			add(`owner ${index} settles its append`, (next) => {
				settle(next, index);
			});
		} else if (owner.current || !guards.compareAndSwap) {
			for (const change of decisions(state, owner)) appendSteps(index, change, add);
		}
		for (let worker = 0; worker < opts.workers; worker += 1) exchangeSteps(state, index, worker, add);
	};

	const take = (next: LeaseState, index: number): void => {
		next.epoch += 1;
		for (const other of next.owners) if (other) other.current = false;
		const views = next.workers.map(() => ({
			fenced: false,
			boot: -1,
			age: lease,
			left: -1,
			reports: none<Attempt>(),
		}));
		const tasks = structuredClone(next.tasks);
		next.owners[index] = {
			...{ epoch: next.epoch, current: true, tasks, takenAge: 0, sentAge: 0, views, pending: null },
		};
	};

	const appendSteps = (index: number, change: Change, add: Add): void => {
		const where = change.c === 'place' ? ` on worker ${change.worker}` : '';
		const what = `${change.c}${'task' in change ? ` task ${change.task}` : ''}${where}`;
		add(`owner ${index} commits ${what}`, (next) => {
			commit(next, index, change, 0);
		});
		if (change.c === 'beat' || !opts.lost) return;
		add(`owner ${index} stores ${what}, the answer is lost`, (next) => {
			const owner = next.owners[index];
			if (!owner) return;
			const stored = owner.current || !guards.compareAndSwap;
			if (stored) applyTo(next.tasks, change);
			unanswered(owner, change, stored);
		});
		add(`owner ${index} sends ${what}, the request is lost`, (next) => {
			const owner = next.owners[index];
			if (owner) unanswered(owner, change, false);
		});
	};

	const unanswered = (owner: Owner, change: Change, stored: boolean): void => {
		if (guards.readBack) {
			owner.pending = { change, age: 0, stored };
			return;
		}
		// Without the guard the owner presumes that an unanswered append succeeded.
		applyTo(owner.tasks, change);
		owner.sentAge = 0;
	};

	const commit = (next: LeaseState, index: number, change: Change, sentAge: number): void => {
		const owner = next.owners[index];
		if (!owner) return;
		if (!owner.current && guards.compareAndSwap) {
			next.owners[index] = null;
			return;
		}
		applyTo(next.tasks, change);
		for (const other of next.owners) if (other && other !== owner) other.current = false;
		applyTo(owner.tasks, change);
		owner.sentAge = sentAge;
		owner.pending = null;
	};

	const settle = (next: LeaseState, index: number): void => {
		const owner = next.owners[index];
		if (!owner?.pending) return;
		const { change, age, stored } = owner.pending;
		if (!stored) {
			commit(next, index, change, age);
			return;
		}
		applyTo(owner.tasks, change);
		owner.sentAge = age;
		owner.pending = null;
	};

	const exchangeSteps = (state: LeaseState, index: number, worker: number, add: Add): void => {
		add(`owner ${index} and worker ${worker} exchange`, (next) => {
			const owner = next.owners[index];
			const box = next.workers[worker];
			if (!owner || box === undefined) return;
			const message = compose(owner, worker);
			noteSent(owner, worker, message);
			if (receive(next, worker, message)) answer(owner, box, worker);
			else refused(owner, box, worker);
		});
		const owner = state.owners[index];
		if (opts.late === 'none' || (opts.late === 'first' && index > 0)) return;
		if (state.net[worker] || !owner) return;
		const posted = compose(owner, worker);
		const useless = guards.notAfter && posted.left <= 0;
		if (useless || posted.starts.length + posted.renews.length === 0) return;
		add(`owner ${index} sends worker ${worker} a message that comes late`, (next) => {
			const sender = next.owners[index];
			if (!sender) return;
			next.net[worker] = compose(sender, worker);
			noteSent(sender, worker, posted);
		});
	};

	const refused = (owner: Owner, box: Worker, worker: number): void => {
		const view = owner.views[worker];
		if (view !== undefined && box.epoch <= owner.epoch) view.fenced = false;
	};

	const workerSteps = (state: LeaseState, worker: number, add: Add): void => {
		if (state.net[worker]) {
			add(`worker ${worker} gets the late message`, (next) => {
				const late = next.net[worker];
				if (late) receive(next, worker, late);
				next.net[worker] = null;
			});
			add(`worker ${worker} gets the late message, and will again`, (next) => {
				const late = next.net[worker];
				if (late) receive(next, worker, late);
			});
		}
		const box = state.workers[worker];
		for (const [task, attempt] of (box?.attempts ?? []).entries()) {
			if (!opts.ends || attempt?.state !== 'running') continue;
			add(`task ${task} ends on worker ${worker}`, (next) => {
				const ended = next.workers[worker]?.attempts[task];
				if (ended) Object.assign(ended, { state: 'ended', left: 0 });
			});
		}
		// A restart matters only where something is placed or was started.
		const used =
			state.tasks.some((task) => task.worker === worker) || (box?.attempts ?? []).some((one) => one !== null);
		if (used && state.restarts < opts.restarts) {
			add(`worker ${worker} restarts`, (next) => {
				next.restarts += 1;
				next.workers[worker] = { boot: (box?.boot ?? 0) + 1, epoch: 0, attempts: none() };
			});
		}
	};

	const late = {
		none: '',
		first: ", the first owner's messages late or doubled",
		any: ', messages late or doubled',
	}[opts.late];
	const lost = opts.lost ? ', answers and requests lost' : '';
	return {
		name: opts.name,
		bounds: `2 owners, ${opts.workers} workers, ${opts.tasks} tasks, ${opts.attempts} attempts, ${opts.epochs} takeovers, ${opts.restarts} restarts${late}${lost}${opts.ends ? '' : ', tasks without end'}`,
		initial,
		steps,
		wrong: (state) => (state.wrong === '' ? undefined : state.wrong),
		goal: opts.ends ? (state) => state.tasks.every((task) => task.state === 'done') : undefined,
		// The last attempt may have been lost, and the last owner may have been superseded, so the bounds cut the state off.
		outOfBounds: (state) =>
			state.epoch >= opts.epochs ||
			state.tasks.some((task) => task.state !== 'done' && task.attempt >= opts.attempts),
	};
}

/** A worker's listing; the wait reads nothing of it. */
const unlisted: types.ListedWorker = {
	id: '',
	address: '',
	rack: '',
	capacity: { cores: 0, memoryMb: 0, accelerators: 0 },
	leaving: false,
};
