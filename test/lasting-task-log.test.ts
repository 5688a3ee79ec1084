/**
 * What the log tells of long-running tasks without a run: for how long, why, and what they wait for. The lines are compared
 * with what the workers did, and snapshots hold all but the times, which depend on how long leases are.
 */
import test from 'ava';
import * as placements from '../src/core/dispatch/placements.js';
import * as events from '../src/core/events/index.js';
import * as dispatch from '../src/core/dispatch/index.js';
import * as runGaps from '../src/core/dispatch/run-gaps.js';
import * as withoutRunLog from '../src/core/dispatch/without-run-log.js';
import * as boxMetrics from '../src/cli/box/metrics.js';
import * as metrics from '../src/core/metrics/index.js';
import * as fixtures from './fixtures/dispatching.js';
import * as jobs from '../src/core/jobs/index.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import type * as boxes from '../src/core/box/box.js';
import type * as types from '../src/core/dispatch/types.js';

/** A responsive worker answers at least this often, with some network delay, in milliseconds. */
const answerIntervalMs = 1_050;

const { maxWithoutRunMs, withoutRunLogIntervalMs } = dispatch.settings;

const lasting = { lasting: true, estimateMs: 60_000 };

/** Runs that go on until they are stopped or lost. */
function endlessEnvironment(): fixtures.TestEnvironment {
	return fixtures.createEnvironment(() => ({ ms: 'endless', how: 'done' }));
}

/** Events of a name that an owner logged. */
function eventsOf(owner: fixtures.TestOwner, name: events.EventName): events.LoggedEvent[] {
	return owner.events.select((event) => event.name === name);
}

/** Events as they are kept in snapshots: `ms` in place of each time. */
function untimed(logged: readonly events.LoggedEvent[]): unknown[] {
	return logged.map(({ name, level, fields }) => {
		const entries = Object.entries(fields).map(([key, value]) => [
			key,
			key.endsWith('Ms') && typeof value === 'number' && value > 0 ? 'ms' : value,
		]);
		return { name, level, ...(Object.fromEntries(entries) as events.EventFields) };
	});
}

/** Number in a field; NaN: it has none. */
function numberOf({ fields }: events.LoggedEvent, field: string): number {
	return Number(fields[field] ?? NaN);
}

/** The sum of the phases that a `task.resumed` gives. */
function phasesMs(event: events.LoggedEvent): number {
	const phases = ['ownerMs', 'leaseMs', 'capacityMs', 'startMs'].map((one) => numberOf(event, one));
	return phases.reduce((sum, one) => sum + one, 0);
}

/** Adds `w1` with a long-running task on it, then further workers; returns the owner and the worker. */
async function startOnW1(
	environment: fixtures.TestEnvironment,
	others: string[],
	more: Partial<jobs.StepSpec> = {},
): Promise<fixtures.TestOwner> {
	const { clock, fleet, takeOver, submit } = environment;
	fleet.add('w1');
	const owner = await takeOver();
	await submit(owner, fixtures.job('job1', [fixtures.step({ ...lasting, ...more })]));
	await clock.advance(1_500);
	for (const name of others) fleet.add(name);
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	await clock.advance(1_500);
	return owner;
}

function takeDown({ fleet }: fixtures.TestEnvironment, name: string): void {
	const worker = fleet.workers.get(name);
	if (worker === undefined) throw new Error(`no worker ${name}`);
	fleet.takeDown(worker);
}

