/** Types of an experiment's input and results. */
import type * as bench from '../../platform/bench.js';

/** A variant of the code: a named checkout. */
export interface Variant {
	name: string;
	checkout: string;
}

/** One day with one seed. Every variant runs it. */
export interface Scenario {
	day: string;
	/** 0: the day's own seed. */
	seed: number;
}

/** The results of one scenario, by the variant's name. A variant whose run left no report is absent. */
export interface ScenarioResults extends Scenario {
	results: Map<string, bench.BenchResult>;
}

/** Difference of a variant from the baseline, over all scenarios that both have results for. */
export interface Difference {
	variant: string;
	count: number;
	mean: number;
	/** Standard deviation of the differences. */
	spread: number;
	/** Bounds of the 95% confidence interval of the mean. */
	from: number;
	to: number;
}
