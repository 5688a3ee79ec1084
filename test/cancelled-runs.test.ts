/** Runs of a cancelled job are stopped soon after they begin, however they came to run. */
import test from 'ava';
import * as ledger from '../src/core/ledger/index.js';
import * as fixtures from './fixtures/dispatching.js';

/** How long a run of a cancelled job may last, in milliseconds: until a report lists it and its stop is carried out. */
const maxRunAfterCancelMs = 1_500;

const longPlan = { ms: 60_000, how: 'done' as const };

test('a start that is carried out after its job was cancelled is stopped', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => longPlan);
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await clock.advance(1_200);
	w1.fault = 'late';
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(50);
	owner.dispatcher.cancelJob('job1');
	// Only the start comes late: from here on the worker answers.
	w1.fault = 'none';
	let runningMs = 0;
	for (let passed = 0; passed < 15_000; passed += 50) {
		await clock.advance(50);
		runningMs += w1.running.size * 50;
	}
	t.true(runningMs <= maxRunAfterCancelMs, `it ran for ${runningMs} ms`);
	owner.dispatcher.close();
});

// Guards against runs of a cancelled job for as long as the store does not answer the owner.
test('a job whose cancellation reaches the owner first is not started while the store is away', async (t) => {
	let fault: 'none' | 'down' = 'none';
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => longPlan);
	const w1 = fleet.add('w1');
	const owner = await takeOver(undefined, () => fault);
	await clock.advance(1_200);
	fault = 'down';
	owner.dispatcher.cancelJob('job1');
	await submit(owner, fixtures.job('job1', [fixtures.step({ count: 3 })]));
	t.is(owner.dispatcher.stateOf('job1'), 'cancelled');
	await clock.advance(1_000);
	t.is(w1.running.size, 0);
	t.is(fleet.starts.length, 0);
	owner.dispatcher.close();
});

test('a run that a replaced owner started is stopped by its successor if the job was cancelled meanwhile', async (t) => {
	const { clock, store, fleet, takeOver, submit } = fixtures.createEnvironment(() => longPlan);
	const w1 = fleet.add('w1');
	const first = await takeOver();
	await submit(first, fixtures.job('job1', [fixtures.step({ count: 3 })]));
	await clock.advance(500);
	t.is(w1.running.size, 3);
	first.dispatcher.close();
	const cancelling = ledger.cancel(store.view(), 'job1');
	await clock.advance(50);
	t.is((await cancelling).type, 'cancelled');
	const second = await takeOver();
	await clock.advance(maxRunAfterCancelMs);
	t.is(w1.running.size, 0);
	t.is(second.dispatcher.stateOf('job1'), 'cancelled');
	second.dispatcher.close();
});

test('a long-running task is not started if its job is cancelled while its worker is being stored', async (t) => {
	let fault: 'none' | 'down' = 'none';
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => longPlan);
	fleet.add('w1');
	const owner = await takeOver(undefined, () => fault);
	await clock.advance(1_200);
	await submit(owner, fixtures.job('job1', [fixtures.step({ lasting: true })]));
	fault = 'down';
	await clock.advance(1_000);
	owner.dispatcher.cancelJob('job1');
	fault = 'none';
	await clock.advance(5_000);
	t.is(fleet.starts.length, 0);
	owner.dispatcher.close();
});

test('a run of a cancelled job that a successor finds keeps its capacity until it has exited', async (t) => {
	const { clock, store, fleet, takeOver, submit } = fixtures.createEnvironment(() => longPlan);
	const w1 = fleet.add('w1');
	const first = await takeOver();
	await submit(first, fixtures.job('job1', [fixtures.step({ milliCores: 20_000 })]));
	await clock.advance(500);
	first.dispatcher.close();
	const cancelling = ledger.cancel(store.view(), 'job1');
	await clock.advance(50);
	await cancelling;
	const second = await takeOver();
	await submit(second, fixtures.job('job2', [fixtures.step({ milliCores: 20_000 })]));
	for (let passed = 0; passed < 2_000; passed += 10) {
		await clock.advance(10);
		t.true(w1.running.size <= 1);
	}
	t.deepEqual([...w1.running.keys()], ['job2.0.0.0']);
	second.dispatcher.close();
});
