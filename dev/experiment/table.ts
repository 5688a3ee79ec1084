/**
 * Tables of an experiment, as Markdown: first the scenarios, then the means and differences by part, class, zone and window.
 */
import * as compare from './compare.js';
import type * as bench from '../../platform/bench.js';
import type * as types from './types.js';

/** A metric and its name in the table. */
interface NamedMetric {
	name: string;
	metric: compare.Metric;
}

/** The report of an experiment: both tables. */
export function report(results: types.ScenarioResults[], variants: string[]): string {
	const metrics = collectMetrics(results);
	return [scenarioTable(results, variants), metricTable(results, variants, metrics)].join('\n\n');
}

/** A row for each scenario: the worth that each variant reached, and the rules that it violated. */
function scenarioTable(results: types.ScenarioResults[], variants: string[]): string {
	const rows = results.map((scenario) => [
		scenario.day,
		String(scenario.seed),
		...variants.map((variant) => scenarioCell(scenario.results.get(variant))),
	]);
	return markdown(['day', 'seed', ...variants], rows);
}

function scenarioCell(result: bench.BenchResult | undefined): string {
	if (result === undefined) return '-';
	const brokenRules = Object.keys(result.broken);
	return [result.worth.toFixed(3), ...brokenRules].join(' ');
}

/** A row for each metric: its mean for each variant, and the difference of the other variants from the first. */
function metricTable(results: types.ScenarioResults[], variants: string[], metrics: NamedMetric[]): string {
	const [baseline = '', ...others] = variants;
	const header = ['figure', ...variants, ...others.map((name) => `${name} - ${baseline} (95%)`)];
	const rows = metrics.map(({ name, metric }) => [
		name,
		...variants.map((variant) => formatMean(results, variant, metric)),
		...others.map((variant) => formatDifference(compare.difference(results, baseline, variant, metric))),
	]);
	return markdown(header, rows);
}

function formatMean(results: types.ScenarioResults[], variant: string, metric: compare.Metric): string {
	const values = results.flatMap((scenario) => {
		const result = scenario.results.get(variant);
		return (result && metric(result)) ?? [];
	});
	return values.length === 0 ? '-' : compare.meanOf(values).toFixed(3);
}

function formatDifference(difference: types.Difference | undefined): string {
	if (difference === undefined) return '-';
	const [mean, lowerBound, upperBound] = [difference.mean, difference.from, difference.to].map((value) =>
		value.toFixed(3),
	);
	return `${mean ?? ''} (${lowerBound ?? ''} to ${upperBound ?? ''}, n ${String(difference.count)})`;
}

/** The worth and the prices, then every part, class, zone and window that any result names. */
function collectMetrics(results: types.ScenarioResults[]): NamedMetric[] {
	const benchResults = results.flatMap((one) => [...one.results.values()]);
	const groups = ['parts', 'classes', 'zones', 'windows'] as const;
	const groupMetrics = groups.flatMap((group) => {
		const names = new Set(benchResults.flatMap((result) => Object.keys(result[group])));
		return [...names].map((name) => ({
			name: group === 'windows' ? `from second ${name}` : name,
			metric: (result: bench.BenchResult) => result[group][name],
		}));
	});
	return [
		{ name: 'worth', metric: (result) => result.worth },
		{ name: 'prices', metric: (result) => result.prices },
		...groupMetrics,
	];
}

function markdown(header: string[], rows: string[][]): string {
	const line = (cells: string[]): string => `| ${cells.join(' | ')} |`;
	return [line(header), line(header.map(() => '---')), ...rows.map(line)].join('\n');
}
