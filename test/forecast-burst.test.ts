/**
 * The bookings' burst in memory: wide jobs at 2.6 times their rate for 6.8 s, then urgent ones at 1.8 times for 3 s. Guards
 * against forecasts that are wrong in a burst, and against work that waits long after it.
 */
import test from 'ava';
import * as admission from '../src/core/admission/index.js';
import * as errors from '../src/core/dispatch/forecast-errors.js';
import * as features from '../src/core/features/index.js';
import * as random from '../dev/random.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as jobs from '../src/core/jobs/index.js';

const workerCount = 245;
const workerMilliCores = 64_000;
const seed = 505;

/** Times of the load, in milliseconds from its beginning. */
const wideBurst = { fromMs: 3_000, untilMs: 9_800 };
const urgentBurst = { fromMs: 13_000, untilMs: 16_000 };
const urgentFactor = 1.8;
const loadMs = 20_000;
const forecastIntervalMs = 500;

const queue = (name: string, priority: number, stretch: number, objectiveMs: number): jobs.QueuePolicy => ({
	...fixtures.queue,
	name,
	priority,
	stretch,
	objectiveMs,
});
const urgentQueue = queue('urgent', 0, 1.5, 251);
const wideQueue = queue('wide', 2, 2, 1_001);
const servingQueue = queue('serving', 0, 2.2, 2_501);

interface Arrival {
	atMs: number;
	record: jobs.JobRecord;
}

/** Arrivals of one queue, evenly spread by half an interval. */
function createArrivals(
	policy: jobs.QueuePolicy,
	perS: number,
	burst: typeof wideBurst,
	factor: number,
	steps: (index: number, next: () => number) => jobs.StepSpec[],
): Arrival[] {
	const next = random.seededRandom(seed + policy.priority);
	const arrivals: Arrival[] = [];
	for (let atMs = 0; atMs < loadMs;) {
		const isBurst = atMs >= burst.fromMs && atMs < burst.untilMs;
		const index = arrivals.length;
		const id = `${policy.name}-${String(index)}`;
		arrivals.push({ atMs, record: fixtures.job(id, steps(index, next), { queue: policy }) });
		atMs += ((0.5 + next()) * 1_000) / (perS * (isBurst ? factor : 1));
	}
	return arrivals;
}

const urgentStep = fixtures.step({ count: 10, milliCores: 7_300, memoryMb: 500, estimateMs: 1_000 });
const wideStep = fixtures.step({
	count: 20,
	milliCores: 7_000,
	memoryMb: 500,
	estimateMs: 2_200,
	fills: true,
	checkpoints: true,
});
const servingStep = fixtures.step({
	count: 14,
	milliCores: 13_000,
	memoryMb: 500,
	lasting: true,
	targetMs: 150,
	image: 'serving',
});

/** All arrivals, with wide jobs at `wideFactor` times their rate in the burst. */
function createLoad(wideFactor: number): Arrival[] {
	const wide = createArrivals(wideQueue, 11, wideBurst, wideFactor, (index) => {
		const step = { ...wideStep, image: `wide-${String(index % 20)}` };
		return [step, { ...step, after: [0] }];
	});
	const urgent = createArrivals(urgentQueue, 8.25, urgentBurst, urgentFactor, (_index, next) =>
		next() < 0.6 ? [urgentStep, { ...urgentStep, after: [0] }] : [urgentStep],
	);
	return [...wide, ...urgent].sort((a, b) => a.atMs - b.atMs);
}

/** Run times have a spread of a half, and depend on nothing but the task. */
function planOf(task: string): { ms: number | 'endless'; how: 'done'; reading: number } {
	if (task.startsWith('serving')) return { ms: 'endless', how: 'done', reading: 60 };
	const meanMs = task.startsWith('wide') ? wideStep.estimateMs : urgentStep.estimateMs;
	const part = (random.hash(task) % 1_000) / 1_000;
	return { ms: meanMs * (0.5 + part), how: 'done', reading: 3_000 };
}

interface Accepted {
	record: jobs.JobRecord;
	atMs: number;
	forecastMs: number;
}

/** Time from acceptance until the last task of the first step was placed. */
function realWaitMs(placedAt: Map<string, number>, { record, atMs }: Accepted): number {
	const tasks = Array.from(
		{ length: record.steps[0]?.count ?? 0 },
		(_, index) => `${record.id}.0.0.${String(index)}`,
	);
	return Math.max(...tasks.map((task) => placedAt.get(task) ?? Infinity)) - atMs;
}

function quantile(values: number[], part: number): number {
	return [...values].sort((a, b) => a - b)[Math.floor(values.length * part)] ?? 0;
}

