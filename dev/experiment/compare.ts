/** Compares variants pairing by pairing: luck of a day and a seed is alike for both, so only differences count. */
import ttest from '@stdlib/stats-ttest';
import type * as bench from '../../platform/bench.js';
import type * as types from './types.js';

/** Reads one figure from a result. */
export type Metric = (result: bench.BenchResult) => number | undefined;

/** Fewer pairings than this have no spread. */
const minScenarios = 2;

/** Values of a figure for two variants, from pairings that both played. */
export function pairedValues(
	results: types.ScenarioResults[],
	baseline: string,
	variant: string,
	metric: Metric,
): [number, number][] {
	return results.flatMap((scenario): [number, number][] => {
		const baselineResult = scenario.results.get(baseline);
		const variantResult = scenario.results.get(variant);
		const [baselineValue, variantValue] = [
			baselineResult && metric(baselineResult),
			variantResult && metric(variantResult),
		];
		return baselineValue === undefined || variantValue === undefined ? [] : [[baselineValue, variantValue]];
	});
}

/** How a variant differs from the first one; undefined: too few pairings. */
export function difference(
	results: types.ScenarioResults[],
	baseline: string,
	variant: string,
	metric: Metric,
): types.Difference | undefined {
	const deltas = pairedValues(results, baseline, variant, metric).map(
		([baselineValue, variantValue]) => variantValue - baselineValue,
	);
	if (deltas.length < minScenarios) return undefined;
	const mean = meanOf(deltas);
	const spread = Math.sqrt(deltas.reduce((sum, delta) => sum + (delta - mean) ** 2, 0) / (deltas.length - 1));
	// Without any spread a test has nothing to say.
	const [from, to] = spread === 0 ? [mean, mean] : ttest(deltas).ci;
	return { variant, count: deltas.length, mean, spread, from: from ?? mean, to: to ?? mean };
}

/** Mean of a figure over all pairings that a variant played. */
export function meanOf(values: number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