test('the owner stays and a worker dies: the restart of its task tells how long there was no run, and why', async (t) => {
	const environment = endlessEnvironment();
	const { clock, fleet } = environment;
	const recorded: [string, number][] = [];
	environment.recordTime = (name, ms) => recorded.push([name, ms]);
	const owner = await startOnW1(environment, ['w2']);
	const diedAt = clock.now();
	takeDown(environment, 'w1');
	await clock.advance(14_000);
	const [resumed, ...further] = eventsOf(owner, 'task.resumed');
	if (resumed === undefined) throw new Error('no event');
	t.deepEqual(further, []);
	const trueMs = (fleet.starts.at(-1)?.at ?? NaN) - diedAt;
	const withoutRunMs = numberOf(resumed, 'withoutRunMs');
	t.true(withoutRunMs >= trueMs && withoutRunMs <= trueMs + answerIntervalMs, String(withoutRunMs));
	t.true(Math.abs(phasesMs(resumed) - withoutRunMs) <= 2);
	t.true(numberOf(resumed, 'leaseMs') > withoutRunMs - 500);
	t.is(resumed.level, withoutRunMs > maxWithoutRunMs ? 'warn' : 'info');
	t.deepEqual(
		recorded.filter(([name]) => name === 'without_run').map(([, ms]) => Math.round(ms)),
		[withoutRunMs],
	);
	t.snapshot(untimed([resumed]));
	owner.dispatcher.close();
});

test('the metrics show the times without a run, and how many were too long', async (t) => {
	const registry = metrics.Metrics.create();
	const environment = endlessEnvironment();
	const { clock, fleet } = environment;
	const box: Pick<boxes.Box, 'recordTime' | 'recordForecastError'> = {
		recordTime: () => undefined,
		recordForecastError: () => undefined,
	};
	environment.recordTime = (name, ms) => {
		box.recordTime(name, ms);
	};
	const owner = await startOnW1(environment, []);
	boxMetrics.collectMetrics(registry, box, owner.events);
	takeDown(environment, 'w1');
	await clock.advance(14_000);
	t.is(registry.get('resumed_late'), 0);
	fleet.add('w2');
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	await clock.advance(2_000);
	t.is(registry.get('resumed_late'), 1);
	t.is(registry.get('event_task_resumed'), 1);
	t.true(registry.text().includes('woodcross_without_run_ms_count 1\n'));
	owner.dispatcher.close();
});

test('a takeover: the restart tells that the time before it is not known, and the wait that long-running tasks wait', async (t) => {
	const environment = endlessEnvironment();
	const { clock, fleet, takeOver } = environment;
	const first = await startOnW1(environment, ['w2']);
	takeDown(environment, 'w1');
	first.dispatcher.close();
	const tookOverAt = clock.now();
	const second = await takeOver();
	await clock.advance(15_000);
	const [resumed, ...further] = eventsOf(second, 'task.resumed');
	if (resumed === undefined) throw new Error('no event');
	t.deepEqual(further, []);
	const trueMs = (fleet.starts.at(-1)?.at ?? NaN) - tookOverAt;
	t.true(Math.abs(numberOf(resumed, 'withoutRunMs') - trueMs) <= 60);
	t.is(numberOf(resumed, 'withoutRunMs') > maxWithoutRunMs, resumed.level === 'warn');
	t.is(numberOf(resumed, 'withoutRunMs') > maxWithoutRunMs, resumed.fields.overMs !== undefined);
	const waiting = eventsOf(second, 'takeover.waiting');
	t.true(waiting.length >= 3);
	for (const event of waiting) t.is(event.fields.longRunning, 1);
	// Whether the time is over the bound depends on the length of leases.
	const unrated: events.LoggedEvent = {
		...resumed,
		level: 'info',
		fields: { ...resumed.fields, overMs: undefined },
	};
	t.snapshot(untimed([unrated, ...waiting.slice(0, 1)]));
	second.dispatcher.close();
});

test('a takeover: where it is known when the previous owner was last heard, the time without a run begins there', async (t) => {
	const environment = endlessEnvironment();
	const { clock, fleet, takeOver } = environment;
	const first = await startOnW1(environment, ['w2']);
	const ownerlessMs = maxWithoutRunMs + 1_000;
	const heardAt = clock.now();
	environment.previousOwnerHeardAt = heardAt;
	takeDown(environment, 'w1');
	first.dispatcher.close();
	await clock.advance(ownerlessMs);
	const second = await takeOver();
	await clock.advance(15_000);
	const [resumed] = eventsOf(second, 'task.resumed');
	if (resumed === undefined) throw new Error('no event');
	const trueMs = (fleet.starts.at(-1)?.at ?? NaN) - heardAt;
	t.true(Math.abs(numberOf(resumed, 'withoutRunMs') - trueMs) <= 10);
	t.true(Math.abs(phasesMs(resumed) - trueMs) <= 10);
	t.true(Math.abs(numberOf(resumed, 'ownerMs') - ownerlessMs) <= 60);
	t.is(resumed.level, 'warn');
	const missing = eventsOf(second, 'task.without-run');
	t.true(missing.length >= 1);
	for (const event of missing) t.true(numberOf(event, 'withoutRunMs') > maxWithoutRunMs);
	t.snapshot(untimed([resumed, ...missing.slice(0, 1)]));
	second.dispatcher.close();
});

