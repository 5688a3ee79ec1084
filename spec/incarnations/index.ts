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
import * as canonical from './canonical-state.js';
import * as transitions from './transitions.js';
import * as types from './types.js';
import type * as explore from '../explore.js';

export * from './types.js';

/** Configuration of an exploration. */
export interface IncarnationOptions {
	name: string;
	bounds: types.IncarnationBounds;
	faults: types.IncarnationFaults;
}

type AddStep = (name: string, change: (next: types.IncarnationState) => void) => void;

/** An owner and an incarnation whose possible steps are collected. */
interface StepContext {
	state: types.IncarnationState;
	owner: types.Owner;
	ownerIndex: number;
	incarnationIndex: number;
	incarnationName: string;
	opts: IncarnationOptions;
}

/** Returns the model with the given faults and bounds. */
export function incarnationModel(opts: IncarnationOptions): explore.Model<types.IncarnationState> {
	const { owners, starts, reusesAddress, maxMessagesInFlight, lateReportRequests, plannedStops } =
		opts.bounds;
	const incarnationsText = reusesAddress ? '2 lives at an address and 1 at another' : '2 lives that last';
	const lateKinds = lateReportRequests ? 'starts and questions' : 'starts';
	const replacementText = plannedStops ? 'replaced by planned stops' : 'replaced at any time';
	const ownersText = owners === 1 ? '1 owner' : `${owners} owners, ${replacementText}`;
	return {
		name: opts.name,
		bounds: `${ownersText}, ${incarnationsText}, ${starts} starts each, ${maxMessagesInFlight} late ${lateKinds}, any number of ticks`,
		initial: initialState(opts.bounds),
		steps: (state) => stepsOf(state, opts),
		violation: (state) => (state.violation === '' ? undefined : state.violation),
		isGoal: (state) => state.done,
		isOutOfBounds: (state) => isOutOfStarts(state, opts.bounds),
	};
}

function initialState({ owners }: types.IncarnationBounds): types.IncarnationState {
	return {
		epoch: 0,
		roster: 0,
		owners: Array.from({ length: owners }, canonical.newOwner),
		incarnations: transitions.incarnationNames.map((_name, incarnationIndex) => ({
			phase: incarnationIndex === 1 ? 'before' : 'alive',
			epoch: 0,
			running: 0,
			highestExitedRun: 0,
			leaseTicksLeft: types.leasesExpired,
		})),
		messages: [],
		done: false,
		violation: '',
	};
}

/** Whether the last owner has taken over and has no start left. */
function isOutOfStarts(state: types.IncarnationState, { starts }: types.IncarnationBounds): boolean {
	const newest = state.owners.at(-1);
	return newest !== undefined && newest.phase !== 'new' && transitions.startCount(newest) >= starts;
}

function stepsOf(
	state: types.IncarnationState,
	opts: IncarnationOptions,
): { name: string; next: types.IncarnationState }[] {
	const steps: { name: string; next: types.IncarnationState }[] = [];
	if (state.done || state.violation !== '') return steps;
	const step: AddStep = (name, change) => {
		const next = canonical.copyState(state);
		change(next);
		if (next.incarnations.filter((incarnation) => incarnation.running !== 0).length > 1)
			next.violation = 'the task runs in two places';
		steps.push({ name, next: canonical.canonicalize(next, opts.bounds, opts.faults) });
	};
	incarnationSteps(state, opts, step);
	messageSteps(state, opts, step);
	state.owners.forEach((owner, ownerIndex) => {
		if (owner.phase === 'new') takeoverSteps(state, ownerIndex, opts, step);
		if (owner.phase !== 'on') return;
		storeSteps(state, owner, ownerIndex, opts, step);
		transitions.incarnationNames.forEach((incarnationName, incarnationIndex) => {
			const context = { state, owner, ownerIndex, incarnationIndex, incarnationName, opts };
			listSteps(context, step);
			pollSteps(context, step);
			commandSteps(context, step);
		});
	});
	step('time passes', transitions.passTime);
	return steps;
}

