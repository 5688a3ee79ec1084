/** The forecast of waits, its message, and the decision on a job by it. */
import test from 'ava';
import * as admission from '../src/core/admission/index.js';
import * as events from '../src/core/events/index.js';
import * as forecasts from '../src/core/forecast/index.js';
import * as publishers from '../src/core/box/forecast-publisher.js';
import * as received from '../src/core/box/received-forecast.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as wire from '../src/core/wire/frame.js';
import * as service from '../src/core/box/job-service.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as jobs from '../src/core/jobs/index.js';

const wideQueue: jobs.QueuePolicy = {
	...fixtures.queue,
	name: 'wide',
	priority: 2,
	stretch: 2,
	objectiveMs: 1_000,
};

/** Ten tasks of ten cores, each for a second. */
const work: forecasts.StepWork = {
	kind: 'reserved',
	pool: 'press',
	priority: 0,
	queue: 'proofs',
	dueInMs: 20_000,
	tasks: 10,
	cores: 10,
	runMs: 1_000,
	readyInMs: 0,
	after: [],
};

function snapshot(more: Partial<forecasts.WorkSnapshot>): forecasts.WorkSnapshot {
	const capacity = (['reserved', 'preemptible'] as const).map((kind) => ({
		kind,
		pool: 'press',
		cores: 100,
	}));
	return { known: true, work: [], running: [], capacity, ...more };
}

function waits(more: Partial<forecasts.WorkSnapshot>, hasShares = false): forecasts.OwnerForecast['classes'] {
	return forecasts.forecastWaits(snapshot(more), 0, hasShares).classes;
}

const forecast: forecasts.Forecast = {
	generation: 3,
	known: true,
	classes: [{ kind: 'preemptible', priority: 2, cores: 1_000, points: [[20_000, 6_000]], lateWaitMs: 9_000 }],
	factors: [['print', 2]],
};

test('work waits for what comes before it: by priority, then by due time, in its own kind and pool only', (t) => {
	t.deepEqual(waits({}), []);
	const later = { ...work, dueInMs: 30_000 };
	const [found, ...others] = waits({ work: [work, later, { ...later }] });
	t.is(others.length, 0);
	// Three rounds of a second: what is due before the first one is placed at once, what is due last after all.
	t.deepEqual(found?.points, [
		[20_000, 0],
		[30_000, 1_000],
		[30_001, 3_000],
	]);
	const low = { ...work, priority: 2 };
	const byPriority = waits({ work: [work, low] });
	t.deepEqual(
		byPriority.map((one) => [one.priority, one.points.at(-1)?.[1]]),
		[
			[0, 1_000],
			[2, 2_000],
		],
	);
	const elsewhere = { ...work, pool: 'other' };
	t.deepEqual(waits({ work: [elsewhere] }), [], 'a pool without known cores has no forecast');
});

test('running tasks hold their cores until they end, and later steps wait for the earlier ones', (t) => {
	const running = { kind: 'reserved' as const, pool: 'press', priority: 0, cores: 100, leftMs: 700 };
	t.is(waits({ work: [work], running: [running] })[0]?.points.at(-1)?.[1], 1_700);
	const next = { ...work, after: [0] };
	const other = { ...work, dueInMs: 40_000 };
	// Without the chain the next step, due earlier, would be placed before the other one.
	t.is(waits({ work: [work, next, other] })[0]?.points.find(([due]) => due === 40_000)?.[1], 1_000);
});

test('a step waits for earlier ones of the other kind', (t) => {
	const preemptible = { ...work, kind: 'preemptible' as const };
	const due = (found: forecasts.ClassForecast | undefined, dueInMs: number): number | undefined =>
		found?.points.find(([at]) => at === dueInMs)?.[1];
	const next = { ...preemptible, after: [0] };
	const other = { ...preemptible, dueInMs: 40_000 };
	// The preemptible cores are idle until the reserved step ends, so the other step is placed at once.
	const after = waits({ work: [work, next, other] }).find((one) => one.kind === 'preemptible');
	t.is(due(after, 40_000), 0);
	const reservedNext = { ...work, after: [0] };
	const reservedOther = { ...work, dueInMs: 40_000 };
	const before = waits({ work: [preemptible, reservedNext, reservedOther] });
	t.is(
		due(
			before.find((one) => one.kind === 'reserved'),
			40_000,
		),
		0,
	);
});

