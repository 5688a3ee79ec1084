/**
 * Model of worker incarnations: one task, an address that a second incarnation reuses, a second address, and owners that
 * follow one another. Each command names the incarnation that it is addressed to, and another incarnation at that address
 * reports the mismatch. Invariants: the task never runs twice at once, and it can always still be finished.
 *
 * The list of workers has no state here. At any time and in any order, an owner may read of any incarnation that has begun
 * that it is listed, or that it is not. That covers entries of dead incarnations that linger, entries that expire while the
 * incarnation runs on and that come back, changes that are seen late, and whole lists in any order. Time is kept as ticks
 * left, so the number of ticks has no bound. An owner that dies takes no more steps. `spec/dispatch.ts` covers what becomes
 * of a recorded exit; here the exploration ends when the task finishes.
 */
import * as alike from './alike.js';
import * as moves from './moves.js';
import * as types from './types.js';
import type * as explore from '../explore.js';

export * from './types.js';

/** Configuration of an exploration. */
export interface LivesOptions {
	name: string;
	bounds: types.LivesBounds;
	faults: types.LivesFaults;
}

type AddStep = (name: string, change: (next: types.LivesState) => void) => void;

/** An owner and an incarnation whose possible steps are collected. */
interface Acting {
	state: types.LivesState;
	owner: types.Owner;
	index: number;
	where: number;
	life: string;
	opts: LivesOptions;
}

/** Returns the model with the given faults and bounds. */
export function livesModel(opts: LivesOptions): explore.Model<types.LivesState> {
	const { owners, starts, reborn, messages, lateHolds, plannedStops } = opts.bounds;
	const lives = reborn ? '2 lives at an address and 1 at another' : '2 lives that last';
	const kinds = lateHolds ? 'starts and questions' : 'starts';
	const replaced = plannedStops ? 'replaced by planned stops' : 'replaced at any time';
	const who = owners === 1 ? '1 owner' : `${owners} owners, ${replaced}`;
	return {
		name: opts.name,
		bounds: `${who}, ${lives}, ${starts} starts each, ${messages} late ${kinds}, any number of ticks`,
		initial: initialState(opts.bounds),
		steps: (state) => stepsOf(state, opts),
		wrong: (state) => (state.wrong === '' ? undefined : state.wrong),
		goal: (state) => state.done,
		outOfBounds: (state) => isUsedUp(state, opts.bounds),
	};
}

function initialState({ owners }: types.LivesBounds): types.LivesState {
	return {
		epoch: 0,
		roster: 0,
		owners: Array.from({ length: owners }, alike.newOwner),
		lives: moves.names.map((_name, where) => ({
			phase: where === 1 ? 'before' : 'alive',
			epoch: 0,
			running: 0,
			highest: 0,
			left: types.over,
		})),
		messages: [],
		done: false,
		wrong: '',
	};
}

/** Whether the last owner has taken over and has no start left. */
function isUsedUp(state: types.LivesState, { starts }: types.LivesBounds): boolean {
	const newest = state.owners.at(-1);
	return newest !== undefined && newest.phase !== 'new' && moves.startsOf(newest) >= starts;
}

function stepsOf(state: types.LivesState, opts: LivesOptions): { name: string; next: types.LivesState }[] {
	const steps: { name: string; next: types.LivesState }[] = [];
	if (state.done || state.wrong !== '') return steps;
	const step: AddStep = (name, change) => {
		const next = alike.copy(state);
		change(next);
		if (next.lives.filter((life) => life.running !== 0).length > 1)
			next.wrong = 'the task runs in two places';
		steps.push({ name, next: alike.reduce(next, opts.bounds, opts.faults) });
	};
	lifeSteps(state, opts, step);
	messageSteps(state, opts, step);
	state.owners.forEach((owner, index) => {
		if (owner.phase === 'new') takeoverSteps(state, index, opts, step);
		if (owner.phase !== 'on') return;
		storeSteps(state, owner, index, opts, step);
		moves.names.forEach((life, where) => {
			const acting = { state, owner, index, where, life, opts };
			listSteps(acting, step);
			askSteps(acting, step);
			orderSteps(acting, step);
		});
	});
	step('time passes', moves.passTime);
	return steps;
}

function lifeSteps(state: types.LivesState, { bounds }: LivesOptions, step: AddStep): void {
	state.lives.forEach((life, where) => {
		const name = moves.names[where] ?? '';
		if (life.phase === 'before' && moves.answering(state, where) === -1)
			step(`life ${name} begins`, (next) => {
				moves.at(next.lives, where).phase = 'alive';
			});
		if (where === 0 && life.phase === 'alive' && bounds.reborn)
			step(`life ${name} crashes`, (next) => {
				moves.crash(next, where);
			});
		if (life.running !== 0)
			step(`the task finishes at ${name}`, (next) => {
				next.done = true;
			});
	});
}

