/** Entries of the platform's list of workers that others have written: unreadable, incomplete, or of something else. */
import test from 'ava';
import * as events from '../src/core/events/index.js';
import * as incarnations from '../src/core/fleet/incarnations.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as realBoxes from './fixtures/real-boxes.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as workerEntries from '../platform/worker-list.js';
import * as workerList from '../src/core/box/worker-list.js';

const validEntry = {
	service: 'press',
	address: '10.0.0.1:80',
	zone: 'rennes',
	state: 'ready',
	capacity: { cpu: 32_000, mem_mb: 128_000 },
	labels: ['a', 'r1'],
};

/** Entries that describe no usable worker, by what is wrong with them. */
const unusableEntries: Record<string, unknown> = {
	'no object': 7,
	'an array': [],
	'no service': { ...validEntry, service: undefined },
	'a service of another type': { ...validEntry, service: 4 },
	'no address': { ...validEntry, address: undefined },
	'an address without a port': { ...validEntry, address: '10.0.0.1' },
	'an address that is none': { ...validEntry, address: 'nowhere at all:80' },
	'an empty address': { ...validEntry, address: '' },
	'no zone': { ...validEntry, zone: undefined },
	'a state that is not known': { ...validEntry, state: 'resting' },
	'no state': { ...validEntry, state: undefined },
	'no capacity': { ...validEntry, capacity: undefined },
	'a capacity of another type': { ...validEntry, capacity: 'large' },
	'less than no capacity': { ...validEntry, capacity: { cpu: -1, mem_mb: 1 } },
	'labels of another type': { ...validEntry, labels: 'a' },
	'a time left of another type': { ...validEntry, remaining_ms: 'long' },
	'a start of another type': { ...validEntry, born: '1796000000000' },
	'a start that is no whole number': { ...validEntry, born: 0.5 },
};

function encodeJson(value: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(value));
}

test('an entry of another form names no worker to use', (t) => {
	t.truthy(workerEntries.decodeWorker('servers/w1', encodeJson(validEntry)));
	for (const [what, value] of Object.entries(unusableEntries))
		t.is(workerEntries.decodeWorker('servers/w1', encodeJson(value)), undefined, what);
	t.is(workerEntries.decodeWorker('servers/w1', Buffer.from([0xff, 0x00, 0x7b])), undefined);
	t.is(workerEntries.decodeWorker('servers/w1', new Uint8Array(0)), undefined);
});

/** Addresses of the right shape to which no connection can be opened, or that are another spelling of an address. */
const uncallableAddresses = [
	'127.0.0.1:81610',
	'127.0.0.1:0',
	'256.1.1.1:80',
	'1.2.3.4.5:80',
	'08:30',
	'127.1:80',
	'xn--a.example:80',
];

// Guards against the end of each box that dispatches, one after another, by an error for an invalid URL.
test('an entry whose address cannot be called names no worker to use', (t) => {
	for (const address of uncallableAddresses)
		t.is(
			workerEntries.decodeWorker('servers/w1', encodeJson({ ...validEntry, address })),
			undefined,
			address,
		);
	for (const address of ['10.0.0.1:80', '10.0.0.1:65535', 'Worker-1.rack_2.example:8080'])
		t.truthy(workerEntries.decodeWorker('servers/w1', encodeJson({ ...validEntry, address })), address);
});

// The same failure over a real box: its process goes on, and its other workers are used.
test('over a real box: an entry whose address cannot be called leaves the box and the other workers in service', async (t) => {
	const { platform, start } = await realBoxes.setUp(t);
	const box = await start('entry-1');
	await box.waitForLine((line) => line.name === 'owner.taken');
	for (const [index, address] of uncallableAddresses.entries())
		platform.store.put(`servers/foreign-${String(index)}`, encodeJson({ ...validEntry, address }));
	await box.waitForLine((line) => line.name === 'worker.entry-unusable');
	const job = '00000000000000a1';
	await realBoxes.call(box.callers, 'POST', job, realBoxes.jobBody);
	await realBoxes.waitUntilEnded(box, job);
	t.is(box.lines.filter((line) => line.name === 'worker.entry-unusable').length, uncallableAddresses.length);
});

