/** Failure values, one variant per row of the catalogue. */
import type * as catalogue from './catalogue.js';

/** Name of a catalogue row. */
export type ErrorName = keyof typeof catalogue.errorCatalogue;

/** What a caller may conclude about a request that failed. */
export type RunOutcome = 'not-run' | 'may-have-run';

/** A failure: the name of its catalogue row, what happened in this case, and when to try again. */
export type Failure = {
	[N in ErrorName]: {
		name: N;
		/** What happened in this case: the value, path or box in question. */
		detail: string;
		/** Milliseconds after which a retry makes sense. */
		retryAfterMs?: number;
		/** What the caller may conclude; set on answers to callers. */
		run?: RunOutcome;
	};
}[ErrorName];