function messageSteps(state: types.LivesState, { faults }: LivesOptions, step: AddStep): void {
	state.messages.forEach((message, index) => {
		const { kind, run } = message;
		const what = kind === 'start' ? `the start of run ${run}` : `a question under epoch ${message.epoch}`;
		const arrives = `${what} arrives for ${moves.names[message.life]}`;
		const take = (next: types.LivesState, answered: boolean): void => {
			next.messages.splice(index, 1);
			moves.arrive(next, message, answered, faults);
		};
		step(arrives, (next) => {
			take(next, true);
		});
		if (kind === 'start')
			step(`${arrives}, the answer is lost`, (next) => {
				take(next, false);
			});
	});
}

function takeoverSteps(
	state: types.LivesState,
	index: number,
	{ bounds, faults }: LivesOptions,
	step: AddStep,
): void {
	if (state.owners.findIndex((one) => one.phase === 'new') !== index) return;
	// An owner that stops as planned gives up the owner record, so its successor does not wait.
	const isFree = state.owners.every((one) => one.phase !== 'on');
	if (bounds.plannedStops && !isFree) return;
	step(`owner ${index} takes over`, (next) => {
		moves.takeOver(next, index, faults.stopSettles);
	});
}

function storeSteps(
	state: types.LivesState,
	owner: types.Owner,
	index: number,
	{ bounds }: LivesOptions,
	step: AddStep,
): void {
	const isLast = index === state.owners.length - 1;
	if (bounds.plannedStops && !isLast)
		step(`owner ${index} stops as planned`, (next) => {
			moves.at(next.owners, index).phase = 'stopped';
		});
	if (owner.epoch !== state.epoch) return;
	if (owner.age > 0 || owner.sessions.some((session) => session?.left === types.over))
		step(`owner ${index} confirms`, (next) => {
			moves.confirm(moves.at(next.owners, index));
		});
	if (owner.sessions.some((session) => session?.rostered === false))
		step(`owner ${index} writes the roster`, (next) => {
			moves.writeRoster(moves.at(next.owners, index));
		});
}

function listSteps({ state, owner, index, where, life, opts }: Acting, step: AddStep): void {
	const { faults } = opts;
	const session = owner.sessions[where];
	if (!session) {
		if (moves.at(state.lives, where).phase === 'before') return;
		step(`owner ${index} reads an entry for ${life}`, (next) => {
			moves.list(moves.at(next.owners, index), where, faults);
		});
		return;
	}
	const holdsNothing = session.state !== 'asked' && owner.placed !== where;
	if (holdsNothing || faults.goneWhileAlive)
		step(`owner ${index} reads a list without ${life}: it left and holds nothing`, (next) => {
			moves.leave(moves.at(next.owners, index), where, faults);
		});
}

function askSteps({ state, owner, index, where, life, opts }: Acting, step: AddStep): void {
	const { faults } = opts;
	const session = owner.sessions[where];
	if (!session) return;
	const there = moves.answering(state, where);
	const isDoubted = moves.at(owner.doubts, where) !== 0;
	if (there !== -1 && there !== where)
		step(`owner ${index} asks for ${life}: other life`, (next) => {
			moves.endLife(moves.at(next.owners, index), where);
		});
	if (there === where)
		step(`owner ${index} asks ${life}`, (next) => {
			const grants = moves.isWithinHorizon(owner) && (!isDoubted || faults.doubtLeased);
			moves.report(next, index, where, grants, faults);
		});
	const uncertain = moves.uncertainRun(owner, where);
	if (there === where && uncertain !== 0)
		step(`owner ${index} stops run ${uncertain} at ${life}, which may not be there yet`, (next) => {
			moves.stop(next, index, where, faults);
		});
	const isOwed = session.state === 'asked' || owner.placed === where;
	const isLeaseOver = session.left === types.believed || (session.left === types.over && faults.unconfirmed);
	if (isOwed && isLeaseOver)
		step(`owner ${index} takes all at ${life} for over: its lease has run out`, (next) => {
			moves.loseAll(moves.at(next.owners, index), where);
		});
}

function orderSteps({ state, owner, index, where, life, opts }: Acting, step: AddStep): void {
	const { bounds, faults } = opts;
	const session = owner.sessions[where];
	const isDoubted = moves.at(owner.doubts, where) !== 0;
	if (!session || !moves.isWithinHorizon(owner) || state.messages.length >= bounds.messages) return;
	if (bounds.lateHolds && (!isDoubted || faults.doubtLeased))
		step(`owner ${index} sends ${life} a question with a lease`, (next) => {
			moves.sendHold(next, moves.at(next.owners, index), where);
		});
	const isFree = owner.placed === -1 && owner.sessions.every((one) => one?.state !== 'asked');
	const isOpen = session.state === 'heard' && !isDoubted && (session.rostered || faults.unknownIsEmpty);
	if (isFree && isOpen && moves.startsOf(owner) < bounds.starts)
		step(`owner ${index} sends a start to ${life}`, (next) => {
			moves.sendStart(next, moves.at(next.owners, index), where);
		});
}
