/** Compares variants pairing by pairing: luck of a day and a seed is alike for both, so only differences count. */
import ttest from '@stdlib/stats-ttest';
import type * as bench from '../../platform/bench.js';
import type * as types from './types.js';

/** Reads one figure from a result. */
export type Figure = (result: bench.BenchResult) => number | undefined;

/** Fewer pairings than this have no spread. */
const leastPairings = 2;

/** Values of a figure for two variants, from pairings that both played. */
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

/** How a variant differs from the first one; undefined: too few pairings. */
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
	// Without any spread a test has nothing to say.
	const [from, to] = spread === 0 ? [mean, mean] : ttest(values).ci;
	return { variant, count: values.length, mean, spread, from: from ?? mean, to: to ?? mean };
}

/** Mean of a figure over all pairings that a variant played. */
export function meanOf(values: number[]): number {
	return values.reduce((sum, one) => sum + one, 0) / values.length;
}
