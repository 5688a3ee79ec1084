/** What a successor starts at once, and what it has to wait for, when workers are gone or unresponsive. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import type * as jobs from '../src/core/jobs/index.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/** Time that a takeover and a start take, with a margin, in milliseconds; far less than any lease. */
const takeoverAndStartMs = 2_000;

function endlessRun(): { ms: 'endless'; how: 'done' } {
	return { ms: 'endless', how: 'done' };
}

/** A step of long-running tasks. A worker has capacity for one of them. */
function longRunningSteps(count: number): jobs.StepSpec[] {
	return [fixtures.step({ count, milliCores: 20_000, lasting: true })];
}

test('inherited work does not wait for a worker that was emptied before it left', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(endlessRun);
	fleet.add('w1');
	const w2 = fleet.add('w2');
	const first = await takeOver();
	// The same holds for short and long-running tasks. These are short: they exit by themselves unless they are stopped.
	await submit(first, fixtures.job('job1', [fixtures.step({ count: 2, milliCores: 20_000 })]));
	await clock.advance(3_000);
	t.is(fleet.starts.length, 2);
	first.dispatcher.setWorkers([{ ...w2.entry, draining: true, remainingMs: 3_000 }], [], false);
	await clock.advance(3_000);
	t.is(w2.running.size, 0);
	fleet.workers.delete('w2');
	first.dispatcher.setWorkers([], ['w2'], false);
	await clock.advance(500);
	first.dispatcher.close();
	const w3 = fleet.add('w3');
	const second = await takeOver();
	await clock.advance(takeoverAndStartMs);
	t.is(w3.running.size, 1);
	t.deepEqual(fleet.tasksRunningTwice(), []);
	second.dispatcher.close();
});

test('a long-running task waits only for the worker where it was last started', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(endlessRun);
	fleet.add('w1');
	const w2 = fleet.add('w2');
	const w3 = fleet.add('w3');
	const first = await takeOver();
	await submit(first, fixtures.job('job1', longRunningSteps(3)));
	await clock.advance(3_000);
	t.is(fleet.starts.length, 3);
	const onW3 = [...w3.running.keys()];
	first.dispatcher.setWorkers([{ ...w2.entry, draining: true, remainingMs: 20_000 }], [], false);
	await submit(first, fixtures.job('never-started', longRunningSteps(1)));
	await clock.advance(1_000);
	t.is(w2.running.size, 0);
	// The owner and a worker fail at the same moment, so nothing could be stored about the worker.
	w3.fault = 'silent';
	first.dispatcher.close();
	fleet.add('w4');
	fleet.add('w5');
	fleet.add('w6');
	const second = await takeOver();
	await clock.advance(takeoverAndStartMs);
	const started = fleet.starts.slice(3).map((one) => one.task);
	t.is(started.length, 2);
	t.true(started.includes('never-started.0.0.0'));
	t.false(started.some((task) => onW3.includes(task)));
	for (let passed = 0; passed < 10_000; passed += 100) {
		await clock.advance(100);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	t.deepEqual(
		fleet.starts.slice(5).map((one) => one.task),
		onW3,
	);
	second.dispatcher.close();
});

test('an owner presumes no run lost whose lease its successor may have renewed', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 30_000, how: 'done' }));
	fleet.add('w1');
	let isCut = false;
	const first = await takeOver((worker) => isCut && worker === 'w1');
	await submit(first, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(1_000);
	t.is(fleet.starts.length, 1);
	const w2 = fleet.add('w2');
	first.dispatcher.setWorkers(fleet.entries(), [], true);
	isCut = true;
	// The lease granted to w1 has a second left, and the first owner's last call to the store is more recent than that.
	await clock.advance(5_000);
	const second = await takeOver((worker) => worker === 'w2');
	for (let passed = 0; passed < 6_000; passed += 50) {
		await clock.advance(50);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	t.is(w2.running.size, 0);
	first.dispatcher.close();
	second.dispatcher.close();
});

