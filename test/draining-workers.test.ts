/** Workers that begin to drain while a start is on its way to them. */
import test from 'ava';
import * as world from './fixtures/dispatching.js';
import type * as workers from '../stand-ins/fleet/workers.js';

const long: workers.RunPlan = { ms: 60_000, how: 'done' };

test('a start without an answer is not repeated at a worker that has begun to drain meanwhile', async (t) => {
	const made = world.createWorld(() => long);
	const { clock, fleet: all } = made;
	const w1 = all.add('w1');
	const owner = await made.takeOver();
	await clock.pass(1_200);
	w1.fault = 'silent';
	await made.submit(owner, world.job('job1', [world.step()]));
	await clock.pass(500);
	owner.dispatcher.setWorkers([{ ...w1.entry, draining: true, remainingMs: 60_000 }], [], false);
	w1.fault = 'none';
	const w2 = all.add('w2');
	owner.dispatcher.setWorkers([w2.entry], [], false);
	await clock.pass(5_000);
	t.deepEqual(
		all.starts.map((one) => one.worker),
		['w2'],
	);
	owner.dispatcher.close();
});
