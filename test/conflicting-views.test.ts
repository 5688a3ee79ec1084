/**
 * Two owners, or one owner before and after a time without contact, whose views of one worker differ. The setup is the same
 * in all tests: two tasks of two jobs on one worker, and two other workers with capacity for one task each.
 */
import test from 'ava';
import * as contacts from '../src/core/platform/contact.js';
import * as realBoxes from './fixtures/real-boxes.js';
import * as results from '../src/core/result.js';
import * as service from '../src/core/box/job-service.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';
import type * as workers from '../stand-ins/fleet/workers.js';

const steps = [fixtures.step({ milliCores: 20_000 })];
const jobIds = ['job1', 'job2'];

/** The worker that runs both tasks at first. */
const sharedWorker = 'w0';

interface Assertions {
	deepEqual: (a: unknown, b: unknown) => unknown;
}

function longRun(): workers.RunPlan {
	return { ms: 60_000, how: 'done' };
}

/** Sets up an owner and a worker that has capacity for both tasks. `fault`: what the store does to the owner. */
async function setUpSharedWorker(fault?: () => memory.StoreFault): Promise<{
	environment: fixtures.TestEnvironment;
	first: fixtures.TestOwner;
	worker: workers.FakeWorker;
}> {
	const environment = fixtures.createEnvironment(longRun);
	const capacity = { milliCores: 64_000, memoryMb: 128_000, accelerators: 0 };
	const worker = environment.fleet.add(sharedWorker, { capacity });
	const first = await environment.takeOver(undefined, fault);
	await environment.clock.advance(1_200);
	return { environment, first, worker };
}

async function submitBoth(environment: fixtures.TestEnvironment, owner: fixtures.TestOwner): Promise<void> {
	for (const id of jobIds) await environment.submit(owner, fixtures.job(id, steps));
}

function addSpareWorkers(environment: fixtures.TestEnvironment): void {
	environment.fleet.add('w1');
	environment.fleet.add('w2');
}

/** Lets time pass, and checks all the while that no task has two runs at once. */
async function passCheckingRuns(
	t: Assertions,
	environment: fixtures.TestEnvironment,
	ms: number,
): Promise<void> {
	for (let passed = 0; passed < ms; passed += 10) {
		await environment.clock.advance(10);
		t.deepEqual(environment.fleet.tasksRunningTwice(), []);
	}
}

test('generation 2 frees nothing on a worker that it no longer reaches and that generation 3 renews', async (t) => {
	const { environment, first, worker } = await setUpSharedWorker();
	await submitBoth(environment, first);
	await environment.clock.advance(1_000);
	first.dispatcher.close();
	addSpareWorkers(environment);
	let isCut = false;
	const second = await environment.takeOver((id) => isCut && id === sharedWorker);
	await environment.clock.advance(1_000);
	t.is(worker.running.size, 2);
	isCut = true;
	// The lease that generation 2 granted there has seconds left. Generation 2's last call to the store is more recent than
	// that when generation 3 takes over.
	await passCheckingRuns(t, environment, 5_500);
	const third = await environment.takeOver((id) => id !== sharedWorker);
	await passCheckingRuns(t, environment, 8_000);
	second.dispatcher.close();
	third.dispatcher.close();
});

test('a worker closed by a late roster write and listed again keeps the tasks that it gets afterwards', async (t) => {
	let storeFault: memory.StoreFault = 'none';
	const { environment, first, worker } = await setUpSharedWorker(() => storeFault);
	storeFault = 'late';
	first.dispatcher.setWorkers([], [sharedWorker], false);
	await environment.clock.advance(300);
	storeFault = 'none';
	first.dispatcher.setWorkers([worker.entry], [], false);
	await submitBoth(environment, first);
	await passCheckingRuns(t, environment, 3_000);
	t.is(worker.running.size, 2);
	// The late write is carried out while its worker is unresponsive, so only the roster informs the successor.
	worker.fault = 'silent';
	await passCheckingRuns(t, environment, 1_000);
	first.dispatcher.close();
	addSpareWorkers(environment);
	const second = await environment.takeOver();
	await passCheckingRuns(t, environment, 1_000);
	worker.fault = 'none';
	await passCheckingRuns(t, environment, 3_000);
	t.is(worker.running.size, 2);
	second.dispatcher.close();
});