function incarnationSteps(
	state: types.IncarnationState,
	{ bounds }: IncarnationOptions,
	step: AddStep,
): void {
	state.incarnations.forEach((incarnation, incarnationIndex) => {
		const name = transitions.incarnationNames[incarnationIndex] ?? '';
		if (incarnation.phase === 'before' && transitions.answeringIncarnation(state, incarnationIndex) === -1)
			step(`life ${name} begins`, (next) => {
				transitions.at(next.incarnations, incarnationIndex).phase = 'alive';
			});
		if (incarnationIndex === 0 && incarnation.phase === 'alive' && bounds.reusesAddress)
			step(`life ${name} crashes`, (next) => {
				transitions.crash(next, incarnationIndex);
			});
		if (incarnation.running !== 0)
			step(`the task finishes at ${name}`, (next) => {
				next.done = true;
			});
	});
}

function messageSteps(state: types.IncarnationState, { faults }: IncarnationOptions, step: AddStep): void {
	state.messages.forEach((message, index) => {
		const { kind, run } = message;
		const what = kind === 'start' ? `the start of run ${run}` : `a question under epoch ${message.epoch}`;
		const arrives = `${what} arrives for ${transitions.incarnationNames[message.incarnation]}`;
		const deliverMessage = (next: types.IncarnationState, answered: boolean): void => {
			next.messages.splice(index, 1);
			transitions.deliver(next, message, answered, faults);
		};
		step(arrives, (next) => {
			deliverMessage(next, true);
		});
		if (kind === 'start')
			step(`${arrives}, the answer is lost`, (next) => {
				deliverMessage(next, false);
			});
	});
}

function takeoverSteps(
	state: types.IncarnationState,
	ownerIndex: number,
	{ bounds, faults }: IncarnationOptions,
	step: AddStep,
): void {
	if (state.owners.findIndex((one) => one.phase === 'new') !== ownerIndex) return;
	// An owner that stops as planned gives up the owner record, so its successor does not wait.
	const areOwnersStopped = state.owners.every((one) => one.phase !== 'on');
	if (bounds.plannedStops && !areOwnersStopped) return;
	step(`owner ${ownerIndex} takes over`, (next) => {
		transitions.takeOver(next, ownerIndex, faults.stopSettles);
	});
}

function storeSteps(
	state: types.IncarnationState,
	owner: types.Owner,
	ownerIndex: number,
	{ bounds }: IncarnationOptions,
	step: AddStep,
): void {
	const isLast = ownerIndex === state.owners.length - 1;
	if (bounds.plannedStops && !isLast)
		step(`owner ${ownerIndex} stops as planned`, (next) => {
			transitions.at(next.owners, ownerIndex).phase = 'stopped';
		});
	if (owner.epoch !== state.epoch) return;
	if (
		owner.ticksSinceConfirmation > 0 ||
		owner.sessions.some((session) => session?.ticksUntilLeaseExpiry === types.leasesExpired)
	)
		step(`owner ${ownerIndex} confirms`, (next) => {
			transitions.confirmEpoch(transitions.at(next.owners, ownerIndex));
		});
	if (owner.sessions.some((session) => session?.isOnStoredRoster === false))
		step(`owner ${ownerIndex} writes the roster`, (next) => {
			transitions.writeRoster(transitions.at(next.owners, ownerIndex));
		});
}

