/**
 * Two owners, or an owner before and after a silence, that believe different things of one worker. All in one shape: two
 * tasks of two jobs on one worker, and two others that would take one each.
 */
import test from 'ava';
import * as contacts from '../src/core/platform/contact.js';
import * as real from './fixtures/real-boxes.js';
import * as results from '../src/core/result.js';
import * as service from '../src/core/box/job-service.js';
import * as world from './fixtures/dispatching.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';
import type * as workers from '../stand-ins/fleet/workers.js';

const steps = [world.step({ milliCores: 20_000 })];
const ids = ['job1', 'job2'];

/** The worker that both tasks run on at first. */
const held = 'w0';

interface Check {
	deepEqual: (a: unknown, b: unknown) => unknown;
}

function long(): workers.RunPlan {
	return { ms: 60_000, how: 'done' };
}

/** A world with an owner and a worker that holds both tasks; `fault`: what the store does to the owner. */
async function heldWorld(fault?: () => memory.StoreFault): Promise<{
	made: world.TestEnvironment;
	first: world.TestOwner;
	worker: workers.FakeWorker;
}> {
	const made = world.createEnvironment(long);
	const capacity = { milliCores: 64_000, memoryMb: 128_000, accelerators: 0 };
	const worker = made.fleet.add(held, { capacity });
	const first = await made.takeOver(undefined, fault);
	await made.clock.pass(1_200);
	return { made, first, worker };
}

async function submitBoth(made: world.TestEnvironment, owner: world.TestOwner): Promise<void> {
	for (const id of ids) await made.submit(owner, world.job(id, steps));
}

function addOthers(made: world.TestEnvironment): void {
	made.fleet.add('w1');
	made.fleet.add('w2');
}

/** Lets time pass, and looks for tasks with two runs at once all the while. */
async function watchRuns(t: Check, made: world.TestEnvironment, ms: number): Promise<void> {
	for (let passed = 0; passed < ms; passed += 10) {
		await made.clock.pass(10);
		t.deepEqual(made.fleet.doubled(), []);
	}
}

test('generation 2 frees nothing on a worker that it does not reach any more and generation 3 renews', async (t) => {
	const { made, first, worker } = await heldWorld();
	await submitBoth(made, first);
	await made.clock.pass(1_000);
	first.dispatcher.close();
	addOthers(made);
	let isCut = false;
	const second = await made.takeOver((id) => isCut && id === held);
	await made.clock.pass(1_000);
	t.is(worker.running.size, 2);
	isCut = true;
	// Its lease there has seconds left, and its last call to the store is less than that old when generation 3 comes.
	await watchRuns(t, made, 5_500);
	const third = await made.takeOver((id) => id !== held);
	await watchRuns(t, made, 8_000);
	second.dispatcher.close();
	third.dispatcher.close();
});

test('a worker closed by a late roster write and listed again keeps what it gets from then on', async (t) => {
	let now: memory.StoreFault = 'none';
	const { made, first, worker } = await heldWorld(() => now);
	now = 'late';
	first.dispatcher.setWorkers([], [held], false);
	await made.clock.pass(300);
	now = 'none';
	first.dispatcher.setWorkers([worker.entry], [], false);
	await submitBoth(made, first);
	await watchRuns(t, made, 3_000);
	t.is(worker.running.size, 2);
	// The late write comes with its worker silent, so that only the roster tells its successor.
	worker.fault = 'silent';
	await watchRuns(t, made, 1_000);
	first.dispatcher.close();
	addOthers(made);
	const second = await made.takeOver();
	await watchRuns(t, made, 1_000);
	worker.fault = 'none';
	await watchRuns(t, made, 3_000);
	t.is(worker.running.size, 2);
	second.dispatcher.close();
});

test('a worker that was dropped from the list begins no run that was taken for lost, once it is listed again', async (t) => {
	const { made, first, worker } = await heldWorld();
	worker.fault = 'late';
	await submitBoth(made, first);
	await watchRuns(t, made, 3_000);
	worker.fault = 'silent';
	addOthers(made);
	first.dispatcher.setWorkers(made.fleet.entries(), [], true);
	first.dispatcher.setWorkers([], [held], false);
	await watchRuns(t, made, 3_700);
	t.is(made.fleet.starts.length, 2);
	// It is back before the second tries of both starts, which are on their way for 6 s.
	worker.fault = 'none';
	first.dispatcher.setWorkers([worker.entry], [], false);
	await watchRuns(t, made, 8_000);
	first.dispatcher.close();
});

