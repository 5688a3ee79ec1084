/**
 * Guards against two concurrent runs of each of two tasks, as users reported them. The first owner's runs were both on one
 * worker, and the second owner's on two others. Both of these started at one instant, just when the store refused the second
 * owner and a third owner had taken over.
 */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';

test('an owner that the store refuses starts no task again whose lease a third owner renews', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 30_000, how: 'done' }));
	const w1 = fleet.add('w1');
	const first = await takeOver();
	for (const id of ['job1', 'job2'])
		await submit(first, fixtures.job(id, [fixtures.step({ milliCores: 10_000 })]));
	await clock.advance(1_000);
	t.is(w1.running.size, 2);
	first.dispatcher.close();
	let isCut = false;
	let fault: memory.StoreFault = 'none';
	const second = await takeOver(
		(worker) => worker === 'w1' && isCut,
		() => fault,
	);
	await clock.advance(10_000);
	for (const id of ['w2', 'w3'])
		fleet.add(id, { capacity: { milliCores: 12_000, memoryMb: 128_000, accelerators: 0 } });
	second.dispatcher.setWorkers(fleet.entries(), [], true);
	isCut = true;
	await clock.advance(4_500);
	fault = 'down';
	await clock.advance(500);
	// The third owner reaches the worker that the second one lost, and not yet the others.
	const third = await takeOver((worker) => worker !== 'w1');
	for (let passed = 0; passed < 6_000; passed += 10) {
		await clock.advance(10);
		t.deepEqual(fleet.tasksRunningTwice(), []);
	}
	t.is(w1.running.size, 2);
	second.dispatcher.close();
	third.dispatcher.close();
});
