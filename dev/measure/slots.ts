/**
 * Compares ways to share backend servers' slots among entry boxes. The callers are spread unevenly over the boxes; one
 * backend server is slow and one is dead.
 */
import * as clusters from '../cluster.js';
import * as load from './load.js';
import * as report from './report.js';
import * as scrape from './scrape.js';

const ways = ['demand', 'fixed', 'none'] as const;
const loadsPercent = [50, 80, 95, 110];
const turns = 3;
const seconds = 5;

/**
 * Fraction of the load that each of three entry boxes gets. They are uneven because load balancers and callers never spread
 * load evenly.
 */
const parts = [0.6, 0.3, 0.1];

const serviceMs = 40;
const slowMs = 160;

/** Capacity in requests a second: two healthy backend servers and the slow one. */
const capacity = 2 * clusters.backendSlots * (1000 / serviceMs) + clusters.backendSlots * (1000 / slowMs);

interface Turn {
	got: load.LoadResult[];
	retries: number;
}

async function oneTurn(cluster: clusters.Cluster, perSecond: number): Promise<Turn> {
	const entries = cluster.of('entry');
	const read = async (): Promise<number> => {
		const all = await Promise.all(entries.map((entry) => scrape.metrics(entry.serves)));
		return all.reduce((sum, one) => sum + (one.woodcross_retries_total ?? 0), 0);
	};
	const before = await read();
	const got = await Promise.all(
		entries.map((entry, index) => {
			const path = `/services/${clusters.serviceName}/proof`;
			const headers = { 'x-woodcross-repeat': 'safe', 'x-woodcross-deadline-ms': '1000' };
			const target = { origins: [`http://${entry.serves}`], path, headers, body: Buffer.alloc(256, 'p') };
			return load.openLoad(target, perSecond * (parts[index] ?? 0), seconds);
		}),
	);
	return { got, retries: (await read()) - before };
}

function row(way: string, percent: number, all: Turn[]): report.Row {
	const sum = (one: Turn, pick: (got: load.LoadResult) => number): number =>
		one.got.reduce((total, got) => total + pick(got), 0);
	const worst = (one: Turn, pick: (got: load.LoadResult) => number): number => Math.max(...one.got.map(pick));
	const over = (pick: (one: Turn) => number): string => report.spread(all.map(pick));
	return {
		...{ way, load: `${percent}%` },
		'answered/s': over((one) => sum(one, (got) => got.perSecond)),
		'p50 ms (worst box)': over((one) => worst(one, (got) => got.p50)),
		'p99 ms (worst box)': over((one) => worst(one, (got) => got.p99)),
		'p99.9 ms (worst box)': over((one) => worst(one, (got) => got.p999)),
		refused: over((one) => sum(one, (got) => got.refused)),
		failed: over((one) => sum(one, (got) => got.failed)),
		'tries wasted': over((one) => one.retries),
	};
}

async function oneWay(way: (typeof ways)[number]): Promise<report.Row[]> {
	const cluster = await clusters.Cluster.create({
		...{
			zones: ['rennes'],
			entriesPerZone: parts.length,
			schedulersPerZone: 1,
			backendsPerZone: 4,
			workersPerZone: 1,
		},
		backendEnv: { SERVICE_MS: String(serviceMs), QUIET: '1' },
		entryFlags: ['--slot-sharing', way],
		logLevel: 'info',
	});
	const [slow, dead] = cluster.backends;
	if (slow !== undefined) await clusters.post(slow.address, '/fault', { serviceMs: slowMs });
	if (dead !== undefined) await clusters.kill(dead.process);
	await oneTurn(cluster, capacity / 2);
	const rows: report.Row[] = [];
	for (const percent of loadsPercent) {
		const all: Turn[] = [];
		for (let turn = 0; turn < turns; turn += 1) all.push(await oneTurn(cluster, (capacity * percent) / 100));
		rows.push(row(way, percent, all));
	}
	await cluster.close();
	return rows;
}

/** `npm run measure -- slots`. */
export async function measureSlots(): Promise<void> {
	const rows: report.Row[] = [];
	for (const way of ways) rows.push(...(await oneWay(way)));
	const note = `minimum / median / maximum of ${turns} turns; 3 entry boxes with 60, 30 and 10% of the callers; capacity ${capacity}/s; deadline 1 s`;
	report.keep({ name: 'slots', note, seeds: [], rows });
}
