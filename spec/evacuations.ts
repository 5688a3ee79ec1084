/**
 * Model of a zone that an operator evacuates, under owners that die at any moment. Lists are read late or not at all; starts
 * are in flight, or get lost and are sent again. The guarantee: once an evacuation has been stored for longer than its
 * bound, and until it is revoked, nothing starts in the zone.
 */
import * as explore from './explore.js';

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
const maxListAgeTicks = 1;
const startDeliveryTicks = 1;

/** Greater ages make no difference. */
const maxAgeTicks = boundTicks + 1;

/** Evacuations, takeovers and tries of one start, at most. */
const maxEvacuations = 2;
const maxTakeovers = 1;
const maxTries = 2;

/** A list: whether it evacuates the zone, and how many ticks ago that held. */
interface EvacuationList {
	evacuated: boolean;
	ageTicks: number;
}

/** A state of the model. */
export interface EvacuationState {
	/** Ticks since the evacuation in force was stored; null: there is none. */
	ticksSinceEvacuation: number | null;
	evacuations: number;
	/** The list that the owner uses; null: it has read none. */
	known: EvacuationList | null;
	/** An answer in flight to the owner; null: none. */
	answer: EvacuationList | null;
	/** A start: the ticks that it has been in flight, or `lost`; null: there is none. */
	pendingStart: number | 'lost' | null;
	tries: number;
	takeovers: number;
	/** A start was carried out after the bound. */
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

/** Returns the model with the given guards. */
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
		const { possibleSteps, step } = explore.collectSteps(state);
		const { ticksSinceEvacuation, pendingStart } = state;
		const isInFlight = typeof pendingStart === 'number';
		const mayEvacuate = ticksSinceEvacuation === null && state.evacuations < maxEvacuations;
		// A start that takes longer is abandoned, or counts as carried out late.
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
