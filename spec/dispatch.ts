/**
 * Model of dispatching without stored starts: one task, two workers, and owners that follow one another. Only the epoch, the
 * roster and the task's exit are stored; in a variant, for long-running tasks, also the task's placement before its start. A
 * roster entry may be closed: a successor then waits for that worker only if the entry lists the task. In another variant an
 * owner reports to the next one when every lease at an unresponsive worker has expired; names of guards and steps call that
 * report a statement. Starts may arrive at any later time, owners may be suspended, and workers may be unreachable for any
 * owner. Invariants: the task never runs twice at once, and never starts after its exit was stored, or acknowledged to the
 * worker that listed it, unless that worker's lease had expired before.
 */
import type * as explore from './explore.js';

/** The guards of the protocol, which has them all; each mutant leaves one out. `spec/expected.json` contains these names. */
export interface DispatchGuards {
	/** A worker does nothing for an epoch below the highest that it has seen. */
	fence: boolean;
	/** A worker does nothing for a start whose lease has expired. */
	notAfter: boolean;
	/** An owner grants leases only within the horizon of its last confirmed call to the store. */
	horizon: boolean;
	/** A successor starts nothing before every worker of the roster is reconciled. */
	settle: boolean;
	/** An unresponsive worker is reconciled only after the horizon and the longest lease have passed. */
	wait: boolean;
	/** A worker is on the stored roster before the first start there. */
	roster: boolean;
	/** An exit is acknowledged to the worker only once it is stored. */
	storeFirst: boolean;
	/** An owner restarts its own task elsewhere only after the lease that it granted has expired. */
	ownWait: boolean;
	/** It presumes that lease expired only after a confirmed call to the store that it sent after the expiry. */
	confirmLost: boolean;
	/** The same holds for an unresponsive worker that is reconciled by waiting. */
	confirmWaited: boolean;
	/** A roster write takes effect only under its epoch. */
	rosterEpoch: boolean;
	/** An owner starts nothing on a worker whose entry is closed before it has reopened the entry. */
	reopen: boolean;
	/** It starts nothing there from the moment that it composes the write that closes the entry. */
	closeAtOnce: boolean;
	/** A closed entry lists the task if the task is placed there, even if its start is still in flight. */
	listPlaced: boolean;
	/** It lists the task also if the task exited there, until the exit is stored. */
	listEnds: boolean;
	/** An owner closes no worker of the roster that it read before that worker is reconciled. */
	closeKnown: boolean;
	/** An owner stores the task's placement before it sends the start. */
	placeFirst: boolean;
	/** It replaces a stored placement only when the run there is proven to have ended. */
	placeOver: boolean;
	/** A successor starts the task only when the worker of the stored placement is reconciled. */
	placeWait: boolean;
	/**
	 * An owner that reported an expiry for a worker grants no lease there until it learns that a roster write took effect.
	 */
	withhold: boolean;
	/** That write must have moved the record on from the version in the report. */
	liftLater: boolean;
	/** A reported expiry counts only if the roster record, as read under the new epoch, has the version in the report. */
	sameRoster: boolean;
	/** A reported expiry counts only for the owner that follows directly. */
	directStatement: boolean;
	/** A reported expiry covers the latest lease that the owner granted there. */
	statedGrants: boolean;
	/** It covers the leases that earlier owners may have granted there. */
	statedInherited: boolean;
	/** An owner starts nothing on a worker that hasn't answered it, where leases are granted to idle workers too. */
	askFirst: boolean;
}

/** Every guard on. */
export const allDispatchGuards: DispatchGuards = {
	fence: true,
	notAfter: true,
	horizon: true,
	settle: true,
	wait: true,
	roster: true,
	storeFirst: true,
	ownWait: true,
	confirmLost: true,
	confirmWaited: true,
	rosterEpoch: true,
	reopen: true,
	closeAtOnce: true,
	listPlaced: true,
	listEnds: true,
	closeKnown: true,
	placeFirst: true,
	placeOver: true,
	placeWait: true,
	withhold: true,
	liftLater: true,
	sameRoster: true,
	directStatement: true,
	statedGrants: true,
	statedInherited: true,
	askFirst: true,
};

/** Ticks of a lease, and of the horizon. */
const leaseTicks = 1;
const horizonTicks = 1;

const workerCount = 2;
const maxMessagesInFlight = 1;
const runsPerEpoch = 10;

/** Bounds of the exploration. */
export interface DispatchBounds {
	owners: number;
	ticks: number;
	/** Starts that each owner may send. */
	runs: number;
	/** Roster writes by each owner that close an entry. */
	closingsPerOwner: number;
	/** Expiries that each owner may report, each of one worker; 0: the protocol has no such reports. */
	expiryReportsPerOwner: number;
}

