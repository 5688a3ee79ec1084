/**
 * Model of a zone that an operator evacuates, under owners that die at any moment. Lists are read late or not at all; starts
 * are in flight, or get lost and are sent again. The guarantee: once an evacuation has been stored for longer than its
 * bound, and until it is revoked, nothing starts in the zone.
 */
import type * as explore from './explore.js';

/** The guards of the protocol, which has them all; each mutant leaves one out. `spec/expected.json` contains these names. */
export interface EvacuationGuards {
	/** Nothing is sent to a zone that the newest list evacuates. */
	obey: boolean;
	/** A start is sent only on the basis of a list that was recently known to hold. */
	freshList: boolean;
	/** An owner reads the list before its first start. */
	firstRead: boolean;
	/** The age of a list counts from the request for it. */
	askedAt: boolean;
	/** An unanswered start is sent again only where a first one would be sent. */
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

/** In ticks: the bound, how old a list may be at a start, and how long a start may be in flight. */
const boundTicks = 3;
const freshTicks = 1;
const orderTicks = 1;

/** Greater ages make no difference. */
const mostTicks = boundTicks + 1;

/** Evacuations, takeovers and tries of one start, at most. */
const mostEvacuations = 2;
const mostTakeovers = 1;
const mostTries = 2;

/** A list: whether it evacuates the zone, and how many ticks ago that held. */
interface List {
	evacuated: boolean;
	age: number;
}

/** A state of the model. */
export interface EvacuationState {
	/** Ticks since the evacuation in force was stored; null: there is none. */
	evacuated: number | null;
	evacuations: number;
	/** The list that the owner uses; null: it has read none. */
	known: List | null;
	/** An answer in flight to the owner; null: none. */
	answer: List | null;
	/** A start: the ticks that it has been in flight, or `lost`; null: there is none. */
	order: number | 'lost' | null;
	tries: number;
	takeovers: number;
	/** A start was carried out after the bound. */
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

/** Returns the model with the given guards. */
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
		// A start that takes longer is abandoned, or counts as carried out late.
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
