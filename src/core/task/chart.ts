/**
 * Interprets state charts kept as JSON in XState's format (`charts/*.json`).
 * Only flat charts without actions are used, so a table look-up is the whole interpreter;
 * test/chart.test.ts checks that XState reads every step of the file the same way.
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

/** A chart whose states and events are known to the compiler. */
export interface Chart<S extends string, E extends string> {
	initial: S;
	/** The next state, or undefined if the state does not take the event. */
	next(state: S, event: E): S | undefined;
	/** Whether nothing follows the state. */
	isFinal(state: S): boolean;
}

/** Reads and checks a chart file. */
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