test('late work waits behind work that is on time, and a queue for no more than its own work by its share', (t) => {
	const late = { ...work, dueInMs: -1 };
	const [found] = waits({ work: [late, work, { ...work }] });
	t.is(found?.lateWaitMs, 3_000);
	t.is(found?.points.at(-1)?.[1], 2_000);
	const small = { ...work, queue: 'small', tasks: 1 };
	const [shared] = waits({ work: [...Array.from({ length: 9 }, () => ({ ...work })), small] }, true);
	t.deepEqual(shared?.queues, [
		['proofs', 18_000],
		['small', 200],
	]);
});

test('the message has at most 600 bytes, and is decoded as it was sent', (t) => {
	const steps = Array.from({ length: 400 }, (_, index) => ({
		...work,
		kind: index % 2 === 0 ? ('reserved' as const) : ('preemptible' as const),
		priority: index % 3,
		dueInMs: 100 * index,
	}));
	const factors = Object.fromEntries(
		Array.from({ length: 60 }, (_, index) => [`image name-${String(index)}`, 1.3 + index / 100]),
	);
	const whole = forecasts.forecastWaits(snapshot({ work: steps }), 0, false);
	const { message: made } = forecasts.toMessage(whole, 7, factors);
	const bytes = wire.encodeValue(made);
	t.true(bytes.length <= forecasts.maxMessageBytes);
	t.deepEqual(
		made.classes.map((one) => one.points.length > 0),
		Array.from({ length: 6 }, () => true),
	);
	const decoded = wire.decodeValue(bytes);
	t.deepEqual(decoded.ok && forecasts.parseForecast(decoded.value), { ok: true, value: made });
});

/** Checks that boxes accept a message as it is sent. */
function isAccepted(made: forecasts.Forecast): boolean {
	const decoded = wire.decodeValue(wire.encodeValue(made));
	return decoded.ok && forecasts.parseForecast(decoded.value).ok;
}

const [knownClass] = forecast.classes;

/** An owner's forecast with these classes, in several pools or in one. */
function ownerForecast(
	classes: Partial<forecasts.ClassForecast>[],
	pools: string[] = ['press'],
): forecasts.OwnerForecast {
	if (knownClass === undefined) throw new Error('no class');
	const free = pools.map((pool) => ({ kind: 'preemptible' as const, pool, coreMs: [] }));
	return {
		at: 0,
		known: true,
		classes: classes.map((one) => ({ ...knownClass, pool: 'press', ...one })),
		free,
	};
}

test('the message leaves out what boxes would reject, and keeps the rest', (t) => {
	const long = 'x'.repeat(201);
	const factors = { [`image ${long}`]: 2, 'image print': 2 };
	const classes = [
		{ priority: 0.5 },
		{ priority: -1 },
		{ priority: 1_001 },
		{ priority: 1, queues: [[long, 100] as const] },
		{ priority: 2, lateWaitMs: 105_600_000, queues: [['wide', 105_600_000] as const] },
		{ priority: 3, points: [[1, 105_600_000] as const] },
	];
	const { message, reduction } = forecasts.toMessage(ownerForecast(classes), 7, factors);
	t.true(isAccepted(message));
	t.true(message.known);
	t.deepEqual(message.factors, [['print', 2]]);
	t.deepEqual(
		message.classes.map((one) => [one.priority, one.lateWaitMs, one.queues]),
		[
			[1, 9_000, undefined],
			[2, 3_600_000, [['wide', 3_600_000]]],
			[3, 9_000, undefined],
		],
	);
	t.deepEqual(message.classes.at(-1)?.points, [[1, 3_600_000]]);
	t.deepEqual(reduction, { withoutQueues: 1, droppedClasses: 0, invalidClasses: 3 });
	const inPools = ownerForecast([{ pool: long }, {}], [long, 'press']);
	const named = forecasts.toMessage(inPools, 7, {}).message;
	t.true(isAccepted(named));
	t.deepEqual(
		named.classes.map((one) => one.pool),
		['press'],
	);
});

