/**
 * Model of a zone that an operator evacuates, under owners that die at any moment: lists that are read late or not at all,
 * starts that are on their way or get lost and are sent again. The promise: once an evacuation has been stored for longer
 * than its bound, and until it is taken back, nothing starts in the zone.
 */
import type * as explore from './explore.js';

/** The guards, all on in the protocol. */
export interface EvacuationGuards {
	/** Nothing is sent to a zone that the newest list evacuates. */
	obey: boolean;
	/** Starts go by a list that was known to hold lately. */
	freshList: boolean;
	/** An owner reads the list before its first start. */
	firstRead: boolean;
	/** A list is as old as the question for it. */
	askedAt: boolean;
	/** A start that got no answer is sent again only where a first one would be. */
	recheck: boolean;
}

/** Every guard on. */
export const allEvacuationGuards: EvacuationGuards = {
	obey: true,
	freshList: true,
	firstRead: true,
	askedAt: true,
	recheck: true,
};

/** In ticks: the bound, how old a list may be at a start, and how long an order is on its way. */
const boundTicks = 3;
const freshTicks = 1;
const orderTicks = 1;

/** Ages beyond this are alike. */
const mostTicks = boundTicks + 1;

/** Evacuations, changes of the owner and tries of one start, at most. */
const mostEvacuations = 2;
const mostTakeovers = 1;
const mostTries = 2;

/** A list: whether it evacuates the zone, and how long ago it held. */
interface List {
	evacuated: boolean;
	age: number;
}

/** A state of the model. */
export interface EvacuationState {
	/** Ticks since the evacuation in force was stored; null: there is none. */
	evacuated: number | null;
	evacuations: number;
	/** What the owner goes by; null: it has read nothing. */
	known: List | null;
	/** An answer on its way to the owner; null: none. */
	answer: List | null;
	/** A start: on its way since so many ticks, or lost; null: there is none. */
	order: number | 'lost' | null;
	tries: number;
	takeovers: number;
	/** A start was carried out too late. */
	broken: boolean;
}

const initial: EvacuationState = {
	evacuated: null,
	evacuations: 0,
	known: null,
	answer: null,
	order: null,
	tries: 0,
	takeovers: 0,
	broken: false,
};

/** The model with these guards. */
export function evacuationModel(name: string, guards: EvacuationGuards): explore.Model<EvacuationState> {
	const maySend = ({ known }: EvacuationState): boolean => {
		if (known === null) return !guards.firstRead;
		if (guards.obey && known.evacuated) return false;
		return !guards.freshList || known.age <= freshTicks;
	};

	const tick = (next: EvacuationState): void => {
		const older = (age: number): number => Math.min(mostTicks, age + 1);
		if (next.evacuated !== null) next.evacuated = older(next.evacuated);
		if (next.known !== null) next.known.age = older(next.known.age);
		if (next.answer !== null) next.answer.age = older(next.answer.age);
		if (typeof next.order === 'number') next.order += 1;
	};

	const send = (next: EvacuationState): void => {
		next.order = 0;
		next.tries += 1;
	};

	const hear = (next: EvacuationState): void => {
		if (next.answer !== null) next.known = guards.askedAt ? next.answer : { ...next.answer, age: 0 };
		next.answer = null;
	};

	const carryOut = (next: EvacuationState): void => {
		next.broken = next.evacuated !== null && next.evacuated > boundTicks;
		next.order = null;
		next.tries = 0;
	};

	const steps = (state: EvacuationState): { name: string; next: EvacuationState }[] => {
		const found: { name: string; next: EvacuationState }[] = [];
		const step = (label: string, isPossible: boolean, act: (next: EvacuationState) => void): void => {
			if (!isPossible) return;
			const next = structuredClone(state);
			act(next);
			found.push({ name: label, next });
		};
		const { evacuated, order } = state;
		const isUnderWay = typeof order === 'number';
		const mayEvacuate = evacuated === null && state.evacuations < mostEvacuations;
		// An order that takes longer is given up, or counts as carried out late.
		step('time passes', !isUnderWay || order < orderTicks, tick);
		step('the operator evacuates the zone', mayEvacuate, (next) => {
			next.evacuated = 0;
			next.evacuations += 1;
		});
		step('the operator takes that back', evacuated !== null, (next) => {
			next.evacuated = null;
		});
		step('the owner asks for the list', state.answer === null, (next) => {
			next.answer = { evacuated: evacuated !== null, age: 0 };
		});
		step('the owner hears of the list', state.answer !== null, hear);
		step('the answer is lost', state.answer !== null, (next) => {
			next.answer = null;
		});
		step('the owner sends a start', order === null && maySend(state), send);
		step('the start is carried out', isUnderWay, carryOut);
		step('the start is lost', isUnderWay, (next) => {
			next.order = next.tries < mostTries ? 'lost' : null;
			if (next.order === null) next.tries = 0;
		});
		step('the owner sends it again', order === 'lost' && (!guards.recheck || maySend(state)), send);
		step('the owner gives it up', order === 'lost', (next) => {
			next.order = null;
			next.tries = 0;
		});
		step('another owner takes over', state.takeovers < mostTakeovers, (next) => {
			next.takeovers += 1;
			next.known = null;
			next.answer = null;
			if (next.order === 'lost') next.order = null;
		});
		return found;
	};

	return {
		name,
		bounds: `${String(mostEvacuations)} evacuations, ${String(mostTakeovers)} takeover, ${String(mostTries)} tries`,
		initial,
		steps,
		wrong: (state) => (state.broken ? 'a start in a zone that has long been evacuated' : undefined),
	};
}
