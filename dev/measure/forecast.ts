/**
 * Measures an owner's forecast and a box's decision, in memory: `npm run measure -- forecast [jobs …]`. Times are of one core
 * of this machine; an owner with half a core takes twice as long.
 */
import { performance } from 'node:perf_hooks';
import * as admission from '../../src/core/admission/index.js';
import * as features from '../../src/core/features/index.js';
import * as wire from '../../src/core/wire/frame.js';
import * as report from './report.js';
import * as dispatching from '../../test/fixtures/dispatching.js';
import type * as forecasts from '../../src/core/forecast/index.js';
import type * as jobs from '../../src/core/jobs/index.js';

const workers = 245;
const capacity = { milliCores: 64_000, memoryMb: 256_000, accelerators: 0 };
const wideQueue = { ...dispatching.queue, name: 'wide', priority: 2, stretch: 2, objectiveMs: 1_000 };

/** Repetitions that warm the code up, and that are measured. */
const warmUps = 50;
const forecastRuns = 200;
const decisionRuns = 20_000;

/** Measures with each number of accepted jobs given on the command line, of 40 tasks each; by default 500 and 2,000. */
export async function measureForecast(): Promise<void> {
	const [, , , ...sizes] = process.argv;
	const rows: report.Row[] = [];
	for (const size of sizes.length > 0 ? sizes.map(Number) : [500, 2_000]) rows.push(await measureSize(size));
	const note = `${String(workers)} workers; minimum / median / maximum: forecast and message in ms, decision in µs`;
	report.printAndSave({ name: 'forecast', note, seeds: [], rows });
}

async function measureSize(size: number): Promise<report.Row> {
	const environment = dispatching.createEnvironment((task) => ({
		ms: task.startsWith('serving') ? 'endless' : 2_200,
		how: 'done',
		reading: task.startsWith('serving') ? 60 : 3_000,
	}));
	environment.features = { ...features.defaultFeatures, admission: 'forecast' };
	const { clock, fleet, takeOver } = environment;
	for (let number = 1; number <= workers; number += 1) fleet.add(`w${String(number)}`, { capacity });
	const { dispatcher, ledger } = await takeOver();
	await clock.advance(500);
	const addJob = (record: jobs.JobRecord): void => {
		dispatcher.addJob({ ...record, acceptedAt: clock.wall(), acceptedUnder: ledger.generation });
	};
	const serving = dispatching.step({
		count: 14,
		milliCores: 13_000,
		lasting: true,
		targetMs: 150,
		image: 'serving',
	});
	for (let index = 0; index < 82; index += 1) addJob(dispatching.job(`serving-${String(index)}`, [serving]));
	await clock.advance(1_000);
	for (let index = 0; index < size; index += 1) addJob(wideJob(index));
	await clock.advance(1_000);
	const { forecaster } = dispatcher;
	const updates = times(forecastRuns, () => forecaster.update());
	const messages = times(forecastRuns, () => forecaster.message());
	const forecast = forecaster.message();
	if (forecast === undefined) throw new Error('no forecast');
	const row = {
		jobs: size,
		waiting: dispatcher.load().waitingShort,
		forecastMs: report.minMedianMax(updates),
		messageMs: report.minMedianMax(messages),
		messageBytes: wire.encodeValue(forecast).length,
		decisionUs: report.minMedianMax(decisionTimes(forecast)),
	};
	dispatcher.close();
	return row;
}

/** A job of two steps of 20 preemptible tasks. */
function wideJob(index: number): jobs.JobRecord {
	const image = `wide-${String(index % 30)}`;
	const step = dispatching.step({
		count: 20,
		milliCores: 7_000,
		memoryMb: 500,
		estimateMs: 2_200,
		fills: true,
		image,
	});
	return dispatching.job(`wide-${String(index)}`, [step, { ...step, after: [0] }], { queue: wideQueue });
}

/** Mean time of a decision in batches of a hundred, in microseconds. */
function decisionTimes(forecast: forecasts.Forecast): number[] {
	const record = wideJob(0);
	const batch = 100;
	const decide = (): void => {
		for (let index = 0; index < batch; index += 1)
			admission.decideByForecast(record, { forecast, ageMs: 100 });
	};
	return times(decisionRuns / batch, decide).map((ms) => (ms * 1_000) / batch);
}

function times(runs: number, fn: () => unknown): number[] {
	for (let run = 0; run < warmUps; run += 1) fn();
	return Array.from({ length: runs }, () => {
		const startedAt = performance.now();
		fn();
		return performance.now() - startedAt;
	});
}
