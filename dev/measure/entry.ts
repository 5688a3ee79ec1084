/**
 * Measures the overhead of an entry box: the same load goes to the backend servers directly and through one entry process,
 * in the same run.
 */
import * as clusters from '../cluster.js';
import * as load from './load.js';
import * as report from './report.js';

const seconds = 6;
const callers = 16;
const backends = 4;

/** `npm run measure -- entry`. */
export async function measureEntry(): Promise<void> {
	const cluster = await clusters.Cluster.create({
		...{
			zones: ['rennes'],
			entriesPerZone: 1,
			schedulersPerZone: 1,
			backendsPerZone: backends,
			workersPerZone: 1,
		},
		backendEnv: { SERVICE_MS: '5', QUIET: '1' },
		logLevel: 'info',
	});
	const entry = cluster.programsOf('entry')[0];
	if (entry === undefined) throw new Error('no entry process');
	const body = Buffer.alloc(1024, 'p');
	const headers = { 'x-woodcross-repeat': 'safe' };
	const direct = {
		origins: cluster.backends.map((box) => `http://${box.address}`),
		path: '/proof',
		headers,
		body,
	};
	const viaEntry = {
		origins: [`http://${entry.serves}`],
		path: `/services/${clusters.serviceName}/proof`,
		headers,
		body,
	};
	await load.closedLoad(viaEntry, callers, 2);
	await load.closedLoad(direct, callers, 2);
	const rows: report.Row[] = [];
	const addRow = (way: string, offeredLoad: string, result: load.LoadResult): void => {
		const { answered, refused, failed, perSecond, p50, p99, p999 } = result;
		rows.push({
			way,
			offered: offeredLoad,
			'per s': report.round(perSecond, 0),
			p50,
			p99,
			'p99.9': p999,
			answered,
			refused,
			failed,
		});
	};
	const entryResult = await load.closedLoad(viaEntry, callers, seconds);
	addRow('direct', `${callers} callers`, await load.closedLoad(direct, callers, seconds));
	addRow('entry', `${callers} callers`, entryResult);
	const halfRate = Math.round(entryResult.perSecond / 2);
	for (let repetition = 0; repetition < 3; repetition += 1) {
		addRow('direct', `${halfRate}/s`, await load.openLoad(direct, halfRate, seconds));
		addRow('entry', `${halfRate}/s`, await load.openLoad(viaEntry, halfRate, seconds));
	}
	await cluster.close();
	report.printAndSave({
		name: 'entry',
		note: 'times in ms; 4 backend servers of 8 slots, 5 ms a request, 1 KiB bodies; half load is half of what the entry carries',
		seeds: [],
		rows,
	});
}
