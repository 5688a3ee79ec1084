/** State transitions of the model of worker incarnations. */
import * as types from './types.js';

/** Ticks of a lease, and ticks after its last confirmed call to the store within which an owner may grant one. */
const leaseTicks = 1;
const horizonTicks = 1;

const runsPerEpoch = 10;

/** Address of each incarnation: the first two follow each other at one address. */
export const addresses = [0, 0, 1];

/** Names of the incarnations, as the names of steps contain them. */
export const names = ['a1', 'a2', 'b1'];

/** Returns an item that must exist; throws if it doesn't. */
export function at<T>(items: T[], index: number): T {
	const item = items[index];
	if (item === undefined) throw new Error(`no item at index ${index}`);
	return item;
}

/** Whether a set of incarnations contains one. */
function has(lives: number, where: number): boolean {
	return (lives & (1 << where)) !== 0;
}

/** The incarnation that answers at another's address; -1: none. */
export function answering(state: types.LivesState, where: number): number {
	return state.lives.findIndex((life, one) => life.phase === 'alive' && addresses[one] === addresses[where]);
}

/** Whether the owner's last confirmed call to the store is recent enough to grant a lease. */
export function isWithinHorizon(owner: types.Owner): boolean {
	return owner.age <= horizonTicks;
}

/** Number of starts that an owner has sent. */
export function startsOf(owner: types.Owner): number {
	return owner.run % runsPerEpoch;
}

/** Crashes an incarnation, which ends its run at once. */
export function crash(next: types.LivesState, where: number): void {
	Object.assign(at(next.lives, where), { phase: 'over', epoch: 0, running: 0, highest: 0, left: types.over });
}

/** Advances every clock by one tick. */
export function passTime(next: types.LivesState): void {
	for (const life of next.lives) {
		life.left = shorter(life.left);
		if (life.left < 0) endRun(life);
	}
	for (const message of next.messages) message.left = shorter(message.left);
	for (const owner of next.owners) {
		if (owner.phase !== 'on') continue;
		owner.age = Math.min(owner.age + 1, horizonTicks + 1);
		for (const session of owner.sessions) if (session !== null) session.left = shorter(session.left);
	}
}

function shorter(left: number): number {
	return left < 0 ? left : left - 1;
}

function endRun(life: types.Life): void {
	life.highest = Math.max(life.highest, life.running);
	life.running = 0;
}

/** An owner increments the epoch and reads the roster, which is all that it knows then. */
export function takeOver(next: types.LivesState, index: number, isSettled: boolean): void {
	next.epoch += 1;
	const owner = at(next.owners, index);
	owner.phase = 'on';
	owner.epoch = next.epoch;
	owner.run = next.epoch * runsPerEpoch;
	owner.sessions = next.lives.map((_life, where) =>
		has(next.roster, where)
			? { state: isSettled ? 'heard' : 'asked', rostered: true, left: horizonTicks + leaseTicks }
			: null,
	);
}

/** A call to the store confirms that the owner's epoch is in force. */
export function confirm(owner: types.Owner): void {
	owner.age = 0;
	for (const session of owner.sessions) if (session?.left === types.over) session.left = types.believed;
}

/** An owner reads an entry of the worker list. */
export function list(owner: types.Owner, where: number, faults: types.LivesFaults): void {
	owner.sessions[where] = { state: 'empty', rostered: false, left: types.believed };
	if (!faults.listProves) return;
	for (const [other, address] of addresses.entries())
		if (other !== where && address === addresses[where]) endSession(owner, other);
}

/** Ends a session; a run placed there is presumed to have ended. */
export function endSession(owner: types.Owner, where: number): void {
	owner.sessions[where] = null;
	if (owner.placed === where) owner.placed = -1;
}

/** Ends the session of an incarnation that is proven dead; commands in flight to it can't take effect any more. */
export function endLife(owner: types.Owner, where: number): void {
	endSession(owner, where);
	owner.doubts[where] = 0;
}

/** Ends the session of an incarnation that has left the list and, as far as the owner knows, has no run. */
export function leave(owner: types.Owner, where: number, faults: types.LivesFaults): void {
	endSession(owner, where);
	if (faults.doubtForgotten) owner.doubts[where] = 0;
}

/** Every lease there has expired, so a run placed there is presumed lost. */
export function loseAll(owner: types.Owner, where: number): void {
	const session = owner.sessions[where];
	if (session) session.state = 'empty';
	if (owner.placed !== where) return;
	if (!owner.confirmed) owner.doubts[where] = owner.run;
	owner.placed = -1;
}