/** Configuration of a model. */
export interface DispatchOptions {
	name: string;
	guards: DispatchGuards;
	bounds: DispatchBounds;
	/** The task's placement is stored before its start, so a successor waits for that worker alone. */
	storesPlace: boolean;
}

interface Owner {
	/**
	 * `barred`: replaced and past its horizon, so it can only poll and acknowledge exits. `over`: a worker has refused its
	 * epoch.
	 */
	phase: 'new' | 'on' | 'barred' | 'over';
	epoch: number;
	confirmedAt: number;
	tookOverAt: number;
	/** The roster as read at the takeover; the entry of a worker becomes `none` once the worker is reconciled. */
	unreconciled: RosterEntry[];
	/** The stored roster as the owner knows it, by its own read or write. */
	knownRoster: RosterEntry[];
	/** The roster write in flight that closes an entry. */
	closingWrite: ClosingWrite;
	closings: number;
	/** The stored placement as the owner knows it, by its own read or write, and as it read it at the takeover; -1: none. */
	place: number;
	inheritedPlacement: number;
	/** The worker at which it believes the task to be; -1: none. */
	placed: number;
	run: number;
	/** Expiry of the latest lease that it granted there. */
	leaseGrantedUntil: number;
	seenExit: ExitListing;
	/** Workers that reported an exit of the task, as long as no exit is stored, as bits. */
	exitListingWorkers: number;
	/**
	 * By worker, when every lease there has expired, as the owner computes; kept only in variants with reported expiries.
	 */
	leaseEndByWorker: number[];
	/** Workers that answered it, as bits; kept only in those variants. */
	answeredWorkers: number;
	expiryReports: number;
	/** Workers for which it reported an expiry, so that it grants no lease there, as bits. */
	leaseWithheldWorkers: number;
	/** Those of them whose report a roster write has made void, while the owner has not learned yet that it took effect. */
	voidedReportWorkers: number;
	/** A roster write of its own took effect, and it has not learned that yet. */
	hasUnacknowledgedWrite: boolean;
}

/** An expiry that an owner reported to all that may follow it; each of them may have received the report or not. */
interface ReportedExpiry {
	epoch: number;
	/** Version of the roster record. */
	version: number;
	worker: number;
	/** After this tick every lease there has expired. */
	leasesEndAt: number;
}

/**
 * A worker's entry on the stored roster. `none`: it has none. `open`: the task may be there. The other two are closed:
 * `lists` names the task, which may be there; `empty` doesn't.
 */
type RosterEntry = 'none' | 'open' | 'lists' | 'empty';

/** A write that is composed and not in force yet; worker -1: none is in flight. */
interface ClosingWrite {
	worker: number;
	entry: RosterEntry;
}

const noClosingWrite: ClosingWrite = { worker: -1, entry: 'none' };

type ExitListing = 'no' | 'counts' | 'lapsed';

interface Worker {
	epoch: number;
	running: boolean;
	highestRun: number;
	leaseUntil: number;
	/**
	 * Whether the worker lists the task's exit. `lapsed`: its lease expired before anybody learned of the exit, which then
	 * does not count.
	 */
	listedExit: ExitListing;
}

interface Start {
	worker: number;
	epoch: number;
	run: number;
	until: number;
}

/** A state of the model. */
export interface DispatchState {
	tick: number;
	stored: { epoch: number; roster: RosterEntry[]; version: number; place: number; exit: ExitListing };
	/** An exit that counts was acknowledged to its worker, which no longer lists it. */
	isExitAcknowledged: boolean;
	owners: Owner[];
	workers: Worker[];
	starts: Start[];
	reportedExpiries: ReportedExpiry[];
	violation: string;
}

interface Step {
	name: string;
	next: DispatchState;
}

const newOwner: Owner = {
	phase: 'new',
	epoch: 0,
	confirmedAt: 0,
	tookOverAt: 0,
	unreconciled: [],
	knownRoster: [],
	closingWrite: noClosingWrite,
	closings: 0,
	place: -1,
	inheritedPlacement: -1,
	placed: -1,
	run: 0,
	leaseGrantedUntil: 0,
	seenExit: 'no',
	exitListingWorkers: 0,
	leaseEndByWorker: [],
	answeredWorkers: 0,
	expiryReports: 0,
	leaseWithheldWorkers: 0,
	voidedReportWorkers: 0,
	hasUnacknowledgedWrite: false,
};

