/** What an experiment plays and finds. */
import type * as bench from '../../platform/bench.js';

/** A variant of the code: a checkout with a name. */
export interface Variant {
	name: string;
	checkout: string;
}

/** One day with one seed; every variant plays it. */
export interface Scenario {
	day: string;
	/** 0: the day's own seed. */
	seed: number;
}

/** What each variant made of one pairing. */
export interface ScenarioResults extends Scenario {
	results: Map<string, bench.BenchResult>;
}

/** Difference of a variant from the first one, over all pairings that both played. */
export interface Difference {
	variant: string;
	count: number;
	mean: number;
	/** Standard deviation over the pairings. */
	spread: number;
	/** Interval that holds the true mean with a confidence of 95%. */
	from: number;
	to: number;
}
