/**
 * Runs every scenario with every variant, several at a time. A run whose report file exists is not repeated: its result is
 * read from the report.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as bench from '../../platform/bench.js';
import * as workingOff from '../work-off.js';
import type * as types from './types.js';

/** What to run, and where the reports go. */
export interface PlayOptions {
	benchPath: string;
	site: string;
	variants: types.Variant[];
	pairings: types.Pairing[];
	/** Maximum number of runs in progress at a time. */
	jobs: number;
	why: string;
	folder: string;
}

/** Runs all scenarios with all variants. The results are in the order of `scenarios`; a run without a report has none. */
export async function playAll(opts: PlayOptions): Promise<types.PairedResult[]> {
	const paired = opts.pairings.map((one) => ({
		...one,
		results: new Map<string, bench.BenchResult>(),
	}));
	const waiting = paired.flatMap((pairing) => opts.variants.map((variant) => ({ pairing, variant })));
	await workingOff.workOff(waiting, opts.jobs, async ({ pairing, variant }) => {
		const result = await playOnce(opts, pairing, variant);
		if (result !== undefined) pairing.results.set(variant.name, result);
	});
	return paired;
}

async function playOnce(
	opts: PlayOptions,
	pairing: types.Pairing,
	variant: types.Variant,
): Promise<bench.BenchResult | undefined> {
	const site = path.basename(opts.site, '.toml');
	const folder = path.resolve(opts.folder, variant.name);
	fs.mkdirSync(folder, { recursive: true });
	const base = path.join(folder, `${site}-${pairing.day}-${String(pairing.seed)}`);
	const reportFile = `${base}.json`;
	if (fs.existsSync(reportFile)) return bench.readReport(reportFile);
	const result = await bench.runDay({
		bench: opts.benchPath,
		site: path.resolve(opts.site),
		day: pairing.day,
		seed: pairing.seed === 0 ? undefined : pairing.seed,
		checkout: path.resolve(variant.checkout),
		why: opts.why,
		reportFile,
		outputFile: `${base}.txt`,
	});
	console.log(`${variant.name} ${pairing.day} ${String(pairing.seed)}: ${describe(result)}`);
	return result;
}

function describe(result: bench.BenchResult | undefined): string {
	if (result === undefined) return 'no report';
	const broken = Object.entries(result.broken).map(([rule, count]) => `${rule} ${String(count)}`);
	return [result.worth.toFixed(3), ...broken].join(', broken: ');
}
