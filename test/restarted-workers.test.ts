/** Workers that restart under the same name. */
import test from 'ava';
import * as crashes from './fixtures/crashes.js';
import * as crashing from '../dev/soak/crashing.js';
import * as real from './fixtures/real-boxes.js';
import * as world from './fixtures/dispatching.js';
import type * as fleetTypes from '../src/core/fleet/types.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/**
 * How long workers crash after the trial's start, and the time after that within which all jobs have to end, in
 * milliseconds.
 */
const crashingMs = 40_000;
const calmMs = 30_000;

const jobGapMs = 600;
const crashGapMs = 700;

const workerCount = 10;
const jobCount = 60;

/** Records, from the workers' own journals, tasks that the owner started twice. */
class Witness {
	/** Starts of tasks that were running already, or whose exit as done had been discarded as the owner requested. */
	readonly again: string[] = [];
	private readonly done = new Set<string>();
	private readonly running = new Set<string>();

	private constructor() {
		// Instances are made by `create`, as for every class here.
	}

	static create(): Witness {
		return new Witness();
	}

	get journal(): workers.FleetJournal {
		return {
			started: ({ task, run, worker }) => {
				if (this.done.has(task) || this.running.has(task))
					this.again.push(`${task}#${String(run)} on ${worker}`);
				this.running.add(task);
			},
			ended: ({ task }) => void this.running.delete(task),
			crashed: (tasks) => {
				for (const task of tasks) this.running.delete(task);
			},
			forgotten: ({ task, how }: fleetTypes.RunExit) => {
				if (how === 'done') this.done.add(task);
			},
		};
	}
}

/** Successive owners of one environment. The newest is notified of workers that join and leave. */
interface Trial {
	made: world.TestWorld;
	witness: Witness;
	owner: () => world.TestOwner;
	/** The owner dies, and another one takes over. */
	change: () => Promise<void>;
	close: () => void;
}

async function begin(plan: (task: string, run: number) => workers.RunPlan): Promise<Trial> {
	const witness = Witness.create();
	const made = world.createWorld(plan, witness.journal);
	for (let index = 0; index < workerCount; index += 1) made.fleet.add(`w${String(index)}`, {}, index + 1);
	let owner = await made.takeOver();
	made.fleet.onListed = (added, removed) => {
		owner.dispatcher.setWorkers(added, removed, false);
	};
	await made.clock.pass(1_200);
	const change = async (): Promise<void> => {
		owner.dispatcher.close();
		owner = await made.takeOver();
	};
	const close = (): void => {
		owner.dispatcher.close();
	};
	return { made, witness, owner: () => owner, change, close };
}

/** How workers crash, and what else happens meanwhile. */
interface Course {
	downMs: number;
	dark?: boolean;
	taskMs?: number;
	/** Interval between takeovers, in milliseconds; absent: there is one owner. */
	reignMs?: number;
	/** Workers leave commands unanswered for a while before each crash, and carry them out late. */
	late?: boolean;
}

/**
 * Submits jobs while one worker after another crashes and restarts. Returns the jobs that should have completed and have
 * not.
 */
async function play(trial: Trial, course: Course): Promise<string[]> {
	const { made } = trial;
	const { clock, fleet } = made;
	const ids = Array.from({ length: jobCount }, (_, index) => `job${String(index)}`);
	const handIn = async (): Promise<void> => {
		for (const id of ids) {
			void made.submit(trial.owner(), world.job(id, [world.step({ count: 12 })]));
			await passes(clock, jobGapMs);
		}
	};
	const crash = async (): Promise<void> => {
		for (let count = 0; count * crashGapMs < crashingMs; count += 1) {
			await passes(clock, crashGapMs);
			const worker = fleet.workers.get(`w${String((count * 7) % workerCount)}`);
			if (worker === undefined) continue;
			if (course.late === true) worker.fault = 'late';
			clock.after(course.late === true ? 400 : 0, () => {
				fleet.crash(worker, { downMs: course.downMs, dark: course.dark ?? false, keepsName: true });
			});
		}
	};
	const reign = async (): Promise<void> => {
		if (course.reignMs === undefined) return;
		for (let passed = 0; passed < crashingMs; passed += course.reignMs) {
			await passes(clock, course.reignMs);
			void trial.change();
		}
	};
	void handIn();
	void crash();
	void reign();
	await clock.pass(crashingMs + calmMs);
	return ids.filter((id) => !isSettled(trial, id));
}