test('an entry that becomes unreadable counts as absent, in a change and in a list alike, and is told of once', async (t) => {
	const clock = time.VirtualClock.create();
	const store = memory.MemoryStore.create(clock);
	const log = events.EventLog.create('test', clock);
	const told: unknown[] = [];
	store.put('servers/w1', encodeJson(validEntry));
	store.put('servers/w2', encodeJson(validEntry));
	const follower = workerList.followWorkers({
		adapter: workerEntries,
		store: store.view(),
		clock,
		events: log,
		setWorkers: (entries, removed, whole) => {
			told.push({ listed: [...entries].map((one) => one.id), absent: [...removed], whole });
		},
		onRead: () => undefined,
	});
	await clock.advance(1_000);
	store.put('servers/w1', Buffer.from('{'));
	await clock.advance(1_000);
	// Its writer goes on writing it, as each worker does with its own.
	store.put('servers/w1', Buffer.from('{"seq_no":2}'));
	await clock.advance(1_000);
	// The history is gone, so the list is read again, with that entry in it.
	store.forget();
	await clock.advance(3_000);
	store.put('servers/w1', encodeJson(validEntry));
	await clock.advance(1_000);
	store.remove('servers/w1');
	await clock.advance(1_000);
	follower.close();
	const rejected = log
		.select((event) => event.name === 'worker.entry-unusable')
		.map((event) => event.fields.worker);
	t.snapshot({ told, rejected });
});

test('over a real box: a worker whose entry is unreadable gets nothing new, and what runs there goes on', async (t) => {
	let endFirst = (): void => undefined;
	const firstEnds = new Promise<void>((resolve) => (endFirst = resolve));
	const { platform, start } = await realBoxes.setUp(t, { plan: () => ({ ms: 1_000, how: 'done' }) });
	const box = await start('entry-1');
	const first = '00000000000000a1';
	const second = '00000000000000a2';
	await realBoxes.call(box.callers, 'POST', first, realBoxes.jobBody);
	await box.waitForLine((line) => line.name === 'task.placed');
	const entry = platform.store.keys().find((key) => key.startsWith('servers/')) ?? '';
	const before = await platform.store.view().get(entry);
	platform.store.put(entry, Buffer.from([0xff]));
	await box.waitForLine((line) => line.name === 'worker.entry-unusable');
	await realBoxes.call(box.callers, 'POST', second, realBoxes.jobBody);
	void realBoxes.waitUntilEnded(box, first).then(endFirst);
	await firstEnds;
	const placed = box.lines.filter((line) => line.name === 'task.placed');
	t.true(placed.every((line) => String(line.fields.task).startsWith(first)));
	t.is(box.lines.filter((line) => line.name === 'worker.lost').length, 0);
	platform.store.put(entry, before.ok && before.value !== undefined ? before.value.value : new Uint8Array(0));
	await realBoxes.waitUntilEnded(box, second);
	t.is(box.lines.filter((line) => line.name === 'worker.entry-unusable').length, 1);
});

test('an entry names one life of a worker, by its name and its start', (t) => {
	const idOf = (value: unknown): string | undefined =>
		workerEntries.decodeWorker('servers/i-1', encodeJson(value))?.id;
	const [older, first, second] = [
		idOf(validEntry),
		idOf({ ...validEntry, born: 5 }),
		idOf({ ...validEntry, born: 4 }),
	];
	t.is(older, 'i-1');
	t.is(new Set([older, first, second]).size, 3);
	t.deepEqual(
		[older, first, second].map((id) => incarnations.nameOf(id ?? '')),
		['i-1', 'i-1', 'i-1'],
	);
	t.is(incarnations.nameOf(incarnations.idOf('i-1@4', undefined)), 'i-1@4');
});
