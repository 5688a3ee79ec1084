/**
 * Explores a model completely, breadth first, with XState's graph traversal, and finds the shortest trace to a violation.
 */
import * as xstate from 'xstate';
import * as graph from 'xstate/graph';

/** A model: small, pure, and finite within its bounds. */
export interface Model<S> {
	name: string;
	/** The bounds of the exploration, as printed. */
	bounds: string;
	initial: S;
	/** The steps possible in a state; a name is unique within the state. */
	steps: (state: S) => { name: string; next: S }[];
	/** Describes the invariant that a state violates; undefined: none. */
	wrong: (state: S) => string | undefined;
	/** Whether the state is a goal. A goal should be reachable from every state. */
	goal?: (state: S) => boolean;
	/** Whether the bounds cut the state off, so that no goal need be reachable from it. */
	outOfBounds?: (state: S) => boolean;
}

/** Result of an exploration. */
export type Verdict =
	| { kind: 'holds'; states: number; steps: number; stuck: number }
	| { kind: 'wrong'; states: number; what: string; trace: string[] };

class FoundWrong extends Error {
	constructor(
		readonly key: string,
		readonly what: string,
	) {
		super(what);
	}
}

interface StepEvent {
	type: string;
	next: string;
}

interface Parent {
	from: string;
	step: string;
}

/**
 * Explores every state, or up to the first violation. Steps to states already seen are not passed to the traversal, whose
 * queue would grow with the steps instead of the states. They are recorded for the check that goals are reachable.
 */
export function explore<S>(model: Model<S>): Verdict {
	const first = JSON.stringify(model.initial);
	/** The number of each state seen, by its JSON text. */
	const states = new Map<string, number>([[first, 0]]);
	const parents = new Map<string, Parent>();
	/** By a state's number, the numbers of the states that lead to it. */
	const before: number[][] = [[]];
	let steps = 0;
	const logic = xstate.fromTransition((_state: { key: string }, event: StepEvent) => ({ key: event.next }), {
		key: first,
	});
	const stateOf = (key: string): S => JSON.parse(key) as S;
	const freshSteps = (from: string): StepEvent[] => {
		const fresh: StepEvent[] = [];
		const number = states.get(from) ?? 0;
		for (const step of model.steps(stateOf(from))) {
			const next = JSON.stringify(step.next);
			steps += 1;
			const seen = states.get(next);
			if (seen !== undefined) {
				before[seen]?.push(number);
				continue;
			}
			before[states.size] = [number];
			states.set(next, states.size);
			parents.set(next, { from, step: step.name });
			fresh.push({ type: step.name, next });
		}
		return fresh;
	};
	try {
		graph.getAdjacencyMap(logic, {
			limit: Infinity,
			serializeState: (snapshot) => snapshot.context.key,
			serializeEvent: (event) => event.next,
			stopWhen: (snapshot) => {
				const { key } = snapshot.context;
				const what = model.wrong(stateOf(key));
				if (what !== undefined) throw new FoundWrong(key, what);
				return false;
			},
			events: (snapshot) => freshSteps(snapshot.context.key),
		});
		return { kind: 'holds', states: states.size, steps, stuck: countStuck(model, states, before) };
	} catch (err) {
		if (!(err instanceof FoundWrong)) throw err;
		return { kind: 'wrong', states: states.size, what: err.what, trace: traceTo(parents, err.key) };
	}
}

/** Counts the states within bounds from which no goal can be reached: work that could never finish. */
function countStuck<S>(model: Model<S>, states: Map<string, number>, before: number[][]): number {
	const { goal } = model;
	if (goal === undefined) return 0;
	const cutOff = model.outOfBounds ?? (() => false);
	const reached: number[] = [];
	const within: number[] = [];
	for (const [key, number] of states) {
		const state = JSON.parse(key) as S;
		if (goal(state)) reached.push(number);
		else if (!cutOff(state)) within.push(number);
	}
	const good = new Set(reached);
	for (let number = reached.pop(); number !== undefined; number = reached.pop()) {
		for (const from of before[number] ?? []) {
			if (good.has(from)) continue;
			good.add(from);
			reached.push(from);
		}
	}
	return within.filter((number) => !good.has(number)).length;
}

function traceTo(parents: Map<string, Parent>, end: string): string[] {
	const trace: string[] = [];
	for (let parent = parents.get(end); parent !== undefined; parent = parents.get(parent.from))
		trace.unshift(parent.step);
	return trace;
}
