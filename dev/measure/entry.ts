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
	const entry = cluster.of('entry')[0];
	if (entry === undefined) throw new Error('no entry process');
	const body = Buffer.alloc(1024, 'p');
	const headers = { 'x-woodcross-repeat': 'safe' };
	const direct = {
		origins: cluster.backends.map((box) => `http://${box.address}`),
		path: '/proof',
		headers,
		body,
	};
	const through = {
		origins: [`http://${entry.serves}`],
		path: `/services/${clusters.serviceName}/proof`,
		headers,
		body,
	};
	await load.closedLoad(through, callers, 2);
	await load.closedLoad(direct, callers, 2);
	const rows: report.Row[] = [];
	const add = (way: string, offered: string, got: load.LoadResult): void => {
		const { answered, refused, failed, perSecond, p50, p99, p999 } = got;
		rows.push({
			way,
			offered,
			'per s': report.round(perSecond, 0),
			p50,
			p99,
			'p99.9': p999,
			answered,
			refused,
			failed,
		});
	};
	const most = await load.closedLoad(through, callers, seconds);
	add('direct', `${callers} callers`, await load.closedLoad(direct, callers, seconds));
	add('entry', `${callers} callers`, most);
	const half = Math.round(most.perSecond / 2);
	for (let turn = 0; turn < 3; turn += 1) {
		add('direct', `${half}/s`, await load.openLoad(direct, half, seconds));
		add('entry', `${half}/s`, await load.openLoad(through, half, seconds));
	}
	await cluster.close();
	report.keep({
		name: 'entry',
		note: 'times in ms; 4 backend servers of 8 slots, 5 ms a request, 1 KiB bodies; half load is half of what the entry carries',
		seeds: [],
		rows,
	});
}