test('a worker that was removed from the list begins no run that was presumed lost, once it is listed again', async (t) => {
	const { environment, first, worker } = await setUpSharedWorker();
	worker.fault = 'late';
	await submitBoth(environment, first);
	await passCheckingRuns(t, environment, 3_000);
	worker.fault = 'silent';
	addSpareWorkers(environment);
	first.dispatcher.setWorkers(environment.fleet.entries(), [], true);
	first.dispatcher.setWorkers([], [sharedWorker], false);
	await passCheckingRuns(t, environment, 3_700);
	t.is(environment.fleet.starts.length, 2);
	// The worker is back before the second attempts of both starts, which are in flight for 6 s, arrive.
	worker.fault = 'none';
	first.dispatcher.setWorkers([worker.entry], [], false);
	await passCheckingRuns(t, environment, 8_000);
	first.dispatcher.close();
});

test('a job that is submitted again is not new to an owner that has not read it yet', async (t) => {
	const { environment, first, worker } = await setUpSharedWorker();
	addSpareWorkers(environment);
	const second = await environment.takeOver((id) => id === sharedWorker);
	// The jobs are stored after the second owner has read all jobs. The first owner, which is not refused yet, starts them.
	await submitBoth(environment, first);
	await environment.clock.advance(20);
	t.is(worker.running.size, 2);
	const jobs = service.JobService.create({
		...contacts.monitorContact(environment.store.view(), second.events, () => environment.clock.now()),
		clock: environment.clock,
		events: second.events,
		dispatcher: () => second.dispatcher,
		callOwner: () => Promise.resolve(results.fail({ sent: false, reason: 'this box is the owner' })),
		ownerGeneration: () => second.ledger.generation,
		backlog: () => [],
		random: () => 0,
		ownerReachesStore: () => true,
	});
	for (const id of jobIds) void jobs.submit(fixtures.queue, id, { text: `text of ${id}`, steps });
	await passCheckingRuns(t, environment, 3_000);
	first.dispatcher.close();
	second.dispatcher.close();
});

for (const fault of ['lost', 'late'] as const)
	test(`an owner is stopped after starts whose answers are ${fault}, and its successor takes over at once`, async (t) => {
		const { environment, first, worker } = await setUpSharedWorker();
		worker.fault = fault;
		await submitBoth(environment, first);
		await environment.clock.advance(100);
		first.dispatcher.close();
		addSpareWorkers(environment);
		const second = await environment.takeOver();
		await passCheckingRuns(t, environment, 1_000);
		worker.fault = 'none';
		await passCheckingRuns(t, environment, 12_000);
		t.is(environment.fleet.starts.length, 2);
		second.dispatcher.close();
	});

test('with real boxes: the owner is told to stop while starts are unanswered', async (t) => {
	const starts: workers.StartRecord[] = [];
	let resolveBothStarted = (): void => undefined;
	const bothRunsStarted = new Promise<void>((resolve) => {
		resolveBothStarted = resolve;
	});
	const journal: workers.FleetJournal = {
		started: (start) => {
			starts.push(start);
			if (starts.length === 2) resolveBothStarted();
		},
		ended: () => undefined,
		acknowledged: () => undefined,
	};
	const shortJob = '00000000000000a3';
	const plan = (task: string): workers.RunPlan =>
		task.startsWith(shortJob) ? { ms: 50, how: 'done' } : { ms: 'endless', how: 'done' };
	const { platform, startTwo } = await realBoxes.setUp(t, { plan, journal });
	const { owner, other } = await startTwo();
	const worker = platform.fleet.workers.get('i-1');
	await owner.waitForLine((line) => line.name === 'worker.reached');
	// The worker carries out commands, and its answers are lost.
	if (worker !== undefined) worker.fault = 'lost';
	const body = { spec: 'a proof', steps: [{ count: 1, cpu: 10_000, mem_mb: 100, estimate_ms: 100 }] };
	for (const id of ['00000000000000a1', '00000000000000a2'])
		t.is((await realBoxes.call(other.callers, 'POST', id, body)).status, 200);
	await bothRunsStarted;
	owner.process.kill('SIGTERM');
	await other.waitForLine((line) => line.name === 'owner.taken');
	for (const id of ['i-2', 'i-3']) await platform.startWorker(id, (address) => address);
	await other.waitForLine((line) => line.name === 'worker.reached' && line.fields.worker === 'i-3');
	if (worker !== undefined) worker.fault = 'none';
	await other.waitForLine((line) => line.name === 'takeover.settled');
	// The tasks of this job are placed in the same round as all tasks that are free to be placed by then, or in a later one.
	t.is((await realBoxes.call(other.callers, 'POST', shortJob, body)).status, 200);
	await realBoxes.waitUntilCompleted(other, shortJob);
	t.deepEqual(
		starts.map((one) => [one.task, one.epoch]),
		[
			['00000000000000a1.0.0.0', 1],
			['00000000000000a2.0.0.0', 1],
			[`${shortJob}.0.0.0`, 2],
		],
	);
});
