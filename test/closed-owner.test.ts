/** Owners that were closed while commands to workers had no answer. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import type * as types from '../stand-ins/fleet/types.js';

// Guards against stops of a former owner that end tasks beside those that its successor has ended.
test('an owner that is closed repeats no call that is still unanswered', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({
		ms: 'endless',
		how: 'done',
	}));
	for (let number = 0; number < 6; number += 1) fleet.add(`w${String(number)}`);
	const owner = await takeOver();
	await submit(owner, fixtures.job('job1', [fixtures.step({ count: 6, maxPerWorker: 1 })]));
	await clock.advance(1_000);
	const sent: types.CallName[] = [];
	fleet.fateOf = (_worker, call) => {
		sent.push(call);
		return { arrivesAfterMs: 2, answersAfterMs: 'lost', isRefused: false };
	};
	owner.dispatcher.cancelJob('job1');
	await clock.advance(20);
	t.is(sent.filter((call) => call === 'stop').length, 6);
	owner.dispatcher.close();
	sent.length = 0;
	await clock.advance(5_000);
	t.deepEqual(sent, []);
});

// Guards against stops of a former owner that reach runs which its successor has adopted.
test('an owner that is closed sends no further stops of runs whose start had no answer', async (t) => {
	const { environment, owner, w1 } = await fixtures.leaveStartUnanswered(fixtures.step({ count: 3 }));
	const { clock, fleet } = environment;
	await clock.advance(12_000);
	let stops = 0;
	fleet.fateOf = (_worker, call) => {
		if (call !== 'stop') return undefined;
		stops += 1;
		return { arrivesAfterMs: 2, answersAfterMs: 100, isRefused: false };
	};
	w1.fault = 'none';
	while (stops === 0) await clock.advance(10);
	owner.dispatcher.close();
	await clock.advance(5_000);
	t.is(stops, 1);
});
