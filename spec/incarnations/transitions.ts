/** State transitions of the model of worker incarnations. */
import * as types from './types.js';

/** Ticks of a lease, and ticks after its last confirmed call to the store within which an owner may grant one. */
const leaseTicks = 1;
const horizonTicks = 1;

const runsPerEpoch = 10;

/** Address of each incarnation: the first two follow each other at one address. */
export const addresses = [0, 0, 1];

/** Names of the incarnations, as the names of steps contain them. */
export const incarnationNames = ['a1', 'a2', 'b1'];

/** Returns an item that must exist; throws if it doesn't. */
export function at<T>(items: T[], index: number): T {
	const item = items[index];
	if (item === undefined) throw new Error(`no item at index ${index}`);
	return item;
}

/** Whether a set of incarnations contains one. */
function hasBit(bits: number, incarnationIndex: number): boolean {
	return (bits & (1 << incarnationIndex)) !== 0;
}

/** The incarnation that answers at another's address; -1: none. */
export function answeringIncarnation(state: types.IncarnationState, incarnationIndex: number): number {
	return state.incarnations.findIndex(
		(incarnation, one) => incarnation.phase === 'alive' && addresses[one] === addresses[incarnationIndex],
	);
}

/** Whether the owner's last confirmed call to the store is recent enough to grant a lease. */
export function isWithinHorizon(owner: types.Owner): boolean {
	return owner.ticksSinceConfirmation <= horizonTicks;
}

/** Number of starts that an owner has sent. */
export function startCount(owner: types.Owner): number {
	return owner.run % runsPerEpoch;
}

/** Crashes an incarnation, which ends its run at once. */
export function crash(next: types.IncarnationState, incarnationIndex: number): void {
	Object.assign(at(next.incarnations, incarnationIndex), {
		phase: 'over',
		epoch: 0,
		running: 0,
		highestExitedRun: 0,
		leaseTicksLeft: types.leasesExpired,
	});
}

/** Advances every clock by one tick. */
export function passTime(next: types.IncarnationState): void {
	for (const incarnation of next.incarnations) {
		incarnation.leaseTicksLeft = decrementTicks(incarnation.leaseTicksLeft);
		if (incarnation.leaseTicksLeft < 0) endRun(incarnation);
	}
	for (const message of next.messages) message.leaseTicksLeft = decrementTicks(message.leaseTicksLeft);
	for (const owner of next.owners) {
		if (owner.phase !== 'on') continue;
		owner.ticksSinceConfirmation = Math.min(owner.ticksSinceConfirmation + 1, horizonTicks + 1);
		for (const session of owner.sessions)
			if (session !== null) session.ticksUntilLeaseExpiry = decrementTicks(session.ticksUntilLeaseExpiry);
	}
}

function decrementTicks(ticksLeft: number): number {
	return ticksLeft < 0 ? ticksLeft : ticksLeft - 1;
}

function endRun(incarnation: types.Incarnation): void {
	incarnation.highestExitedRun = Math.max(incarnation.highestExitedRun, incarnation.running);
	incarnation.running = 0;
}

/** An owner increments the epoch and reads the roster, which is all that it knows then. */
export function takeOver(next: types.IncarnationState, ownerIndex: number, isReconciled: boolean): void {
	next.epoch += 1;
	const owner = at(next.owners, ownerIndex);
	owner.phase = 'on';
	owner.epoch = next.epoch;
	owner.run = next.epoch * runsPerEpoch;
	owner.sessions = next.incarnations.map((_life, incarnationIndex) =>
		hasBit(next.roster, incarnationIndex)
			? {
					state: isReconciled ? 'heard' : 'asked',
					isOnStoredRoster: true,
					ticksUntilLeaseExpiry: horizonTicks + leaseTicks,
				}
			: null,
	);
}

/** A call to the store confirms that the owner's epoch is in force. */
export function confirmEpoch(owner: types.Owner): void {
	owner.ticksSinceConfirmation = 0;
	for (const session of owner.sessions)
		if (session?.ticksUntilLeaseExpiry === types.leasesExpired)
			session.ticksUntilLeaseExpiry = types.leaseExpiryConfirmed;
}

