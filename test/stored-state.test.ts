/** What an owner adopts of the scheduling state that an earlier owner stored, whatever was stored. */
import test from 'ava';
import * as fc from 'fast-check';
import * as events from '../src/core/events/index.js';
import * as features from '../src/core/features/index.js';
import * as forecast from '../src/core/forecast/index.js';
import * as interference from '../src/core/dispatch/interference.js';
import * as schedulingState from '../src/core/dispatch/scheduling-state.js';
import * as storedState from '../src/core/dispatch/stored-state.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as wire from '../src/core/wire/frame.js';
import type * as limitTypes from '../src/core/dispatch/limit-types.js';

const step = { image: 'batch', estimateMs: 1_000 };

/** The state of one owner, and what it was given. */
function createState(clock: time.VirtualClock, takeover: features.Features['takeover'] = 'prioritized') {
	const log = events.EventLog.create('test', clock);
	const runTimes = forecast.RunTimes.create();
	const restored: limitTypes.ImageLimits[] = [];
	const state = schedulingState.choose({
		clock,
		events: log,
		epoch: 1,
		features: { ...features.defaultFeatures, takeover },
		interferenceModel: interference.InterferenceModel.create(clock),
		runTimes,
		limits: {
			exportLimits: () => ({ web: { maxUse: 1.1, margin: 0.05 } }),
			restore: (limits) => void restored.push(limits),
		},
	});
	const adopted = (): events.EventFields =>
		log.select(({ name }) => name === 'learnt.adopted')[0]?.fields ?? {};
	return { state, runTimes, restored, adopted };
}

/** A record as an owner finds it in the store, after three finished runs that took twice their estimate. */
function storeRecord(clock: time.VirtualClock): storedState.StoredState {
	const { state, runTimes } = createState(clock);
	for (let run = 0; run < 3; run += 1) runTimes.noteFinished('proofs', step, 2_000);
	const decoded = wire.decodeValue(wire.encodeValue(state.export()));
	if (!decoded.ok) throw new Error(decoded.err);
	return decoded.value as storedState.StoredState;
}

test('a successor continues with run time factors and limits, and logs their age', async (t) => {
	const clock = time.VirtualClock.create();
	const record = storeRecord(clock);
	await clock.advance(2_000);
	const next = createState(clock);
	next.state.adopt(record);
	t.true(next.runTimes.factor('proofs', step) > 1.5);
	t.deepEqual(next.restored, [{ web: { maxUse: 1.1, margin: 0.05 } }]);
	const { runTimes, limits, ageMs, reason } = next.adopted();
	t.deepEqual(
		{ runTimes, limits, ageMs, reason },
		{ runTimes: 1, limits: 1, ageMs: 2_000, reason: undefined },
	);
});

test('limits that are too old are absent, and the rest of the record counts', async (t) => {
	const clock = time.VirtualClock.create();
	const record = storeRecord(clock);
	await clock.advance(20_001);
	const next = createState(clock);
	next.state.adopt(record);
	t.deepEqual(next.restored, []);
	t.true(next.runTimes.factor('proofs', step) > 1.5);
	t.is(next.adopted().reason, 'limits too-old');
});

test('a field that is not valid is absent, and the others count', (t) => {
	const clock = time.VirtualClock.create();
	const record = storeRecord(clock);
	const invalid: [storedState.StateField, unknown][] = [
		['images', { web: { lowest: 5, images: ['batch'], products: [[1, 2]], results: [1] } }],
		['images', { web: { lowest: Number.NaN, images: [], products: [], results: [] } }],
		['images', []],
		['periods', { web: 19 }],
		['periods', { web: 'long' }],
		['loads', { 'job1.0.0': { products: [1], results: [0, 0, 0], squares: 1 } }],
		['loads', null],
		['runTimes', { 'image batch': -1 }],
		['runTimes', { 'image batch': Infinity }],
		['limits', { web: { maxUse: -1, margin: 0 } }],
		['limits', 7],
	];
	for (const [field, value] of invalid) {
		const { state, absent } = storedState.decodeState({ ...record, [field]: value }, clock.wall());
		t.deepEqual(absent, { [field]: 'invalid' });
		t.is(Object.keys(state).length, 4);
	}
});

test('no record stops a takeover, and the reason for not using it is logged', (t) => {
	const clock = time.VirtualClock.create();
	const all = (reason: string): string =>
		['images', 'periods', 'loads', 'runTimes', 'limits'].map((field) => `${field} ${reason}`).join(', ');
	const cases: [unknown, string][] = [
		[undefined, all('no-record')],
		[null, all('other-format')],
		['text', all('other-format')],
		[{}, all('other-format')],
		[{ ...storeRecord(clock), format: 3 }, all('other-format')],
		[{ format: 2, storedAt: clock.wall() }, all('missing')],
		[{ ...storeRecord(clock), storedAt: clock.wall() + 60_000 }, 'limits from-the-future'],
		[{ ...storeRecord(clock), storedAt: 'now' }, 'limits missing'],
		[interference.InterferenceModel.create(clock).exportLearned(), 'runTimes missing, limits missing'],
	];
	for (const [record, reason] of cases) {
		const next = createState(clock);
		next.state.adopt(record);
		t.is(next.adopted().reason, reason);
		t.deepEqual(next.restored, []);
	}
});

test('the size of a record is bounded, and the newest factors are kept', (t) => {
	const clock = time.VirtualClock.create();
	const { state, runTimes } = createState(clock);
	for (let index = 0; index < 512; index += 1)
		runTimes.noteFinished('proofs', { image: `${'x'.repeat(300)}-${String(index)}`, estimateMs: 100 }, 200);
	const record = state.export() as storedState.StoredState;
	t.true(wire.encodeValue(record).length < 21_000, String(wire.encodeValue(record).length));
	t.true(Object.keys(record.runTimes).at(-1)?.endsWith('-511'));
	t.true(Object.keys(record.runTimes).length > 40);
});

test('without a feature that needs more, the record is that of earlier releases', (t) => {
	const clock = time.VirtualClock.create();
	const { state } = createState(clock, 'roster-order');
	t.deepEqual(state.export(), interference.InterferenceModel.create(clock).exportLearned());
});

test('no content of a field makes a takeover fail', (t) => {
	const clock = time.VirtualClock.create();
	const record = storeRecord(clock);
	const fields: storedState.StateField[] = ['images', 'periods', 'loads', 'runTimes', 'limits'];
	const values = fc.oneof(fc.anything(), fc.dictionary(fc.string(), fc.anything()));
	const property = fc.property(fc.constantFrom(...fields), values, (field, value) => {
		const { state, adopted } = createState(clock);
		state.adopt({ ...record, [field]: value });
		t.is(adopted().epoch, 1);
	});
	fc.assert(property, { seed: 5, numRuns: 500 });
});