/** Creates an environment whose only worker runs a long-running task and has just become unresponsive. */
async function setUpUnresponsiveWorker(
	fault?: () => memory.StoreFault,
): Promise<fixtures.TestEnvironment & { owner: fixtures.TestOwner; w1: workers.FakeWorker }> {
	const environment = fixtures.createEnvironment(endlessRun);
	const w1 = environment.fleet.add('w1');
	const owner = await environment.takeOver(undefined, fault);
	await environment.submit(owner, fixtures.job('job1', longRunningSteps(1)));
	await environment.clock.advance(1_000);
	w1.fault = 'silent';
	return { ...environment, owner, w1 };
}

/** Clock times at which leases end, by worker, as a box computes them from the times left in an owner's answer. */
function leaseEndsFrom(leftMs: Record<string, number>, now: number): Map<string, number> {
	return new Map(Object.entries(leftMs).map(([worker, left]) => [worker, now + left]));
}

test('a successor waits for an unresponsive worker no longer than its predecessor would have', async (t) => {
	const { clock, fleet, takeOver, owner: first } = await setUpUnresponsiveWorker();
	await clock.advance(4_000);
	const leaseEnds = leaseEndsFrom(first.dispatcher.unresponsiveLeases(), clock.now());
	first.dispatcher.close();
	const w2 = fleet.add('w2');
	const second = await takeOver(undefined, undefined, leaseEnds);
	for (let passed = 0; passed < 3_000; passed += 50) {
		await clock.advance(50);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	t.is(w2.running.size, 1);
	second.dispatcher.close();
});

test('a worker whose lease end was published gets no lease before the roster has changed', async (t) => {
	let fault: 'none' | 'down' = 'none';
	const { clock, owner, w1 } = await setUpUnresponsiveWorker(() => fault);
	await clock.advance(3_300);
	t.deepEqual(Object.keys(owner.dispatcher.unresponsiveLeases()), ['w1']);
	fault = 'down';
	w1.fault = 'none';
	await clock.advance(3_700);
	t.is(w1.running.size, 0);
	owner.dispatcher.close();
});

test('a worker whose lease end was published is renewed once the roster has changed', async (t) => {
	const { clock, fleet, owner, w1 } = await setUpUnresponsiveWorker();
	await clock.advance(3_300);
	t.deepEqual(Object.keys(owner.dispatcher.unresponsiveLeases()), ['w1']);
	w1.fault = 'none';
	await clock.advance(20_000);
	t.is(w1.running.size, 1);
	t.is(fleet.starts.length, 1);
	owner.dispatcher.close();
});

/**
 * Sets up a worker whose last start is in flight for longer than the lease that it brings. The worker is unresponsive, and
 * there is another one.
 */
async function setUpStartInFlight(): Promise<
	fixtures.TestEnvironment & { owner: fixtures.TestOwner; w1: workers.FakeWorker }
> {
	const environment = fixtures.createEnvironment(() => ({ ms: 30_000, how: 'done' }));
	const { clock, fleet, takeOver, submit } = environment;
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await clock.advance(1_200);
	// The first attempts are lost in transit.
	w1.fault = 'silent';
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(2_300);
	w1.fault = 'late';
	await clock.advance(500);
	w1.fault = 'silent';
	fleet.add('w2');
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	return { ...environment, owner, w1 };
}

test('a start that is carried out after its run was presumed lost has no effect', async (t) => {
	const { clock, fleet, owner, w1 } = await setUpStartInFlight();
	await clock.advance(3_700);
	t.is(fleet.starts.length, 1);
	w1.fault = 'none';
	for (let passed = 0; passed < 10_000; passed += 50) {
		await clock.advance(50);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	t.is(fleet.starts.length, 1);
	owner.dispatcher.close();
});

test('an unconfirmed run is not forgotten when its worker leaves the list and comes back', async (t) => {
	const { clock, fleet, owner, w1 } = await setUpStartInFlight();
	owner.dispatcher.setWorkers([], ['w1'], false);
	await clock.advance(3_700);
	t.is(fleet.starts.length, 1);
	w1.fault = 'none';
	owner.dispatcher.setWorkers([w1.entry], [], false);
	for (let passed = 0; passed < 10_000; passed += 50) {
		await clock.advance(50);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	t.is(fleet.starts.length, 1);
	owner.dispatcher.close();
});

test('a worker that has not answered a new owner is not presumed empty', async (t) => {
	const { takeOver, clock, owner: first, w1 } = await setUpUnresponsiveWorker();
	first.dispatcher.close();
	const second = await takeOver();
	t.is(second.dispatcher.vacate('w1'), 'protected');
	w1.fault = 'none';
	await clock.advance(takeoverAndStartMs);
	t.is(second.dispatcher.vacate('w1'), 'moving');
	second.dispatcher.close();
});

test('owners that follow each other quickly do not restart the wait for an unresponsive worker', async (t) => {
	const { clock, fleet, takeOver, owner: first } = await setUpUnresponsiveWorker();
	await clock.advance(3_500);
	const leaseEnds = leaseEndsFrom(first.dispatcher.unresponsiveLeases(), clock.now());
	first.dispatcher.close();
	const w2 = fleet.add('w2');
	const second = await takeOver(undefined, undefined, leaseEnds);
	await clock.advance(500);
	const laterLeaseEnds = leaseEndsFrom(second.dispatcher.unresponsiveLeases(), clock.now());
	second.dispatcher.close();
	const third = await takeOver(undefined, undefined, laterLeaseEnds);
	await clock.advance(3_000);
	t.is(w2.running.size, 1);
	t.deepEqual(fleet.tasksRunningTwice(), []);
	third.dispatcher.close();
});

test('a gang waits as long as any of its tasks may run somewhere', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 60_000, how: 'done' }));
	fleet.add('w1');
	const w2 = fleet.add('w2');
	const first = await takeOver();
	const gang = { count: 2, milliCores: 20_000, gang: true };
	await submit(first, fixtures.job('gang', [fixtures.step(gang)]));
	await clock.advance(1_000);
	t.is(fleet.starts.length, 2);
	const [lostTask] = [...(fleet.workers.get('w1')?.running.keys() ?? [])];
	// w2 is cut off while its task runs on, so its roster entry is closed. Then the other worker restarts.
	w2.fault = 'silent';
	await clock.advance(3_000);
	first.dispatcher.close();
	fleet.add('w1-again', { address: 'w1:1' });
	fleet.add('w3');
	const second = await takeOver();
	for (let passed = 0; passed < 12_000; passed += 50) {
		await clock.advance(50);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	t.true(fleet.starts.slice(2).some((one) => one.task === lostTask));
	second.dispatcher.close();
});

