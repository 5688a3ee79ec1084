/** Workers that restart under the same name. */
import test from 'ava';
import * as crashes from './fixtures/crashes.js';
import * as crashing from '../dev/soak/crashing.js';
import * as realBoxes from './fixtures/real-boxes.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as fleetTypes from '../src/core/fleet/types.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/**
 * How long workers crash after the trial's start, and the time after that within which all jobs have to end, in
 * milliseconds.
 */
const crashPhaseMs = 40_000;
const recoveryPhaseMs = 30_000;

const jobIntervalMs = 600;
const crashIntervalMs = 700;

const workerCount = 10;
const jobCount = 60;

/** Records, from the workers' own journals, tasks that the owner started twice. */
class RunRecorder {
	/** Starts of tasks that were running already, or whose exit as done had been discarded as the owner requested. */
	readonly repeatedStarts: string[] = [];
	private readonly done = new Set<string>();
	private readonly running = new Set<string>();

	private constructor() {
		// Instances are made by `create`, as for every class here.
	}

	static create(): RunRecorder {
		return new RunRecorder();
	}

	get journal(): workers.FleetJournal {
		return {
			started: ({ task, run, worker }) => {
				if (this.done.has(task) || this.running.has(task))
					this.repeatedStarts.push(`${task}#${String(run)} on ${worker}`);
				this.running.add(task);
			},
			ended: ({ task }) => void this.running.delete(task),
			crashed: (_, tasks) => {
				for (const task of tasks) this.running.delete(task);
			},
			acknowledged: ({ task, how }: fleetTypes.RunExit) => {
				if (how === 'done') this.done.add(task);
			},
		};
	}
}

/** Successive owners of one environment. The newest is notified of workers that join and leave. */
interface Trial {
	environment: fixtures.TestEnvironment;
	recorder: RunRecorder;
	owner: () => fixtures.TestOwner;
	/** The owner dies, and another one takes over. */
	replaceOwner: () => Promise<void>;
	close: () => void;
}

async function startTrial(plan: (task: string, run: number) => workers.RunPlan): Promise<Trial> {
	const recorder = RunRecorder.create();
	const environment = fixtures.createEnvironment(plan, recorder.journal);
	for (let index = 0; index < workerCount; index += 1)
		environment.fleet.add(`w${String(index)}`, {}, index + 1);
	let owner = await environment.takeOver();
	fixtures.followEntries(environment.fleet, () => owner);
	await environment.clock.advance(1_200);
	const replaceOwner = async (): Promise<void> => {
		owner.dispatcher.close();
		owner = await environment.takeOver();
	};
	const close = (): void => {
		owner.dispatcher.close();
	};
	return { environment, recorder, owner: () => owner, replaceOwner, close };
}

/** How workers crash, and what else happens meanwhile. */
interface Scenario {
	downMs: number;
	leavesConnectionsOpen?: boolean;
	taskMs?: number;
	/** Interval between takeovers, in milliseconds; absent: there is one owner. */
	takeoverIntervalMs?: number;
	/** Workers leave commands unanswered for a while before each crash, and carry them out late. */
	late?: boolean;
}

/**
 * Submits jobs while one worker after another crashes and restarts. Returns the jobs that should have completed and have
 * not.
 */
async function runScenario(trial: Trial, scenario: Scenario): Promise<string[]> {
	const { environment } = trial;
	const { clock, fleet } = environment;
	const ids = Array.from({ length: jobCount }, (_, index) => `job${String(index)}`);
	const submitJobs = async (): Promise<void> => {
		for (const id of ids) {
			void environment.submit(trial.owner(), fixtures.job(id, [fixtures.step({ count: 12 })]));
			await delay(clock, jobIntervalMs);
		}
	};
	const crashWorkers = async (): Promise<void> => {
		for (let count = 0; count * crashIntervalMs < crashPhaseMs; count += 1) {
			await delay(clock, crashIntervalMs);
			const worker = fleet.workers.get(`w${String((count * 7) % workerCount)}`);
			if (worker === undefined) continue;
			if (scenario.late === true) worker.fault = 'late';
			clock.after(scenario.late === true ? 400 : 0, () => {
				fleet.crashAndRecover(worker, {
					downMs: scenario.downMs,
					unresponsive: scenario.leavesConnectionsOpen ?? false,
					keepsName: true,
				});
			});
		}
	};
	const replaceOwners = async (): Promise<void> => {
		if (scenario.takeoverIntervalMs === undefined) return;
		for (let passed = 0; passed < crashPhaseMs; passed += scenario.takeoverIntervalMs) {
			await delay(clock, scenario.takeoverIntervalMs);
			void trial.replaceOwner();
		}
	};
	void submitJobs();
	void crashWorkers();
	void replaceOwners();
	await clock.advance(crashPhaseMs + recoveryPhaseMs);
	return ids.filter((id) => !isCompletedOrAbandoned(trial, id));
}

