/** Tasks that fill: none waits for ever because of what it would disturb. */
import test from 'ava';
import * as world from './fixtures/dispatching.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/** Users' latency target of the serving tasks, and what they report: close to it whatever stands beside them. */
const targetMs = 150;
const tailMs = 140;

function plan(task: string): workers.RunPlan {
	if (task.startsWith('serving')) return { ms: 'endless', how: 'done', reading: tailMs };
	return { ms: 1_000, how: 'done', reading: 3_400 };
}

test('a filling step that would disturb serving tasks on every worker is done in the end', async (t) => {
	const { clock, fleet, takeOver, submit } = world.createWorld(plan);
	fleet.add('w1');
	fleet.add('w2');
	const owner = await takeOver();
	// Under half of the cores are reserved.
	const serving = { count: 8, milliCores: 3_200, lasting: true, image: 'serving', targetMs, maxPerWorker: 4 };
	await submit(owner, world.job('serving', [world.step(serving)]));
	await clock.pass(5_000);
	t.is(fleet.starts.length, 8);
	const filling = { count: 9, milliCores: 3_400, fills: true, image: 'filling', checkpoints: true };
	await submit(owner, world.job('filling', [world.step(filling)]));
	await clock.pass(40_000);
	t.is(owner.dispatcher.stateOf('filling'), 'completed');
	owner.dispatcher.close();
});
