/**
 * Guards against tasks that run twice at once after a takeover. A worker crashes, and its next incarnation is listed at the
 * same address before the entry of the dead one has lapsed. A successor reads both entries at once, and the live worker has
 * not answered it yet. It must not presume that worker lost because another incarnation is listed at its address, and start
 * its tasks elsewhere.
 */
import test from 'ava';
import * as real from './fixtures/real-boxes.js';
import * as world from './fixtures/dispatching.js';
import type * as workers from '../stand-ins/fleet/workers.js';

function long(): workers.RunPlan {
	return { ms: 30_000, how: 'done' };
}

/** A worker that crashed and came back at its address as `replacementId`; the new incarnation runs two tasks of two jobs. */
async function rebornWorld(reborn: string): Promise<{
	made: world.TestWorld;
	first: world.TestOwner;
	living: workers.FakeWorker;
}> {
	const made = world.createWorld(long);
	const { clock, fleet: all, takeOver, submit } = made;
	const dead = all.add('w5').entry;
	const first = await takeOver();
	await clock.pass(1_000);
	const living = all.add(reborn, { address: dead.address });
	all.lapsing = [dead];
	first.dispatcher.setWorkers([living.entry], [], false);
	await clock.pass(500);
	await submit(first, world.job('job1', [world.step({ milliCores: 10_000 })]));
	await submit(first, world.job('job2', [world.step({ milliCores: 10_000 })]));
	await clock.pass(500);
	return { made, first, living };
}

/** Advances the clock, and checks every 10 ms that no task has two runs at once. */
async function watchRuns(
	t: { deepEqual: (a: unknown, b: unknown) => unknown },
	made: world.TestWorld,
	ms: number,
) {
	for (let passed = 0; passed < ms; passed += 10) {
		await made.clock.pass(10);
		t.deepEqual(made.fleet.doubled(), []);
	}
}

for (const reborn of ['w4', 'w6'])
	test(`a successor that reads a dead entry beside the live ${reborn} at one address starts nothing twice`, async (t) => {
		const { made, first, living } = await rebornWorld(reborn);
		t.is(living.running.size, 2);
		first.dispatcher.close();
		made.fleet.add('w1');
		made.fleet.add('w2');
		const second = await made.takeOver();
		await watchRuns(t, made, 3_000);
		t.is(living.running.size, 2);
		second.dispatcher.close();
	});

test('a worker that does not answer the successor at first keeps its tasks, whatever is listed at its address', async (t) => {
	const { made, first, living } = await rebornWorld('w6');
	first.dispatcher.close();
	made.fleet.add('w1');
	made.fleet.add('w2');
	living.fault = 'silent';
	const second = await made.takeOver();
	await watchRuns(t, made, 1_000);
	living.fault = 'none';
	await watchRuns(t, made, 3_000);
	t.is(living.running.size, 2);
	second.dispatcher.close();
});

test('an owner that lists the workers again starts nothing twice', async (t) => {
	const { made, first, living } = await rebornWorld('w4');
	made.fleet.add('w1');
	made.fleet.add('w2');
	first.dispatcher.setWorkers(made.fleet.entries(), [], false);
	await watchRuns(t, made, 500);
	first.dispatcher.setWorkers(made.fleet.entries(), [], true);
	await watchRuns(t, made, 3_000);
	t.is(living.running.size, 2);
	first.dispatcher.close();
});

test('runs of a previous incarnation are started again as soon as the next incarnation is listed at its address', async (t) => {
	const made = world.createWorld(long);
	const { clock, fleet, takeOver, submit } = made;
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await clock.pass(1_200);
	await submit(owner, world.job('job1', [world.step()]));
	// The connection hangs: the report request in flight times out after a second.
	await clock.pass(300);
	w1.fault = 'silent';
	const w2 = fleet.add('w2', { address: w1.entry.address });
	fleet.lapsing = [w1.entry];
	owner.dispatcher.setWorkers([w2.entry], [], false);
	await clock.pass(100);
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
		forgotten: () => undefined,
	};
	const startsOf = (count: number): Promise<void> =>
		new Promise((resolve) => {
			noteStart = () => {
				if (starts.length >= count) resolve();
			};
			noteStart();
		});
	const shortJob = '00000000000000a3';
	const plan = (task: string): workers.RunPlan =>
		task.startsWith(shortJob) ? { ms: 50, how: 'done' } : { ms: 'endless', how: 'done' };
	const { platform, startTwo } = await real.setUp(t, { plan, journal });
	const { owner, other } = await startTwo();
	const dead = 'i-1';
	const living = 'i-0';
	await owner.logged((line) => line.name === 'worker.reached' && line.fields.worker === dead);
	platform.replaceWorker(dead, living, platform.fleet.workers.get(dead)?.entry.address ?? '', 'lapsing');
	await owner.logged((line) => line.name === 'worker.reached' && line.fields.worker === living);
	const body = { spec: 'a proof', steps: [{ count: 1, cpu: 10_000, mem_mb: 100, estimate_ms: 100 }] };
	for (const id of ['00000000000000a1', '00000000000000a2'])
		t.is((await real.call(other.callers, 'POST', id, body)).status, 200);
	await startsOf(2);
	for (const id of ['i-2', 'i-3']) await platform.startWorker(id, (address) => address);
	await owner.logged((line) => line.name === 'worker.reached' && line.fields.worker === 'i-3');
	await owner.kill();
	await other.logged((line) => line.name === 'takeover.settled');
	// The tasks of this job are placed in the same round as all that are startable then, or in a later one: once it is
	// completed, a second start of the first two would show.
	t.is((await real.call(other.callers, 'POST', shortJob, body)).status, 200);
	await real.completed(other, shortJob);
	t.deepEqual(
		starts.map((one) => [one.task, one.epoch]),
		[
			['00000000000000a1.0.0.0', 1],
			['00000000000000a2.0.0.0', 1],
			[`${shortJob}.0.0.0`, 2],
		],
	);
});
