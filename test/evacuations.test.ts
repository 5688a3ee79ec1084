/** Zones that an operator evacuates: nothing is started on their workers until the evacuation is taken back. */
import test from 'ava';
import * as evacuationList from '../src/core/box/evacuation-list.js';
import * as evacuations from '../platform/evacuations.js';
import * as events from '../src/core/events/index.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as realBoxes from './fixtures/real-boxes.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as fixtures from './fixtures/dispatching.js';

/** A start has to respect an evacuation that was stored at least this long before it, in milliseconds. */
const evacuateMs = 5_000;

/** An environment with two workers in each of two zones. */
async function createTwoZones(plan: Parameters<typeof fixtures.createEnvironment>[0]) {
	const environment = fixtures.createEnvironment(plan);
	for (const zone of ['rennes', 'brest'])
		for (const number of [1, 2]) environment.fleet.add(`${zone}-${String(number)}`, { zone, labels: [zone] });
	const owner = await environment.takeOver();
	await environment.clock.advance(1_200);
	const evacuate = (...zones: string[]): void => {
		owner.dispatcher.noteEvacuations(new Set(zones), environment.clock.now());
	};
	const startsIn = (zone: string, since = 0): string[] =>
		environment.fleet.starts
			.filter((one) => one.at >= since && one.worker.startsWith(zone))
			.map((one) => one.task);
	return { ...environment, owner, evacuate, startsIn };
}

test('an evacuated zone gets no work, what runs there runs on, and it gets work again once that is taken back', async (t) => {
	const { clock, owner, submit, evacuate, startsIn } = await createTwoZones(() => ({
		ms: 2_000,
		how: 'done',
	}));
	const wide = [fixtures.step({ count: 40, milliCores: 3_000 })];
	await submit(owner, fixtures.job('before', wide));
	await clock.advance(500);
	const startedBefore = startsIn('rennes').length;
	t.true(startedBefore > 0);
	evacuate('rennes');
	const evacuatedAt = clock.now();
	await submit(owner, fixtures.job('after', [fixtures.step({ count: 30, milliCores: 2_000 })]));
	await clock.advance(8_000);
	t.deepEqual(startsIn('rennes', evacuatedAt), []);
	t.is(owner.dispatcher.stateOf('before'), 'completed');
	t.is(owner.dispatcher.stateOf('after'), 'completed');
	const names = owner.events.select(() => true).map((event) => event.name);
	t.is(names.filter((name) => name === 'task.stop').length, 0);
	t.is(names.filter((name) => name === 'zone.evacuated').length, 1);
	t.is(names.filter((name) => name === 'zone.emptied').length, 1);
	evacuate();
	await submit(owner, fixtures.job('again', wide));
	await clock.advance(3_000);
	t.true(startsIn('rennes', evacuatedAt).length > 0);
	t.is(owner.dispatcher.stateOf('again'), 'completed');
	owner.dispatcher.close();
});

test('a start without an answer is not repeated in a zone that is evacuated meanwhile', async (t) => {
	const { clock, fleet, owner, submit, evacuate, startsIn } = await createTwoZones(() => ({
		ms: 500,
		how: 'done',
	}));
	for (const worker of fleet.workers.values()) worker.fault = 'silent';
	await submit(owner, fixtures.job('job1', [fixtures.step({ count: 12, milliCores: 10_000 })]));
	await clock.advance(500);
	evacuate('rennes');
	for (const worker of fleet.workers.values()) worker.fault = 'none';
	await clock.advance(15_000);
	t.deepEqual(startsIn('rennes'), []);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	owner.dispatcher.close();
});

test('a start that waits for the store is not sent to a zone that is evacuated meanwhile', async (t) => {
	const { clock, store, owner, submit, evacuate, startsIn } = await createTwoZones(() => ({
		ms: 'endless',
		how: 'done',
	}));
	await submit(owner, fixtures.job('job1', [fixtures.step({ count: 4, milliCores: 10_000, lasting: true })]));
	store.writeMs = 400;
	await clock.advance(100);
	t.deepEqual(startsIn(''), []);
	evacuate('rennes');
	const evacuatedAt = clock.now();
	await clock.advance(8_000);
	t.deepEqual(startsIn('rennes', evacuatedAt), []);
	t.is(startsIn('brest').length, 4);
	owner.dispatcher.close();
});

test('nothing is started while all zones are evacuated, and all is done afterwards', async (t) => {
	const { clock, fleet, owner, submit, evacuate } = await createTwoZones(() => ({ ms: 500, how: 'done' }));
	evacuate('rennes', 'brest');
	await submit(
		owner,
		fixtures.job('job1', [fixtures.step({ count: 4, gang: true }), fixtures.step({ count: 3, after: [0] })]),
	);
	await submit(owner, fixtures.job('job2', [fixtures.step({ count: 2, speculative: true })]));
	await clock.advance(5_000);
	t.deepEqual(fleet.starts, []);
	t.is(owner.dispatcher.pendingOf(fixtures.queue.name), 2);
	evacuate();
	await clock.advance(5_000);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	t.is(owner.dispatcher.stateOf('job2'), 'completed');
	owner.dispatcher.close();
});