/** Every lease at a worker has expired, and the epoch was confirmed after that. */
const leaseExpiryConfirmed = -1;

const newWorker: Worker = { epoch: 0, running: false, highestRun: 0, leaseUntil: 0, listedExit: 'no' };

function initialState(bounds: DispatchBounds): DispatchState {
	return {
		tick: 0,
		stored: {
			epoch: 0,
			roster: Array.from({ length: workerCount }, () => 'none' as const),
			version: 0,
			place: -1,
			exit: 'no',
		},
		isExitAcknowledged: false,
		owners: Array.from({ length: bounds.owners }, () => ({ ...newOwner })),
		workers: Array.from({ length: workerCount }, () => ({ ...newWorker })),
		starts: [],
		reportedExpiries: [],
		violation: '',
	};
}

/** Returns the model with the given guards and bounds. */
export function dispatchModel(opts: DispatchOptions): explore.Model<DispatchState> {
	const { owners, ticks, runs, closingsPerOwner, expiryReportsPerOwner } = opts.bounds;
	const expiryReportsText = expiryReportsPerOwner === 0 ? '' : `, ${expiryReportsPerOwner} statements each`;
	return {
		name: opts.name,
		bounds: `${owners} owners, ${workerCount} workers, ${ticks} ticks, ${runs} starts and ${closingsPerOwner} closed entries each, ${maxMessagesInFlight} late${expiryReportsText}`,
		initial: initialState(opts.bounds),
		steps: (state) => stepsOf(state, opts),
		violation: (state) => (state.violation === '' ? undefined : state.violation),
	};
}

type AddStep = (name: string, change: (next: DispatchState) => void) => void;

function stepsOf(state: DispatchState, opts: DispatchOptions): Step[] {
	const { guards, bounds } = opts;
	const steps: Step[] = [];
	const step: AddStep = (name, change) => {
		const next = copy(state);
		change(next);
		checkInvariants(next);
		dropIrrelevant(next, opts);
		steps.push({ name, next });
	};
	state.owners.forEach((owner, ownerIndex) => {
		ownerSteps(state, owner, ownerIndex, opts, step);
	});
	state.workers.forEach((worker, index) => {
		if (!worker.running) return;
		step(`worker ${index} finishes`, (next) => {
			const one = at(next.workers, index);
			one.running = false;
			one.listedExit = 'counts';
		});
	});
	state.starts.forEach((start, index) => {
		step(`the start of run ${start.run} arrives at worker ${start.worker}`, (next) => {
			next.starts.splice(index, 1);
			deliverStart(next, start, guards);
		});
	});
	if (state.tick < bounds.ticks) step('time passes', passTime);
	return steps;
}

/** Makes states equal that can't differ in what follows: this leaves fewer states and loses none. */
function dropIrrelevant(
	next: DispatchState,
	{ guards, bounds: { expiryReportsPerOwner } }: DispatchOptions,
): void {
	for (const owner of next.owners) {
		if (owner.placed === -1) owner.leaseGrantedUntil = 0;
		if (owner.unreconciled[owner.inheritedPlacement] === 'none') owner.inheritedPlacement = -1;
		const isPastHorizon = next.tick - owner.confirmedAt > horizonTicks && guards.horizon;
		const isBarred = owner.phase === 'on' && owner.epoch < next.stored.epoch && isPastHorizon;
		if (isBarred || owner.phase === 'barred') {
			const { epoch, seenExit } = owner;
			Object.assign(owner, newOwner, { phase: 'barred', epoch, seenExit });
		}
		if (owner.phase === 'over') Object.assign(owner, newOwner, { phase: 'over' });
	}
	dropUnreadRecords(next, guards);
	dropVoidExpiryReports(next, guards);
	next.workers.forEach((worker, index) => {
		if (worker.leaseUntil < next.tick) worker.leaseUntil = 0;
		const isOlder = (start: Start): boolean => start.worker === index && start.run <= worker.highestRun;
		if (expiryReportsPerOwner > 0 && isLeaseUnused(next, worker, index)) worker.leaseUntil = 0;
		if (guards.fence && !next.starts.some(isOlder)) worker.highestRun = 0;
	});
}

/** Whether nothing at the worker depends on its lease; later starts grant their own. */
function isLeaseUnused(next: DispatchState, worker: Worker, index: number): boolean {
	const isIdle = !worker.running && worker.listedExit !== 'counts';
	return isIdle && !next.starts.some((start) => start.worker === index);
}