/** An owner reads an entry of the worker list. */
export function applyListEntry(
	owner: types.Owner,
	incarnationIndex: number,
	faults: types.IncarnationFaults,
): void {
	owner.sessions[incarnationIndex] = {
		state: 'empty',
		isOnStoredRoster: false,
		ticksUntilLeaseExpiry: types.leaseExpiryConfirmed,
	};
	if (!faults.listProves) return;
	for (const [other, address] of addresses.entries())
		if (other !== incarnationIndex && address === addresses[incarnationIndex]) endSession(owner, other);
}

/** Ends a session; a run placed there is presumed to have ended. */
export function endSession(owner: types.Owner, incarnationIndex: number): void {
	owner.sessions[incarnationIndex] = null;
	if (owner.placed === incarnationIndex) owner.placed = -1;
}

/** Ends the session of an incarnation that is proven dead; commands in flight to it can't take effect any more. */
export function endIncarnation(owner: types.Owner, incarnationIndex: number): void {
	endSession(owner, incarnationIndex);
	owner.unconfirmedRuns[incarnationIndex] = 0;
}

/** Ends the session of an incarnation that has left the list and, as far as the owner knows, has no run. */
export function applyDeparture(
	owner: types.Owner,
	incarnationIndex: number,
	faults: types.IncarnationFaults,
): void {
	endSession(owner, incarnationIndex);
	if (faults.doubtForgotten) owner.unconfirmedRuns[incarnationIndex] = 0;
}

/** Every lease there has expired, so a run placed there is presumed lost. */
export function presumeAllLost(owner: types.Owner, incarnationIndex: number): void {
	const session = owner.sessions[incarnationIndex];
	if (session) session.state = 'empty';
	if (owner.placed !== incarnationIndex) return;
	if (!owner.confirmed) owner.unconfirmedRuns[incarnationIndex] = owner.run;
	owner.placed = -1;
}

/** Stores every incarnation that the owner knows on the roster. */
export function writeRoster(owner: types.Owner): void {
	for (const session of owner.sessions) if (session !== null) session.isOnStoredRoster = true;
}

/** The incarnation answers a report request, which grants a lease if the owner may grant one. */
export function poll(
	next: types.IncarnationState,
	ownerIndex: number,
	incarnationIndex: number,
	grantsLease: boolean,
	faults: types.IncarnationFaults,
): void {
	const owner = at(next.owners, ownerIndex);
	const incarnation = at(next.incarnations, incarnationIndex);
	const session = owner.sessions[incarnationIndex];
	if (!session || !acceptsEpoch(incarnation, owner.epoch, faults)) {
		owner.phase = 'stopped';
		return;
	}
	if (grantsLease) incarnation.leaseTicksLeft = Math.max(incarnation.leaseTicksLeft, leaseTicks);
	if (grantsLease) noteLease(session);
	session.state = 'heard';
	if (incarnation.running !== 0) applyReportedRun(owner, incarnation, incarnationIndex);
	else if (owner.placed === incarnationIndex && (owner.confirmed || faults.absenceProves)) owner.placed = -1;
}

function applyReportedRun(
	owner: types.Owner,
	incarnation: types.Incarnation,
	incarnationIndex: number,
): void {
	if (owner.placed === -1) Object.assign(owner, { placed: incarnationIndex, confirmed: true });
	else if (owner.placed !== incarnationIndex) endRun(incarnation);
	else if (incarnation.running === owner.run) owner.confirmed = true;
}

function noteLease(session: types.Session): void {
	session.ticksUntilLeaseExpiry = Math.max(session.ticksUntilLeaseExpiry, leaseTicks);
}

/** Whether an incarnation accepts a command of this epoch. */
function acceptsEpoch(
	incarnation: types.Incarnation,
	epoch: number,
	faults: types.IncarnationFaults,
): boolean {
	if (epoch < incarnation.epoch && !faults.fenceless) return false;
	incarnation.epoch = Math.max(incarnation.epoch, epoch);
	return true;
}

