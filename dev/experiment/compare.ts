/**
 * Compares variants scenario by scenario. The influence of the day and of the seed is the same for both variants of a pair,
 * so the differences show the effect of the code.
 */
import ttest from '@stdlib/stats-ttest';
import type * as bench from '../../platform/bench.js';
import type * as types from './types.js';

/** Reads one metric from a result; undefined if the result does not have it. */
export type Figure = (result: bench.BenchResult) => number | undefined;

/** The standard deviation needs at least this number of scenarios. */
const leastPairings = 2;

/** Values of a metric for two variants, from the scenarios that both have results for. */
export function pairs(
	results: types.PairedResult[],
	first: string,
	second: string,
	figure: Figure,
): [number, number][] {
	return results.flatMap((one): [number, number][] => {
		const a = one.results.get(first);
		const b = one.results.get(second);
		const [x, y] = [a && figure(a), b && figure(b)];
		return x === undefined || y === undefined ? [] : [[x, y]];
	});
}

/** Difference of a variant from the baseline; undefined if both have results for fewer than `minScenarios` scenarios. */
export function difference(
	results: types.PairedResult[],
	first: string,
	variant: string,
	figure: Figure,
): types.Difference | undefined {
	const values = pairs(results, first, variant, figure).map(([a, b]) => b - a);
	if (values.length < leastPairings) return undefined;
	const mean = meanOf(values);
	const spread = Math.sqrt(values.reduce((sum, one) => sum + (one - mean) ** 2, 0) / (values.length - 1));
	// The t-test needs values that differ; if all are equal, the interval is the mean alone.
	const [from, to] = spread === 0 ? [mean, mean] : ttest(values).ci;
	return { variant, count: values.length, mean, spread, from: from ?? mean, to: to ?? mean };
}

/** Arithmetic mean; NaN for an empty list. */
export function meanOf(values: number[]): number {
	return values.reduce((sum, one) => sum + one, 0) / values.length;
}