/** Whether a job completed, or was abandoned with a reason: enough workers had crashed under one of its tasks. */
function isSettled({ made, owner }: Trial, id: string): boolean {
	const state = owner().dispatcher.stateOf(id);
	if (state !== 'failed') return state === 'completed';
	const tasks = made.fleet.crashes.flatMap((one) => one.tasks.filter((task) => task.startsWith(`${id}.`)));
	return tasks.some((task) => crashes.historyOf(made, task).crashes >= crashing.crashesBeforeGivingUp);
}

/** Resolves after `ms` milliseconds of the test's clock. */
function passes(clock: world.TestWorld['clock'], ms: number): Promise<void> {
	return new Promise((resolve) => {
		clock.after(ms, resolve);
	});
}

const courses: Record<string, Course> = {
	'at once': { downMs: 1 },
	'after a short while': { downMs: 300 },
	'after seconds': { downMs: 3_000 },
	'without a broken connection': { downMs: 900, dark: true },
	'beside takeovers': { downMs: 300, reignMs: 5_000 },
	'after orders that are carried out late': { downMs: 300, late: true },
	'with longer tasks': { downMs: 300, taskMs: 3_000 },
};

for (const [title, course] of Object.entries(courses))
	test(`finished work is not repeated, and all jobs complete, as workers restart ${title}`, async (t) => {
		const trial = await begin(() => ({ ms: course.taskMs ?? 700, how: 'done' }));
		t.deepEqual(await play(trial, course), []);
		t.deepEqual(trial.witness.again, []);
		trial.close();
	});

for (const crashMs of [10, 900])
	test(`a task that crashes each worker ${String(crashMs)} ms after its start is abandoned where workers restart`, async (t) => {
		const trial = await begin((task) =>
			task.startsWith('bad') ? { ms: 'endless', how: 'done', crashMs } : { ms: 1_500, how: 'done' },
		);
		const { made } = trial;
		made.fleet.onCrash = (worker) => {
			made.fleet.crash(worker, { downMs: 300, dark: false, keepsName: true });
		};
		await made.submit(trial.owner(), world.job('bad', [world.step()]));
		const sound = Array.from({ length: 24 }, (_, index) => `sound${String(index)}`);
		for (const id of sound) {
			await made.submit(trial.owner(), world.job(id, [world.step({ count: 6, milliCores: 4_000 })]));
			await made.clock.pass(240);
		}
		await made.clock.pass(60_000);
		const history = crashes.historyOf(made, 'bad.0.0.0');
		t.true(history.late <= crashing.startsAfterBound, `${String(history.crashes)} crashes`);
		t.is(trial.owner().dispatcher.stateOf('bad'), 'failed');
		const undone = sound.filter((id) => trial.owner().dispatcher.stateOf(id) !== 'completed');
		t.deepEqual(undone, []);
		trial.close();
	});

test('a worker that had drained gets work again once it has restarted', async (t) => {
	const { clock, fleet, takeOver, submit } = world.createWorld(() => ({ ms: 500, how: 'done' }));
	const w1 = fleet.add('w1', {}, 1);
	const owner = await takeOver();
	fleet.onListed = (added, removed) => {
		owner.dispatcher.setWorkers(added, removed, false);
	};
	owner.dispatcher.setWorkers([{ ...w1.entry, draining: true, remainingMs: 500 }], [], false);
	await clock.pass(1_000);
	fleet.crash(w1, { downMs: 500, dark: false, keepsName: true });
	await clock.pass(2_000);
	await submit(owner, world.job('job1', [world.step()]));
	await clock.pass(3_000);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	t.deepEqual(
		fleet.starts.map((one) => one.run),
		[1],
	);
	owner.dispatcher.close();
});

