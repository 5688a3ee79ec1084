/**
 * Compares variants scenario by scenario. The influence of the day and of the seed is the same for both variants of a pair,
 * so the differences show the effect of the code.
 */
import ttest from '@stdlib/stats-ttest';
import type * as bench from '../../platform/bench.js';
import type * as types from './types.js';

/** Reads one metric from a result; undefined if the result does not have it. */
export type Metric = (result: bench.BenchResult) => number | undefined;

/** The standard deviation needs at least this number of scenarios. */
const minScenarios = 2;

/** Values of a metric for two variants, from the scenarios that both have results for. */
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

/** Difference of a variant from the baseline; undefined if both have results for fewer than `minScenarios` scenarios. */
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
	// The t-test needs values that differ; if all are equal, the interval is the mean alone.
	const [from, to] = spread === 0 ? [mean, mean] : ttest(deltas).ci;
	return { variant, count: deltas.length, mean, spread, from: from ?? mean, to: to ?? mean };
}

/** Arithmetic mean; NaN for an empty list. */
export function meanOf(values: number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
