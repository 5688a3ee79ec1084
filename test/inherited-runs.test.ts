/** What a successor makes of runs that it finds and doesn't want: none is doubled, and no worker is filled over its cores. */
import test from 'ava';
import * as ledger from '../src/core/ledger/index.js';
import * as world from './fixtures/dispatching.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/** Two tasks of this size don't fit on one worker, in thousandths of a core. */
const big = 20_000;

const long = { ms: 60_000, how: 'done' as const };

/** Lets time pass; `check` is asked every ten milliseconds. */
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

/** A job with one big task. */
function bigJob(id: string): ReturnType<typeof world.job> {
	return world.job(id, [world.step({ milliCores: big })]);
}

/** An owner's job runs on a worker that does not hear that it was cancelled; its end is stored, and the owner goes. */
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

test('a run of a job whose end is stored keeps its room until it has ended', async (t) => {
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

test('the end of a run of a job whose end is stored is not stored again', async (t) => {
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

/** A job's stored state. */
async function storedState(made: world.TestWorld, id: string): Promise<string | undefined> {
	const stored = await read(made, id);
	return stored?.progress?.state;
}

/** Version of a job's stored progress. */
async function progressVersion(made: world.TestWorld, id: string): Promise<number | undefined> {
	const stored = await read(made, id);
	return stored?.progressVersion;
}

/** All that is kept of a job. */
async function read({ clock, store }: world.TestWorld, id: string): Promise<ledger.StoredJob | undefined> {
	const reading = ledger.readJob(store.view(), id);
	await clock.pass(50);
	const res = await reading;
	return res.ok ? res.value : undefined;
}
