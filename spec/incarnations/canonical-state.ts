/**
 * Maps states that can't differ in what follows to one canonical state: this leaves fewer states to explore and loses none.
 */
import * as transitions from './transitions.js';
import * as types from './types.js';

/** An owner that has not taken over. */
export function newOwner(): types.Owner {
	return {
		phase: 'new',
		epoch: 0,
		ticksSinceConfirmation: 0,
		sessions: transitions.incarnationNames.map(() => null),
		placed: -1,
		run: 0,
		confirmed: false,
		unconfirmedRuns: transitions.incarnationNames.map(() => 0),
	};
}

/** Copies field by field: a general clone would take most of the exploration's time. */
export function copyState(state: types.IncarnationState): types.IncarnationState {
	return {
		...state,
		owners: state.owners.map((owner) => ({
			...owner,
			sessions: owner.sessions.map((session) => session && { ...session }),
			unconfirmedRuns: [...owner.unconfirmedRuns],
		})),
		incarnations: state.incarnations.map((incarnation) => ({ ...incarnation })),
		messages: state.messages.map((message) => ({ ...message })),
	};
}

/** Removes from the state what no later step depends on. */
export function canonicalize(
	next: types.IncarnationState,
	bounds: types.IncarnationBounds,
	faults: types.IncarnationFaults,
): types.IncarnationState {
	// Once the task has finished, nothing else matters.
	if (next.done) Object.assign(next, { owners: [], incarnations: [], messages: [], epoch: 0, roster: 0 });
	next.owners.forEach((owner) => {
		canonicalizeOwner(next, owner, bounds);
	});
	canonicalizeRoster(next);
	next.messages = next.messages.filter((message) => isRelevant(next, message, faults));
	next.messages.sort((a, b) => sortKeyOf(a) - sortKeyOf(b));
	next.incarnations.forEach((incarnation, incarnationIndex) => {
		canonicalizeIncarnation(next, incarnation, incarnationIndex);
	});
	return next;
}

function sortKeyOf({ kind, incarnation, epoch, run, leaseTicksLeft }: types.Message): number {
	return (((kind === 'hold' ? 100 : run) * 10 + epoch) * 10 + incarnation) * 10 + leaseTicksLeft;
}

function canonicalizeOwner(
	next: types.IncarnationState,
	owner: types.Owner,
	{ starts }: types.IncarnationBounds,
): void {
	const isReplaced = owner.phase === 'on' && owner.epoch < next.epoch;
	// It can only poll, and what it believes affects nothing any more.
	if (isReplaced && !transitions.isWithinHorizon(owner)) owner.phase = 'stopped';
	if (isReplaced && transitions.startCount(owner) >= starts) canonicalizeReplacedOwner(owner);
	if (owner.phase === 'stopped') Object.assign(owner, newOwner(), { phase: 'stopped' });
	if (owner.phase !== 'on') return;
	if (owner.placed === -1) owner.confirmed = false;
	owner.unconfirmedRuns = owner.unconfirmedRuns.map((run, incarnationIndex) =>
		next.incarnations[incarnationIndex]?.phase === 'over' ? 0 : run,
	);
	owner.sessions.forEach((session, incarnationIndex) => {
		if (session === null) return;
		// A later start grants a lease that expires no earlier than any granted before.
		if (session.state !== 'asked' && owner.placed !== incarnationIndex)
			session.ticksUntilLeaseExpiry = types.leaseExpiryConfirmed;
		// It can't store the incarnation on the roster any more, so it never starts anything there.
		if (isReplaced && isSessionIrrelevant(next, owner, session, incarnationIndex))
			owner.sessions[incarnationIndex] = null;
	});
	if (!hasSuccessor(next) && !isReplaced) canonicalizeLastOwner(owner);
}

/** A replaced owner with no starts left can only renew the lease of its own run. */
function canonicalizeReplacedOwner(owner: types.Owner): void {
	if (owner.placed === -1) owner.phase = 'stopped';
	owner.unconfirmedRuns.fill(0);
	owner.sessions = owner.sessions.map((session, incarnationIndex) =>
		session !== null && owner.placed === incarnationIndex
			? { state: 'heard', isOnStoredRoster: true, ticksUntilLeaseExpiry: types.leaseExpiryConfirmed }
			: null,
	);
}

function isSessionIrrelevant(
	next: types.IncarnationState,
	owner: types.Owner,
	session: types.Session,
	incarnationIndex: number,
): boolean {
	return (
		!session.isOnStoredRoster &&
		owner.placed !== incarnationIndex &&
		next.messages.every(({ incarnation }) => incarnation !== incarnationIndex)
	);
}

/** No owner will replace it, so it can confirm its epoch and write the roster at any time, and nobody reads the roster. */
function canonicalizeLastOwner(owner: types.Owner): void {
	owner.ticksSinceConfirmation = 0;
	for (const session of owner.sessions) {
		if (session === null) continue;
		session.isOnStoredRoster = true;
		if (session.ticksUntilLeaseExpiry === types.leasesExpired)
			session.ticksUntilLeaseExpiry = types.leaseExpiryConfirmed;
	}
}

/** Whether another owner may still take over. Only a takeover reads the roster. */
function hasSuccessor(state: types.IncarnationState): boolean {
	return state.owners.some((owner) => owner.phase === 'new');
}

/**
 * Takes an incarnation off the roster as soon as its session ends. Left there, it could only make a successor wait for more
 * incarnations.
 */
function canonicalizeRoster(next: types.IncarnationState): void {
	if (!hasSuccessor(next)) next.roster = 0;
	const owner = next.owners.find((one) => one.phase === 'on' && one.epoch === next.epoch);
	if (!hasSuccessor(next) || owner === undefined) return;
	next.roster = owner.sessions.reduce(
		(rosterBits, session, incarnationIndex) =>
			session?.isOnStoredRoster === true ? rosterBits | (1 << incarnationIndex) : rosterBits,
		0,
	);
}

/**
 * Whether a message can still have an effect. An expired lease has none, nor has a refused command if no owner learns of the
 * refusal.
 */
function isRelevant(
	next: types.IncarnationState,
	message: types.Message,
	faults: types.IncarnationFaults,
): boolean {
	const incarnation = next.incarnations[message.incarnation];
	const isSenderActive = next.owners.some((one) => one.phase === 'on' && one.epoch === message.epoch);
	const isFenced = incarnation !== undefined && incarnation.epoch > message.epoch && !faults.fenceless;
	const isIneffective = (incarnation?.phase === 'over' && !faults.anyLifeObeys) || isFenced;
	if (message.kind === 'hold') return message.leaseTicksLeft >= 0 && !isIneffective;
	return isSenderActive || !isIneffective;
}

/** Resets the epoch, the highest run and the lease once no command can arrive that is compared with them. */
function canonicalizeIncarnation(
	next: types.IncarnationState,
	incarnation: types.Incarnation,
	incarnationIndex: number,
): void {
	const starts = next.messages.filter(
		(message) => message.kind === 'start' && message.incarnation === incarnationIndex,
	);
	const isFenced = next.owners.some((owner) => owner.phase === 'on' && owner.epoch < incarnation.epoch);
	if (!isFenced && next.messages.every((message) => message.epoch >= incarnation.epoch))
		incarnation.epoch = 0;
	if (starts.every((start) => start.run > incarnation.highestExitedRun)) incarnation.highestExitedRun = 0;
	if (incarnation.running === 0 && starts.length === 0) incarnation.leaseTicksLeft = types.leasesExpired;
}