test('a message that is too large loses the waits by queue, then the classes with the shortest waits', (t) => {
	const pools = ['north', 'south', 'east', 'west'];
	const queues = ['a', 'b', 'c', 'd'].map((queue) => [`queue-${queue}`, 5_000] as const);
	const classesOf = (count: number): Partial<forecasts.ClassForecast>[] =>
		pools.slice(0, 3).flatMap((pool) =>
			Array.from({ length: count }, (_, priority) => ({
				pool,
				priority,
				queues,
				lateWaitMs: 1_000 * (priority + 1),
				points: [[1_000, 500] as const],
			})),
		);
	const some = forecasts.toMessage(ownerForecast(classesOf(2), pools), 7, {});
	t.true(isAccepted(some.message));
	t.is(some.message.classes.length, 6);
	t.deepEqual(some.reduction, { withoutQueues: 6, droppedClasses: 0, invalidClasses: 0 });
	const many = forecasts.toMessage(ownerForecast(classesOf(8), pools), 7, {});
	t.true(wire.encodeValue(many.message).length <= forecasts.maxMessageBytes);
	t.true(many.message.known);
	t.true(many.reduction.droppedClasses > 0 && many.message.classes.length > 0);
	t.is(many.reduction.droppedClasses + many.message.classes.length, 24);
	const shortest = Math.min(...many.message.classes.map((one) => one.lateWaitMs));
	t.true(shortest >= 5_000, `${String(shortest)} ms`);
});

test('what is left out of the message is logged, at most once in 10 s', async (t) => {
	const clock = time.VirtualClock.create();
	const log = events.EventLog.create('entry-1', clock);
	const whole = ownerForecast([{ priority: 0.5 }, {}]);
	const publisher = publishers.ForecastPublisher.create({
		clock,
		events: log,
		epoch: 7,
		forecaster: { update: () => whole, reducedMessage: () => forecasts.toMessage(whole, 7, {}) },
	});
	await clock.advance(9_900);
	const lines = (): unknown[] =>
		log.select((event) => event.name === 'forecast.reduced').map((event) => event.fields);
	t.deepEqual(lines(), [{ epoch: 7, withoutQueues: 0, droppedClasses: 0, invalidClasses: 1 }]);
	await clock.advance(1_000);
	t.is(lines().length, 2);
	publisher.close();
});

test('an object in place of a value is rejected, whatever members it has', (t) => {
	t.deepEqual(forecasts.parseForecast({ ...forecast, generation: { toString: 1 } }), {
		ok: false,
		err: { field: 'generation', value: 'an object' },
	});
});

test('a forecast with a wrong field is rejected as a whole, and the previous one is used until it is too old', async (t) => {
	const clock = time.VirtualClock.create();
	const log = events.EventLog.create('entry-1', clock);
	const box = received.ReceivedForecast.create(() => clock.now(), log);
	box.note(forecast);
	await clock.advance(1_000);
	const [known] = forecast.classes;
	const wrong: [string, unknown][] = [
		['classes.0.points.0.1', { ...forecast, classes: [{ ...known, points: [[1, -1]] }] }],
		['classes.0.points.0.1', { ...forecast, classes: [{ ...known, points: [[1, Infinity]] }] }],
		['classes.0.points.0.1', { ...forecast, classes: [{ ...known, points: [[1, 3_600_001]] }] }],
		['classes.0.lateWaitMs', { ...forecast, classes: [{ ...known, lateWaitMs: NaN }] }],
		['classes.0.kind', { ...forecast, classes: [{ ...known, kind: 'other' }] }],
		['classes.0.priority', { ...forecast, classes: [{ ...known, priority: -1 }] }],
		['factors.0.1', { ...forecast, factors: [['print', 0]] }],
		['generation', { ...forecast, generation: '3' }],
		['', 'no forecast'],
	];
	for (const [, value] of wrong) box.note(value);
	t.deepEqual(
		log.select((event) => event.name === 'forecast.rejected').map((event) => event.fields.field),
		wrong.map(([field]) => field),
	);
	box.note({ ...forecast, generation: 2, classes: [] });
	box.note(undefined);
	t.deepEqual(box.current, { forecast, ageMs: 1_000 });
	await clock.advance(4_000);
	t.is(box.current, undefined);
	box.note({ ...forecast, generation: 1e12 });
	await clock.advance(4_999);
	box.note({ ...forecast, generation: 4 });
	t.is(box.current?.ageMs, 4_999);
	await clock.advance(1);
	box.note({ ...forecast, generation: 4 });
	t.is(box.current?.ageMs, 0, 'a wrong generation does not keep out later forecasts for good');
});

