/**
 * What a successor does with runs that it finds and doesn't need: no task has two runs at once, and no worker has more cores
 * in use than it has.
 */
import test from 'ava';
import * as fencing from '../src/core/dispatch/fencing-tokens.js';
import * as ledger from '../src/core/ledger/index.js';
import * as world from './fixtures/dispatching.js';
import type * as fleet from '../src/core/fleet/types.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/** Two tasks of this size don't fit on one worker, in thousandths of a core. */
const big = 20_000;

const long = { ms: 60_000, how: 'done' as const };

/** Advances the clock, and calls `check` every ten milliseconds. */
async function watch(clock: world.TestWorld['clock'], ms: number, check: () => void): Promise<void> {
	for (let passed = 0; passed < ms; passed += 10) {
		await clock.pass(10);
		check();
	}
}

/** Cancels a job in the store. */
async function cancel({ clock, store }: world.TestWorld, id: string): Promise<void> {
	const cancelling = ledger.cancel(store.view(), id);
	await clock.pass(50);
	await cancelling;
}

/** A job with one large task. */
function bigJob(id: string): ReturnType<typeof world.job> {
	return world.job(id, [world.step({ milliCores: big })]);
}

/** A job runs on a worker that does not receive its cancellation; the job's end is stored, and the owner stops. */
async function leaveEndedJob(made: world.TestWorld, w1: workers.FakeWorker): Promise<void> {
	const first = await made.takeOver();
	await made.submit(first, bigJob('job1'));
	await made.clock.pass(500);
	w1.fault = 'silent';
	await cancel(made, 'job1');
	first.dispatcher.cancelJob('job1');
	await made.clock.pass(500);
	first.dispatcher.close();
	await made.clock.pass(1_000);
	w1.fault = 'none';
}

test('a run of a job whose end is stored keeps its capacity until it has exited', async (t) => {
	const made = world.createWorld(() => long);
	const w1 = made.fleet.add('w1');
	await leaveEndedJob(made, w1);
	const stored = await storedState(made, 'job1');
	t.is(stored, 'cancelled');
	t.is(w1.running.size, 1);
	const second = await made.takeOver();
	await made.submit(second, bigJob('job2'));
	await watch(made.clock, 2_000, () => t.true(w1.running.size <= 1));
	t.deepEqual([...w1.running.keys()], ['job2.0.0.0']);
	second.dispatcher.close();
});

test('the exit of a run of a job whose end is stored is not stored again', async (t) => {
	const made = world.createWorld(() => long);
	const w1 = made.fleet.add('w1');
	await leaveEndedJob(made, w1);
	const second = await made.takeOver();
	const version = await progressVersion(made, 'job1');
	await made.clock.pass(2_000);
	t.is(w1.running.size, 0);
	t.is(w1.ended.length, 0);
	t.is(await progressVersion(made, 'job1'), version);
	second.dispatcher.close();
});

/** How far an owner's clock is ahead of its successor's, at least, in milliseconds. */
const aheadMs = 60;

/** A job with two occurrences, and the start command that an owner whose clock is ahead sends for the second. */
function twice(firstAt: number): { record: ReturnType<typeof world.job>; order: fleet.StartCommand } {
	const schedule = { times: 2, firstAt, intervalMs: 3_000 };
	const record = world.job('job1', [world.step({ milliCores: big })], { schedule });
	return { record, order: orderFor('job1.1.0.0', 1) };
}

