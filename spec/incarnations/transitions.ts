/** What each step of the model of workers' lives changes. */
import * as types from './types.js';

/** Ticks of a lease, and of the time that an owner may grant one after its last confirmed call to the store. */
const leaseTicks = 1;
const horizonTicks = 1;

const runsPerEpoch = 10;

/** Addresses by life: two follow each other at the first one. */
export const addresses = [0, 0, 1];

/** Names of the lives. */
export const incarnationNames = ['a1', 'a2', 'b1'];

/** The item, which is there. */
export function at<T>(items: T[], index: number): T {
	const item = items[index];
	if (item === undefined) throw new Error(`no item ${index}`);
	return item;
}

/** Whether a set of lives has one. */
function hasBit(bits: number, incarnationIndex: number): boolean {
	return (bits & (1 << incarnationIndex)) !== 0;
}

/** The life that answers at another's address; -1: nobody does. */
export function answeringIncarnation(state: types.IncarnationState, incarnationIndex: number): number {
	return state.incarnations.findIndex(
		(incarnation, one) => incarnation.phase === 'alive' && addresses[one] === addresses[incarnationIndex],
	);
}

/** Whether an owner may grant a lease, as far as the store goes. */
export function isWithinHorizon(owner: types.Owner): boolean {
	return owner.ticksSinceConfirmation <= horizonTicks;
}

/** How many starts an owner has sent. */
export function startCount(owner: types.Owner): number {
	return owner.run % runsPerEpoch;
}

/** A life crashes; all that runs there ends at once. */
export function crash(next: types.IncarnationState, incarnationIndex: number): void {
	Object.assign(at(next.incarnations, incarnationIndex), {
		phase: 'over',
		epoch: 0,
		running: 0,
		highestExitedRun: 0,
		leaseTicksLeft: types.leasesExpired,
	});
}

/** A tick, on every clock. */
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

/** An owner counts the epoch up and reads the roster; all that it knows is who stands there. */
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

/** A call to the store shows its epoch to be in force. */
export function confirmEpoch(owner: types.Owner): void {
	owner.ticksSinceConfirmation = 0;
	for (const session of owner.sessions)
		if (session?.ticksUntilLeaseExpiry === types.leasesExpired)
			session.ticksUntilLeaseExpiry = types.leaseExpiryConfirmed;
}

/** An owner reads an entry of the list. */
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

/** A session ends, with everything there taken for over. */
export function endSession(owner: types.Owner, incarnationIndex: number): void {
	owner.sessions[incarnationIndex] = null;
	if (owner.placed === incarnationIndex) owner.placed = -1;
}

/** The life is proved over, and with it every order that was under way to it. */
export function endIncarnation(owner: types.Owner, incarnationIndex: number): void {
	endSession(owner, incarnationIndex);
	owner.unconfirmedRuns[incarnationIndex] = 0;
}

/** A session's life has left the list and holds nothing, as the owner sees it. */
export function applyDeparture(
	owner: types.Owner,
	incarnationIndex: number,
	faults: types.IncarnationFaults,
): void {
	endSession(owner, incarnationIndex);
	if (faults.doubtForgotten) owner.unconfirmedRuns[incarnationIndex] = 0;
}

/** Every lease there is over, so whatever was there is. */
export function presumeAllLost(owner: types.Owner, incarnationIndex: number): void {
	const session = owner.sessions[incarnationIndex];
	if (session) session.state = 'empty';
	if (owner.placed !== incarnationIndex) return;
	if (!owner.confirmed) owner.unconfirmedRuns[incarnationIndex] = owner.run;
	owner.placed = -1;
}

/** Stores the lives that the owner knows. */
export function writeRoster(owner: types.Owner): void {
	for (const session of owner.sessions) if (session !== null) session.isOnStoredRoster = true;
}

/** The life answers a question, which brings a lease if one may be granted. */
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

/** Whether a life takes an order of this epoch. */
function acceptsEpoch(
	incarnation: types.Incarnation,
	epoch: number,
	faults: types.IncarnationFaults,
): boolean {
	if (epoch < incarnation.epoch && !faults.fenceless) return false;
	incarnation.epoch = Math.max(incarnation.epoch, epoch);
	return true;
}

/** The newest run at a life whose start may still be under way, as an owner sees it; 0: there is none. */
export function unconfirmedRunAt(owner: types.Owner, incarnationIndex: number): number {
	if (owner.placed === incarnationIndex && !owner.confirmed) return owner.run;
	return at(owner.unconfirmedRuns, incarnationIndex);
}

/** A life acknowledges the stop of a run whose start may still come, which it refuses from then on. */
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

/** A start leaves, with a lease. */
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

/** A question leaves that brings a lease, and is answered to nobody. */
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

/** An order arrives at the address of the life that it is meant for; its answer may be lost. */
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
	// The lease of a start is taken also if the start is refused.
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
