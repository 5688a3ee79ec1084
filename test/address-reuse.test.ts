/**
 * Guards against tasks that run twice at once after a takeover. A worker crashes, and its next incarnation is listed at the
 * same address before the entry of the dead one has lapsed. A successor reads both entries at once, and the live worker has
 * not answered it yet. It must not presume that worker lost because another incarnation is listed at its address, and start
 * its tasks elsewhere.
 */
import test from 'ava';
import * as realBoxes from './fixtures/real-boxes.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as workers from '../stand-ins/fleet/workers.js';

function longPlan(): workers.RunPlan {
	return { ms: 30_000, how: 'done' };
}

/** A worker that crashed and came back at its address as `replacementId`; the new incarnation runs two tasks of two jobs. */
async function createAddressReuse(replacementId: string): Promise<{
	environment: fixtures.TestEnvironment;
	first: fixtures.TestOwner;
	liveWorker: workers.FakeWorker;
}> {
	const environment = fixtures.createEnvironment(longPlan);
	const { clock, fleet, takeOver, submit } = environment;
	const deadEntry = fleet.add('w5').entry;
	const first = await takeOver();
	await clock.advance(1_000);
	const liveWorker = fleet.add(replacementId, { address: deadEntry.address });
	fleet.lapsingEntries = [deadEntry];
	first.dispatcher.setWorkers([liveWorker.entry], [], false);
	await clock.advance(500);
	await submit(first, fixtures.job('job1', [fixtures.step({ milliCores: 10_000 })]));
	await submit(first, fixtures.job('job2', [fixtures.step({ milliCores: 10_000 })]));
	await clock.advance(500);
	return { environment, first, liveWorker };
}

/** Advances the clock, and checks every 10 ms that no task has two runs at once. */
async function assertNoDoubleRuns(
	t: { deepEqual: (a: unknown, b: unknown) => unknown },
	environment: fixtures.TestEnvironment,
	ms: number,
) {
	for (let passed = 0; passed < ms; passed += 10) {
		await environment.clock.advance(10);
		t.deepEqual(environment.fleet.tasksRunningTwice(), []);
	}
}

for (const replacementId of ['w4', 'w6'])
	test(`a successor that reads a dead entry beside the live ${replacementId} at one address starts nothing twice`, async (t) => {
		const { environment, first, liveWorker } = await createAddressReuse(replacementId);
		t.is(liveWorker.running.size, 2);
		first.dispatcher.close();
		environment.fleet.add('w1');
		environment.fleet.add('w2');
		const second = await environment.takeOver();
		await assertNoDoubleRuns(t, environment, 3_000);
		t.is(liveWorker.running.size, 2);
		second.dispatcher.close();
	});

test('a worker that does not answer the successor at first keeps its tasks, whatever is listed at its address', async (t) => {
	const { environment, first, liveWorker } = await createAddressReuse('w6');
	first.dispatcher.close();
	environment.fleet.add('w1');
	environment.fleet.add('w2');
	liveWorker.fault = 'silent';
	const second = await environment.takeOver();
	await assertNoDoubleRuns(t, environment, 1_000);
	liveWorker.fault = 'none';
	await assertNoDoubleRuns(t, environment, 3_000);
	t.is(liveWorker.running.size, 2);
	second.dispatcher.close();
});

test('an owner that lists the workers again starts nothing twice', async (t) => {
	const { environment, first, liveWorker } = await createAddressReuse('w4');
	environment.fleet.add('w1');
	environment.fleet.add('w2');
	first.dispatcher.setWorkers(environment.fleet.entries(), [], false);
	await assertNoDoubleRuns(t, environment, 500);
	first.dispatcher.setWorkers(environment.fleet.entries(), [], true);
	await assertNoDoubleRuns(t, environment, 3_000);
	t.is(liveWorker.running.size, 2);
	first.dispatcher.close();
});

test('runs of a previous incarnation are started again as soon as the next incarnation is listed at its address', async (t) => {
	const environment = fixtures.createEnvironment(longPlan);
	const { clock, fleet, takeOver, submit } = environment;
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await clock.advance(1_200);
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	// The connection hangs: the report request in flight times out after a second.
	await clock.advance(300);
	w1.fault = 'silent';
	const w2 = fleet.add('w2', { address: w1.entry.address });
	fleet.lapsingEntries = [w1.entry];
	owner.dispatcher.setWorkers([w2.entry], [], false);
	await clock.advance(100);
	t.deepEqual([...w2.running.keys()], ['job1.0.0.0']);
	owner.dispatcher.close();
});

test('over real boxes: the owner dies while a dead entry is listed beside the live worker', async (t) => {
	const starts: workers.StartRecord[] = [];
	let noteStart = (): void => undefined;
	const journal: workers.FleetJournal = {
		started: (start) => {
			starts.push(start);
			noteStart();
		},
		ended: () => undefined,
		acknowledged: () => undefined,
	};
	const waitForStarts = (count: number): Promise<void> =>
		new Promise((resolve) => {
			noteStart = () => {
				if (starts.length >= count) resolve();
			};
			noteStart();
		});
	const shortJob = '00000000000000a3';
	const plan = (task: string): workers.RunPlan =>
		task.startsWith(shortJob) ? { ms: 50, how: 'done' } : { ms: 'endless', how: 'done' };
	const { platform, startTwo } = await realBoxes.setUp(t, { plan, journal });
	const { owner, other } = await startTwo();
	const deadWorkerId = 'i-1';
	const liveWorkerId = 'i-0';
	await owner.waitForLine((line) => line.name === 'worker.reached' && line.fields.worker === deadWorkerId);
	platform.replaceWorker(
		deadWorkerId,
		liveWorkerId,
		platform.fleet.workers.get(deadWorkerId)?.entry.address ?? '',
		'lapsing',
	);
	await owner.waitForLine((line) => line.name === 'worker.reached' && line.fields.worker === liveWorkerId);
	const body = { spec: 'a proof', steps: [{ count: 1, cpu: 10_000, mem_mb: 100, estimate_ms: 100 }] };
	for (const id of ['00000000000000a1', '00000000000000a2'])
		t.is((await realBoxes.call(other.callers, 'POST', id, body)).status, 200);
	await waitForStarts(2);
	for (const id of ['i-2', 'i-3']) await platform.startWorker(id, (address) => address);
	await owner.waitForLine((line) => line.name === 'worker.reached' && line.fields.worker === 'i-3');
	await owner.kill();
	await other.waitForLine((line) => line.name === 'takeover.settled');
	// The tasks of this job are placed in the same round as all that are startable then, or in a later one: once it is
	// completed, a second start of the first two would show.
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
