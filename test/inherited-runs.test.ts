/**
 * What a successor does with runs that it finds and doesn't need: no task has two runs at once, and no worker has more cores
 * in use than it has.
 */
import test from 'ava';
import * as fencing from '../src/core/dispatch/fencing-tokens.js';
import * as ledger from '../src/core/ledger/index.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as fleet from '../src/core/fleet/types.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/** Two tasks of this size don't fit on one worker, in thousandths of a core. */
const bigMilliCores = 20_000;

const longPlan = { ms: 60_000, how: 'done' as const };

/** Cancels a job in the store. */
async function cancel({ clock, store }: fixtures.TestEnvironment, id: string): Promise<void> {
	const cancelling = ledger.cancel(store.view(), id);
	await clock.advance(50);
	await cancelling;
}

/** A job with one large task. */
function bigJob(id: string): ReturnType<typeof fixtures.job> {
	return fixtures.job(id, [fixtures.step({ milliCores: bigMilliCores })]);
}

/** A job runs on a worker that does not receive its cancellation; the job's end is stored, and the owner stops. */
async function leaveEndedJob(environment: fixtures.TestEnvironment, w1: workers.FakeWorker): Promise<void> {
	const first = await environment.takeOver();
	await environment.submit(first, bigJob('job1'));
	await environment.clock.advance(500);
	w1.fault = 'silent';
	await cancel(environment, 'job1');
	first.dispatcher.cancelJob('job1');
	await environment.clock.advance(500);
	first.dispatcher.close();
	await environment.clock.advance(1_000);
	w1.fault = 'none';
}

test('a run of a job whose end is stored keeps its capacity until it has exited', async (t) => {
	const environment = fixtures.createEnvironment(() => longPlan);
	const w1 = environment.fleet.add('w1');
	await leaveEndedJob(environment, w1);
	const stored = await storedState(environment, 'job1');
	t.is(stored, 'cancelled');
	t.is(w1.running.size, 1);
	const second = await environment.takeOver();
	await environment.submit(second, bigJob('job2'));
	await fixtures.checkWhile(environment.clock, 2_000, () => t.true(w1.running.size <= 1));
	t.deepEqual([...w1.running.keys()], ['job2.0.0.0']);
	second.dispatcher.close();
});

test('the exit of a run of a job whose end is stored is not stored again', async (t) => {
	const environment = fixtures.createEnvironment(() => longPlan);
	const w1 = environment.fleet.add('w1');
	await leaveEndedJob(environment, w1);
	const second = await environment.takeOver();
	const version = await progressVersion(environment, 'job1');
	await environment.clock.advance(2_000);
	t.is(w1.running.size, 0);
	t.is(w1.ended.length, 0);
	t.is(await progressVersion(environment, 'job1'), version);
	second.dispatcher.close();
});

/** How far an owner's clock is ahead of its successor's, at least, in milliseconds. */
const clockAheadMs = 60;

/** A job with two occurrences, and the start command that an owner whose clock is ahead sends for the second. */
function repeatedJob(firstAt: number): {
	record: ReturnType<typeof fixtures.job>;
	command: fleet.StartCommand;
} {
	const schedule = { times: 2, firstAt, intervalMs: 3_000 };
	const record = fixtures.job('job1', [fixtures.step({ milliCores: bigMilliCores })], { schedule });
	return { record, command: startCommandFor('job1.1.0.0', 1) };
}

/** A start command as an earlier owner sent it. */
function startCommandFor(task: string, epoch: number): fleet.StartCommand {
	return {
		task,
		run: 1,
		text: '',
		token: fencing.highestTokenOf(epoch),
		leaseUntil: Infinity,
		checkpoint: '',
		ticket: '',
	};
}

/** Runs a job's first occurrence; an owner whose clock is ahead starts the second; the next owner takes over. */
async function takeOverEarly(environment: fixtures.TestEnvironment): Promise<fixtures.TestOwner> {
	const { clock, fleet } = environment;
	const [, , w3] = ['w1', 'w2', 'w3'].map((id) => fleet.add(id));
	const first = await environment.takeOver();
	await clock.advance(1_200);
	const startedAt = clock.wall();
	const { record, command } = repeatedJob(startedAt);
	await environment.submit(first, record);
	await clock.advance(3_000 - clockAheadMs - 50 - (clock.wall() - startedAt));
	first.dispatcher.close();
	w3?.start(command);
	return environment.takeOver();
}

test("a run of an occurrence that is not due yet by the successor's clock continues, and is the only one", async (t) => {
	const environment = fixtures.createEnvironment((task) => ({
		ms: task === 'job1.0.0.0' ? 100 : 60_000,
		how: 'done',
	}));
	const second = await takeOverEarly(environment);
	await fixtures.checkWhile(environment.clock, 5_000, () =>
		t.deepEqual(environment.fleet.tasksRunningTwice(), []),
	);
	t.is(environment.fleet.starts.filter((one) => one.task === 'job1.1.0.0').length, 1);
	second.dispatcher.close();
});

test("a task that is done before its occurrence is due by the successor's clock is not run again", async (t) => {
	const environment = fixtures.createEnvironment(() => ({ ms: 10, how: 'done' }));
	const second = await takeOverEarly(environment);
	await environment.clock.advance(5_000);
	t.is(environment.fleet.starts.filter((one) => one.task === 'job1.1.0.0').length, 1);
	t.is(second.dispatcher.stateOf('job1'), 'completed');
	second.dispatcher.close();
});

