/**
 * Functions without side effects: shares of slots, the retry budget, placement, relief of full workers, proof that an
 * unresponsive worker's tasks have stopped, requests to shards, frames, and the events page.
 */
import * as fs from 'node:fs';
import test from 'ava';
import * as assets from '../src/core/assets.js';
import * as clocks from '../src/core/clock.js';
import * as config from '../src/core/config/index.js';
import * as entry from '../src/core/entry/index.js';
import * as eventsPage from '../dev/events-page.js';
import type * as platform from '../src/core/platform/index.js';
import * as placement from '../src/core/placement/index.js';
import * as requests from '../src/core/scheduler/requests.js';
import * as retention from '../src/core/scheduler/retention.js';
import * as shards from '../src/core/shard/index.js';
import * as silence from '../src/core/scheduler/reachability.js';
import * as tasks from '../src/core/task/index.js';
import * as types from '../src/core/scheduler/types.js';
import * as wire from '../src/core/wire/index.js';

/** A seeded generator of numbers from 0 up to 1 (Park and Miller). */
function seeded(seed: number): () => number {
	let state = seed;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

test('shares of a backend server add up to its slots, whatever the demands', (t) => {
	const random = seeded(7);
	for (let round = 0; round < 500; round += 1) {
		const boxes = Array.from({ length: 1 + Math.floor(random() * 6) }, (_, index) => `box-${index}`);
		const demands = boxes.map((box) => ({ box, demand: Math.floor(random() * 40) }));
		const slots = 1 + Math.floor(random() * 12);
		const shares = [...entry.shareByDemand(`backend-${round}`, slots, demands).values()];
		t.is(
			shares.reduce((sum, one) => sum + one, 0),
			slots,
		);
	}
});

test('shares follow demand', (t) => {
	const demands = [
		{ box: 'a', demand: 30 },
		{ box: 'b', demand: 10 },
		{ box: 'c', demand: 0 },
	];
	t.snapshot([...entry.shareByDemand('backend-1', 8, demands)].sort());
	t.snapshot([...entry.shareByDemand('backend-1', 2, demands)].sort());
});

test('a share shrinks at once and grows only when two rounds allow it', (t) => {
	const share = entry.SteadyShare.create();
	t.deepEqual(
		[4, 4, 8, 8, 3, 6, 6].map((target) => share.update(target)),
		[0, 4, 4, 8, 3, 3, 6],
	);
});

test('second tries stay within the budget', (t) => {
	const budget = entry.RetryBudget.create(() => 5);
	let second = 0;
	for (let first = 0; first < 1000; first += 1) {
		budget.first();
		if (budget.takeRetry()) second += 1;
	}
	t.true(second >= 50 && second <= 51, String(second));
});

const box = (id: string, allocations: placement.Allocation[] = []): placement.Worker => ({
	id,
	rack: 'r1',
	capacity: { cores: 8, memoryMb: 1000, accelerators: 0 },
	allocations,
});

const resident = (
	task: string,
	cores: number,
	kind: 'service' | 'batch' = 'batch',
): placement.Allocation => ({
	task,
	job: task,
	kind,
	urgent: false,
	resources: { cores, memoryMb: 10, accelerators: 0 },
});

const waiting = (task: string, cores: number, urgent = false): placement.PendingTask => ({
	task,
	job: task,
	kind: 'batch',
	urgent,
	needs: { cores, memoryMb: 10, accelerators: 0 },
	maxShareOfBox: 1,
	failedOn: [],
	waitingSince: 0,
});

const options = { score: placement.bestFit, maxPlacements: 100, evicting: new Set<string>() };

test('a round never fills a worker beyond what it holds', (t) => {
	const random = seeded(11);
	for (let turn = 0; turn < 200; turn += 1) {
		const boxes = ['w1', 'w2', 'w3'].map((id) => box(id));
		const tasks = Array.from({ length: 20 }, (_, index) =>
			waiting(`t${index}`, 0.5 + Math.floor(random() * 8) / 2, random() < 0.2),
		);
		placement.placeRound(tasks, boxes, options);
		for (const one of boxes) t.true(placement.allocated(one).cores <= one.capacity.cores);
	}
});

test('two urgent tasks do not count on the same room', (t) => {
	const boxes = [box('w1', [resident('a', 8)]), box('w2', [resident('b', 8)])];
	const round = placement.placeRound([waiting('u1', 8, true), waiting('u2', 8, true)], boxes, options);
	t.deepEqual(round.evictions.map((one) => one.task).sort(), ['a', 'b']);
	const evicting = new Set(['a', 'b']);
	const next = placement.placeRound([waiting('u1', 8, true), waiting('u2', 8, true)], boxes, {
		...options,
		evicting,
	});
	t.deepEqual(next.evictions, []);
});

test('an overfull worker throttles batch for cores and evicts for memory', (t) => {
	const cores = placement.relievePressure(box('w', [resident('s', 6, 'service'), resident('b', 4)]), () => 0);
	t.snapshot({ throttles: [...cores.throttles], evictions: cores.evictions });
	const memory = resident('m', 1);
	memory.resources.memoryMb = 2000;
	const evicted = placement.relievePressure(box('w', [resident('s', 2, 'service'), memory]), () => 0);
	t.snapshot({ throttles: [...evicted.throttles], evictions: evicted.evictions });
});

const silenceSettings = { leaseMs: 10, horizonMs: 100, marginMs: 1, maxClockDrift: 0, unreachableMs: 5 };

test('silence proves nothing before every lease that anybody gave has ended', (t) => {
	const view = types.newWorkerView({
		id: 'w',
		address: '',
		rack: '',
		capacity: { cores: 1, memoryMb: 1, accelerators: 0 },
		leaving: false,
	});
	const provedStoppedAt = (released: boolean): number =>
		silence.provenStoppedAt(view, { at: 1000, released }, silenceSettings);
	t.is(provedStoppedAt(false), 1111);
	t.is(provedStoppedAt(true), 1011);
	view.fenced = true;
	view.leaseEndsBy = 1050;
	t.is(provedStoppedAt(false), 1051);
});

test('frames cut a stream anywhere give the same values', (t) => {
	const values = [{ a: 1 }, 'x'.repeat(300), [1, 2, 3]];
	const bytes = Buffer.concat(values.map((value) => wire.encodeFrame(value)));
	for (const size of [1, 3, 7, 1000]) {
		const reader = wire.FrameReader.create();
		const out: unknown[] = [];
		for (let at = 0; at < bytes.length; at += size) {
			const res = reader.push(bytes.subarray(at, at + size));
			t.true(res.ok);
			if (res.ok) out.push(...res.value);
		}
		t.deepEqual(out, values);
	}
});

test('a frame over the limit is refused before it is buffered', (t) => {
	const reader = wire.FrameReader.create(100);
	t.false(reader.push(Buffer.from([0, 0, 0, 101])).ok);
});

test('docs/EVENTS.md agrees with the catalogue', (t) => {
	t.is(fs.readFileSync(assets.assetPath('docs/EVENTS.md'), 'utf8'), eventsPage.eventsPage());
});

const listing = { id: 'w', address: '', rack: '', leaving: false };

const context: requests.RequestContext = {
	views: new Map([
		['w', types.newWorkerView({ ...listing, capacity: { cores: 8, memoryMb: 1000, accelerators: 0 } })],
	]),
	isWorkerListRead: true,
	nextShard: () => undefined,
	answers: new Map(),
	holderGone: () => false,
};

function partOf(name: string, count: number): tasks.JobPart {
	const spec = tasks.jobSpec.parse({
		team: 'press',
		name,
		kind: 'batch',
		tasks: count,
		needs: { cores: 1, memoryMb: 1 },
	});
	return { id: `press/${name}`, spec, tasks: count };
}

test('a shard takes no more than its snapshot can hold, and forgets ended jobs first', (t) => {
	const state = shards.emptyState();
	shards.applyChange(state, { type: 'job.submitted', part: partOf('first', 3000) }, 1);
	const second = requests.decideRequest(
		state,
		{ type: 'shard.submit', shard: '', job: partOf('second', 1000) },
		context,
	);
	t.is(second.reply.ok ? 'accepted' : second.reply.err.name, 'ShardFull');
	shards.applyChange(state, { type: 'job.submitted', part: partOf('third', 500) }, 1);
	const claim = requests.decideRequest(
		state,
		{ type: 'claim.begin', shard: '', key: 'k', bodyHash: 'b', holder: 'h' },
		context,
	);
	t.is(claim.reply.ok ? 'granted' : claim.reply.err.name, 'ClaimUnavailable');
	shards.applyChange(state, { type: 'job.cancelled', job: 'press/first' }, 2);
	t.deepEqual(retention.droppedJobs(state, 3), [{ type: 'job.dropped', job: 'press/first' }]);
	t.true(shards.encodeState(state).length < 1_000_000);
});

/** A store that carries out the first swap and loses its answer; another operator's change follows at once. */
function storeLosingFirstAnswer(other: (record: wire.ConfigRecord) => wire.ConfigRecord): platform.Store {
	let current: platform.Stored | undefined;
	let swaps = 0;
	return {
		get: () => Promise.resolve({ ok: true, value: current }),
		swap: (key: string, value: Uint8Array) => {
			swaps += 1;
			current = { key, value, version: swaps };
			if (swaps > 1) return Promise.resolve({ ok: true, value: { swapped: true, version: swaps } });
			const firstChange = config.decodeRecord(current);
			if (firstChange.ok)
				current = { key, value: wire.encodeValue(other(firstChange.value)), version: swaps + 1 };
			return Promise.resolve({ ok: false, err: { effect: 'unknown', reason: 'lost' } });
		},
	} as unknown as platform.Store;
}

test('an operator whose answer was lost is told the version of its own change, not a later one', async (t) => {
	const store = storeLosingFirstAnswer((record) => ({
		...record,
		version: 2,
		history: [...record.history, { version: 2, at: 0, by: 'other', key: 'k', value: 1, nonce: 'other' }],
	}));
	const change = { key: 'entry.queuePerSlot', value: 3, by: 'first' };
	const stored = await config.changeRecord(store, clocks.systemClock, change, 5_000);
	t.deepEqual(stored.ok ? [stored.value.version, stored.value.record.version] : stored.err, [1, 2]);
});