/** A start command as an earlier owner sent it. */
function orderFor(task: string, epoch: number): fleet.StartCommand {
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
async function takeOverEarly(made: world.TestWorld): Promise<world.TestOwner> {
	const { clock, fleet: all } = made;
	const [, , w3] = ['w1', 'w2', 'w3'].map((id) => all.add(id));
	const first = await made.takeOver();
	await clock.pass(1_200);
	const startedAt = clock.wall();
	const { record, order } = twice(startedAt);
	await made.submit(first, record);
	await clock.pass(3_000 - aheadMs - 50 - (clock.wall() - startedAt));
	first.dispatcher.close();
	w3?.start(order);
	return made.takeOver();
}

test("a run of an occurrence that is not due yet by the successor's clock continues, and is the only one", async (t) => {
	const made = world.createWorld((task) => ({ ms: task === 'job1.0.0.0' ? 100 : 60_000, how: 'done' }));
	const second = await takeOverEarly(made);
	await watch(made.clock, 5_000, () => t.deepEqual(made.fleet.doubled(), []));
	t.is(made.fleet.starts.filter((one) => one.task === 'job1.1.0.0').length, 1);
	second.dispatcher.close();
});

test("a task that is done before its occurrence is due by the successor's clock is not run again", async (t) => {
	const made = world.createWorld(() => ({ ms: 10, how: 'done' }));
	const second = await takeOverEarly(made);
	await made.clock.pass(5_000);
	t.is(made.fleet.starts.filter((one) => one.task === 'job1.1.0.0').length, 1);
	t.is(second.dispatcher.stateOf('job1'), 'completed');
	second.dispatcher.close();
});

test("stored progress of an occurrence that is not due yet by an owner's clock is not lost when that owner stores the job", async (t) => {
	const made = world.createWorld(() => ({ ms: 1_000, how: 'done' }));
	made.fleet.add('w1');
	const first = await made.takeOver();
	await made.clock.pass(1_200);
	const schedule = { times: 3, firstAt: made.clock.wall(), intervalMs: 3_000 };
	await made.submit(first, world.job('job1', [world.step()], { schedule }));
	await made.clock.pass(100);
	first.dispatcher.close();
	const done = {
		state: 'running' as const,
		finished: { '1.0': 'all' as const },
		failures: {},
		checkpoints: {},
	};
	const saving = first.ledger.saveProgress(new Map([['job1', { ...done, endedAt: 0 }]]));
	await made.clock.pass(50);
	t.is(await saving, 'committed');
	const second = await made.takeOver();
	await made.clock.pass(1_500);
	t.deepEqual((await read(made, 'job1'))?.progress?.finished['0.0'], 'all');
	second.dispatcher.close();
	const third = await made.takeOver();
	await made.clock.pass(8_000);
	t.deepEqual(
		made.fleet.starts.map((one) => one.task),
		['job1.0.0.0', 'job1.2.0.0'],
	);
	t.is(third.dispatcher.stateOf('job1'), 'completed');
	third.dispatcher.close();
});

test('a worker with a run of a job that is no longer stored gets no new work until that run has exited', async (t) => {
	const made = world.createWorld(() => long);
	const w1 = made.fleet.add('w1');
	const first = await made.takeOver();
	await made.clock.pass(500);
	first.dispatcher.close();
	w1.start(orderFor('gone.0.0.0', 1));
	const second = await made.takeOver();
	await made.submit(second, bigJob('job2'));
	await watch(made.clock, 2_000, () => t.true(w1.running.size <= 1));
	t.deepEqual([...w1.running.keys()], ['job2.0.0.0']);
	second.dispatcher.close();
});

test('a worker with an old run of a task that is placed elsewhere gets no new work until that run has exited', async (t) => {
	const made = world.createWorld(() => long);
	const w1 = made.fleet.add('w1');
	const owner = await made.takeOver();
	await made.clock.pass(500);
	await made.submit(owner, world.job('job1', [world.step({ milliCores: big, requiredLabel: 'other' })]));
	made.fleet.add('w2', { labels: ['other'] });
	owner.dispatcher.setWorkers(made.fleet.entries(), [], true);
	await made.clock.pass(500);
	// A worker that was suspended past its leases reports for a moment what ran there, when it resumes.
	w1.start({ ...orderFor('job1.0.0.0', 1), token: world.firstToken(1) });
	await made.clock.pass(1_100);
	await made.submit(owner, bigJob('job2'));
	await watch(made.clock, 2_000, () => t.true(w1.running.size <= 1));
	t.deepEqual([...w1.running.keys()], ['job2.0.0.0']);
	owner.dispatcher.close();
});

test('a task with an old run on any worker is started only once that run has exited', async (t) => {
	const plan = (_task: string, run: number): workers.RunPlan =>
		run === 2 ? { ms: 10, how: 'failed' } : long;
	const made = world.createWorld(plan);
	const [w1, , w3] = ['w1', 'w2', 'w3'].map((id) => made.fleet.add(id));
	const first = await made.takeOver();
	await made.clock.pass(500);
	first.dispatcher.close();
	await made.submit(first, bigJob('job1'));
	w3?.start(orderFor('job1.0.0.0', 1));
	w1?.start({ ...orderFor('job1.0.0.0', 1), run: 2 });
	await made.clock.pass(50);
	const second = await made.takeOver();
	await watch(made.clock, 2_000, () => t.deepEqual(made.fleet.doubled(), []));
	t.is(made.fleet.starts.length, 3);
	second.dispatcher.close();
});

/** A job's stored state; undefined if none is stored. */
async function storedState(made: world.TestWorld, id: string): Promise<string | undefined> {
	const stored = await read(made, id);
	return stored?.progress?.state;
}

/** Version of a job's stored progress; undefined if none is stored. */
async function progressVersion(made: world.TestWorld, id: string): Promise<number | undefined> {
	const stored = await read(made, id);
	return stored?.progressVersion;
}

/** Everything that is stored of a job; undefined if nothing is, or if the read fails. */
async function read({ clock, store }: world.TestWorld, id: string): Promise<ledger.StoredJob | undefined> {
	const reading = ledger.readJob(store.view(), id);
	await clock.pass(50);
	const res = await reading;
	return res.ok ? res.value : undefined;
}
