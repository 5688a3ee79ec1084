/** Dispatching under faults, in memory: which worker starts which task and how often, and what callers are told. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import type * as jobs from '../src/core/jobs/index.js';

const halfSecondPlan = { ms: 500, how: 'done' as const };

test('a job of two steps runs each task once, in order, and is shown as completed', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => halfSecondPlan);
	fleet.add('w1');
	const owner = await takeOver();
	await submit(owner, fixtures.job('job1', [fixtures.step({ count: 2 }), fixtures.step({ after: [0] })]));
	t.is(owner.dispatcher.stateOf('job1'), 'pending');
	await clock.advance(200);
	t.is(owner.dispatcher.stateOf('job1'), 'running');
	await clock.advance(1_500);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	t.snapshot(fleet.starts.map(({ task, run, worker }) => ({ task, run, worker })));
	owner.dispatcher.close();
});

test('a task that failed too often ends its job; its failures are counted once across a takeover', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 300, how: 'failed' }));
	fleet.add('w1');
	fleet.add('w2');
	const first = await takeOver();
	await submit(first, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(450);
	first.dispatcher.close();
	const second = await takeOver();
	await clock.advance(200);
	t.is(second.dispatcher.stateOf('job1'), 'running');
	await clock.advance(5_000);
	t.is(second.dispatcher.stateOf('job1'), 'failed');
	t.is(fleet.starts.length, 3);
	second.dispatcher.close();
});

test("a silent worker's lasting tasks start elsewhere once their lease is over, not earlier", async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({
		ms: 'endless',
		how: 'done',
	}));
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await submit(owner, fixtures.job('job1', [fixtures.step({ lasting: true })]));
	await clock.advance(1_000);
	t.is(fleet.starts.length, 1);
	fleet.add('w2');
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	w1.fault = 'silent';
	await clock.advance(4_000);
	t.is(fleet.starts.length, 1);
	await clock.advance(5_000);
	t.deepEqual(
		fleet.starts.map((one) => one.worker),
		['w1', 'w2'],
	);
	t.deepEqual(fleet.tasksRunningTwice(), []);
	owner.dispatcher.close();
});

test('a worker whose clock is slow keeps its tasks to itself until its own lease is over', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({
		ms: 'endless',
		how: 'done',
	}));
	const w1 = fleet.add('w1');
	w1.clockRate = 0.98;
	const owner = await takeOver();
	await submit(owner, fixtures.job('job1', [fixtures.step({ lasting: true })]));
	await clock.advance(1_000);
	fleet.add('w2');
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	w1.fault = 'silent';
	for (let passed = 0; passed < 9_000; passed += 50) {
		await clock.advance(50);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	t.is(fleet.starts.length, 2);
	owner.dispatcher.close();
});

test('a start that is carried out late, after the task ran elsewhere, does not start a second run', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 4_000, how: 'done' }));
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await clock.advance(1_200);
	w1.fault = 'late';
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(300);
	fleet.add('w2');
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	for (let passed = 0; passed < 30_000; passed += 100) {
		if (passed === 4_000) w1.fault = 'none';
		await clock.advance(100);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	owner.dispatcher.close();
});

test('a start whose answer is lost runs once', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => halfSecondPlan);
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await clock.advance(1_200);
	w1.fault = 'lost';
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(400);
	w1.fault = 'none';
	await clock.advance(4_000);
	t.is(fleet.starts.length, 1);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	owner.dispatcher.close();
});

test('a refused connection after a start without an answer does not prove that the run never started', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 4_000, how: 'done' }));
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await clock.advance(1_200);
	w1.fault = 'lost';
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(300);
	w1.fault = 'refused';
	fleet.add('w2');
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	for (let passed = 0; passed < 3_000; passed += 50) {
		await clock.advance(50);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	w1.fault = 'none';
	await clock.advance(10_000);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	owner.dispatcher.close();
});

test('a successor starts nothing again before every worker of its predecessor has answered', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 2_000, how: 'done' }));
	fleet.add('w1');
	const w2 = fleet.add('w2');
	const first = await takeOver();
	await submit(first, fixtures.job('job1', [fixtures.step({ count: 6 })]));
	await clock.advance(500);
	t.is(fleet.starts.length, 6);
	w2.fault = 'silent';
	first.dispatcher.close();
	const second = await takeOver();
	for (let passed = 0; passed < 16_000; passed += 100) {
		if (passed === 1_500) w2.fault = 'none';
		await clock.advance(100);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	t.is(second.dispatcher.stateOf('job1'), 'completed');
	t.is(fleet.starts.length, 6);
	second.dispatcher.close();
});

test('a job that an earlier owner was told of after the takeover does not start twice', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 2_000, how: 'done' }));
	fleet.add('w1');
	fleet.add('w2');
	const first = await takeOver();
	await clock.advance(500);
	const second = await takeOver((worker) => worker === 'w1');
	await clock.advance(100);
	// The accepting box still knows the first owner, which reaches the worker that the second owner can't reach.
	const job = fixtures.job('job1', [fixtures.step({ maxPerWorker: 1 })]);
	await submit(first, job);
	await clock.advance(20);
	second.dispatcher.addJob({ ...job, acceptedUnder: first.ledger.generation });
	for (let passed = 0; passed < 12_000; passed += 100) {
		await clock.advance(100);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	first.dispatcher.close();
	second.dispatcher.close();
});

test('a run of a job that the successor has not read yet is neither stopped nor doubled', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 2_000, how: 'done' }));
	fleet.add('w1');
	fleet.add('w2');
	const first = await takeOver();
	await clock.advance(500);
	let isCut = true;
	const second = await takeOver(() => isCut);
	const job = fixtures.job('job1', [fixtures.step({ count: 2 })]);
	await submit(first, job);
	await clock.advance(20);
	t.is(fleet.starts.length, 2);
	isCut = false;
	await clock.advance(1_500);
	second.dispatcher.addJob({ ...job, acceptedUnder: first.ledger.generation });
	for (let passed = 0; passed < 5_000; passed += 100) {
		await clock.advance(100);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	t.is(fleet.starts.length, 2);
	t.is(second.dispatcher.stateOf('job1'), 'completed');
	first.dispatcher.close();
	second.dispatcher.close();
});

test('an end of a job that the successor has not read yet is not forgotten', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => halfSecondPlan);
	fleet.add('w1');
	const first = await takeOver();
	await clock.advance(500);
	let isCut = true;
	const second = await takeOver(() => isCut);
	const job = fixtures.job('job1', [fixtures.step()]);
	await submit(first, job);
	await clock.advance(20);
	first.dispatcher.close();
	await clock.advance(700);
	isCut = false;
	await clock.advance(1_500);
	second.dispatcher.addJob({ ...job, acceptedUnder: first.ledger.generation });
	await clock.advance(2_000);
	t.is(fleet.starts.length, 1);
	t.is(second.dispatcher.stateOf('job1'), 'completed');
	second.dispatcher.close();
});

test('a job accepted after a takeover starts at once, whoever is still silent', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => halfSecondPlan);
	fleet.add('w1');
	const w2 = fleet.add('w2');
	const first = await takeOver();
	await clock.advance(1_000);
	w2.fault = 'silent';
	first.dispatcher.close();
	const second = await takeOver();
	await submit(second, fixtures.job('job2', [fixtures.step()]));
	await clock.advance(100);
	t.is(fleet.starts.length, 1);
	second.dispatcher.close();
});

test('an owner that is replaced while it can still reach workers is turned away by them', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => halfSecondPlan);
	fleet.add('w1');
	const first = await takeOver();
	await clock.advance(500);
	const second = await takeOver();
	await clock.advance(1_500);
	t.true(first.isFenced());
	await submit(second, fixtures.job('job1', [fixtures.step()]));
	first.dispatcher.addJob(fixtures.job('job1', [fixtures.step()]));
	await clock.advance(2_000);
	t.is(fleet.starts.length, 1);
	second.dispatcher.close();
});

test('an end is shown, and forgotten by the worker, only once it is stored', async (t) => {
	let fault: 'none' | 'down' = 'none';
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => halfSecondPlan);
	const w1 = fleet.add('w1');
	const owner = await takeOver(undefined, () => fault);
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(300);
	fault = 'down';
	await clock.advance(1_000);
	t.is(owner.dispatcher.stateOf('job1'), 'running');
	t.is(w1.ended.length, 1);
	fault = 'none';
	await clock.advance(2_000);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	t.is(w1.ended.length, 0);
	owner.dispatcher.close();
});

test('a cancelled job starts nothing more, and what runs is stopped', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 3_000, how: 'done' }));
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await submit(owner, fixtures.job('job1', [fixtures.step(), fixtures.step({ after: [0] })]));
	await clock.advance(200);
	owner.dispatcher.cancelJob('job1');
	t.is(owner.dispatcher.stateOf('job1'), 'cancelled');
	await clock.advance(5_000);
	t.is(w1.running.size, 0);
	t.is(fleet.starts.length, 1);
	owner.dispatcher.close();
});

test('a worker that comes back as another life gives up what it ran at once', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({
		ms: 'endless',
		how: 'done',
	}));
	fleet.add('w1');
	const owner = await takeOver();
	await submit(owner, fixtures.job('job1', [fixtures.step({ lasting: true })]));
	await clock.advance(500);
	fleet.add('w1-again', { address: 'w1:1' });
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	await clock.advance(500);
	t.deepEqual(
		fleet.starts.map((one) => one.worker),
		['w1', 'w1-again'],
	);
	owner.dispatcher.close();
});

test('short tasks make room among lasting ones, which go on once there is room again', async (t) => {
	const plan = (task: string): { ms: number | 'endless'; how: 'done' } =>
		task.startsWith('lasting') ? { ms: 'endless', how: 'done' } : halfSecondPlan;
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(plan);
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await submit(
		owner,
		fixtures.job('lasting', [fixtures.step({ count: 4, milliCores: 8_000, lasting: true })]),
	);
	await clock.advance(5_000);
	t.is(w1.running.size, 4);
	await submit(owner, fixtures.job('short', [fixtures.step({ count: 2 })]));
	await clock.advance(2_000);
	t.is(owner.dispatcher.stateOf('short'), 'completed');
	await clock.advance(8_000);
	t.is(w1.running.size, 4);
	owner.dispatcher.close();
});

test('a run that stands still is stopped, tried elsewhere, and counts against its worker', async (t) => {
	const plan = (_task: string, run: number): { ms: number | 'endless'; how: 'done'; percent?: number } =>
		run === 1 ? { ms: 'endless', how: 'done', percent: 40 } : halfSecondPlan;
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(plan);
	fleet.add('w1');
	fleet.add('w2');
	const owner = await takeOver();
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(2_000);
	t.is(fleet.starts.length, 1);
	await clock.advance(4_000);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	t.not(fleet.starts[0]?.worker, fleet.starts[1]?.worker);
	owner.dispatcher.close();
});

test('a queue that has fallen behind serves what can still be in time first, and the rest after it', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 900, how: 'done' }));
	fleet.add('w1');
	const owner = await takeOver();
	// The tasks run one at a time; each should be done within 1.5 s of its submission.
	const whole = [fixtures.step({ milliCores: 32_000, estimateMs: 500 })];
	for (let number = 0; number < 6; number += 1) await submit(owner, fixtures.job(`old${number}`, whole));
	await clock.advance(3_500);
	await submit(owner, fixtures.job('new', whole));
	await clock.advance(6_000);
	const order = fleet.starts.map((one) => one.task);
	t.true(order.indexOf('new.0.0.0') <= 4, order.join(' '));
	t.is(order.length, 7);
	owner.dispatcher.close();
});

test('a lasting task that fits is started, whatever larger one has been waiting for room', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({
		ms: 'endless',
		how: 'done',
	}));
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	const longRunning = (milliCores: number): jobs.StepSpec[] => [fixtures.step({ milliCores, lasting: true })];
	await submit(owner, fixtures.job('first', longRunning(20_000)));
	await clock.advance(3_000);
	// It can't fit beside the first, which stays.
	await submit(owner, fixtures.job('large', longRunning(16_000)));
	await clock.advance(3_500);
	await submit(owner, fixtures.job('small', longRunning(10_000)));
	await clock.advance(6_000);
	t.deepEqual([...w1.running.keys()].sort(), ['first.0.0.0', 'small.0.0.0']);
	owner.dispatcher.close();
});

test('no worker is kept from short tasks for a lasting one that it will never hold', async (t) => {
	const plan = (task: string): { ms: number | 'endless'; how: 'done' } =>
		task.startsWith('short') ? halfSecondPlan : { ms: 'endless', how: 'done' };
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(plan);
	fleet.add('w1');
	const owner = await takeOver();
	const longRunning = (milliCores: number): jobs.StepSpec[] => [fixtures.step({ milliCores, lasting: true })];
	await submit(owner, fixtures.job('first', longRunning(20_000)));
	await clock.advance(3_000);
	await submit(owner, fixtures.job('large', longRunning(16_000)));
	await clock.advance(3_500);
	await submit(owner, fixtures.job('short', [fixtures.step()]));
	await clock.advance(100);
	t.is(owner.dispatcher.stateOf('short'), 'running');
	owner.dispatcher.close();
});

test('a lasting task that was stopped for short ones is back within seconds, however many short ones wait', async (t) => {
	const plan = (task: string): { ms: number | 'endless'; how: 'done' } =>
		task.startsWith('lasting') ? { ms: 'endless', how: 'done' } : { ms: 400, how: 'done' };
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(plan);
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await submit(
		owner,
		fixtures.job('lasting', [fixtures.step({ count: 3, milliCores: 8_000, lasting: true })]),
	);
	await clock.advance(5_000);
	const awayMs = [0, 0, 0];
	let maxAwayMs = 0;
	for (let round = 0; round < 150; round += 1) {
		// More than the worker can hold; and no two exits together free enough for a long-running task.
		await submit(owner, fixtures.job(`short${round}`, [fixtures.step({ count: 2, milliCores: 5_000 })]));
		await clock.advance(90);
		for (const index of awayMs.keys()) {
			const isAway = !w1.running.has(`lasting.0.0.${index}`);
			awayMs[index] = isAway ? (awayMs[index] ?? 0) + 100 : 0;
			maxAwayMs = Math.max(maxAwayMs, awayMs[index]);
		}
	}
	t.true(maxAwayMs > 1_000, 'short tasks did make room');
	t.true(maxAwayMs < 6_000, `a lasting task was away for ${maxAwayMs} ms`);
	owner.dispatcher.close();
});
