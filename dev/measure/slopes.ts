/** Measures the cost of each role at several sizes and fits straight lines to it, for docs/CAPACITY.md. */
import * as boxes from '../../src/core/boxes/index.js';
import * as clusters from '../cluster.js';
import * as load from './load.js';
import * as operate from '../operate.js';
import * as processes from '../processes.js';
import * as report from './report.js';
import * as scrape from './scrape.js';

const workerCounts = [40, 80, 160];
const requestRates = [200, 400, 800];
const windowSeconds = 8;

/** Tasks for each worker at the design size, (54,000 + 100,000) / 17,000, of which a third are services. */
const serviceTasksPerWorker = 3;
const batchTasksPerWorker = 6;

interface Sample {
	x: number;
	values: scrape.Numbers;
}

/** One zone's scheduler with `count` workers, and as many tasks for each worker as at the design size. */
async function schedulerSample(count: number): Promise<Sample> {
	const cluster = await clusters.Cluster.create({
		...{ zones: ['rennes'], entriesPerZone: 0, schedulersPerZone: 1, backendsPerZone: 0, workersPerZone: 0 },
		logLevel: 'info',
	});
	const farm = processes.start('farm', 'stand-ins/worker/farm.js', [], { WORKERS: String(count) });
	const ready = await processes.waitForLine(farm, (line) => line.workers !== undefined);
	const farmAddress = String(ready.ready);
	const workerList = (ready.workers as string[]).map((address, index) => ({
		...{ id: `worker-${index}`, address, state: 'live', rack: `rack-${Math.floor(index / 8)}` },
		...clusters.workerCapacity,
	}));
	await cluster.put(boxes.workersKey('rennes'), workerList);
	const scheduler = cluster.programsOf('scheduler')[0];
	const address = scheduler?.serves ?? '';
	const client = operate.connectToOperator(cluster);
	await operate.waitUntilShardsReady(client);
	const metricsBefore = await scrape.metrics(address);
	const startedAt = performance.now();
	const needs = { cores: 1, memoryMb: 512 };
	const total = count * (serviceTasksPerWorker + batchTasksPerWorker);
	await client.call('submit', {
		specJson: JSON.stringify({
			team: 'press',
			name: 'web',
			kind: 'service',
			tasks: count * serviceTasksPerWorker,
			needs,
		}),
	});
	await client.call('submit', {
		specJson: JSON.stringify({
			team: 'press',
			name: 'night',
			kind: 'batch',
			tasks: count * batchTasksPerWorker,
			needs,
		}),
	});
	await operate.waitUntil(
		'every task to start',
		async () => (await scrape.stats(farmAddress)).starts === total,
	);
	const startS = (performance.now() - startedAt) / 1000;
	const metricsAfter = await scrape.metrics(address);
	await new Promise((resolve) => setTimeout(resolve, 2000));
	const [schedulerRates, farmRates, platformRates] = await Promise.all([
		scrape.rates(() => scrape.metrics(address), windowSeconds),
		scrape.rates(() => scrape.stats(farmAddress), windowSeconds),
		scrape.rates(() => scrape.stats(cluster.platformAddress), windowSeconds),
	]);
	const lastMetrics = await scrape.metrics(address);
	client.close();
	await clusters.kill(farm);
	await cluster.close();
	return {
		x: count,
		values: {
			'cpu % of a core': (schedulerRates.woodcross_cpu_us ?? 0) / 10_000,
			'cpu ms a start':
				((metricsAfter.woodcross_cpu_us ?? 0) - (metricsBefore.woodcross_cpu_us ?? 0)) / 1000 / total,
			'starts a second': total / startS,
			'exchanges/s': farmRates.exchanges ?? 0,
			'bytes/s with workers': farmRates.bytes ?? 0,
			'memory MB': (lastMetrics.woodcross_memory_bytes ?? 0) / 1e6,
			'platform reads/s': platformRates.reads ?? 0,
			'platform writes/s': platformRates.writes ?? 0,
			'lease calls/s': platformRates.leaseCalls ?? 0,
		},
	};
}