test('an older list does not take an evacuation back', async (t) => {
	const { clock, owner, submit, evacuate, startsIn } = await createTwoZones(() => ({ ms: 500, how: 'done' }));
	evacuate('rennes');
	owner.dispatcher.noteEvacuations(new Set(), clock.now() - 1);
	await submit(owner, fixtures.job('job1', [fixtures.step({ count: 30 })]));
	await clock.advance(3_000);
	t.deepEqual(startsIn('rennes'), []);
	owner.dispatcher.close();
});

/** A list that follows a store in memory, and the evacuations that it passed on. */
function followList(fault: () => memory.StoreFault = () => 'none') {
	const clock = time.VirtualClock.create();
	const store = memory.MemoryStore.create(clock);
	const log = events.EventLog.create('test', clock);
	const reads: { zones: string[]; heldAt: number }[] = [];
	const list = evacuationList.EvacuationList.create({
		adapter: evacuations,
		store: store.view(fault),
		clock,
		events: log,
		zones: ['rennes', 'brest'],
		onRead: (zones, heldAt) => void reads.push({ zones: [...zones], heldAt }),
	});
	const put = (zone: string, text: string): void => {
		store.put(`op/evacuate/${zone}`, Buffer.from(text));
	};
	const rejected = (): unknown[] =>
		log.select((event) => event.name === 'evacuation.rejected').map((event) => event.fields);
	return { clock, store, reads, list, put, rejected };
}

test('evacuations are read within their bound through changes, lost history and an entry that goes', async (t) => {
	const { clock, store, reads, list, put } = followList();
	put('rennes', '{}');
	store.forget();
	await clock.advance(evacuateMs);
	t.deepEqual(reads.at(-1)?.zones, ['rennes']);
	put('brest', '{"reason":"flood"}');
	await clock.advance(evacuateMs);
	t.deepEqual(reads.at(-1)?.zones, ['brest', 'rennes']);
	store.remove('op/evacuate/rennes');
	await clock.advance(evacuateMs);
	t.deepEqual(reads.at(-1)?.zones, ['brest']);
	list.close();
});

test('an entry that can not be read leaves its zone as it was, and is told of once', async (t) => {
	const { clock, reads, list, put, rejected } = followList();
	put('rennes', '{}');
	await clock.advance(1_000);
	put('rennes', 'no JSON');
	put('brest', '[1]');
	put('nantes', '{}');
	await clock.advance(10_000);
	t.deepEqual(reads.at(-1)?.zones, ['nantes', 'rennes']);
	t.snapshot(rejected());
	list.close();
});

test('a store that is down tells nothing of evacuations', async (t) => {
	let fault: memory.StoreFault = 'none';
	const { clock, reads, list, put } = followList(() => fault);
	put('rennes', '{}');
	await clock.advance(1_000);
	fault = 'down';
	const downAt = clock.now();
	await clock.advance(10_000);
	t.true((reads.at(-1)?.heldAt ?? Infinity) <= downAt);
	t.deepEqual(reads.at(-1)?.zones, ['rennes']);
	list.close();
});

test('over real boxes: an evacuated zone gets no work, from the next owner neither', async (t) => {
	const starts: string[] = [];
	const { platform, startTwo } = await realBoxes.setUp(t, {
		plan: () => ({ ms: 100, how: 'done' }),
		journal: {
			started: ({ worker }) => void starts.push(worker),
			ended: () => undefined,
			acknowledged: () => undefined,
		},
	});
	const { owner, other } = await startTwo();
	await realBoxes.call(other.callers, 'POST', '0000000000000001', realBoxes.jobBody);
	await realBoxes.waitUntilCompleted(other, '0000000000000001');
	platform.evacuate('rennes');
	await owner.waitForLine((line) => line.name === 'zone.evacuated');
	await owner.waitForLine((line) => line.name === 'zone.emptied');
	const before = starts.length;
	await realBoxes.call(other.callers, 'POST', '0000000000000002', realBoxes.jobBody);
	await other.waitForLine((line) => line.name === 'owner.found');
	await owner.kill();
	await other.waitForLine((line) => line.name === 'zone.evacuated');
	await realBoxes.call(other.callers, 'POST', '0000000000000003', realBoxes.jobBody);
	await other.waitForLine((line) => line.name === 'owner.load' && line.fields.waiting === 4);
	t.is(starts.length, before);
	platform.cancelEvacuation('rennes');
	await realBoxes.waitUntilCompleted(other, '0000000000000002');
	await realBoxes.waitUntilCompleted(other, '0000000000000003');
	t.is(starts.length, before + 4);
});