/** Drops what is stored or composed for successors, once none will read it. */
function dropUnreadRecords(next: DispatchState, guards: DispatchGuards): void {
	const willBeRead = hasSuccessor(next);
	if (!willBeRead) {
		next.stored.roster.fill('open');
		next.stored.place = -1;
	}
	for (const owner of next.owners) {
		const inForce = owner.epoch === next.stored.epoch || !guards.rosterEpoch;
		if (willBeRead && inForce) continue;
		owner.exitListingWorkers = 0;
		owner.closings = 0;
		owner.knownRoster = owner.knownRoster.map((entry) => (entry === 'lists' ? 'empty' : entry));
	}
}

/** Drops reported expiries that can't be used any more. Of the versions only whether they equal the record's matters. */
function dropVoidExpiryReports(next: DispatchState, guards: DispatchGuards): void {
	const willBeRead = hasSuccessor(next);
	next.reportedExpiries = next.reportedExpiries.filter(
		(expiry) => willBeRead && isUsable(next, expiry, next.stored.epoch, guards),
	);
	if (next.reportedExpiries.length === 0 || guards.sameRoster) {
		next.stored.version = 0;
		for (const expiry of next.reportedExpiries) expiry.version = 0;
	}
	for (const owner of next.owners) {
		const isInForce = owner.epoch === next.stored.epoch;
		// It may write the roster at any time, and nobody will use the expiries that it reported.
		if (isInForce && !willBeRead)
			Object.assign(owner, {
				leaseWithheldWorkers: 0,
				voidedReportWorkers: 0,
				hasUnacknowledgedWrite: false,
			});
		if (!isInForce || !willBeRead) owner.expiryReports = 0;
		owner.leaseEndByWorker = owner.leaseEndByWorker.map((leasesEndAt) =>
			leasesEndAt < owner.confirmedAt ? leaseExpiryConfirmed : leasesEndAt,
		);
	}
}

/** Whether another owner may still take over. Only a takeover reads what is stored. */
function hasSuccessor(state: DispatchState): boolean {
	return state.owners.some((owner) => owner.phase === 'new');
}

/** The workers to tell apart: as long as nothing has happened at any, one stands for all. */
function distinctWorkers(state: DispatchState): Worker[] {
	const isUsed =
		state.starts.length > 0 ||
		state.reportedExpiries.length > 0 ||
		state.stored.place !== -1 ||
		state.owners.some(
			(owner) =>
				owner.placed !== -1 ||
				owner.place !== -1 ||
				owner.inheritedPlacement !== -1 ||
				owner.exitListingWorkers !== 0 ||
				owner.closingWrite.worker !== -1 ||
				owner.leaseWithheldWorkers !== 0 ||
				owner.answeredWorkers !== 0 ||
				!isUniform(owner.leaseEndByWorker) ||
				!isUniform(owner.knownRoster) ||
				!isUniform(owner.unreconciled),
		) ||
		!isUniform(state.stored.roster) ||
		!isUniform(state.workers.map((worker) => JSON.stringify(worker)));
	return isUsed ? state.workers : state.workers.slice(0, 1);
}

function isUniform(items: (string | number)[]): boolean {
	return items.every((item) => item === items[0]);
}

/** Copies field by field: a general clone would take most of the exploration's time. */
function copy(state: DispatchState): DispatchState {
	return {
		...state,
		stored: { ...state.stored, roster: [...state.stored.roster] },
		owners: state.owners.map((owner) => ({
			...owner,
			unreconciled: [...owner.unreconciled],
			knownRoster: [...owner.knownRoster],
			leaseEndByWorker: [...owner.leaseEndByWorker],
		})),
		workers: state.workers.map((worker) => ({ ...worker })),
		starts: [...state.starts],
		reportedExpiries: state.reportedExpiries.map((expiry) => ({ ...expiry })),
	};
}

function ownerSteps(
	state: DispatchState,
	owner: Owner,
	ownerIndex: number,
	opts: DispatchOptions,
	step: AddStep,
): void {
	if (owner.phase === 'new') {
		// Owners take over in turn; the earlier one may go on without knowing it.
		const isNext = state.owners.findIndex((one) => one.phase === 'new') === ownerIndex;
		if (isNext)
			step(`owner ${ownerIndex} takes over`, (next) => {
				takeOver(next, ownerIndex, opts);
			});
		return;
	}
	if (owner.phase === 'over') return;
	const inForce = state.stored.epoch === owner.epoch;
	if (inForce && owner.confirmedAt < state.tick)
		step(`owner ${ownerIndex} confirms`, (next) => {
			at(next.owners, ownerIndex).confirmedAt = next.tick;
		});
	if (inForce && owner.seenExit !== 'no' && state.stored.exit === 'no')
		step(`owner ${ownerIndex} stores the end`, (next) => {
			next.stored.exit = owner.seenExit;
			at(next.owners, ownerIndex).exitListingWorkers = 0;
		});
	writeSteps(state, owner, ownerIndex, opts, step);
	distinctWorkers(state).forEach((worker, workerIndex) => {
		const context = { state, owner, ownerIndex, worker, workerIndex, opts };
		reportSteps(context, step);
		if (owner.phase === 'barred') return;
		timeoutSteps(context, step);
		rosterSteps(context, step);
		closingSteps(context, step);
		expiryReportSteps(context, step);
		startSteps(context, step);
	});
}

