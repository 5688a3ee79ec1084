/** What the log reports of work that waits: why it waits, and for which workers. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';

test('a step that waits is logged once for each reason, with what stands in its way', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 6_000, how: 'done' }));
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await submit(owner, fixtures.job('first', [fixtures.step({ milliCores: 32_000 })]));
	await clock.advance(500);
	await submit(owner, fixtures.job('second', [fixtures.step({ milliCores: 16_000, count: 2 })]));
	await clock.advance(3_000);
	w1.fault = 'silent';
	await clock.advance(4_500);
	t.snapshot(owner.events.select((event) => event.name === 'step.waiting').map((event) => event.fields));
	owner.dispatcher.close();
});

test('a takeover names the workers that it waits for, once a second', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 6_000, how: 'done' }));
	fleet.add('w1');
	const w2 = fleet.add('w2');
	const first = await takeOver();
	await submit(first, fixtures.job('first', [fixtures.step({ milliCores: 32_000, count: 3 })]));
	await clock.advance(500);
	first.dispatcher.close();
	w2.fault = 'silent';
	const second = await takeOver();
	await clock.advance(3_000);
	const names = ['takeover.waiting', 'step.waiting'];
	t.snapshot(
		second.events.select((event) => names.includes(event.name)).map(({ name, fields }) => ({ name, fields })),
	);
	second.dispatcher.close();
});

test('a step that goes on waiting is told of every few seconds, with why its workers are closed', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({
		ms: 'endless',
		how: 'done',
	}));
	fleet.add('w1');
	const w2 = fleet.add('w2', { draining: true, remainingMs: 60_000 });
	const owner = await takeOver();
	await submit(owner, fixtures.job('first', [fixtures.step({ milliCores: 30_000 })]));
	await submit(owner, fixtures.job('second', [fixtures.step({ milliCores: 16_000, count: 2 })]));
	await clock.advance(7_000);
	owner.dispatcher.setWorkers([{ ...w2.entry, draining: false }], [], false);
	await clock.advance(4_000);
	t.snapshot(owner.events.select((event) => event.name === 'step.stalled').map((event) => event.fields));
	owner.dispatcher.close();
});

test('ends that a worker has forgotten unread are told of', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 100, how: 'done' }));
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await submit(owner, fixtures.job('first', [fixtures.step()]));
	await clock.advance(1_000);
	w1.fault = 'silent';
	await submit(owner, fixtures.job('second', [fixtures.step({ count: 2 })]));
	await clock.advance(300);
	const token = fixtures.firstToken(1);
	for (const task of ['lost.0.0.0', 'lost.0.0.1'])
		w1.start({ task, run: 1, text: '', token, leaseUntil: Infinity, checkpoint: '', ticket: '' });
	await clock.advance(200);
	w1.handleReportRequest({ token, acknowledgeUpTo: 2, waitMs: 0 });
	w1.fault = 'none';
	await clock.advance(3_000);
	const lines = owner.events.select((event) => event.name === 'ends.unread');
	t.deepEqual(
		lines.map((event) => event.fields),
		[{ worker: 'w1', epoch: 1, seenUpTo: 1, first: 3 }],
	);
	owner.dispatcher.close();
});