test("stored progress of an occurrence that is not due yet by an owner's clock is not lost when that owner stores the job", async (t) => {
	const environment = fixtures.createEnvironment(() => ({ ms: 1_000, how: 'done' }));
	environment.fleet.add('w1');
	const first = await environment.takeOver();
	await environment.clock.advance(1_200);
	const schedule = { times: 3, firstAt: environment.clock.wall(), intervalMs: 3_000 };
	await environment.submit(first, fixtures.job('job1', [fixtures.step()], { schedule }));
	await environment.clock.advance(100);
	first.dispatcher.close();
	const savedProgress = {
		state: 'running' as const,
		finished: { '1.0': 'all' as const },
		failures: {},
		checkpoints: {},
	};
	const saving = first.ledger.saveProgress(new Map([['job1', { ...savedProgress, endedAt: 0 }]]));
	await environment.clock.advance(50);
	t.is(await saving, 'committed');
	const second = await environment.takeOver();
	await environment.clock.advance(1_500);
	t.deepEqual((await readStored(environment, 'job1'))?.progress?.finished['0.0'], 'all');
	second.dispatcher.close();
	const third = await environment.takeOver();
	await environment.clock.advance(8_000);
	t.deepEqual(
		environment.fleet.starts.map((one) => one.task),
		['job1.0.0.0', 'job1.2.0.0'],
	);
	t.is(third.dispatcher.stateOf('job1'), 'completed');
	third.dispatcher.close();
});

test('a worker with a run of a job that is no longer stored gets no new work until that run has exited', async (t) => {
	const environment = fixtures.createEnvironment(() => longPlan);
	const w1 = environment.fleet.add('w1');
	const first = await environment.takeOver();
	await environment.clock.advance(500);
	first.dispatcher.close();
	w1.start(startCommandFor('gone.0.0.0', 1));
	const second = await environment.takeOver();
	await environment.submit(second, bigJob('job2'));
	await fixtures.checkWhile(environment.clock, 2_000, () => t.true(w1.running.size <= 1));
	t.deepEqual([...w1.running.keys()], ['job2.0.0.0']);
	second.dispatcher.close();
});

test('a worker with an old run of a task that is placed elsewhere gets no new work until that run has exited', async (t) => {
	const environment = fixtures.createEnvironment(() => longPlan);
	const w1 = environment.fleet.add('w1');
	const owner = await environment.takeOver();
	await environment.clock.advance(500);
	await environment.submit(
		owner,
		fixtures.job('job1', [fixtures.step({ milliCores: bigMilliCores, requiredLabel: 'other' })]),
	);
	environment.fleet.add('w2', { labels: ['other'] });
	owner.dispatcher.setWorkers(environment.fleet.entries(), [], true);
	await environment.clock.advance(500);
	// A worker that was suspended past its leases reports for a moment what ran there, when it resumes.
	w1.start({ ...startCommandFor('job1.0.0.0', 1), token: fixtures.firstToken(1) });
	await environment.clock.advance(1_100);
	await environment.submit(owner, bigJob('job2'));
	await fixtures.checkWhile(environment.clock, 2_000, () => t.true(w1.running.size <= 1));
	t.deepEqual([...w1.running.keys()], ['job2.0.0.0']);
	owner.dispatcher.close();
});

test('a task with an old run on any worker is started only once that run has exited', async (t) => {
	const plan = (_task: string, run: number): workers.RunPlan =>
		run === 2 ? { ms: 10, how: 'failed' } : longPlan;
	const environment = fixtures.createEnvironment(plan);
	const [w1, , w3] = ['w1', 'w2', 'w3'].map((id) => environment.fleet.add(id));
	const first = await environment.takeOver();
	await environment.clock.advance(500);
	first.dispatcher.close();
	await environment.submit(first, bigJob('job1'));
	w3?.start(startCommandFor('job1.0.0.0', 1));
	w1?.start({ ...startCommandFor('job1.0.0.0', 1), run: 2 });
	await environment.clock.advance(50);
	const second = await environment.takeOver();
	await fixtures.checkWhile(environment.clock, 2_000, () =>
		t.deepEqual(environment.fleet.tasksRunningTwice(), []),
	);
	t.is(environment.fleet.starts.length, 3);
	second.dispatcher.close();
});

/** A job's stored state; undefined if none is stored. */
async function storedState(environment: fixtures.TestEnvironment, id: string): Promise<string | undefined> {
	const stored = await readStored(environment, id);
	return stored?.progress?.state;
}

/** Version of a job's stored progress; undefined if none is stored. */
async function progressVersion(
	environment: fixtures.TestEnvironment,
	id: string,
): Promise<number | undefined> {
	const stored = await readStored(environment, id);
	return stored?.progressVersion;
}

/** Everything that is stored of a job; undefined if nothing is, or if the read fails. */
async function readStored(
	{ clock, store }: fixtures.TestEnvironment,
	id: string,
): Promise<ledger.StoredJob | undefined> {
	const reading = ledger.readJob(store.view(), id);
	await clock.advance(50);
	const res = await reading;
	return res.ok ? res.value : undefined;
}