/** An owner and a worker whose possible steps are collected. */
interface StepContext {
	state: DispatchState;
	owner: Owner;
	ownerIndex: number;
	worker: Worker;
	workerIndex: number;
	opts: DispatchOptions;
}

/** Whether the owner may grant a lease at the worker. */
function mayGrantLease({ state, owner, workerIndex, opts }: StepContext): boolean {
	if (owner.phase === 'barred') return false;
	if (opts.guards.withhold && (owner.leaseWithheldWorkers & (1 << workerIndex)) !== 0) return false;
	return !opts.guards.horizon || state.tick - owner.confirmedAt <= horizonTicks;
}

function reportSteps(context: StepContext, step: AddStep): void {
	const { state, owner, ownerIndex, worker, workerIndex, opts } = context;
	const mayRenew = mayGrantLease(context);
	step(`owner ${ownerIndex} asks worker ${workerIndex}`, (next) => {
		poll(next, ownerIndex, workerIndex, opts.guards, mayRenew);
	});
	const mayAcknowledge = state.stored.exit !== 'no' || (owner.seenExit !== 'no' && !opts.guards.storeFirst);
	if (worker.listedExit !== 'no' && mayAcknowledge && owner.epoch >= worker.epoch)
		step(`owner ${ownerIndex} lets worker ${workerIndex} forget the end`, (next) => {
			const one = at(next.workers, workerIndex);
			if (one.listedExit === 'counts') next.isExitAcknowledged = true;
			one.listedExit = 'no';
		});
}

/** What an owner concludes from time alone. A confirmed call shows that no successor renewed a lease meanwhile. */
function timeoutSteps({ state, owner, ownerIndex, workerIndex, opts }: StepContext, step: AddStep): void {
	const { guards } = opts;
	const waitUntil = owner.leaseEndByWorker[workerIndex] ?? inheritedLeasesEndAt(owner);
	const isWaitOver = state.tick > waitUntil && (owner.confirmedAt > waitUntil || !guards.confirmWaited);
	if (owner.unreconciled[workerIndex] !== 'none' && (isWaitOver || !guards.wait))
		step(`owner ${ownerIndex} takes worker ${workerIndex} for settled`, (next) => {
			at(next.owners, ownerIndex).unreconciled[workerIndex] = 'none';
		});
	const leaseGrantedUntil = owner.leaseEndByWorker[workerIndex] ?? owner.leaseGrantedUntil;
	const isConfirmed = owner.confirmedAt > leaseGrantedUntil || !guards.confirmLost;
	const mayPresumeLost = state.tick > leaseGrantedUntil && isConfirmed;
	if (owner.placed === workerIndex && (mayPresumeLost || !guards.ownWait))
		step(`owner ${ownerIndex} takes its run at worker ${workerIndex} for lost`, (next) => {
			at(next.owners, ownerIndex).placed = -1;
		});
}

/** The tick after which the leases of earlier owners have expired, whatever is known of them. */
function inheritedLeasesEndAt(owner: Owner): number {
	return owner.tookOverAt + horizonTicks + leaseTicks;
}

/**
 * Opening an entry takes effect when the write is composed: the write adds nothing that a later start depends on before the
 * write is in force.
 */
function rosterSteps(
	{ state, owner, ownerIndex, workerIndex, opts: { guards } }: StepContext,
	step: AddStep,
): void {
	if (state.stored.epoch !== owner.epoch || owner.closingWrite.worker !== -1 || owner.hasUnacknowledgedWrite)
		return;
	if (owner.knownRoster[workerIndex] !== 'open')
		step(`owner ${ownerIndex} opens worker ${workerIndex} on the roster`, (next) => {
			openEntries(next, ownerIndex, workerIndex, guards);
		});
}

