/** What the log reports of runs that an owner inherits, and of runs that it presumes to be over without an exit. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import type * as events from '../src/core/events/index.js';

const eventNames: events.LoggedEvent['name'][] = [
	'task.placed',
	'takeover.heard',
	'worker.lost',
	'task.lost',
];

/** Events with one of `eventNames` that an owner logged, without the values that depend on timing. */
function linesOf(owner: fixtures.TestOwner): unknown[] {
	const lines = owner.events.select((event) => eventNames.includes(event.name));
	return lines.map(({ name, fields }) => {
		const { waitedMs, silentMs, ...others } = fields;
		return { name, ...others, timed: typeof (waitedMs ?? silentMs) };
	});
}

test('a successor tells what a worker ran when it first answered, and by which proof a run is over', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 30_000, how: 'done' }));
	const w1 = fleet.add('w1');
	const first = await takeOver();
	await submit(first, fixtures.job('job1', [fixtures.step({ count: 2, milliCores: 10_000 })]));
	await clock.advance(1_000);
	first.dispatcher.close();
	const second = await takeOver();
	await clock.advance(500);
	fleet.add('w2', { address: w1.entry.address });
	second.dispatcher.setWorkers(fleet.entries(), [], true);
	await clock.advance(2_000);
	t.snapshot(linesOf(second));
	second.dispatcher.close();
});

test('a worker that never answered a successor is told of without the time of an answer', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 30_000, how: 'done' }));
	const w1 = fleet.add('w1');
	const first = await takeOver();
	await submit(first, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(1_000);
	first.dispatcher.close();
	w1.fault = 'silent';
	const second = await takeOver();
	await clock.advance(12_000);
	const lost = second.events.select((event) => event.name === 'worker.lost');
	t.deepEqual(
		lost.map(({ fields }) => fields),
		[{ worker: 'w1', tasks: 0, reason: 'the lease has run out', epoch: 2, silentMs: undefined }],
	);
	second.dispatcher.close();
});