/** Stores every incarnation that the owner knows on the roster. */
export function writeRoster(owner: types.Owner): void {
	for (const session of owner.sessions) if (session !== null) session.rostered = true;
}

/** The incarnation answers a report request, which grants a lease if the owner may grant one. */
export function report(
	next: types.LivesState,
	index: number,
	where: number,
	grants: boolean,
	faults: types.LivesFaults,
): void {
	const owner = at(next.owners, index);
	const life = at(next.lives, where);
	const session = owner.sessions[where];
	if (!session || !heeds(life, owner.epoch, faults)) {
		owner.phase = 'stopped';
		return;
	}
	if (grants) life.left = Math.max(life.left, leaseTicks);
	if (grants) noteLease(session);
	session.state = 'heard';
	if (life.running !== 0) takeRunning(owner, life, where);
	else if (owner.placed === where && (owner.confirmed || faults.absenceProves)) owner.placed = -1;
}

function takeRunning(owner: types.Owner, life: types.Life, where: number): void {
	if (owner.placed === -1) Object.assign(owner, { placed: where, confirmed: true });
	else if (owner.placed !== where) endRun(life);
	else if (life.running === owner.run) owner.confirmed = true;
}

function noteLease(session: types.Session): void {
	session.left = Math.max(session.left, leaseTicks);
}

/** Whether an incarnation accepts a command of this epoch. */
function heeds(life: types.Life, epoch: number, faults: types.LivesFaults): boolean {
	if (epoch < life.epoch && !faults.fenceless) return false;
	life.epoch = Math.max(life.epoch, epoch);
	return true;
}

/** The newest run at an incarnation whose start may still be in flight, as far as the owner knows; 0: none. */
export function uncertainRun(owner: types.Owner, where: number): number {
	if (owner.placed === where && !owner.confirmed) return owner.run;
	return at(owner.doubts, where);
}

/** An incarnation acknowledges the stop of a run whose start may still arrive, and refuses that start from then on. */
export function stop(next: types.LivesState, index: number, where: number, faults: types.LivesFaults): void {
	const owner = at(next.owners, index);
	const life = at(next.lives, where);
	const run = uncertainRun(owner, where);
	if (!heeds(life, owner.epoch, faults)) {
		owner.phase = 'stopped';
		return;
	}
	if (life.running === run) endRun(life);
	if (!faults.stopUnnoted) life.highest = Math.max(life.highest, run);
	owner.doubts[where] = 0;
	if (owner.placed === where) owner.placed = -1;
}

/** Sends a start that grants a lease. */
export function sendStart(next: types.LivesState, owner: types.Owner, where: number): void {
	const session = owner.sessions[where];
	if (!session) return;
	owner.run += 1;
	owner.placed = where;
	owner.confirmed = false;
	noteLease(session);
	next.messages.push({ kind: 'start', life: where, epoch: owner.epoch, run: owner.run, left: leaseTicks });
}

/** Sends a report request that grants a lease and whose answer reaches no owner. */
export function sendHold(next: types.LivesState, owner: types.Owner, where: number): void {
	const session = owner.sessions[where];
	if (!session) return;
	noteLease(session);
	next.messages.push({ kind: 'hold', life: where, epoch: owner.epoch, run: 0, left: leaseTicks });
}

/** Delivers a command to the address of the incarnation that it is addressed to; the answer may be lost. */
export function arrive(
	next: types.LivesState,
	message: types.Message,
	answered: boolean,
	faults: types.LivesFaults,
): void {
	const there = answering(next, message.life);
	const sender = next.owners.find((one) => one.phase === 'on' && one.epoch === message.epoch);
	const isMeant = there === message.life || faults.anyLifeObeys;
	if (there !== -1 && isMeant) obey(next, message, there, answered ? sender : undefined, faults);
	else if (there !== -1 && answered && sender !== undefined) endLife(sender, message.life);
}

function obey(
	next: types.LivesState,
	message: types.Message,
	there: number,
	asker: types.Owner | undefined,
	faults: types.LivesFaults,
): void {
	const life = at(next.lives, there);
	const isHeeded = heeds(life, message.epoch, faults);
	// The lease of a start applies even if the start is refused.
	if (isHeeded) life.left = Math.max(life.left, message.left);
	if (message.kind === 'hold') return;
	const isStarted = isHeeded && life.left >= 0 && life.running === 0 && message.run > life.highest;
	if (isStarted) life.running = message.run;
	const isPlaced = asker?.placed === message.life && asker.run === message.run && !asker.confirmed;
	if (asker === undefined || !isPlaced) return;
	if (life.running === message.run) asker.confirmed = true;
	else asker.placed = -1;
}
