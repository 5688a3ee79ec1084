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
const maxListAgeTicks = 1;
const startDeliveryTicks = 1;

/** Ages beyond this are alike. */
const maxAgeTicks = boundTicks + 1;

/** Evacuations, changes of the owner and tries of one start, at most. */
const maxEvacuations = 2;
const maxTakeovers = 1;
const maxTries = 2;

/** A list: whether it evacuates the zone, and how long ago it held. */
interface EvacuationList {
	evacuated: boolean;
	ageTicks: number;
}

/** A state of the model. */
export interface EvacuationState {
	/** Ticks since the evacuation in force was stored; null: there is none. */
	ticksSinceEvacuation: number | null;
	evacuations: number;
	/** What the owner goes by; null: it has read nothing. */
	known: EvacuationList | null;
	/** An answer on its way to the owner; null: none. */
	answer: EvacuationList | null;
	/** A start: on its way since so many ticks, or lost; null: there is none. */
	pendingStart: number | 'lost' | null;
	tries: number;
	takeovers: number;
	/** A start was carried out too late. */
	broken: boolean;
}

const initial: EvacuationState = {
	ticksSinceEvacuation: null,
	evacuations: 0,
	known: null,
	answer: null,
	pendingStart: null,
	tries: 0,
	takeovers: 0,
	broken: false,
};

/** The model with these guards. */
export function evacuationModel(name: string, guards: EvacuationGuards): explore.Model<EvacuationState> {
	const maySendStart = ({ known }: EvacuationState): boolean => {
		if (known === null) return !guards.firstRead;
		if (guards.obey && known.evacuated) return false;
		return !guards.freshList || known.ageTicks <= maxListAgeTicks;
	};

	const passTime = (next: EvacuationState): void => {
		const incrementAge = (ticks: number): number => Math.min(maxAgeTicks, ticks + 1);
		if (next.ticksSinceEvacuation !== null)
			next.ticksSinceEvacuation = incrementAge(next.ticksSinceEvacuation);
		if (next.known !== null) next.known.ageTicks = incrementAge(next.known.ageTicks);
		if (next.answer !== null) next.answer.ageTicks = incrementAge(next.answer.ageTicks);
		if (typeof next.pendingStart === 'number') next.pendingStart += 1;
	};

	const sendStart = (next: EvacuationState): void => {
		next.pendingStart = 0;
		next.tries += 1;
	};

	const receiveList = (next: EvacuationState): void => {
		if (next.answer !== null) next.known = guards.askedAt ? next.answer : { ...next.answer, ageTicks: 0 };
		next.answer = null;
	};

	const carryOutStart = (next: EvacuationState): void => {
		next.broken = next.ticksSinceEvacuation !== null && next.ticksSinceEvacuation > boundTicks;
		next.pendingStart = null;
		next.tries = 0;
	};

	const steps = (state: EvacuationState): { name: string; next: EvacuationState }[] => {
		const possibleSteps: { name: string; next: EvacuationState }[] = [];
		const step = (label: string, isPossible: boolean, act: (next: EvacuationState) => void): void => {
			if (!isPossible) return;
			const next = structuredClone(state);
			act(next);
			possibleSteps.push({ name: label, next });
		};
		const { ticksSinceEvacuation, pendingStart } = state;
		const isInFlight = typeof pendingStart === 'number';
		const mayEvacuate = ticksSinceEvacuation === null && state.evacuations < maxEvacuations;
		// An order that takes longer is given up, or counts as carried out late.
		step('time passes', !isInFlight || pendingStart < startDeliveryTicks, passTime);
		step('the operator evacuates the zone', mayEvacuate, (next) => {
			next.ticksSinceEvacuation = 0;
			next.evacuations += 1;
		});
		step('the operator takes that back', ticksSinceEvacuation !== null, (next) => {
			next.ticksSinceEvacuation = null;
		});
		step('the owner asks for the list', state.answer === null, (next) => {
			next.answer = { evacuated: ticksSinceEvacuation !== null, ageTicks: 0 };
		});
		step('the owner hears of the list', state.answer !== null, receiveList);
		step('the answer is lost', state.answer !== null, (next) => {
			next.answer = null;
		});
		step('the owner sends a start', pendingStart === null && maySendStart(state), sendStart);
		step('the start is carried out', isInFlight, carryOutStart);
		step('the start is lost', isInFlight, (next) => {
			next.pendingStart = next.tries < maxTries ? 'lost' : null;
			if (next.pendingStart === null) next.tries = 0;
		});
		step(
			'the owner sends it again',
			pendingStart === 'lost' && (!guards.recheck || maySendStart(state)),
			sendStart,
		);
		step('the owner gives it up', pendingStart === 'lost', (next) => {
			next.pendingStart = null;
			next.tries = 0;
		});
		step('another owner takes over', state.takeovers < maxTakeovers, (next) => {
			next.takeovers += 1;
			next.known = null;
			next.answer = null;
			if (next.pendingStart === 'lost') next.pendingStart = null;
		});
		return possibleSteps;
	};

	return {
		name,
		bounds: `${String(maxEvacuations)} evacuations, ${String(maxTakeovers)} takeover, ${String(maxTries)} tries`,
		initial,
		steps,
		violation: (state) => (state.broken ? 'a start in a zone that has long been evacuated' : undefined),
	};
}
