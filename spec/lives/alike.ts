/**
 * Maps states that can't differ in what follows to one canonical state: this leaves fewer states to explore and loses none.
 */
import * as moves from './moves.js';
import * as types from './types.js';

/** An owner that has not taken over. */
export function newOwner(): types.Owner {
	return {
		phase: 'new',
		epoch: 0,
		age: 0,
		sessions: moves.names.map(() => null),
		placed: -1,
		run: 0,
		confirmed: false,
		doubts: moves.names.map(() => 0),
	};
}

/** Copies field by field: a general clone would take most of the exploration's time. */
export function copy(state: types.LivesState): types.LivesState {
	return {
		...state,
		owners: state.owners.map((owner) => ({
			...owner,
			sessions: owner.sessions.map((session) => session && { ...session }),
			doubts: [...owner.doubts],
		})),
		lives: state.lives.map((life) => ({ ...life })),
		messages: state.messages.map((message) => ({ ...message })),
	};
}

/** Removes from the state what no later step depends on. */
export function reduce(
	next: types.LivesState,
	bounds: types.LivesBounds,
	faults: types.LivesFaults,
): types.LivesState {
	// Once the task has finished, nothing else matters.
	if (next.done) Object.assign(next, { owners: [], lives: [], messages: [], epoch: 0, roster: 0 });
	next.owners.forEach((owner) => {
		reduceOwner(next, owner, bounds);
	});
	reduceRoster(next);
	next.messages = next.messages.filter((message) => isOfUse(next, message, faults));
	next.messages.sort((a, b) => orderOf(a) - orderOf(b));
	next.lives.forEach((life, where) => {
		reduceLife(next, life, where);
	});
	return next;
}

function orderOf({ kind, life, epoch, run, left }: types.Message): number {
	return (((kind === 'hold' ? 100 : run) * 10 + epoch) * 10 + life) * 10 + left;
}

function reduceOwner(next: types.LivesState, owner: types.Owner, { starts }: types.LivesBounds): void {
	const isReplaced = owner.phase === 'on' && owner.epoch < next.epoch;
	// It can only poll, and what it believes affects nothing any more.
	if (isReplaced && !moves.isWithinHorizon(owner)) owner.phase = 'stopped';
	if (isReplaced && moves.startsOf(owner) >= starts) reduceReplaced(owner);
	if (owner.phase === 'stopped') Object.assign(owner, newOwner(), { phase: 'stopped' });
	if (owner.phase !== 'on') return;
	if (owner.placed === -1) owner.confirmed = false;
	owner.doubts = owner.doubts.map((run, where) => (next.lives[where]?.phase === 'over' ? 0 : run));
	owner.sessions.forEach((session, where) => {
		if (session === null) return;
		// A later start grants a lease that expires no earlier than any granted before.
		if (session.state !== 'asked' && owner.placed !== where) session.left = types.believed;
		// It can't store the incarnation on the roster any more, so it never starts anything there.
		if (isReplaced && isForgettable(next, owner, session, where)) owner.sessions[where] = null;
	});
	if (!hasSuccessor(next) && !isReplaced) reduceLast(owner);
}

/** A replaced owner with no starts left can only renew the lease of its own run. */
function reduceReplaced(owner: types.Owner): void {
	if (owner.placed === -1) owner.phase = 'stopped';
	owner.doubts.fill(0);
	owner.sessions = owner.sessions.map((session, where) =>
		session !== null && owner.placed === where
			? { state: 'heard', rostered: true, left: types.believed }
			: null,
	);
}

function isForgettable(
	next: types.LivesState,
	owner: types.Owner,
	session: types.Session,
	where: number,
): boolean {
	return !session.rostered && owner.placed !== where && next.messages.every(({ life }) => life !== where);
}

/** No owner will replace it, so it can confirm its epoch and write the roster at any time, and nobody reads the roster. */
function reduceLast(owner: types.Owner): void {
	owner.age = 0;
	for (const session of owner.sessions) {
		if (session === null) continue;
		session.rostered = true;
		if (session.left === types.over) session.left = types.believed;
	}
}

/** Whether another owner may still take over. Only a takeover reads the roster. */
function hasSuccessor(state: types.LivesState): boolean {
	return state.owners.some((owner) => owner.phase === 'new');
}

/**
 * Takes an incarnation off the roster as soon as its session ends. Left there, it could only make a successor wait for more
 * incarnations.
 */
function reduceRoster(next: types.LivesState): void {
	if (!hasSuccessor(next)) next.roster = 0;
	const owner = next.owners.find((one) => one.phase === 'on' && one.epoch === next.epoch);
	if (!hasSuccessor(next) || owner === undefined) return;
	next.roster = owner.sessions.reduce(
		(lives, session, where) => (session?.rostered === true ? lives | (1 << where) : lives),
		0,
	);
}

/**
 * Whether a message can still have an effect. An expired lease has none, nor has a refused command if no owner learns of the
 * refusal.
 */
function isOfUse(next: types.LivesState, message: types.Message, faults: types.LivesFaults): boolean {
	const life = next.lives[message.life];
	const isHeard = next.owners.some((one) => one.phase === 'on' && one.epoch === message.epoch);
	const isFenced = life !== undefined && life.epoch > message.epoch && !faults.fenceless;
	const isLost = (life?.phase === 'over' && !faults.anyLifeObeys) || isFenced;
	if (message.kind === 'hold') return message.left >= 0 && !isLost;
	return isHeard || !isLost;
}

/** Resets the epoch, the highest run and the lease once no command can arrive that is compared with them. */
function reduceLife(next: types.LivesState, life: types.Life, where: number): void {
	const starts = next.messages.filter((message) => message.kind === 'start' && message.life === where);
	const isFenced = next.owners.some((owner) => owner.phase === 'on' && owner.epoch < life.epoch);
	if (!isFenced && next.messages.every((message) => message.epoch >= life.epoch)) life.epoch = 0;
	if (starts.every((start) => start.run > life.highest)) life.highest = 0;
	if (life.running === 0 && starts.length === 0) life.left = types.over;
}
