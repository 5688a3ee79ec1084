/**
 * Interprets state charts stored as JSON in XState's format (`charts/*.json`). The charts are flat and have no actions, so a
 * table look-up interprets them completely. test/chart.test.ts checks that XState makes the same transitions.
 */
import * as zod from 'zod';
import * as assets from '../assets.js';

const z = zod.z;

const chartSchema = z.object({
	id: z.string(),
	initial: z.string(),
	states: z.record(
		z.string(),
		z.object({ type: z.literal('final').optional(), on: z.record(z.string(), z.string()).optional() }),
	),
});

/** A chart as read from its file. */
export type ChartFile = zod.infer<typeof chartSchema>;

/** A chart with its states and events as types. */
export interface Chart<S extends string, E extends string> {
	initial: S;
	/** The next state; undefined if the state does not accept the event. */
	next(state: S, event: E): S | undefined;
	/** Whether the state is final. */
	isFinal(state: S): boolean;
}

/** Reads and validates a chart file. */
export function readChartFile(relative: string): ChartFile {
	return chartSchema.parse(assets.readJsonAsset(relative));
}

/** Builds the interpreter of a chart file. */
export function loadChart<S extends string, E extends string>(relative: string): Chart<S, E> {
	const file = readChartFile(relative);
	return {
		initial: file.initial as S,
		next: (state, event) => file.states[state]?.on?.[event] as S | undefined,
		isFinal: (state) => file.states[state]?.type === 'final',
	};
}