/** Whether a job completed, or was abandoned with a reason: enough workers had crashed under one of its tasks. */
function isCompletedOrAbandoned({ environment, owner }: Trial, id: string): boolean {
	const state = owner().dispatcher.stateOf(id);
	if (state !== 'failed') return state === 'completed';
	const tasks = environment.fleet.crashes.flatMap((one) =>
		one.tasks.filter((task) => task.startsWith(`${id}.`)),
	);
	return tasks.some(
		(task) => crashes.crashCountsOf(environment, task).crashes >= crashing.crashesBeforeAbandoning,
	);
}

/** Resolves after `ms` milliseconds of the test's clock. */
function delay(clock: fixtures.TestEnvironment['clock'], ms: number): Promise<void> {
	return new Promise((resolve) => {
		clock.after(ms, resolve);
	});
}

const scenarios: Record<string, Scenario> = {
	'at once': { downMs: 1 },
	'after a short while': { downMs: 300 },
	'after seconds': { downMs: 3_000 },
	'without a broken connection': { downMs: 900, leavesConnectionsOpen: true },
	'beside takeovers': { downMs: 300, takeoverIntervalMs: 5_000 },
	'after orders that are carried out late': { downMs: 300, late: true },
	'with longer tasks': { downMs: 300, taskMs: 3_000 },
};

for (const [title, scenario] of Object.entries(scenarios))
	test(`finished work is not repeated, and all jobs complete, as workers restart ${title}`, async (t) => {
		const trial = await startTrial(() => ({ ms: scenario.taskMs ?? 700, how: 'done' }));
		t.deepEqual(await runScenario(trial, scenario), []);
		t.deepEqual(trial.recorder.repeatedStarts, []);
		trial.close();
	});

for (const crashAfterMs of [10, 900])
	test(`a task that crashes each worker ${String(crashAfterMs)} ms after its start is abandoned where workers restart`, async (t) => {
		const trial = await startTrial((task) =>
			task.startsWith('bad') ? { ms: 'endless', how: 'done', crashAfterMs } : { ms: 1_500, how: 'done' },
		);
		const { environment } = trial;
		environment.fleet.onCrash = (worker) => {
			environment.fleet.crashAndRecover(worker, { downMs: 300, unresponsive: false, keepsName: true });
		};
		await environment.submit(trial.owner(), fixtures.job('bad', [fixtures.step()]));
		const healthyJobs = Array.from({ length: 24 }, (_, index) => `sound${String(index)}`);
		for (const id of healthyJobs) {
			await environment.submit(
				trial.owner(),
				fixtures.job(id, [fixtures.step({ count: 6, milliCores: 4_000 })]),
			);
			await environment.clock.advance(240);
		}
		await environment.clock.advance(60_000);
		const history = crashes.crashCountsOf(environment, 'bad.0.0.0');
		t.true(history.late <= crashing.maxStartsAfterCrashes, `${String(history.crashes)} crashes`);
		t.is(trial.owner().dispatcher.stateOf('bad'), 'failed');
		const unfinished = healthyJobs.filter((id) => trial.owner().dispatcher.stateOf(id) !== 'completed');
		t.deepEqual(unfinished, []);
		trial.close();
	});

test('a worker that had drained gets work again once it has restarted', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 500, how: 'done' }));
	const w1 = fleet.add('w1', {}, 1);
	const owner = await takeOver();
	fixtures.followEntries(fleet, () => owner);
	owner.dispatcher.setWorkers([{ ...w1.entry, draining: true, remainingMs: 500 }], [], false);
	await clock.advance(1_000);
	fleet.crashAndRecover(w1, { downMs: 500, unresponsive: false, keepsName: true });
	await clock.advance(2_000);
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(3_000);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	t.deepEqual(
		fleet.starts.map((one) => one.run),
		[1],
	);
	owner.dispatcher.close();
});

