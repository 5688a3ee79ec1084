/**
 * Loads of long-running steps: distinguished from interference, predicted from their waves, and passed to the next owner.
 */
import test from 'ava';
import * as interference from '../src/core/dispatch/interference.js';
import * as ledger from '../src/core/ledger/index.js';
import * as loadWave from '../src/core/dispatch/load-wave.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as random from '../dev/random.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as wire from '../src/core/wire/frame.js';
import * as fixtures from './fixtures/dispatching.js';

const periodMs = 14_000;
const taskCount = 6;
const reportIntervalMs = 400;

/** The load of each of the step's tasks at a time. */
function actualLoadAt(at: number): number {
	return 0.5 + 0.2 * Math.sin((2 * Math.PI * at) / periodMs);
}

/** Adds reports of all tasks over a time; interference affects each task in turn for two seconds. */
function addReports(wave: loadWave.LoadWave, from: number, to: number, seed: number): void {
	const next = random.seededRandom(seed);
	for (let now = from; now < to; now += reportIntervalMs) {
		for (let task = 0; task < taskCount; task += 1) {
			const isDisturbed = Math.floor(now / 2_000) % taskCount === task;
			const noise = (next() - 0.5) * 0.06;
			const load = actualLoadAt(now - loadWave.readingAgeMs) + noise;
			wave.addReading(task, Math.min(1, isDisturbed ? load * 1.5 : load), now);
		}
	}
}

/** Largest error of predictions 900 ms ahead over one period. */
function maxPredictionError(wave: loadWave.LoadWave, now: number): number {
	let maxError = 0;
	for (let ahead = 900; ahead < 900 + periodMs; ahead += 500)
		maxError = Math.max(maxError, Math.abs(wave.loadAt(now + ahead, now) - actualLoadAt(now + ahead)));
	return maxError;
}

test('a periodic load is predicted a period ahead, although interference always affects some of its tasks', (t) => {
	const period = loadWave.LoadPeriod.create(0);
	const wave = period.createWave();
	addReports(wave, 0, 30_000, 1);
	t.true(wave.isComparable(30_000));
	t.true(maxPredictionError(wave, 30_000) < 0.1, `off by ${maxPredictionError(wave, 30_000).toFixed(3)}`);
});

test('two tasks are too few to distinguish a load from interference', (t) => {
	const wave = loadWave.LoadPeriod.create(0).createWave();
	wave.addReading(0, 0.5, 1_000);
	wave.addReading(1, 0.5, 1_000);
	t.false(wave.isComparable(1_000));
	wave.addReading(2, 0.5, 1_000);
	t.true(wave.isComparable(1_000));
	t.false(wave.isComparable(3_000));
});

test('the next owner predicts a load from its first second on', (t) => {
	const period = loadWave.LoadPeriod.create(0);
	const wave = period.createWave();
	addReports(wave, 0, 30_000, 2);
	const learned = wave.learned(30_000);
	const next = loadWave.LoadPeriod.restore(period.chosenIndex(30_000), 31_000).createWave(learned);
	t.true(maxPredictionError(next, 31_000) < 0.1, `off by ${maxPredictionError(next, 31_000).toFixed(3)}`);
	// Without learned sums, a prediction is off by the whole amplitude.
	t.true(maxPredictionError(loadWave.LoadPeriod.create(31_000).createWave(), 31_000) > 0.19);
});

test('what an owner has learned outlasts all boxes', async (t) => {
	const clock = time.VirtualClock.create();
	const store = memory.MemoryStore.create(clock);
	const takeOwnership = async (box: string): Promise<ledger.OwnerLedger> => {
		store.remove(ledger.keys.ownerKey);
		const lease = store.view().grantLease(60_000);
		await clock.advance(20);
		const granted = await lease;
		const identity = { box, peer: `${box}:1`, lease: granted.ok ? granted.value : '', strongest: 1 };
		const takingOver = ledger.OwnerLedger.acquire(store.view(), () => clock.now(), identity, undefined);
		await clock.advance(50);
		const taken = await takingOver;
		if (!taken.ok) throw new Error(taken.err);
		return taken.value;
	};
	const first = await takeOwnership('entry-1');
	const storing = first.publish(ledger.keys.learnedModelsKey, wire.encodeValue({ periods: { web: 3 } }));
	await clock.advance(20);
	t.is(await storing, 'committed');
	const second = await takeOwnership('entry-2');
	const loading = second.load();
	await clock.advance(50);
	const contents = await loading;
	t.deepEqual(contents.ok ? contents.value.learnedModels : undefined, { periods: { web: 3 } });
});

test('an owner restores learned models of its own format only', (t) => {
	const clock = time.VirtualClock.create();
	const emptyModel = interference.InterferenceModel.create(clock).exportLearned();
	const model = interference.InterferenceModel.create(clock);
	t.true(model.restore({ ...emptyModel, periods: { web: 7 } }));
	t.deepEqual(model.exportLearned().periods, { web: 7 });
	const otherModel = interference.InterferenceModel.create(clock);
	t.false(otherModel.restore({ ...emptyModel, format: emptyModel.format + 1, periods: { web: 7 } }));
	t.deepEqual(otherModel.exportLearned().periods, {});
});

test('the learned load of a step is dropped with the step, also when its tasks report once more', async (t) => {
	const reading = 40;
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({
		ms: 'endless',
		how: 'done',
		reading,
	}));
	fleet.add('w1');
	const owner = await takeOver();
	const serving = fixtures.step({ count: 3, lasting: true, image: 'web', targetMs: 100 });
	await submit(owner, fixtures.job('job1', [serving]));
	await submit(owner, fixtures.job('job2', [serving]));
	await clock.advance(5_000);
	t.deepEqual(Object.keys(owner.dispatcher.exportLearnedModels().loads), ['job1.0.0', 'job2.0.0']);
	owner.dispatcher.cancelJob('job1');
	// The exit of the first task that stops brings a report that still lists the others.
	await clock.advance(1_000);
	t.false(fleet.workers.get('w1')?.running.has('job1.0.0.0'));
	t.deepEqual(Object.keys(owner.dispatcher.exportLearnedModels().loads), ['job2.0.0']);
	owner.dispatcher.close();
});

test('nothing is kept of the load of a step that ends before its tasks have reported', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({
		ms: 'endless',
		how: 'done',
		reading: 40,
	}));
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await submit(
		owner,
		fixtures.job('job1', [fixtures.step({ count: 3, lasting: true, image: 'web', targetMs: 100 })]),
	);
	await clock.advance(300);
	t.is(w1.running.size, 3);
	t.deepEqual(owner.dispatcher.exportLearnedModels().loads, {});
	owner.dispatcher.cancelJob('job1');
	await clock.advance(1_000);
	t.is(w1.running.size, 0);
	// The exit of the first task that stops brings a report that still lists the others: the first report with readings.
	t.deepEqual(Object.keys(owner.dispatcher.exportLearnedModels().periods), ['web']);
	t.deepEqual(owner.dispatcher.exportLearnedModels().loads, {});
	owner.dispatcher.close();
});
