/**
 * Measures the limits on preemptible work, in memory: `npm run measure -- preemptible [workers] [seconds] [seed …]`. Both
 * limits get the same load.
 */
import * as preemptibleLoad from '../../test/fixtures/preemptible-load.js';
import * as report from './report.js';

export async function measurePreemptible(): Promise<void> {
	const [, , , workers = '60', seconds = '40', ...seeds] = process.argv;
	const rows: report.Row[] = [];
	for (const seed of seeds.length > 0 ? seeds.map(Number) : [1])
		for (const limit of ['fixed', 'adaptive'] as const) {
			const result = await preemptibleLoad.runLoad({
				workers: Number(workers),
				seed,
				arrivalsMs: Number(seconds) * 1_000,
				restMs: 5_000,
				limit,
			});
			const row: report.Row = { seed, limit };
			for (const [key, value] of Object.entries(result)) row[key] = report.round(Number(value), 3);
			rows.push(row);
		}
	report.printAndSave({
		name: 'preemptible',
		note: `${workers} workers, ${seconds} s`,
		seeds: [],
		rows,
	});
}