test('waiting for capacity: the lines name what is missing, every few seconds, and the restart the time of it', async (t) => {
	const environment = endlessEnvironment();
	const { clock, fleet, submit } = environment;
	const owner = await startOnW1(environment, ['w2'], { milliCores: 20_000 });
	await submit(owner, fixtures.job('job2', [fixtures.step({ ...lasting, milliCores: 20_000 })]));
	await clock.advance(5_000);
	t.is(fleet.workers.get('w2')?.running.size, 1);
	takeDown(environment, 'w1');
	await clock.advance(19_000);
	const missing = eventsOf(owner, 'task.without-run');
	t.true(missing.length >= 3);
	for (const [index, event] of missing.entries()) {
		t.true(numberOf(event, 'withoutRunMs') > maxWithoutRunMs);
		const passedMs = numberOf(event, 'withoutRunMs') - numberOf(missing[0] ?? event, 'withoutRunMs');
		t.true(Math.abs(passedMs - index * withoutRunLogIntervalMs) <= 100);
	}
	t.deepEqual(eventsOf(owner, 'task.resumed'), []);
	const addedAt = clock.now();
	fleet.add('w3');
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	await clock.advance(3_000);
	const [resumed] = eventsOf(owner, 'task.resumed');
	if (resumed === undefined) throw new Error('no event');
	t.true(numberOf(resumed, 'capacityMs') > numberOf(resumed, 'leaseMs'));
	t.true(numberOf(resumed, 'withoutRunMs') > 19_000);
	t.true((fleet.starts.at(-1)?.at ?? 0) > addedAt);
	const linesBefore = eventsOf(owner, 'task.without-run').length;
	await clock.advance(7_000);
	t.is(eventsOf(owner, 'task.without-run').length, linesBefore);
	t.snapshot(untimed([...missing.slice(0, 2), resumed]));
	owner.dispatcher.close();
});

test('a lease that is over while the store refuses calls: the lines say that the epoch is not confirmed', async (t) => {
	const environment = endlessEnvironment();
	const { clock, fleet, takeOver, submit } = environment;
	let isStoreDown = false;
	fleet.add('w1');
	const owner = await takeOver(undefined, () => (isStoreDown ? 'down' : 'none'));
	await submit(owner, fixtures.job('job1', [fixtures.step(lasting)]));
	await clock.advance(1_500);
	isStoreDown = true;
	takeDown(environment, 'w1');
	await clock.advance(14_000);
	const missing = eventsOf(owner, 'task.without-run');
	t.true(missing.length >= 1);
	t.snapshot(untimed(missing.slice(-1)));
	owner.dispatcher.close();
});

test('a run that exits is followed by another: the time without a run begins with the report of the exit', async (t) => {
	const environment = fixtures.createEnvironment((_task, run) =>
		run === 1 ? { ms: 2_000, how: 'failed' } : { ms: 'endless', how: 'done' },
	);
	const { clock, fleet, takeOver, submit } = environment;
	fleet.add('w1');
	const owner = await takeOver();
	await submit(owner, fixtures.job('job1', [fixtures.step(lasting)]));
	await clock.advance(5_000);
	t.is(fleet.starts.length, 2);
	t.snapshot(untimed(eventsOf(owner, 'task.resumed')));
	owner.dispatcher.close();
});

