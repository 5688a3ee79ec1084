/**
 * A machine may be suspended for seconds, which its monotonic clock does not count. An owner that resumes finds its right to
 * act as recent as before, while a successor may be at work. Only the wall clock shows the suspension, and it also jumps for
 * other reasons.
 */
import test from 'ava';
import * as clocks from '../src/core/clock.js';
import * as world from './fixtures/dispatching.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';

/** Creates two clocks that a test moves, and a detector that compares them. */
function watched(): { pass: (steadyMs: number, wallMs: number) => void; look: () => number } {
	let now = 1_000;
	let wall = 5_000_000;
	const watch = clocks.SuspensionDetector.create(
		() => now,
		() => wall,
	);
	return {
		pass: (steadyMs, wallMs) => {
			now += steadyMs;
			wall += wallMs;
		},
		look: () => watch.lastResumedAt(),
	};
}

test('a wall clock that jumps ahead of the monotonic one shows a suspension', (t) => {
	const { pass, look } = watched();
	pass(500, 500);
	t.is(look(), -Infinity);
	pass(1, 4_001);
	t.is(look(), 1_501);
	pass(700, 700);
	t.is(look(), 1_501);
});

test('a wall clock that is set back, or drifts, shows no suspension', (t) => {
	const { pass, look } = watched();
	pass(10, -3_000);
	t.is(look(), -Infinity);
	for (let second = 0; second < 600; second += 1) {
		pass(1_000, 1_020);
		t.is(look(), -Infinity);
	}
});

test('an owner that was suspended starts nothing before the store has confirmed its epoch', async (t) => {
	const made = world.createWorld(() => ({ ms: 1_000, how: 'done' }));
	const { clock, fleet } = made;
	fleet.add('w1');
	let fault: memory.StoreFault = 'none';
	const owner = await made.takeOver(undefined, () => fault);
	await clock.pass(1_200);
	fault = 'down';
	clock.resume();
	owner.dispatcher.addJob({ ...world.job('job1', [world.step()]), acceptedUnder: 1 });
	await clock.pass(1_500);
	t.is(fleet.starts.length, 0);
	fault = 'none';
	await clock.pass(1_500);
	t.is(fleet.starts.length, 1);
	owner.dispatcher.close();
});

test('an owner that was suspended starts nothing by a list of workers that it read before', async (t) => {
	const made = world.createWorld(() => ({ ms: 1_000, how: 'done' }));
	const { clock, fleet } = made;
	fleet.add('w1');
	const owner = await made.takeOver();
	await clock.pass(1_200);
	owner.dispatcher.noteListRead(clock.now());
	await clock.pass(10);
	clock.resume();
	await made.submit(owner, world.job('job1', [world.step()]));
	await clock.pass(2_000);
	t.is(fleet.starts.length, 0);
	owner.dispatcher.noteListRead(clock.now());
	await clock.pass(500);
	t.is(fleet.starts.length, 1);
	owner.dispatcher.close();
});
