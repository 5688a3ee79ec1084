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
	violation: (state: S) => string | undefined;
	/** Whether the state is a goal. A goal should be reachable from every state. */
	isGoal?: (state: S) => boolean;
	/** Whether the bounds cut the state off, so that no goal need be reachable from it. */
	isOutOfBounds?: (state: S) => boolean;
}

/** The steps that are possible in a state, and a function that adds one if it is: `act` changes a copy of the state. */
export interface StepCollector<S> {
	possibleSteps: { name: string; next: S }[];
	step: (name: string, isPossible: boolean, act: (next: S) => void) => void;
}

/** Collects the steps of a state. */
export function collectSteps<S>(state: S): StepCollector<S> {
	const possibleSteps: StepCollector<S>['possibleSteps'] = [];
	return {
		possibleSteps,
		step: (name, isPossible, act) => {
			if (!isPossible) return;
			const next = structuredClone(state);
			act(next);
			possibleSteps.push({ name, next });
		},
	};
}

/** Result of an exploration. */
export type Verdict =
	| { kind: 'holds'; states: number; steps: number; stuck: number }
	| { kind: 'wrong'; states: number; violation: string; trace: string[] };

class ViolationFound extends Error {
	constructor(
		readonly key: string,
		readonly violation: string,
	) {
		super(violation);
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
	const initialKey = JSON.stringify(model.initial);
	/** The number of each state seen, by its JSON text. */
	const states = new Map<string, number>([[initialKey, 0]]);
	const parents = new Map<string, Parent>();
	/** By a state's number, the numbers of the states that lead to it. */
	const predecessors: number[][] = [[]];
	let steps = 0;
	const logic = xstate.fromTransition((_state: { key: string }, event: StepEvent) => ({ key: event.next }), {
		key: initialKey,
	});
	const stateOf = (key: string): S => JSON.parse(key) as S;
	const stepsToNewStates = (from: string): StepEvent[] => {
		const newSteps: StepEvent[] = [];
		const number = states.get(from) ?? 0;
		for (const step of model.steps(stateOf(from))) {
			const next = JSON.stringify(step.next);
			steps += 1;
			const seenNumber = states.get(next);
			if (seenNumber !== undefined) {
				predecessors[seenNumber]?.push(number);
				continue;
			}
			predecessors[states.size] = [number];
			states.set(next, states.size);
			parents.set(next, { from, step: step.name });
			newSteps.push({ type: step.name, next });
		}
		return newSteps;
	};
	try {
		graph.getAdjacencyMap(logic, {
			limit: Infinity,
			serializeState: (snapshot) => snapshot.context.key,
			serializeEvent: (event) => event.next,
			stopWhen: (snapshot) => {
				const { key } = snapshot.context;
				const violation = model.violation(stateOf(key));
				if (violation !== undefined) throw new ViolationFound(key, violation);
				return false;
			},
			events: (snapshot) => stepsToNewStates(snapshot.context.key),
		});
		return {
			kind: 'holds',
			states: states.size,
			steps,
			stuck: countStuckStates(model, states, predecessors),
		};
	} catch (err) {
		if (!(err instanceof ViolationFound)) throw err;
		return { kind: 'wrong', states: states.size, violation: err.violation, trace: traceTo(parents, err.key) };
	}
}

/** Counts the states within bounds from which no goal can be reached: work that could never finish. */
function countStuckStates<S>(model: Model<S>, states: Map<string, number>, predecessors: number[][]): number {
	const { isGoal } = model;
	if (isGoal === undefined) return 0;
	const isOutOfBounds = model.isOutOfBounds ?? (() => false);
	const worklist: number[] = [];
	const inBounds: number[] = [];
	for (const [key, number] of states) {
		const state = JSON.parse(key) as S;
		if (isGoal(state)) worklist.push(number);
		else if (!isOutOfBounds(state)) inBounds.push(number);
	}
	const canReachGoal = new Set(worklist);
	for (let number = worklist.pop(); number !== undefined; number = worklist.pop()) {
		for (const from of predecessors[number] ?? []) {
			if (canReachGoal.has(from)) continue;
			canReachGoal.add(from);
			worklist.push(from);
		}
	}
	return inBounds.filter((number) => !canReachGoal.has(number)).length;
}

function traceTo(parents: Map<string, Parent>, end: string): string[] {
	const trace: string[] = [];
	for (let parent = parents.get(end); parent !== undefined; parent = parents.get(parent.from))
		trace.unshift(parent.step);
	return trace;
}
