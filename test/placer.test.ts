/** Placement rounds: the fraction of processor time that they may take; and why tasks wait. */
import test from 'ava';
import * as events from '../src/core/events/index.js';
import * as fixtures from './fixtures/dispatching.js';
import * as fixedLimit from '../src/core/dispatch/fixed-limit.js';
import * as forecasts from '../src/core/forecast/index.js';
import * as interference from '../src/core/dispatch/interference.js';
import * as jobs from '../src/core/jobs/index.js';
import * as meters from '../src/core/dispatch/load-meter.js';
import * as placer from '../src/core/dispatch/placer.js';
import * as probation from '../src/core/dispatch/probation.js';
import * as retries from '../src/core/dispatch/retry-pauses.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as workers from '../stand-ins/fleet/workers.js';

const epoch = 1;

/** Creates a placer without workers, for which each scan of the workers takes `scanMs`. */
function createSlowPlacer(
	clock: time.VirtualClock,
	scanMs: number,
	more: Partial<placer.PlacerOptions> = {},
): { placer: placer.Placer; spentMs: () => number } {
	let spentMs = 0;
	const estimates = interference.InterferenceModel.create(clock);
	const created = placer.Placer.create({
		clock,
		events: events.EventLog.create('test', clock),
		calls: workers.FakeFleet.create({
			clock,
			maxLeaseMs: fixtures.maxLeaseMs,
			plan: () => ({ ms: 1, how: 'done' }),
		}).calls(),
		maxLeaseMs: fixtures.maxLeaseMs,
		epoch,
		mayAct: () => true,
		leasesEndBy: () => Infinity,
		epochConfirmedAt: () => clock.now(),
		confirmEpoch: () => Promise.resolve(),
		onFenced: () => undefined,
		workers: () => {
			clock.blockFor(scanMs);
			spentMs += scanMs;
			return [];
		},
		mayHaveUnreportedRun: () => false,
		policyOf: () => fixtures.queue,
		retryPauses: retries.SeparatePauses.create(),
		runTimes: forecasts.RunTimes.create(),
		estimates,
		limit: fixedLimit.FixedLimit.create(estimates),
		askAdviser: undefined,
		start: () => undefined,
		probations: probation.Probations.create({
			clock,
			events: events.EventLog.create('test', clock),
			workers: () => [],
			onChanged: () => undefined,
		}),
		restoreMs: 0,
		mayStartAgain: () => true,
		meter: meters.LoadMeter.create(),
		freeStartSlots: () => Infinity,
		stopFor: () => undefined,
		...more,
	});
	return { placer: created, spentMs: () => spentMs };
}

test('rounds for short tasks that find no free capacity leave processor time to other work', async (t) => {
	const clock = time.VirtualClock.create();
	const slowPlacer = createSlowPlacer(clock, 20);
	const record = fixtures.job('short', [fixtures.step({ count: 5 })]);
	const options = { cancelled: false, inherited: false, workersStored: true, now: clock.now(), age: 0 };
	const job = jobs.ActiveJob.create(record, undefined, options);
	for (const task of job.openNextOccurrence(clock.now())) slowPlacer.placer.add(task);
	const from = clock.now();
	// Reports arrive all the time, and each wakes the placer.
	while (clock.now() - from < 5_000) {
		slowPlacer.placer.requestRound();
		await clock.advance(5);
	}
	const fraction = slowPlacer.spentMs() / (clock.now() - from);
	t.true(fraction > 0.1, 'rounds were run');
	t.true(fraction < 0.7, `rounds took ${fraction.toFixed(2)} of the time`);
	slowPlacer.placer.close();
});

test('only a task that nothing but capacity keeps from being started shows that cores are scarce', (t) => {
	const clock = time.VirtualClock.create();
	const { placer } = createSlowPlacer(clock, 1);
	const options = { cancelled: false, inherited: false, workersStored: true, now: clock.now(), age: 0 };
	const taskOf = (more: Partial<jobs.JobRecord> = {}): jobs.Task => {
		const record = fixtures.job('wide', [fixtures.step({ fills: true })], more);
		const [task] = jobs.ActiveJob.create(record, undefined, options).openNextOccurrence(clock.now());
		if (task === undefined) throw new Error('no task');
		return task;
	};
	t.true(placer.lacksOnlyCapacity(taskOf()));
	const paused = Object.assign(taskOf(), { retryNotBefore: clock.now() + 1_000 });
	t.false(placer.lacksOnlyCapacity(paused), 'it waits after a crash');
	const suspect = Object.assign(taskOf(), { crashes: { crashed: 2, blamed: 1 } });
	t.false(placer.lacksOnlyCapacity(suspect), 'it waits for probation');
	t.false(placer.lacksOnlyCapacity(taskOf({ acceptedUnder: epoch + 1 })), 'a later owner starts it');
	placer.close();
	const inherited = taskOf();
	Object.assign(inherited.step.job, { inherited: true });
	const others: [string, Partial<placer.PlacerOptions>][] = [
		['no start may be sent', { freeStartSlots: () => 0 }],
		['the owner may not act', { mayAct: () => false }],
		['it may run on a worker that has not reported', { mayHaveUnreportedRun: () => true }],
	];
	for (const [reason, more] of others) {
		const other = createSlowPlacer(clock, 1, more).placer;
		t.false(other.lacksOnlyCapacity(inherited), reason);
		other.close();
	}
});

// A field of the load was named after a limit, though it counts tasks that no limit holds back, too.
test('the load counts waiting preemptible tasks, limited or not', (t) => {
	const clock = time.VirtualClock.create();
	const { placer } = createSlowPlacer(clock, 0);
	const steps = [fixtures.step({ count: 5 }), fixtures.step({ count: 3, fills: true })];
	const options = { cancelled: false, inherited: false, workersStored: true, now: clock.now(), age: 0 };
	const job = jobs.ActiveJob.create(fixtures.job('mixed', steps), undefined, options);
	for (const task of job.openNextOccurrence(clock.now())) placer.add(task);
	t.deepEqual(placer.waiting, { waiting: 8, waitingShort: 8, waitingPreemptible: 3 });
});
