/** The failure values, one tag a row of the catalogue. */
import type * as catalogue from './catalogue.js';

/** Name of a catalogue row. */
export type ErrorName = keyof typeof catalogue.errorCatalogue;

/** What a caller may conclude about a request that failed. */
export type RunOutcome = 'not-run' | 'may-have-run';

/** A failure: the catalogue row's name, what happened this time, and when to come back. */
export type Failure = {
	[N in ErrorName]: {
		name: N;
		/** What happened this time: the value, path or box in question. */
		detail: string;
		/** Milliseconds after which another try makes sense. */
		retryAfterMs?: number;
		/** Set on answers to callers. */
		run?: RunOutcome;
	};
}[ErrorName];
