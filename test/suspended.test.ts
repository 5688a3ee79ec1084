/**
 * A machine may be suspended for seconds, which its monotonic clock does not count. An owner that resumes finds its right to
 * act as recent as before, while a successor may be at work. Only the wall clock shows the suspension, and it also jumps for
 * other reasons.
 */
import test from 'ava';
import * as clocks from '../src/core/clock.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';

/** Creates two clocks that a test moves, and a detector that compares them. */
function createMovableClocks(): {
	advance: (monotonicMs: number, wallMs: number) => void;
	resumedAt: () => number;
} {
	let now = 1_000;
	let wall = 5_000_000;
	const detector = clocks.SuspensionDetector.create(
		() => now,
		() => wall,
	);
	return {
		advance: (monotonicMs, wallMs) => {
			now += monotonicMs;
			wall += wallMs;
		},
		resumedAt: () => detector.lastResumedAt(),
	};
}

test('a wall clock that jumps ahead of the monotonic one shows a suspension', (t) => {
	const { advance, resumedAt } = createMovableClocks();
	advance(500, 500);
	t.is(resumedAt(), -Infinity);
	advance(1, 4_001);
	t.is(resumedAt(), 1_501);
	advance(700, 700);
	t.is(resumedAt(), 1_501);
});

test('a wall clock that is set back, or drifts, shows no suspension', (t) => {
	const { advance, resumedAt } = createMovableClocks();
	advance(10, -3_000);
	t.is(resumedAt(), -Infinity);
	for (let second = 0; second < 600; second += 1) {
		advance(1_000, 1_020);
		t.is(resumedAt(), -Infinity);
	}
});

test('an owner that was suspended starts nothing before the store has confirmed its epoch', async (t) => {
	const environment = fixtures.createEnvironment(() => ({ ms: 1_000, how: 'done' }));
	const { clock, fleet } = environment;
	fleet.add('w1');
	let fault: memory.StoreFault = 'none';
	const owner = await environment.takeOver(undefined, () => fault);
	await clock.advance(1_200);
	fault = 'down';
	clock.noteResume();
	owner.dispatcher.addJob({ ...fixtures.job('job1', [fixtures.step()]), acceptedUnder: 1 });
	await clock.advance(1_500);
	t.is(fleet.starts.length, 0);
	fault = 'none';
	await clock.advance(1_500);
	t.is(fleet.starts.length, 1);
	owner.dispatcher.close();
});

test('an owner that was suspended starts nothing by a list of workers that it read before', async (t) => {
	const environment = fixtures.createEnvironment(() => ({ ms: 1_000, how: 'done' }));
	const { clock, fleet } = environment;
	fleet.add('w1');
	const owner = await environment.takeOver();
	await clock.advance(1_200);
	owner.dispatcher.noteListRead(clock.now());
	await clock.advance(10);
	clock.noteResume();
	await environment.submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(2_000);
	t.is(fleet.starts.length, 0);
	owner.dispatcher.noteListRead(clock.now());
	await clock.advance(500);
	t.is(fleet.starts.length, 1);
	owner.dispatcher.close();
});