test('a job that is handed in again is not new to an owner that has not read it yet', async (t) => {
	const { made, first, worker } = await heldWorld();
	addOthers(made);
	const second = await made.takeOver((id) => id === held);
	// Stored after the second owner has read all jobs, and started by the first one, which is not turned away yet.
	await submitBoth(made, first);
	await made.clock.pass(20);
	t.is(worker.running.size, 2);
	const jobs = service.JobService.create({
		...contacts.monitorContact(made.store.view(), second.events, () => made.clock.now()),
		clock: made.clock,
		events: second.events,
		dispatcher: () => second.dispatcher,
		callOwner: () => Promise.resolve(results.fail({ sent: false, reason: 'this box owns' })),
		ownerGeneration: () => second.ledger.generation,
		backlog: () => [],
		random: () => 0,
		ownerReachesStore: () => true,
	});
	for (const id of ids) void jobs.submit(world.queue, id, { text: `text of ${id}`, steps });
	await watchRuns(t, made, 3_000);
	first.dispatcher.close();
	second.dispatcher.close();
});

for (const fault of ['lost', 'late'] as const)
	test(`an owner is stopped after starts whose answers are ${fault}, and its successor is quick`, async (t) => {
		const { made, first, worker } = await heldWorld();
		worker.fault = fault;
		await submitBoth(made, first);
		await made.clock.pass(100);
		first.dispatcher.close();
		addOthers(made);
		const second = await made.takeOver();
		await watchRuns(t, made, 1_000);
		worker.fault = 'none';
		await watchRuns(t, made, 12_000);
		t.is(made.fleet.starts.length, 2);
		second.dispatcher.close();
	});

test('over real boxes: the owner is told to stop while starts have no answer yet', async (t) => {
	const starts: workers.StartRecord[] = [];
	let bothStarted = (): void => undefined;
	const started = new Promise<void>((resolve) => {
		bothStarted = resolve;
	});
	const journal: workers.FleetJournal = {
		started: (start) => {
			starts.push(start);
			if (starts.length === 2) bothStarted();
		},
		ended: () => undefined,
		forgotten: () => undefined,
	};
	const shortJob = '00000000000000a3';
	const plan = (task: string): workers.RunPlan =>
		task.startsWith(shortJob) ? { ms: 50, how: 'done' } : { ms: 'endless', how: 'done' };
	const { platform, startTwo } = await real.setUp(t, { plan, journal });
	const { owner, other } = await startTwo();
	const worker = platform.fleet.workers.get('i-1');
	await owner.logged((line) => line.name === 'worker.reached');
	// What it is told is carried out, and nobody hears of it.
	if (worker !== undefined) worker.fault = 'lost';
	const body = { spec: 'a proof', steps: [{ count: 1, cpu: 10_000, mem_mb: 100, estimate_ms: 100 }] };
	for (const id of ['00000000000000a1', '00000000000000a2'])
		t.is((await real.call(other.callers, 'POST', id, body)).status, 200);
	await started;
	owner.process.kill('SIGTERM');
	await other.logged((line) => line.name === 'owner.taken');
	for (const id of ['i-2', 'i-3']) await platform.startWorker(id, (address) => address);
	await other.logged((line) => line.name === 'worker.reached' && line.fields.worker === 'i-3');
	if (worker !== undefined) worker.fault = 'none';
	await other.logged((line) => line.name === 'takeover.settled');
	// Its tasks are placed in the same round as what is free at that time, or in a later one.
	t.is((await real.call(other.callers, 'POST', shortJob, body)).status, 200);
	await real.waitUntilCompleted(other, shortJob);
	t.deepEqual(
		starts.map((one) => [one.task, one.epoch]),
		[
			['00000000000000a1.0.0.0', 1],
			['00000000000000a2.0.0.0', 1],
			[`${shortJob}.0.0.0`, 2],
		],
	);
});