/** One entry process at each of the request rates. */
async function entrySamples(): Promise<Sample[]> {
	const cluster = await clusters.Cluster.create({
		...{ zones: ['rennes'], entriesPerZone: 1, schedulersPerZone: 1, backendsPerZone: 4, workersPerZone: 1 },
		backendEnv: { SERVICE_MS: '5', QUIET: '1' },
		logLevel: 'info',
	});
	const address = cluster.programsOf('entry')[0]?.serves ?? '';
	const body = Buffer.alloc(1024, 'p');
	const path = `/services/${clusters.serviceName}/proof`;
	const target = { origins: [`http://${address}`], path, headers: { 'x-woodcross-repeat': 'safe' }, body };
	await load.openLoad(target, 200, 3);
	const samples: Sample[] = [];
	for (const rate of requestRates) {
		const before = await scrape.metrics(address);
		const result = await load.openLoad(target, rate, windowSeconds);
		const after = await scrape.metrics(address);
		const cpu = ((after.woodcross_cpu_us ?? 0) - (before.woodcross_cpu_us ?? 0)) / windowSeconds / 10_000;
		const memory = (after.woodcross_memory_bytes ?? 0) / 1e6;
		samples.push({
			x: rate,
			values: { 'cpu % of a core': cpu, 'memory MB': memory, 'p99 ms': result.p99, refused: result.refused },
		});
	}
	await cluster.close();
	return samples;
}

/**
 * Calls to the platform, and the time until a configuration change is in force everywhere, with `perZone` entries and
 * schedulers in each of two zones.
 */
async function processSample(perZone: number): Promise<Sample> {
	const cluster = await clusters.Cluster.create({
		...{
			zones: ['rennes', 'brest'],
			entriesPerZone: perZone,
			schedulersPerZone: perZone,
			backendsPerZone: 1,
			workersPerZone: 1,
		},
		logLevel: 'info',
	});
	const client = operate.connectToOperator(cluster);
	await operate.waitUntilShardsReady(client);
	await new Promise((resolve) => setTimeout(resolve, 3000));
	const platformRates = await scrape.rates(() => scrape.stats(cluster.platformAddress), 20);
	const platformStats = await scrape.stats(cluster.platformAddress);
	const entry = cluster.programsOf('entry')[0]?.serves ?? '';
	const idleRates = await scrape.rates(() => scrape.metrics(entry), 5);
	const confirmationTimesMs: number[] = [];
	for (let repetition = 0; repetition < 20; repetition += 1) {
		const from = performance.now();
		const change = await client.call('setConfig', {
			key: 'entry.queuePerSlot',
			value: String(repetition),
			by: 'measure',
			seenVersion: 0,
		});
		if (change.ok && change.value.unconfirmed.length === 0)
			confirmationTimesMs.push(performance.now() - from);
	}
	const processCount = cluster.programs.length;
	client.close();
	await cluster.close();
	return {
		x: processCount,
		values: {
			'platform reads/s': platformRates.reads ?? 0,
			'platform writes/s': platformRates.writes ?? 0,
			'lease calls/s': platformRates.leaseCalls ?? 0,
			'standing watches': platformStats.watching ?? 0,
			'entry idle cpu %': (idleRates.woodcross_cpu_us ?? 0) / 10_000,
			'config in force everywhere, ms (largest of 20)': Math.max(...confirmationTimesMs),
			'changes confirmed by all, of 20': confirmationTimesMs.length,
		},
	};
}

function fittedRows(role: string, unit: string, samples: Sample[]): report.Row[] {
	const names = Object.keys(samples[0]?.values ?? {});
	return names.map((name) => {
		const points = samples.map((sample) => ({ x: sample.x, y: sample.values[name] ?? 0 }));
		const line = report.fitLine(points);
		const row: report.Row = { role, figure: name };
		for (const point of points) row[`at ${point.x} ${unit}`] = report.round(point.y);
		return { ...row, base: report.round(line.base, 3), [`per ${unit}`]: report.round(line.slope, 5) };
	});
}

/** `npm run measure -- slopes`. */
export async function measureSlopes(): Promise<void> {
	const schedulers: Sample[] = [];
	for (const count of workerCounts) schedulers.push(await schedulerSample(count));
	const entries = await entrySamples();
	const processSamples: Sample[] = [];
	for (const perZone of [1, 3, 6]) processSamples.push(await processSample(perZone));
	const note = 'one window of 8 s each; base and slope of the straight line through the three sizes';
	report.printAndSave({
		name: 'slopes-scheduler',
		note,
		seeds: [],
		rows: fittedRows('scheduler', 'workers', schedulers),
	});
	report.printAndSave({
		name: 'slopes-entry',
		note,
		seeds: [],
		rows: fittedRows('entry', 'requests/s', entries),
	});
	report.printAndSave({
		name: 'slopes-processes',
		note,
		seeds: [],
		rows: fittedRows('all', 'processes', processSamples),
	});
}