test('runs that a successor finds, and first runs, are not restarts', async (t) => {
	const environment = endlessEnvironment();
	const { clock, takeOver, submit, fleet } = environment;
	const first = await startOnW1(environment, ['w2']);
	first.dispatcher.close();
	const second = await takeOver();
	await clock.advance(1_000);
	await submit(second, fixtures.job('job2', [fixtures.step(lasting)]));
	await clock.advance(15_000);
	t.is(fleet.starts.length, 2);
	for (const owner of [first, second]) {
		t.deepEqual(eventsOf(owner, 'task.resumed'), []);
		t.deepEqual(eventsOf(owner, 'task.without-run'), []);
	}
	second.dispatcher.close();
});

test('a task whose job is cancelled while it has no run is not told of any more', async (t) => {
	const environment = endlessEnvironment();
	const { clock } = environment;
	const owner = await startOnW1(environment, []);
	takeDown(environment, 'w1');
	await clock.advance(14_000);
	const linesBefore = eventsOf(owner, 'task.without-run').length;
	t.true(linesBefore >= 1);
	owner.dispatcher.cancelJob('job1');
	await clock.advance(7_000);
	t.is(eventsOf(owner, 'task.without-run').length, linesBefore);
	owner.dispatcher.close();
});

test('a check tells of at most eight tasks, those without a run for the longest time first', (t) => {
	const clock = time.VirtualClock.create();
	const log = events.EventLog.create('test', clock);
	const record = fixtures.job('job1', [fixtures.step({ ...lasting, count: 30 })]);
	const tasks = tasksOf(record);
	const lastRunAt = (index: number): number => clock.now() - 10_000 - ((index * 7) % 30);
	const gaps = tasks.map((task, index) => ({ task, lastRunAt: lastRunAt(index), source: 'answer' }));
	const withoutRun = withoutRunLog.WithoutRunLog.create({
		clock,
		events: log,
		gaps: { open: () => gaps, has: () => true } as unknown as runGaps.RunGaps,
		maxWithoutRunMs,
		sessionOf: () => undefined,
		worker: () => undefined,
		explain: () => ({ reason: 'no-room' }),
	});
	withoutRun.logIfDue();
	withoutRun.logIfDue();
	const times = log.select(() => true).map((event) => event.fields.withoutRunMs);
	t.deepEqual(times, [10_029, 10_028, 10_027, 10_026, 10_025, 10_024, 10_023, 10_022]);
	t.true(log.select(() => true).every((event) => event.fields.tasks === 30));
});

test('a start in vain between two runs belongs to the one time without a run', async (t) => {
	const clock = time.VirtualClock.create();
	const log = events.EventLog.create('test', clock);
	const [task] = tasksOf(fixtures.job('job1', [fixtures.step(lasting)]));
	if (task === undefined) throw new Error('no task');
	const gaps = runGaps.RunGaps.create({
		clock,
		events: log,
		maxWithoutRunMs,
		mayHaveUnreportedRun: () => false,
	});
	const placement = (run: number): types.Placement => ({
		...placements.create(task, run, 'starting', clock.now()),
		startSentAt: clock.now(),
	});
	const first = placement(1);
	const lastAnsweredAt = clock.now();
	await clock.advance(40);
	task.state = 'placed';
	gaps.noteLost({ id: 'w1', lastAnsweredAt }, [first]);
	task.state = 'ready';
	await clock.advance(10);
	const inVain = placement(2);
	task.state = 'placed';
	await clock.advance(20);
	gaps.noteLost({ id: 'w2', lastAnsweredAt: clock.now() }, [inVain]);
	task.state = 'ready';
	await clock.advance(5);
	const last = placement(3);
	task.worker = 'w3';
	await clock.advance(3);
	gaps.noteStarted(last);
	gaps.noteStarted(last);
	t.snapshot(log.select(() => true).map(({ name, level, fields }) => ({ name, level, fields })));
});

/** The tasks of a job that this owner accepted. */
function tasksOf(record: jobs.JobRecord): jobs.Task[] {
	const opts = { cancelled: false, inherited: false, workersStored: true, now: 0, age: 0 };
	return jobs.ActiveJob.create(record, undefined, opts).openNextOccurrence(0);
}