function closingSteps({ state, owner, ownerIndex, workerIndex, opts }: StepContext, step: AddStep): void {
	const { guards, bounds } = opts;
	const { worker, entry } = owner.closingWrite;
	const inForce = state.stored.epoch === owner.epoch;
	if (worker === workerIndex && (inForce || !guards.rosterEpoch))
		step(`owner ${ownerIndex}'s write that closes worker ${workerIndex} takes effect`, (next) => {
			at(next.owners, ownerIndex).closingWrite = noClosingWrite;
			at(next.owners, ownerIndex).knownRoster[workerIndex] = entry;
			next.stored.roster[workerIndex] = entry;
			noteWrite(next, ownerIndex);
			acknowledgeWrite(next, ownerIndex, guards);
		});
	const isKnown = owner.unreconciled[workerIndex] === 'none' || !guards.closeKnown;
	const mayClose =
		inForce &&
		isKnown &&
		!owner.hasUnacknowledgedWrite &&
		hasSuccessor(state) &&
		owner.knownRoster[workerIndex] !== 'none' &&
		owner.closings < bounds.closingsPerOwner;
	const closedEntry = entryWhenClosed(owner, workerIndex, guards);
	if (worker === -1 && mayClose && owner.knownRoster[workerIndex] !== closedEntry)
		step(`owner ${ownerIndex} composes a write that closes worker ${workerIndex}: ${closedEntry}`, (next) => {
			const one = at(next.owners, ownerIndex);
			one.closingWrite = { worker: workerIndex, entry: closedEntry };
			one.closings += 1;
		});
}

function entryWhenClosed(owner: Owner, workerIndex: number, guards: DispatchGuards): RosterEntry {
	const isPlaced = owner.placed === workerIndex && guards.listPlaced;
	const hasListedExit = (owner.exitListingWorkers & (1 << workerIndex)) !== 0 && guards.listEnds;
	return isPlaced || hasListedExit ? 'lists' : 'empty';
}

/** A roster write that changes no entry and increments the record's version. The owner learns later that it took effect. */
function writeSteps(
	state: DispatchState,
	owner: Owner,
	ownerIndex: number,
	{ guards, bounds }: DispatchOptions,
	step: AddStep,
): void {
	if (owner.hasUnacknowledgedWrite)
		step(`owner ${ownerIndex} hears that its roster write took effect`, (next) => {
			acknowledgeWrite(next, ownerIndex, guards);
		});
	const inForce = state.stored.epoch === owner.epoch;
	const isUseful =
		hasSuccessor(state) &&
		(owner.leaseWithheldWorkers !== 0 || owner.expiryReports < bounds.expiryReportsPerOwner);
	if (inForce && isUseful && !owner.hasUnacknowledgedWrite && owner.closingWrite.worker === -1)
		step(`owner ${ownerIndex} writes the roster as it is`, (next) => {
			noteWrite(next, ownerIndex);
		});
}

/**
 * An owner may report an expiry for any worker, as any may be unresponsive to it. The version is the stored record's, as if
 * the owner had just read it, even before it learns that its own write took effect. Once the owner is replaced, nobody can
 * use its report.
 */
function expiryReportSteps(
	{ state, owner, ownerIndex, workerIndex, opts }: StepContext,
	step: AddStep,
): void {
	const { guards, bounds } = opts;
	const willBeRead = state.stored.epoch === owner.epoch && hasSuccessor(state);
	if (
		!willBeRead ||
		owner.expiryReports >= bounds.expiryReportsPerOwner ||
		owner.knownRoster[workerIndex] === 'none'
	)
		return;
	const leasesEndAt = reportedLeaseEnd(owner, workerIndex, guards);
	step(
		`owner ${ownerIndex} states that leases at worker ${workerIndex} are over ${expiryText(leasesEndAt)}`,
		(next) => {
			const { epoch } = owner;
			const one = at(next.owners, ownerIndex);
			one.expiryReports += 1;
			one.leaseWithheldWorkers |= 1 << workerIndex;
			one.voidedReportWorkers &= ~(1 << workerIndex);
			next.reportedExpiries.push({ epoch, version: next.stored.version, worker: workerIndex, leasesEndAt });
			next.reportedExpiries.sort(
				(a, b) =>
					a.epoch - b.epoch || a.version - b.version || a.worker - b.worker || a.leasesEndAt - b.leasesEndAt,
			);
		},
	);
}

function expiryText(leasesEndAt: number): string {
	return leasesEndAt === leaseExpiryConfirmed ? 'already' : `after tick ${leasesEndAt}`;
}

