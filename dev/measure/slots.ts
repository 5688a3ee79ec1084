/**
 * Compares ways to share backend servers' slots among entry boxes. The callers are spread unevenly over the boxes; one
 * backend server is slow and one is dead.
 */
import * as clusters from '../cluster.js';
import * as load from './load.js';
import * as report from './report.js';
import * as scrape from './scrape.js';

const sharingModes = ['demand', 'fixed', 'none'] as const;
const loadsPercent = [50, 80, 95, 110];
const repetitions = 3;
const seconds = 5;

/**
 * Fraction of the load that each of three entry boxes gets. They are uneven because load balancers and callers never spread
 * load evenly.
 */
const loadFractions = [0.6, 0.3, 0.1];

const serviceMs = 40;
const slowServiceMs = 160;

/** Capacity in requests a second: two healthy backend servers and the slow one. */
const capacityPerS =
	2 * clusters.backendSlots * (1000 / serviceMs) + clusters.backendSlots * (1000 / slowServiceMs);

interface Measurement {
	results: load.LoadResult[];
	retries: number;
}

async function measureOnce(cluster: clusters.Cluster, perSecond: number): Promise<Measurement> {
	const entries = cluster.programsOf('entry');
	const readRetries = async (): Promise<number> => {
		const all = await Promise.all(entries.map((entry) => scrape.metrics(entry.serves)));
		return all.reduce((sum, metrics) => sum + (metrics.woodcross_retries_total ?? 0), 0);
	};
	const before = await readRetries();
	const results = await Promise.all(
		entries.map((entry, index) => {
			const path = `/services/${clusters.serviceName}/proof`;
			const headers = { 'x-woodcross-repeat': 'safe', 'x-woodcross-deadline-ms': '1000' };
			const target = { origins: [`http://${entry.serves}`], path, headers, body: Buffer.alloc(256, 'p') };
			return load.openLoad(target, perSecond * (loadFractions[index] ?? 0), seconds);
		}),
	);
	return { results, retries: (await readRetries()) - before };
}

function row(sharingMode: string, percent: number, measurements: Measurement[]): report.Row {
	const sum = (measurement: Measurement, pick: (result: load.LoadResult) => number): number =>
		measurement.results.reduce((total, result) => total + pick(result), 0);
	const worst = (measurement: Measurement, pick: (result: load.LoadResult) => number): number =>
		Math.max(...measurement.results.map(pick));
	const summarize = (pick: (measurement: Measurement) => number): string =>
		report.minMedianMax(measurements.map(pick));
	return {
		...{ way: sharingMode, load: `${percent}%` },
		'answered/s': summarize((one) => sum(one, (got) => got.perSecond)),
		'p50 ms (worst box)': summarize((one) => worst(one, (got) => got.p50)),
		'p99 ms (worst box)': summarize((one) => worst(one, (got) => got.p99)),
		'p99.9 ms (worst box)': summarize((one) => worst(one, (got) => got.p999)),
		refused: summarize((one) => sum(one, (got) => got.refused)),
		failed: summarize((one) => sum(one, (got) => got.failed)),
		'tries wasted': summarize((one) => one.retries),
	};
}

async function measureMode(sharingMode: (typeof sharingModes)[number]): Promise<report.Row[]> {
	const cluster = await clusters.Cluster.create({
		...{
			zones: ['rennes'],
			entriesPerZone: loadFractions.length,
			schedulersPerZone: 1,
			backendsPerZone: 4,
			workersPerZone: 1,
		},
		backendEnv: { SERVICE_MS: String(serviceMs), QUIET: '1' },
		entryFlags: ['--slot-sharing', sharingMode],
		logLevel: 'info',
	});
	const [slow, dead] = cluster.backends;
	if (slow !== undefined) await clusters.post(slow.address, '/fault', { serviceMs: slowServiceMs });
	if (dead !== undefined) await clusters.kill(dead.process);
	await measureOnce(cluster, capacityPerS / 2);
	const rows: report.Row[] = [];
	for (const percent of loadsPercent) {
		const measurements: Measurement[] = [];
		for (let repetition = 0; repetition < repetitions; repetition += 1)
			measurements.push(await measureOnce(cluster, (capacityPerS * percent) / 100));
		rows.push(row(sharingMode, percent, measurements));
	}
	await cluster.close();
	return rows;
}

/** `npm run measure -- slots`. */
export async function measureSlots(): Promise<void> {
	const rows: report.Row[] = [];
	for (const sharingMode of sharingModes) rows.push(...(await measureMode(sharingMode)));
	const note = `minimum / median / maximum of ${repetitions} turns; 3 entry boxes with 60, 30 and 10% of the callers; capacity ${capacityPerS}/s; deadline 1 s`;
	report.printAndSave({ name: 'slots', note, seeds: [], rows });
}