test('a long-running task that was stopped does not wait for the worker where it ran', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(endlessRun);
	const w1 = fleet.add('w1');
	const first = await takeOver();
	await submit(first, fixtures.job('job1', [fixtures.step({ count: 4, milliCores: 8_000, lasting: true })]));
	await clock.advance(5_000);
	t.is(w1.running.size, 4);
	await submit(first, fixtures.job('short', [fixtures.step({ count: 2, milliCores: 4_000 })]));
	await clock.advance(1_000);
	const stoppedTasks = [0, 1, 2, 3]
		.map((index) => `job1.0.0.${index}`)
		.filter((name) => !w1.running.has(name));
	t.true(stoppedTasks.length > 0);
	// The owner and the worker fail at the same moment.
	w1.fault = 'silent';
	first.dispatcher.close();
	const w2 = fleet.add('w2');
	const second = await takeOver();
	await clock.advance(takeoverAndStartMs);
	t.deepEqual([...w2.running.keys()], stoppedTasks);
	second.dispatcher.close();
});

test('a long-running task is not started on a worker that began to drain while it was being stored', async (t) => {
	let fault: 'none' | 'down' = 'none';
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(endlessRun);
	const w1 = fleet.add('w1');
	const owner = await takeOver(undefined, () => fault);
	await clock.advance(1_200);
	await submit(owner, fixtures.job('job1', longRunningSteps(1)));
	fault = 'down';
	await clock.advance(500);
	owner.dispatcher.setWorkers([{ ...w1.entry, draining: true, remainingMs: 20_000 }], [], false);
	await clock.advance(500);
	fault = 'none';
	await clock.advance(5_000);
	t.is(fleet.starts.length, 0);
	owner.dispatcher.close();
});