test('a job is judged by its own chain: corrected run times, waits of its class, waves of a wide step', (t) => {
	const step = fixtures.step({
		count: 40,
		milliCores: 7_000,
		estimateMs: 1_000,
		fills: true,
		image: 'print',
	});
	const record = fixtures.job('a', [step, { ...step, after: [0] }], { queue: wideQueue });
	const decide = (more: Partial<forecasts.Forecast>, job = record, ageMs = 100): admission.Verdict =>
		admission.decideByForecast(job, { forecast: { ...forecast, ...more }, ageMs });
	// 6,000 ms of waiting and two steps of twice their estimate: late, but of value until 15,000 ms.
	t.deepEqual(decide({}), { type: 'admit', forecast: { waitMs: 9_000, finishMs: 13_000, ageMs: 100 } });
	const [known] = forecast.classes;
	if (known === undefined) throw new Error('no class');
	// Twice the cores of its class: every step takes two waves.
	t.like(decide({ classes: [{ ...known, cores: 140 }] }), { forecast: { finishMs: 17_000 } });
	t.like(decide({ classes: [{ ...known, lateWaitMs: 10_001 }] }), { type: 'refuse', cause: 'long-wait' });
	const slow = { factors: [['print', 9]] as const };
	t.like(decide(slow), {
		type: 'refuse',
		cause: 'too-late',
		limitMs: 22_500,
		worthlessMs: 15_000,
		forecast: { finishMs: 27_000 },
	});
	for (const open of [
		decide({ ...slow, known: false }),
		decide(slow, record, 5_000),
		admission.decideByForecast(record, undefined),
	])
		t.deepEqual(open, { type: 'admit' });
	const urgent = { ...record, queue: { ...wideQueue, priority: 0 } };
	t.like(decide({ classes: [{ ...known, lateWaitMs: 10_001 }] }, urgent), {
		type: 'admit',
		forecast: { waitMs: 0 },
	});
	const planned = { ...record, schedule: { times: 1, firstAt: 60_000, intervalMs: 0 } };
	t.like(decide({ classes: [{ ...known, lateWaitMs: 10_001 }] }, planned), { forecast: { waitMs: 0 } });
	const serving = { ...record, steps: [{ ...step, lasting: true }] };
	t.deepEqual(decide(slow, serving), { type: 'admit' });
	const limited = [{ ...known, lateWaitMs: 10_001, queues: [['proofs', 20_000]] as const }];
	t.like(decide({ classes: limited }), { type: 'admit', forecast: { waitMs: 0 } });
});

test('a queue without work of its own waits for the classes before its own', (t) => {
	const [known] = forecast.classes;
	if (known === undefined) throw new Error('no class');
	const step = fixtures.step({ estimateMs: 1_000, fills: true });
	const record = fixtures.job('a', [step], { queue: wideQueue });
	const first = { ...known, priority: 1, lateWaitMs: 14_000 };
	const own = { ...known, lateWaitMs: 20_000, queues: [['other', 18_000]] as const };
	const decide = (classes: forecasts.ClassForecast[]): admission.Verdict =>
		admission.decideByForecast(record, { forecast: { ...forecast, classes }, ageMs: 0 });
	t.like(decide([first, own]), { type: 'refuse', waitMs: 14_000 });
	t.like(decide([own]), { type: 'admit', forecast: { waitMs: 0 } });
});

test('a scheduled job is due after its planned time', (t) => {
	const [known] = forecast.classes;
	if (known === undefined) throw new Error('no class');
	const points = [
		[4_000, 0],
		[8_000, 9_000],
	] as const;
	const aged = { forecast: { ...forecast, classes: [{ ...known, points }] }, ageMs: 0 };
	const record = fixtures.job('a', [fixtures.step({ estimateMs: 1_000, fills: true })], { queue: wideQueue });
	t.is(admission.forecastJob(record, aged).waitMs, 0);
	const schedule = { times: 1, firstAt: 5_000, intervalMs: 0 };
	// Due 8,000 ms from now, it is placed after 9,000 ms, which is 4,000 ms after its planned time.
	t.is(admission.forecastJob({ ...record, schedule }, aged).waitMs, 4_000);
});

test('a refusal names the time after which the job is of no value', (t) => {
	const reason = service.refusalReason({
		type: 'refuse',
		cause: 'too-late',
		waitMs: 6_000,
		limitMs: 22_500,
		worthlessMs: 15_000,
		forecast: { waitMs: 6_000, finishMs: 27_000, ageMs: 100 },
	});
	t.is(reason, 'the job would finish after 27000 ms, and is of no value after 15000 ms');
});
