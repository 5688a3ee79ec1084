/** What a change of owner must not forget of crashes, and of starts that crashed nothing. */
import test from 'ava';
import * as crashes from './fixtures/crashes.js';
import * as fixtures from './fixtures/dispatching.js';
import * as jobs from '../src/core/jobs/index.js';
import * as ledger from '../src/core/ledger/index.js';
import * as probation from '../src/core/dispatch/probation.js';
import type * as workers from '../stand-ins/fleet/workers.js';

const firstContactMs = 1_200;
const crashAfterMs = 10;

/** Time from a crash until the worker's next incarnation proves it, in milliseconds. */
const downMs = 3_000;

async function setUp(
	plan: (task: string) => workers.RunPlan,
): Promise<
	fixtures.TestEnvironment & { owner: () => fixtures.TestOwner; replaceOwner: () => Promise<void> }
> {
	const environment = fixtures.createEnvironment(plan);
	const { clock, fleet, takeOver } = environment;
	for (let index = 0; index < 6; index += 1) fleet.add(`w${String(index)}`);
	fleet.onCrash = (worker) => {
		fleet.crashAndRecover(worker, { downMs, unresponsive: false });
	};
	let current = await takeOver();
	fixtures.followEntries(fleet, () => current);
	await clock.advance(firstContactMs);
	const replaceOwner = async (): Promise<void> => {
		current.die();
		current = await takeOver();
	};
	return { ...environment, owner: () => current, replaceOwner };
}

/** A job's progress as it is stored. */
async function storedProgress(
	{ clock, store }: fixtures.TestEnvironment,
	id: string,
): Promise<jobs.ProgressRecord | undefined> {
	const reading = ledger.readJob(store.view(), id);
	await clock.advance(50);
	const read = await reading;
	return read.ok ? read.value?.progress : undefined;
}

// Guards against crashes that are blamed on no task, as the owner is replaced before they are proved: each such task crashes
// one more worker at each change of owner.
test('a crash that is not proved yet is attributed by the next owner', async (t) => {
	const env = await setUp(() => ({ ms: 'endless', how: 'done', crashAfterMs }));
	await env.submit(env.owner(), fixtures.job('bad', [fixtures.step()]));
	await env.clock.advance(500);
	await env.replaceOwner();
	await env.clock.advance(30_000);
	t.is(env.owner().dispatcher.stateOf('bad'), 'failed');
	t.is(crashes.crashCountsOf(env, 'bad.0.0.0').crashes, 2);
	env.owner().die();
});

// Guards against sound jobs that are shown as failed, as starts that were refused count as crashes after changes of owner.
test('a start that was counted and then refused is not left in the store', async (t) => {
	const env = await setUp(() => ({ ms: 60_000, how: 'done' }));
	const { clock, fleet } = env;
	await env.submit(env.owner(), fixtures.job('sound', [fixtures.step()]));
	await clock.advance(200);
	const worker = [...fleet.workers.values()].find((one) => one.running.size > 0);
	if (worker !== undefined) fleet.crashAndRecover(worker, { downMs: 500, unresponsive: false });
	fleet.fateOf = (_worker, call) =>
		call === 'start' ? { arrivesAfterMs: 0, answersAfterMs: 0, isRefused: true } : undefined;
	const refusals = (): number => env.owner().events.select(({ name }) => name === 'start.refused').length;
	while (refusals() === 0) await clock.advance(1);
	// Until the next attempt the worker is avoided, and no other takes the task.
	env.owner().dispatcher.setWorkers([], [...fleet.workers.keys()], true);
	await clock.advance(400);
	const progress = await storedProgress(env, 'sound');
	const { tries, crashed } = progress?.crashes?.['0.0.0'] ?? {};
	t.deepEqual({ tries, crashed }, { tries: [], crashed: [1] });
	env.owner().die();
});

// Guards against steps whose suspects start anew with one run at a time under each owner, and against steps of crashing tasks
// that are no longer suspected as a whole.
test('a step keeps its passed probations and its suspects under the next owner', (t) => {
	const start = { cancelled: false, inherited: true, workersStored: true, now: 0, age: 0 };
	const record = fixtures.job('job1', [fixtures.step({ count: 4 })]);
	const first = jobs.ActiveJob.create(record, undefined, start);
	first.openNextOccurrence(0);
	const blame = (job: jobs.ActiveJob): void => {
		for (const index of [0, 1]) {
			const task = job.findTask(0, 0, index);
			if (task === undefined) continue;
			task.crashes = jobs.CrashHistory.create();
			task.crashes.noteCrash(1, true);
		}
	};
	blame(first);
	const restore = (): jobs.StepInstance | undefined => {
		const next = jobs.ActiveJob.create(record, first.toProgress(), start);
		next.openNextOccurrence(0);
		return next.steps[0];
	};
	const probations = probation.Probations.create({} as probation.ProbationOptions);
	const isSuspect = (step: jobs.StepInstance | undefined, index: number): boolean => {
		const task = step?.tasks[index];
		return task !== undefined && probations.isSuspect(task);
	};
	t.true(isSuspect(restore(), 3), 'two tasks of its step crashed workers');
	const [step] = first.steps;
	if (step !== undefined) step.passedProbations = 2;
	const restored = restore();
	t.is(restored?.passedProbations, 2);
	t.false(isSuspect(restored, 3));
	t.true(isSuspect(restored, 0));
});

// Guards against suspicion of all tasks that wait: a worker that is lost as the owner changes may have run any of them.
test('a crash under a run that nobody reported counts towards the limit and raises no suspicion', (t) => {
	const history = jobs.CrashHistory.create();
	history.noteUnreportedCrash();
	history.noteCrash(1, false);
	const { crashed, observed } = jobs.CrashHistory.create(history.toStored());
	t.deepEqual({ crashed, observed }, { crashed: 2, observed: 1 });
});