function listSteps(
	{ state, owner, ownerIndex, incarnationIndex, incarnationName, opts }: StepContext,
	step: AddStep,
): void {
	const { faults } = opts;
	const session = owner.sessions[incarnationIndex];
	if (!session) {
		if (transitions.at(state.incarnations, incarnationIndex).phase === 'before') return;
		step(`owner ${ownerIndex} reads an entry for ${incarnationName}`, (next) => {
			transitions.applyListEntry(transitions.at(next.owners, ownerIndex), incarnationIndex, faults);
		});
		return;
	}
	const holdsNothing = session.state !== 'asked' && owner.placed !== incarnationIndex;
	if (holdsNothing || faults.goneWhileAlive)
		step(`owner ${ownerIndex} reads a list without ${incarnationName}: it left and holds nothing`, (next) => {
			transitions.applyDeparture(transitions.at(next.owners, ownerIndex), incarnationIndex, faults);
		});
}

function pollSteps(
	{ state, owner, ownerIndex, incarnationIndex, incarnationName, opts }: StepContext,
	step: AddStep,
): void {
	const { faults } = opts;
	const session = owner.sessions[incarnationIndex];
	if (!session) return;
	const answeringIndex = transitions.answeringIncarnation(state, incarnationIndex);
	const hasUnconfirmedRun = transitions.at(owner.unconfirmedRuns, incarnationIndex) !== 0;
	if (answeringIndex !== -1 && answeringIndex !== incarnationIndex)
		step(`owner ${ownerIndex} asks for ${incarnationName}: other life`, (next) => {
			transitions.endIncarnation(transitions.at(next.owners, ownerIndex), incarnationIndex);
		});
	if (answeringIndex === incarnationIndex)
		step(`owner ${ownerIndex} asks ${incarnationName}`, (next) => {
			const grantsLease = transitions.isWithinHorizon(owner) && (!hasUnconfirmedRun || faults.doubtLeased);
			transitions.poll(next, ownerIndex, incarnationIndex, grantsLease, faults);
		});
	const unconfirmedRun = transitions.unconfirmedRunAt(owner, incarnationIndex);
	if (answeringIndex === incarnationIndex && unconfirmedRun !== 0)
		step(
			`owner ${ownerIndex} stops run ${unconfirmedRun} at ${incarnationName}, which may not be there yet`,
			(next) => {
				transitions.stopRun(next, ownerIndex, incarnationIndex, faults);
			},
		);
	const mayHoldRun = session.state === 'asked' || owner.placed === incarnationIndex;
	const isLeaseExpired =
		session.ticksUntilLeaseExpiry === types.leaseExpiryConfirmed ||
		(session.ticksUntilLeaseExpiry === types.leasesExpired && faults.unconfirmed);
	if (mayHoldRun && isLeaseExpired)
		step(`owner ${ownerIndex} takes all at ${incarnationName} for over: its lease has run out`, (next) => {
			transitions.presumeAllLost(transitions.at(next.owners, ownerIndex), incarnationIndex);
		});
}

function commandSteps(
	{ state, owner, ownerIndex, incarnationIndex, incarnationName, opts }: StepContext,
	step: AddStep,
): void {
	const { bounds, faults } = opts;
	const session = owner.sessions[incarnationIndex];
	const hasUnconfirmedRun = transitions.at(owner.unconfirmedRuns, incarnationIndex) !== 0;
	if (!session || !transitions.isWithinHorizon(owner) || state.messages.length >= bounds.maxMessagesInFlight)
		return;
	if (bounds.lateReportRequests && (!hasUnconfirmedRun || faults.doubtLeased))
		step(`owner ${ownerIndex} sends ${incarnationName} a question with a lease`, (next) => {
			transitions.sendReportRequest(next, transitions.at(next.owners, ownerIndex), incarnationIndex);
		});
	const isTaskFree = owner.placed === -1 && owner.sessions.every((one) => one?.state !== 'asked');
	const mayStartHere =
		session.state === 'heard' && !hasUnconfirmedRun && (session.isOnStoredRoster || faults.unknownIsEmpty);
	if (isTaskFree && mayStartHere && transitions.startCount(owner) < bounds.starts)
		step(`owner ${ownerIndex} sends a start to ${incarnationName}`, (next) => {
			transitions.sendStart(next, transitions.at(next.owners, ownerIndex), incarnationIndex);
		});
}
