/** The forecast of an owner: what it learns from runs, what a new owner knows at once, and how it reaches the other boxes. */
import test from 'ava';
import * as errors from '../src/core/dispatch/forecast-errors.js';
import * as features from '../src/core/features/index.js';
import * as jobs from '../src/core/jobs/index.js';
import * as metrics from '../src/core/metrics/index.js';
import * as publishers from '../src/core/box/forecast-publisher.js';
import * as fixtures from './fixtures/dispatching.js';
import * as realBoxes from './fixtures/real-boxes.js';

const wideQueue = { ...fixtures.queue, name: 'wide', priority: 2, stretch: 10, objectiveMs: 1_000 };

/** Forty workers with 320 cores. */
function createEnvironment(runMs: number): fixtures.TestEnvironment {
	const environment = fixtures.createEnvironment(() => ({ ms: runMs, how: 'done' }));
	environment.features = { ...features.defaultFeatures, admission: 'forecast' };
	const capacity = { milliCores: 8_000, memoryMb: 64_000, accelerators: 0 };
	for (let number = 1; number <= 40; number += 1) environment.fleet.add(`w${String(number)}`, { capacity });
	return environment;
}

const step = fixtures.step({ count: 80, milliCores: 4_000, estimateMs: 500, image: 'print' });

test('run times are learned from whole runs at full pace, and reported where they are far off', async (t) => {
	const { clock, takeOver, submit } = createEnvironment(1_000);
	const owner = await takeOver();
	await clock.advance(500);
	const { forecaster } = owner.dispatcher;
	t.is(forecaster.message(), undefined);
	await submit(owner, fixtures.job('job1', [step]));
	await clock.advance(2_500);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	const expectedMs = forecaster.runTimes.expectedMs('proofs', step);
	t.true(expectedMs > 950 && expectedMs < 1_100, `${String(expectedMs)} ms`);
	forecaster.update();
	const factors = forecaster.message()?.factors;
	t.is(factors?.[0]?.[0], 'print');
	owner.dispatcher.close();
});

test('an owner that took over in a burst has a forecast before any worker has answered it', async (t) => {
	const { clock, takeOver, submit } = createEnvironment(1_000);
	const first = await takeOver();
	await clock.advance(500);
	const wide = { ...step, estimateMs: 1_000 };
	for (let index = 0; index < 10; index += 1)
		await submit(first, fixtures.job(`job${String(index)}`, [wide], { queue: wideQueue }));
	await clock.advance(400);
	const longestMs = (owner: fixtures.TestOwner): number => {
		const forecast = owner.dispatcher.forecaster.update();
		t.true(forecast.known);
		return forecast.classes[0]?.points.at(-1)?.[1] ?? 0;
	};
	const beforeMs = longestMs(first);
	// Ten jobs that fill the fleet for a second each, one of which runs.
	t.true(beforeMs > 7_500 && beforeMs < 10_500, `${String(beforeMs)} ms`);
	first.dispatcher.close();
	const second = await takeOver(() => true);
	const afterMs = longestMs(second);
	// What runs is not known yet, and counts as waiting.
	t.true(afterMs > beforeMs - 1_000 && afterMs <= beforeMs + 1_500, `${String(afterMs)} ms`);
	second.dispatcher.close();
});

test('the forecast is logged once a second while work waits, and compared with the real wait', async (t) => {
	const { clock, takeOver, submit } = createEnvironment(1_000);
	const owner = await takeOver();
	await clock.advance(500);
	const { forecaster } = owner.dispatcher;
	const publisher = publishers.ForecastPublisher.create({
		clock,
		events: owner.events,
		epoch: 1,
		forecaster,
	});
	const wide = { ...step, estimateMs: 1_000 };
	for (let index = 0; index < 3; index += 1)
		await submit(owner, fixtures.job(`job${String(index)}`, [wide], { queue: wideQueue }));
	await clock.advance(1_200);
	t.is(publisher.current?.forecast, publisher.message);
	t.true((publisher.current?.ageMs ?? Infinity) < 500);
	await clock.advance(6_000);
	const lines = owner.events.select((event) => event.name === 'forecast.published');
	t.true(lines.length >= 1 && lines.length <= 3, `${String(lines.length)} lines`);
	t.regex(String(lines[0]?.fields.waits), /^reserved\/2 \d+ ms, late \d+ ms on 320 cores$/);
	publisher.close();
	owner.dispatcher.close();
	const recorded: [string, number][] = [];
	const followed = errors.ForecastErrors.create((queue, ratio) => recorded.push([queue, ratio]));
	const job = jobs.ActiveJob.create(fixtures.job('job', [step]), undefined, {
		cancelled: false,
		inherited: false,
		workersStored: true,
		now: 0,
		age: 0,
	});
	const tasks = job.openNextOccurrence(0);
	followed.follow(job, 3_000);
	followed.settle();
	t.deepEqual(recorded, [], 'its tasks still wait');
	for (const task of tasks) Object.assign(task, { state: 'placed', waitedMs: 2_000 });
	followed.settle();
	followed.settle();
	t.deepEqual(recorded, [['proofs', 1.5]]);
	const registry = metrics.Metrics.create();
	for (const [queue, ratio] of recorded) registry.recordRatio('forecast_error_ratio', 'queue', queue, ratio);
	t.true(registry.text().includes('woodcross_forecast_error_ratio{queue="proofs",quantile="0.5"} 1.5'));
	t.true(registry.text().includes('woodcross_forecast_error_ratio_count{queue="proofs"} 1'));
});

test('a box decides by the forecast of the owner, and logs its age', async (t) => {
	process.env.WOODCROSS_ADMISSION = 'forecast';
	const { startTwo } = await realBoxes.setUp(t);
	const { other } = await startTwo();
	// Each answer to a ping brings a forecast; the first may come before the owner has computed one.
	for (let attempt = 1; ; attempt += 1) {
		const id = attempt.toString(16).padStart(16, '0');
		t.is((await realBoxes.call(other.callers, 'POST', id, realBoxes.jobBody)).status, 200);
		const line = await other.waitForLine((one) => one.name === 'job.accepted' && one.fields.job === id);
		if (typeof line.fields.forecastAgeMs !== 'number') continue;
		t.true(line.fields.forecastAgeMs < 5_000);
		t.is(line.fields.forecastWaitMs, 0);
		return;
	}
});
