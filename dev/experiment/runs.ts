/**
 * Runs every scenario with every variant, several at a time. A run whose report file exists is not repeated: its result is
 * read from the report.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as bench from '../../platform/bench.js';
import * as concurrent from '../for-each-concurrently.js';
import type * as types from './types.js';

/** What to run, and where the reports go. */
export interface RunOptions {
	benchPath: string;
	site: string;
	variants: types.Variant[];
	scenarios: types.Scenario[];
	/** Maximum number of runs in progress at a time. */
	jobs: number;
	why: string;
	folder: string;
}

/** Runs all scenarios with all variants. The results are in the order of `scenarios`; a run without a report has none. */
export async function runAll(opts: RunOptions): Promise<types.ScenarioResults[]> {
	const scenarioResults = opts.scenarios.map((scenario) => ({
		...scenario,
		results: new Map<string, bench.BenchResult>(),
	}));
	const pendingRuns = scenarioResults.flatMap((scenario) =>
		opts.variants.map((variant) => ({ pairing: scenario, variant })),
	);
	await concurrent.forEachConcurrently(pendingRuns, opts.jobs, async ({ pairing: scenario, variant }) => {
		const result = await runScenario(opts, scenario, variant);
		if (result !== undefined) scenario.results.set(variant.name, result);
	});
	return scenarioResults;
}

async function runScenario(
	opts: RunOptions,
	scenario: types.Scenario,
	variant: types.Variant,
): Promise<bench.BenchResult | undefined> {
	const site = path.basename(opts.site, '.toml');
	const folder = path.resolve(opts.folder, variant.name);
	fs.mkdirSync(folder, { recursive: true });
	const base = path.join(folder, `${site}-${scenario.day}-${String(scenario.seed)}`);
	const reportFile = `${base}.json`;
	if (fs.existsSync(reportFile)) return bench.readReport(reportFile);
	const result = await bench.runDay({
		bench: opts.benchPath,
		site: path.resolve(opts.site),
		day: scenario.day,
		seed: scenario.seed === 0 ? undefined : scenario.seed,
		checkout: path.resolve(variant.checkout),
		why: opts.why,
		reportFile,
		outputFile: `${base}.txt`,
	});
	console.log(`${variant.name} ${scenario.day} ${String(scenario.seed)}: ${summarize(result)}`);
	return result;
}

function summarize(result: bench.BenchResult | undefined): string {
	if (result === undefined) return 'no report';
	const brokenRules = Object.entries(result.broken).map(([rule, count]) => `${rule} ${String(count)}`);
	return [result.worth.toFixed(3), ...brokenRules].join(', broken: ');
}
