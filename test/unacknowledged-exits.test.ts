/**
 * What is recorded of exits that workers list: when they are stored and acknowledged, and which are still unacknowledged.
 */
import test from 'ava';
import * as unacknowledgedExits from '../src/core/dispatch/unacknowledged-exits.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as fleet from '../src/core/fleet/types.js';

function exitsUpTo(count: number): fleet.RunExit[] {
	return Array.from({ length: count }, (_, i) => ({
		seq: i + 1,
		task: `job1.0.0.${String(i)}`,
		run: 1,
		how: 'done',
		checkpoint: '',
	}));
}

test('each exit is timed once, from the first report that lists it', (t) => {
	const times: string[] = [];
	const exits = unacknowledgedExits.UnacknowledgedExits.create((name, ms) =>
		times.push(`${name} ${String(ms)}`),
	);
	exits.noteReported(exitsUpTo(1), 100);
	exits.noteReported(exitsUpTo(2), 150);
	exits.noteStored(2, 170);
	exits.noteStored(2, 180);
	exits.noteAcknowledging(0);
	exits.noteAcknowledged(0, 190);
	t.is(exits.count, 2);
	t.is(exits.oldestAt, 100);
	exits.noteAcknowledging(1);
	t.is(exits.oldestAt, 150);
	// Without an answer, the acknowledgement may not have been carried out.
	exits.noteAcknowledging(0);
	t.is(exits.oldestAt, 100);
	exits.noteAcknowledging(2);
	t.is(exits.count, 0);
	exits.noteAcknowledged(2, 200);
	t.deepEqual(times, ['end_stored 70', 'end_stored 20', 'end_forgotten 100', 'end_forgotten 50']);
});

test('an expired lease is logged with the number of runs and how long the worker was unresponsive', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({
		ms: 'endless',
		how: 'done',
	}));
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await submit(owner, fixtures.job('job1', [fixtures.step({ count: 2 })]));
	await clock.advance(500);
	t.is(w1.running.size, 2);
	w1.fault = 'silent';
	await clock.advance(fixtures.maxLeaseMs + 500);
	w1.fault = 'none';
	await clock.advance(1_500);
	const [lapsed] = owner.events.select(({ name }) => name === 'lease.lapsed');
	t.is(lapsed?.fields.runs, 2);
	t.true(Number(lapsed?.fields.silentMs) >= fixtures.maxLeaseMs);
	owner.dispatcher.close();
});