interface Replay {
	/** Forecast and real waits of the jobs accepted from the burst's second second on, in milliseconds. */
	waits: { forecastMs: number; realMs: number }[];
	refused: number;
	/** Waits of urgent tasks for a worker, in milliseconds. */
	urgentWaits: number[];
	/** Short tasks that wait ten seconds after the load. */
	waitingAtEnd: number;
}

/** Plays the load at one owner, with each job decided on as a box would. */
async function replay(wideFactor: number): Promise<Replay> {
	const environment = fixtures.createEnvironment(planOf);
	environment.features = { ...features.defaultFeatures, admission: 'forecast' };
	const { clock, fleet, takeOver } = environment;
	const capacity = { milliCores: workerMilliCores, memoryMb: 256_000, accelerators: 0 };
	for (let number = 1; number <= workerCount; number += 1) fleet.add(`w${String(number)}`, { capacity });
	const owner = await takeOver();
	await clock.advance(500);
	const placedAt = new Map<string, number>();
	const urgentWaits: number[] = [];
	owner.events.observe(({ name, fields }) => {
		if (name !== 'task.placed' || typeof fields.task !== 'string') return;
		if (!placedAt.has(fields.task)) placedAt.set(fields.task, clock.now());
		if (fields.task.startsWith('urgent')) urgentWaits.push(Number(fields.waitedMs));
	});
	const addJob = (record: jobs.JobRecord): jobs.JobRecord => {
		const accepted = { ...record, acceptedAt: clock.wall(), acceptedUnder: owner.ledger.generation };
		owner.dispatcher.addJob(accepted);
		return accepted;
	};
	for (let index = 0; index < 82; index += 1)
		addJob(fixtures.job(`serving-${String(index)}`, [servingStep], { queue: servingQueue }));
	await clock.advance(3_000);
	const { forecaster } = owner.dispatcher;
	const startedAt = clock.now();
	const accepted: Accepted[] = [];
	let refused = 0;
	let forecastAt = -Infinity;
	const advanceTo = async (atMs: number): Promise<void> => {
		while (forecastAt + forecastIntervalMs <= startedAt + atMs) {
			await clock.advance(Math.max(0, forecastAt + forecastIntervalMs - clock.now()));
			forecaster.update();
			forecastAt = clock.now();
		}
		await clock.advance(Math.max(0, startedAt + atMs - clock.now()));
	};
	for (const { atMs, record } of createLoad(wideFactor)) {
		await advanceTo(atMs);
		const forecast = forecaster.message();
		const aged = forecast && { forecast, ageMs: clock.now() - forecastAt };
		const verdict = admission.decideByForecast({ ...record, acceptedAt: clock.wall() }, aged);
		if (verdict.type === 'refuse') refused += 1;
		else
			accepted.push({ record: addJob(record), atMs: clock.now(), forecastMs: verdict.forecast?.waitMs ?? 0 });
	}
	await advanceTo(loadMs + 10_000);
	const waitingAtEnd = owner.dispatcher.load().waitingShort;
	owner.dispatcher.close();
	const waits = accepted
		.filter(({ atMs }) => atMs - startedAt >= wideBurst.fromMs + 1_000)
		.map((one) => ({ forecastMs: one.forecastMs, realMs: realWaitMs(placedAt, one) }));
	return { waits, refused, urgentWaits, waitingAtEnd };
}

test('in a burst the forecast is close to the real waits, and nothing waits 10 s after the load', async (t) => {
	const { waits, refused, urgentWaits, waitingAtEnd } = await replay(2.6);
	const ratios = waits.map((one) => errors.errorRatio(one.forecastMs, one.realMs));
	const close = ratios.filter((ratio) => ratio >= 1 / 1.5 && ratio <= 1.5).length;
	const urgentP99 = quantile(urgentWaits, 0.99);
	t.log(`${String(close)} of ${String(ratios.length)} close, urgent p99 ${String(urgentP99)} ms`);
	t.true(close >= 0.9 * ratios.length);
	t.is(refused, 0);
	t.is(waitingAtEnd, 0);
	t.true(urgentP99 < 1_000);
});

test('in a burst of five times the usual rate jobs are refused, and none accepted waits for more than 10 s', async (t) => {
	const { waits, refused, waitingAtEnd } = await replay(5);
	const longestMs = Math.max(...waits.map((one) => one.realMs));
	t.log(`${String(refused)} refused, the others waited for up to ${String(Math.round(longestMs))} ms`);
	t.true(refused > 0 && refused < 100);
	t.true(longestMs <= admission.maxWaitMs);
	t.is(waitingAtEnd, 0);
});