test('a worker that upkeep had closed gets work again once it has restarted', async (t) => {
	const { clock, fleet, takeOver, submit } = world.createWorld(() => ({ ms: 500, how: 'done' }));
	const w1 = fleet.add('w1', {}, 1);
	const owner = await takeOver();
	fleet.onListed = (added, removed) => {
		owner.dispatcher.setWorkers(added, removed, false);
	};
	await clock.pass(1_200);
	t.is(owner.dispatcher.vacate('w1'), 'empty');
	fleet.crash(w1, { downMs: 500, dark: false, keepsName: true });
	await clock.pass(2_000);
	await submit(owner, world.job('job1', [world.step()]));
	await clock.pass(3_000);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	owner.dispatcher.close();
});

test('an exit is not acknowledged by a poll that was sent to the incarnation before', async (t) => {
	const witness = Witness.create();
	const made = world.createWorld(() => ({ ms: 100, how: 'done' }), witness.journal);
	const { clock, fleet, takeOver, submit } = made;
	const w1 = fleet.add('w1', {}, 1);
	const owner = await takeOver();
	await clock.pass(1_200);
	await submit(owner, world.job('before', [world.step({ count: 3 })]));
	await clock.pass(1_000);
	// Nothing reports the restart: the poll in flight hangs, and the list of workers is not read.
	fleet.crash(w1, { downMs: 100, dark: true, keepsName: true });
	await clock.pass(150);
	await submit(owner, world.job('after', [world.step({ count: 2 })]));
	await clock.pass(3_000);
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	await clock.pass(3_000);
	t.deepEqual(witness.again, []);
	t.is(owner.dispatcher.stateOf('after'), 'completed');
	owner.dispatcher.close();
});

test('a run that a restarted worker got by a command to the incarnation before is not presumed lost before its lease expires', async (t) => {
	const witness = Witness.create();
	const made = world.createWorld(() => ({ ms: 5_500, how: 'done' }), witness.journal);
	const { clock, fleet, takeOver, submit } = made;
	const w1 = fleet.add('w1', {}, 1);
	const owner = await takeOver();
	await clock.pass(1_200);
	fleet.crash(w1, { downMs: 100, dark: true, keepsName: true });
	await clock.pass(150);
	await submit(owner, world.job('job1', [world.step()]));
	const reborn = fleet.workers.get('w1');
	const isHeardOf = (): boolean => owner.events.select((event) => event.name === 'worker.lost').length > 0;
	while (!isHeardOf()) await clock.pass(1);
	if (reborn !== undefined) reborn.fault = 'silent';
	fleet.add('w2');
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	await clock.pass(15_000);
	t.deepEqual(witness.again, []);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	owner.dispatcher.close();
});

test('with real boxes: the exits of a restarted worker are read', async (t) => {
	const starts: workers.StartRecord[] = [];
	const { journal } = Witness.create();
	const started = (start: workers.StartRecord): void => void starts.push(start);
	const { platform, start } = await real.setUp(t, { journal: { ...journal, started } });
	const box = await start('entry-1');
	const address = platform.fleet.workers.get('i-1')?.entry.address ?? '';
	await box.logged((line) => line.name === 'worker.reached');
	const [before, after] = ['00000000000000b1', '00000000000000b2'];
	t.is((await real.call(box.callers, 'POST', before, real.body)).status, 200);
	await real.completed(box, before);
	platform.restartWorker('i-1', address, 1);
	t.is((await real.call(box.callers, 'POST', after, real.body)).status, 200);
	await real.completed(box, after);
	const tasks = starts.map((one) => one.task).filter((task) => task.startsWith(after));
	t.deepEqual(tasks.sort(), [`${after}.0.0.0`, `${after}.0.0.1`]);
});