test('a worker that upkeep had closed gets work again once it has restarted', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 500, how: 'done' }));
	const w1 = fleet.add('w1', {}, 1);
	const owner = await takeOver();
	fixtures.followEntries(fleet, () => owner);
	await clock.advance(1_200);
	t.is(owner.dispatcher.vacate('w1'), 'empty');
	fleet.crashAndRecover(w1, { downMs: 500, unresponsive: false, keepsName: true });
	await clock.advance(2_000);
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(3_000);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	owner.dispatcher.close();
});

test('an exit is not acknowledged by a poll that was sent to the incarnation before', async (t) => {
	const recorder = RunRecorder.create();
	const environment = fixtures.createEnvironment(() => ({ ms: 100, how: 'done' }), recorder.journal);
	const { clock, fleet, takeOver, submit } = environment;
	const w1 = fleet.add('w1', {}, 1);
	const owner = await takeOver();
	await clock.advance(1_200);
	await submit(owner, fixtures.job('before', [fixtures.step({ count: 3 })]));
	await clock.advance(1_000);
	// Nothing reports the restart: the poll in flight hangs, and the list of workers is not read.
	fleet.crashAndRecover(w1, { downMs: 100, unresponsive: true, keepsName: true });
	await clock.advance(150);
	await submit(owner, fixtures.job('after', [fixtures.step({ count: 2 })]));
	await clock.advance(3_000);
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	await clock.advance(3_000);
	t.deepEqual(recorder.repeatedStarts, []);
	t.is(owner.dispatcher.stateOf('after'), 'completed');
	owner.dispatcher.close();
});

test('a run that a restarted worker got by a command to the incarnation before is not presumed lost before its lease expires', async (t) => {
	const recorder = RunRecorder.create();
	const environment = fixtures.createEnvironment(() => ({ ms: 5_500, how: 'done' }), recorder.journal);
	const { clock, fleet, takeOver, submit } = environment;
	const w1 = fleet.add('w1', {}, 1);
	const owner = await takeOver();
	await clock.advance(1_200);
	fleet.crashAndRecover(w1, { downMs: 100, unresponsive: true, keepsName: true });
	await clock.advance(150);
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	const restarted = fleet.workers.get('w1');
	const isLossLogged = (): boolean => owner.events.select((event) => event.name === 'worker.lost').length > 0;
	while (!isLossLogged()) await clock.advance(1);
	if (restarted !== undefined) restarted.fault = 'silent';
	fleet.add('w2');
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	await clock.advance(15_000);
	t.deepEqual(recorder.repeatedStarts, []);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	owner.dispatcher.close();
});

test('with real boxes: the exits of a restarted worker are read', async (t) => {
	const starts: workers.StartRecord[] = [];
	const { journal } = RunRecorder.create();
	const started = (start: workers.StartRecord): void => void starts.push(start);
	const { platform, start } = await realBoxes.setUp(t, { journal: { ...journal, started } });
	const box = await start('entry-1');
	const address = platform.fleet.workers.get('i-1')?.entry.address ?? '';
	await box.waitForLine((line) => line.name === 'worker.reached');
	const [before, after] = ['00000000000000b1', '00000000000000b2'];
	t.is((await realBoxes.call(box.callers, 'POST', before, realBoxes.jobBody)).status, 200);
	await realBoxes.waitUntilCompleted(box, before);
	platform.restartWorker('i-1', address, 1);
	t.is((await realBoxes.call(box.callers, 'POST', after, realBoxes.jobBody)).status, 200);
	await realBoxes.waitUntilCompleted(box, after);
	const tasks = starts.map((one) => one.task).filter((task) => task.startsWith(after));
	t.deepEqual(tasks.sort(), [`${after}.0.0.0`, `${after}.0.0.1`]);
});

// Guards against an owner that steps down because a worker has seen a later command of its own.
test('a command that reaches the next incarnation late, after newer ones, does not replace the owner', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({
		ms: 'endless',
		how: 'done',
	}));
	const w1 = fleet.add('w1', {}, 1);
	const owner = await takeOver();
	fixtures.followEntries(fleet, () => owner);
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(1_200);
	fleet.fateOf = (_worker, call) =>
		call === 'stop' ? { arrivesAfterMs: 600, answersAfterMs: 2, isRefused: false } : undefined;
	owner.dispatcher.cancelJob('job1');
	await clock.advance(50);
	fleet.fateOf = () => undefined;
	fleet.crashAndRecover(w1, { downMs: 50, unresponsive: false, keepsName: true });
	await clock.advance(10_000);
	t.false(owner.isFenced());
	owner.dispatcher.close();
});
