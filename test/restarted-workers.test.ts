/** Workers that start again under the name that they had. */
import test from 'ava';
import * as crashes from './fixtures/crashes.js';
import * as crashing from '../dev/soak/crashing.js';
import * as real from './fixtures/real-boxes.js';
import * as world from './fixtures/dispatching.js';
import type * as fleetTypes from '../src/core/fleet/types.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/** Workers crash for so long after the trial's start, in milliseconds; then all jobs are to be done within the rest. */
const crashingMs = 40_000;
const calmMs = 30_000;

const jobGapMs = 600;
const crashGapMs = 700;

const workerCount = 10;
const jobCount = 60;

/** What the workers' own accounts say against the owner. */
class Witness {
	/** Starts of tasks of which an end as done had been forgotten, as the owner asked, or which ran already. */
	readonly again: string[] = [];
	private readonly done = new Set<string>();
	private readonly running = new Set<string>();

	private constructor() {
		// Built by `create`, like every class here.
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

/** Owners of a world that follow one another; the newest hears of the workers that come and go. */
interface Trial {
	made: world.TestEnvironment;
	witness: Witness;
	owner: () => world.TestOwner;
	/** The owner dies, and another takes over. */
	change: () => Promise<void>;
	close: () => void;
}

async function begin(plan: (task: string, run: number) => workers.RunPlan): Promise<Trial> {
	const witness = Witness.create();
	const made = world.createEnvironment(plan, witness.journal);
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
	/** Between two takeovers, in milliseconds; absent: one owner. */
	reignMs?: number;
	/** Workers leave orders unanswered for a while before each crash, and carry them out late. */
	late?: boolean;
}

/** Jobs are handed in while one worker after the other crashes and comes back; returns those that should be done and are not. */
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

/** Whether a job is done, or was given up under a task that may be: so many workers crashed under it. */
function isSettled({ made, owner }: Trial, id: string): boolean {
	const state = owner().dispatcher.stateOf(id);
	if (state !== 'failed') return state === 'completed';
	const tasks = made.fleet.crashes.flatMap((one) => one.tasks.filter((task) => task.startsWith(`${id}.`)));
	return tasks.some((task) => crashes.crashCountsOf(made, task).crashes >= crashing.crashesBeforeGivingUp);
}

/** Resolves as the test's clock passes. */
function passes(clock: world.TestEnvironment['clock'], ms: number): Promise<void> {
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
	test(`work that ended on a worker is not done again, and all is done, as workers restart ${title}`, async (t) => {
		const trial = await begin(() => ({ ms: course.taskMs ?? 700, how: 'done' }));
		t.deepEqual(await play(trial, course), []);
		t.deepEqual(trial.witness.again, []);
		trial.close();
	});

for (const crashMs of [10, 900])
	test(`a task that crashes each worker ${String(crashMs)} ms after its start is given up where workers restart`, async (t) => {
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
		const history = crashes.crashCountsOf(made, 'bad.0.0.0');
		t.true(history.late <= crashing.startsAfterBound, `${String(history.crashes)} crashes`);
		t.is(trial.owner().dispatcher.stateOf('bad'), 'failed');
		const undone = sound.filter((id) => trial.owner().dispatcher.stateOf(id) !== 'completed');
		t.deepEqual(undone, []);
		trial.close();
	});

test('a worker that had drained takes work again once it has restarted', async (t) => {
	const { clock, fleet, takeOver, submit } = world.createEnvironment(() => ({ ms: 500, how: 'done' }));
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

test('a worker that upkeep had closed takes work again once it has restarted', async (t) => {
	const { clock, fleet, takeOver, submit } = world.createEnvironment(() => ({ ms: 500, how: 'done' }));
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

test('an end is not forgotten by a question that was put to the life before', async (t) => {
	const witness = Witness.create();
	const made = world.createEnvironment(() => ({ ms: 100, how: 'done' }), witness.journal);
	const { clock, fleet, takeOver, submit } = made;
	const w1 = fleet.add('w1', {}, 1);
	const owner = await takeOver();
	await clock.pass(1_200);
	await submit(owner, world.job('before', [world.step({ count: 3 })]));
	await clock.pass(1_000);
	// Nothing tells of the restart: the question under way hangs, and the list of workers is not read.
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

test('a run that a restarted worker has by an order to the life before is not lost before its lease is', async (t) => {
	const witness = Witness.create();
	const made = world.createEnvironment(() => ({ ms: 5_500, how: 'done' }), witness.journal);
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

test('over real boxes: the ends of a worker that has restarted are read', async (t) => {
	const starts: workers.StartRecord[] = [];
	const { journal } = Witness.create();
	const started = (start: workers.StartRecord): void => void starts.push(start);
	const { platform, start } = await real.setUp(t, { journal: { ...journal, started } });
	const box = await start('entry-1');
	const address = platform.fleet.workers.get('i-1')?.entry.address ?? '';
	await box.logged((line) => line.name === 'worker.reached');
	const [before, after] = ['00000000000000b1', '00000000000000b2'];
	t.is((await real.call(box.callers, 'POST', before, real.jobBody)).status, 200);
	await real.waitUntilCompleted(box, before);
	platform.restartWorker('i-1', address, 1);
	t.is((await real.call(box.callers, 'POST', after, real.jobBody)).status, 200);
	await real.waitUntilCompleted(box, after);
	const tasks = starts.map((one) => one.task).filter((task) => task.startsWith(after));
	t.deepEqual(tasks.sort(), [`${after}.0.0.0`, `${after}.0.0.1`]);
});
