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
const windowS = 8;

/** Tasks for each worker at the design size, (54,000 + 100,000) / 17,000, of which a third are services. */
const servicesPerWorker = 3;
const batchPerWorker = 6;

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
	const ready = await processes.waitLine(farm, (line) => line.workers !== undefined);
	const farmAddress = String(ready.ready);
	const list = (ready.workers as string[]).map((address, index) => ({
		...{ id: `worker-${index}`, address, state: 'live', rack: `rack-${Math.floor(index / 8)}` },
		...clusters.workerCapacity,
	}));
	await cluster.put(boxes.workersKey('rennes'), list);
	const scheduler = cluster.of('scheduler')[0];
	const address = scheduler?.serves ?? '';
	const client = operate.operatorOf(cluster);
	await operate.settled(client);
	const idle = await scrape.metrics(address);
	const startedAt = performance.now();
	const needs = { cores: 1, memoryMb: 512 };
	const total = count * (servicesPerWorker + batchPerWorker);
	await client.call('submit', {
		specJson: JSON.stringify({
			team: 'press',
			name: 'web',
			kind: 'service',
			tasks: count * servicesPerWorker,
			needs,
		}),
	});
	await client.call('submit', {
		specJson: JSON.stringify({
			team: 'press',
			name: 'night',
			kind: 'batch',
			tasks: count * batchPerWorker,
			needs,
		}),
	});
	await operate.until('every task to start', async () => (await scrape.stats(farmAddress)).starts === total);
	const startS = (performance.now() - startedAt) / 1000;
	const busy = await scrape.metrics(address);
	await new Promise((resolve) => setTimeout(resolve, 2000));
	const [own, farmRates, platformRates] = await Promise.all([
		scrape.rates(() => scrape.metrics(address), windowS),
		scrape.rates(() => scrape.stats(farmAddress), windowS),
		scrape.rates(() => scrape.stats(cluster.platformAddress), windowS),
	]);
	const last = await scrape.metrics(address);
	client.close();
	await clusters.kill(farm);
	await cluster.close();
	return {
		x: count,
		values: {
			'cpu % of a core': (own.woodcross_cpu_us ?? 0) / 10_000,
			'cpu ms a start': ((busy.woodcross_cpu_us ?? 0) - (idle.woodcross_cpu_us ?? 0)) / 1000 / total,
			'starts a second': total / startS,
			'exchanges/s': farmRates.exchanges ?? 0,
			'bytes/s with workers': farmRates.bytes ?? 0,
			'memory MB': (last.woodcross_memory_bytes ?? 0) / 1e6,
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
	const address = cluster.of('entry')[0]?.serves ?? '';
	const body = Buffer.alloc(1024, 'p');
	const path = `/services/${clusters.serviceName}/proof`;
	const target = { origins: [`http://${address}`], path, headers: { 'x-woodcross-repeat': 'safe' }, body };
	await load.openLoad(target, 200, 3);
	const samples: Sample[] = [];
	for (const rate of requestRates) {
		const before = await scrape.metrics(address);
		const got = await load.openLoad(target, rate, windowS);
		const after = await scrape.metrics(address);
		const cpu = ((after.woodcross_cpu_us ?? 0) - (before.woodcross_cpu_us ?? 0)) / windowS / 10_000;
		const memory = (after.woodcross_memory_bytes ?? 0) / 1e6;
		samples.push({
			x: rate,
			values: { 'cpu % of a core': cpu, 'memory MB': memory, 'p99 ms': got.p99, refused: got.refused },
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
	const client = operate.operatorOf(cluster);
	await operate.settled(client);
	await new Promise((resolve) => setTimeout(resolve, 3000));
	const calls = await scrape.rates(() => scrape.stats(cluster.platformAddress), 20);
	const now = await scrape.stats(cluster.platformAddress);
	const entry = cluster.of('entry')[0]?.serves ?? '';
	const idle = await scrape.rates(() => scrape.metrics(entry), 5);
	const times: number[] = [];
	for (let turn = 0; turn < 20; turn += 1) {
		const from = performance.now();
		const set = await client.call('setConfig', {
			key: 'entry.queuePerSlot',
			value: String(turn),
			by: 'measure',
			seenVersion: 0,
		});
		if (set.ok && set.value.unconfirmed.length === 0) times.push(performance.now() - from);
	}
	const members = cluster.programs.length;
	client.close();
	await cluster.close();
	return {
		x: members,
		values: {
			'platform reads/s': calls.reads ?? 0,
			'platform writes/s': calls.writes ?? 0,
			'lease calls/s': calls.leaseCalls ?? 0,
			'standing watches': now.watching ?? 0,
			'entry idle cpu %': (idle.woodcross_cpu_us ?? 0) / 10_000,
			'config in force everywhere, ms (largest of 20)': Math.max(...times),
			'changes confirmed by all, of 20': times.length,
		},
	};
}

function rowsOf(role: string, unit: string, samples: Sample[]): report.Row[] {
	const names = Object.keys(samples[0]?.values ?? {});
	return names.map((name) => {
		const points = samples.map((one) => ({ x: one.x, y: one.values[name] ?? 0 }));
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
	const members: Sample[] = [];
	for (const perZone of [1, 3, 6]) members.push(await processSample(perZone));
	const note = 'one window of 8 s each; base and slope of the straight line through the three sizes';
	report.keep({
		name: 'slopes-scheduler',
		note,
		seeds: [],
		rows: rowsOf('scheduler', 'workers', schedulers),
	});
	report.keep({ name: 'slopes-entry', note, seeds: [], rows: rowsOf('entry', 'requests/s', entries) });
	report.keep({ name: 'slopes-processes', note, seeds: [], rows: rowsOf('all', 'processes', members) });
}