/** The newest run at an incarnation whose start may still be in flight, as far as the owner knows; 0: none. */
export function unconfirmedRunAt(owner: types.Owner, incarnationIndex: number): number {
	if (owner.placed === incarnationIndex && !owner.confirmed) return owner.run;
	return at(owner.unconfirmedRuns, incarnationIndex);
}

/** An incarnation acknowledges the stop of a run whose start may still arrive, and refuses that start from then on. */
export function stopRun(
	next: types.IncarnationState,
	ownerIndex: number,
	incarnationIndex: number,
	faults: types.IncarnationFaults,
): void {
	const owner = at(next.owners, ownerIndex);
	const incarnation = at(next.incarnations, incarnationIndex);
	const run = unconfirmedRunAt(owner, incarnationIndex);
	if (!acceptsEpoch(incarnation, owner.epoch, faults)) {
		owner.phase = 'stopped';
		return;
	}
	if (incarnation.running === run) endRun(incarnation);
	if (!faults.stopUnnoted) incarnation.highestExitedRun = Math.max(incarnation.highestExitedRun, run);
	owner.unconfirmedRuns[incarnationIndex] = 0;
	if (owner.placed === incarnationIndex) owner.placed = -1;
}

/** Sends a start that grants a lease. */
export function sendStart(next: types.IncarnationState, owner: types.Owner, incarnationIndex: number): void {
	const session = owner.sessions[incarnationIndex];
	if (!session) return;
	owner.run += 1;
	owner.placed = incarnationIndex;
	owner.confirmed = false;
	noteLease(session);
	next.messages.push({
		kind: 'start',
		incarnation: incarnationIndex,
		epoch: owner.epoch,
		run: owner.run,
		leaseTicksLeft: leaseTicks,
	});
}

/** Sends a report request that grants a lease and whose answer reaches no owner. */
export function sendReportRequest(
	next: types.IncarnationState,
	owner: types.Owner,
	incarnationIndex: number,
): void {
	const session = owner.sessions[incarnationIndex];
	if (!session) return;
	noteLease(session);
	next.messages.push({
		kind: 'hold',
		incarnation: incarnationIndex,
		epoch: owner.epoch,
		run: 0,
		leaseTicksLeft: leaseTicks,
	});
}

/** Delivers a command to the address of the incarnation that it is addressed to; the answer may be lost. */
export function deliver(
	next: types.IncarnationState,
	message: types.Message,
	answered: boolean,
	faults: types.IncarnationFaults,
): void {
	const answeringIndex = answeringIncarnation(next, message.incarnation);
	const sender = next.owners.find((one) => one.phase === 'on' && one.epoch === message.epoch);
	const isAddressee = answeringIndex === message.incarnation || faults.anyLifeObeys;
	if (answeringIndex !== -1 && isAddressee)
		carryOut(next, message, answeringIndex, answered ? sender : undefined, faults);
	else if (answeringIndex !== -1 && answered && sender !== undefined)
		endIncarnation(sender, message.incarnation);
}

function carryOut(
	next: types.IncarnationState,
	message: types.Message,
	answeringIndex: number,
	answeredOwner: types.Owner | undefined,
	faults: types.IncarnationFaults,
): void {
	const incarnation = at(next.incarnations, answeringIndex);
	const isAccepted = acceptsEpoch(incarnation, message.epoch, faults);
	// The lease of a start applies even if the start is refused.
	if (isAccepted) incarnation.leaseTicksLeft = Math.max(incarnation.leaseTicksLeft, message.leaseTicksLeft);
	if (message.kind === 'hold') return;
	const isStarted =
		isAccepted &&
		incarnation.leaseTicksLeft >= 0 &&
		incarnation.running === 0 &&
		message.run > incarnation.highestExitedRun;
	if (isStarted) incarnation.running = message.run;
	const isAwaited =
		answeredOwner?.placed === message.incarnation &&
		answeredOwner.run === message.run &&
		!answeredOwner.confirmed;
	if (answeredOwner === undefined || !isAwaited) return;
	if (incarnation.running === message.run) answeredOwner.confirmed = true;
	else answeredOwner.placed = -1;
}