function reportedLeaseEnd(owner: Owner, workerIndex: number, guards: DispatchGuards): number {
	const leasesEndAt = at(owner.leaseEndByWorker, workerIndex);
	if (!guards.statedInherited && owner.unreconciled[workerIndex] !== 'none') return leaseExpiryConfirmed;
	return guards.statedGrants ? leasesEndAt : Math.max(leaseExpiryConfirmed, leasesEndAt - leaseTicks);
}

/** Whether an owner that takes over after this epoch may use a reported expiry. */
function isUsable(
	{ stored }: DispatchState,
	{ epoch, version }: ReportedExpiry,
	previousEpoch: number,
	guards: DispatchGuards,
): boolean {
	return (
		(epoch === previousEpoch || !guards.directStatement) && (version === stored.version || !guards.sameRoster)
	);
}

function startSteps(context: StepContext, step: AddStep): void {
	const { state, owner, ownerIndex, workerIndex, opts } = context;
	const { guards, bounds, storesPlace } = opts;
	if (owner.seenExit !== 'no' || owner.run % runsPerEpoch >= bounds.runs) return;
	const isFree = owner.placed === -1 && !mayRunElsewhere(owner, opts);
	const mayStore = storesPlace && state.stored.epoch === owner.epoch && owner.place !== workerIndex;
	if (mayStore && (isFree || !guards.placeOver))
		step(`owner ${ownerIndex} stores worker ${workerIndex} as the task's place`, (next) => {
			next.stored.place = workerIndex;
			at(next.owners, ownerIndex).place = workerIndex;
		});
	const isStored = !storesPlace || owner.place === workerIndex || !guards.placeFirst;
	const isOpen = isStored && mayStartAt(owner, workerIndex, guards);
	if (isFree && isOpen && mayGrantLease(context) && state.starts.length < maxMessagesInFlight)
		step(`owner ${ownerIndex} sends a start to worker ${workerIndex}`, (next) => {
			sendStart(next, ownerIndex, workerIndex);
		});
}

/** Whether the task may still run for an earlier owner, at a worker that isn't reconciled. */
function mayRunElsewhere(owner: Owner, { guards, storesPlace }: DispatchOptions): boolean {
	const mayBeAt = (entry: RosterEntry | undefined): boolean => entry === 'open' || entry === 'lists';
	if (storesPlace) return guards.placeWait && mayBeAt(owner.unreconciled[owner.inheritedPlacement]);
	return guards.settle && owner.unreconciled.some(mayBeAt);
}

function mayStartAt(owner: Owner, workerIndex: number, guards: DispatchGuards): boolean {
	if (owner.closingWrite.worker === workerIndex && guards.closeAtOnce) return false;
	const hasNotAnswered =
		owner.leaseEndByWorker.length > 0 && (owner.answeredWorkers & (1 << workerIndex)) === 0;
	if (hasNotAnswered && guards.askFirst) return false;
	const entry = at(owner.knownRoster, workerIndex);
	if (entry === 'open') return true;
	return entry === 'none' ? !guards.roster : !guards.reopen;
}

function takeOver(next: DispatchState, ownerIndex: number, { guards, bounds }: DispatchOptions): void {
	const usable = next.reportedExpiries.filter((one) => isUsable(next, one, next.stored.epoch, guards));
	next.stored.epoch += 1;
	const owner = at(next.owners, ownerIndex);
	owner.phase = 'on';
	owner.epoch = next.stored.epoch;
	owner.confirmedAt = next.tick;
	owner.tookOverAt = next.tick;
	owner.unreconciled = [...next.stored.roster];
	owner.knownRoster = [...next.stored.roster];
	owner.place = next.stored.place;
	owner.inheritedPlacement = next.stored.place;
	owner.run = owner.epoch * runsPerEpoch;
	owner.seenExit = next.stored.exit;
	if (bounds.expiryReportsPerOwner > 0)
		owner.leaseEndByWorker = owner.unreconciled.map((entry, workerIndex) => {
			const ends = usable.filter((one) => one.worker === workerIndex).map((one) => one.leasesEndAt);
			const mayHoldTask = entry === 'open' || entry === 'lists';
			return mayHoldTask ? Math.min(inheritedLeasesEndAt(owner), ...ends) : leaseExpiryConfirmed;
		});
}

/** The record's version increases, so expiries reported before are void. */
function noteWrite(next: DispatchState, ownerIndex: number): void {
	const owner = at(next.owners, ownerIndex);
	next.stored.version += 1;
	owner.voidedReportWorkers = owner.leaseWithheldWorkers;
	owner.hasUnacknowledgedWrite = true;
}

function acknowledgeWrite(next: DispatchState, ownerIndex: number, guards: DispatchGuards): void {
	const owner = at(next.owners, ownerIndex);
	owner.leaseWithheldWorkers &= guards.liftLater ? ~owner.voidedReportWorkers : 0;
	owner.voidedReportWorkers = 0;
	owner.hasUnacknowledgedWrite = false;
}

function noteLease(owner: Owner, workerIndex: number, until: number): void {
	if (owner.leaseEndByWorker.length > 0)
		owner.leaseEndByWorker[workerIndex] = Math.max(at(owner.leaseEndByWorker, workerIndex), until);
	else owner.leaseGrantedUntil = Math.max(owner.leaseGrantedUntil, until);
}

/**
 * Polls a worker. Its report shows what runs and what exited there; the request fences earlier owners and renews the lease.
 */
function poll(
	next: DispatchState,
	ownerIndex: number,
	workerIndex: number,
	guards: DispatchGuards,
	mayRenew: boolean,
): void {
	const owner = at(next.owners, ownerIndex);
	const worker = at(next.workers, workerIndex);
	if (guards.fence && owner.epoch < worker.epoch) {
		owner.phase = 'over';
		return;
	}
	worker.epoch = Math.max(worker.epoch, owner.epoch);
	if (owner.phase === 'on') owner.unreconciled[workerIndex] = 'none';
	if (owner.leaseEndByWorker.length > 0) owner.answeredWorkers |= 1 << workerIndex;
	if (worker.listedExit !== 'no') {
		owner.seenExit = worker.listedExit;
		if (next.stored.exit === 'no') owner.exitListingWorkers |= 1 << workerIndex;
	}
	if (worker.running) {
		owner.placed = workerIndex;
		// An earlier owner may have renewed the run's lease up to its own horizon.
		if (owner.leaseEndByWorker.length === 0) noteLease(owner, workerIndex, inheritedLeasesEndAt(owner));
	} else if (owner.placed === workerIndex && worker.listedExit !== 'no') owner.placed = -1;
	// Without reported expiries, leases of idle workers are not modelled.
	if (mayRenew && (worker.running || owner.leaseEndByWorker.length > 0)) {
		worker.leaseUntil = Math.max(worker.leaseUntil, next.tick + leaseTicks);
		noteLease(owner, workerIndex, next.tick + leaseTicks);
	}
}

/** One write adds all listed workers; each that is new to the roster is open. */
function openEntries(
	next: DispatchState,
	ownerIndex: number,
	workerIndex: number,
	guards: DispatchGuards,
): void {
	const owner = at(next.owners, ownerIndex);
	owner.knownRoster = owner.knownRoster.map((entry, worker) =>
		worker === workerIndex || entry === 'none' ? 'open' : entry,
	);
	next.stored.roster = [...owner.knownRoster];
	noteWrite(next, ownerIndex);
	acknowledgeWrite(next, ownerIndex, guards);
}

function sendStart(next: DispatchState, ownerIndex: number, workerIndex: number): void {
	const owner = at(next.owners, ownerIndex);
	owner.run += 1;
	owner.placed = workerIndex;
	const until = next.tick + leaseTicks;
	noteLease(owner, workerIndex, until);
	next.starts.push({ worker: workerIndex, epoch: owner.epoch, run: owner.run, until });
}

function deliverStart(next: DispatchState, start: Start, guards: DispatchGuards): void {
	const worker = at(next.workers, start.worker);
	if (guards.fence && start.epoch < worker.epoch) return;
	worker.epoch = Math.max(worker.epoch, start.epoch);
	if (guards.notAfter && start.until < next.tick) return;
	if (start.run <= worker.highestRun) return;
	if (worker.running) return;
	if (next.stored.exit === 'counts' || next.isExitAcknowledged)
		next.violation = 'the task starts after its end was taken note of';
	worker.running = true;
	worker.highestRun = Math.max(worker.highestRun, start.run);
	worker.leaseUntil = Math.max(worker.leaseUntil, guards.notAfter ? start.until : next.tick + leaseTicks);
}

function passTime(next: DispatchState): void {
	next.tick += 1;
	for (const worker of next.workers) {
		if (worker.leaseUntil >= next.tick) continue;
		worker.running = false;
		if (worker.listedExit === 'counts') worker.listedExit = 'lapsed';
	}
}

function checkInvariants(next: DispatchState): void {
	const running = next.workers.filter((worker) => worker.running);
	if (running.length > 1) next.violation = 'the task runs in two places';
}

function at<T>(items: T[], index: number): T {
	const item = items[index];
	if (item === undefined) throw new Error(`no item at index ${index}`);
	return item;
}
