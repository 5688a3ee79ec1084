/**
 * Model of the stored heartbeat that bounds the leases of owners: owners that follow one another, one task that lasts, and
 * two workers, each of which any owner may reach at any time or never, and which run on while they are cut off. Heartbeats
 * are stored late or never, their answers may be lost, and boxes may or may not know when each was sent. Owners may be
 * suspended, or be of an older version, which sends no heartbeats. Time is a count of ticks without a bound, kept as ages
 * and as ticks left. `dispatch.ts` has the roster, the stored exits and the closed entries, which are left out here.
 * Invariants: the task never runs twice at once; if an owner dies together with the worker of the task, and the heartbeat
 * that it sent last is known, the next owner can start the task once the span of that heartbeat is over.
 */
import * as explore from './explore.js';

/** The guards of the protocol, which has them all; each mutant leaves one out. `spec/expected.json` contains these names. */
export interface HeartbeatGuards {
	/** A lease is bounded by the time at which its heartbeat was sent, not by that of the answer. */
	sendTime: boolean;
	/** An owner grants leases only on the basis of a heartbeat that it knows to be stored. */
	storedBasis: boolean;
	/** After a conflict, the heartbeat found in the record is known to be stored, and no later one. */
	conflictCount: boolean;
	/** A heartbeat never replaces a record that its owner did not know. */
	recordVersion: boolean;
	/** A heartbeat is stored only while its owner's epoch is in force. */
	epochFence: boolean;
	/** A successor reads the record only under its own epoch. */
	readUnderEpoch: boolean;
	/** Of a heartbeat known to be later than the stored one, or the same, the time it was sent is a bound; of others not. */
	unknownCount: boolean;
	/** Only counts of the generation that is stored are compared with the stored one. */
	sameGeneration: boolean;
	/** A heartbeat covers inherited leases only once those of an owner of an older version are known to be over. */
	coverInherited: boolean;
	/** A record covers later generations only if the epoch record says that all of them send heartbeats. */
	ownerVersions: boolean;
	/** A heartbeat that was sent before its owner was suspended is no basis. */
	suspendedBasis: boolean;
	/** A start brings no later expiry than a poll would, so it extends nothing. */
	startsExtendNothing: boolean;
	/** Leases are presumed over only after a call, sent after their end, that shows the epoch in force. */
	confirmWaited: boolean;
	/** The time at which the heartbeat was sent bounds the wait, not that of the takeover. */
	knownCount: boolean;
}

/** Every guard on. */
export const allHeartbeatGuards: HeartbeatGuards = {
	sendTime: true,
	storedBasis: true,
	conflictCount: true,
	recordVersion: true,
	epochFence: true,
	readUnderEpoch: true,
	unknownCount: true,
	sameGeneration: true,
	coverInherited: true,
	ownerVersions: true,
	suspendedBasis: true,
	startsExtendNothing: true,
	confirmWaited: true,
	knownCount: true,
};

/** `older`: sends no heartbeats, and grants leases within the horizon of its last confirmed call to the store. */
export type OwnerVersion = 'current' | 'older';

/** Bounds of the exploration. */
export interface HeartbeatBounds {
	/** By owner, in the order of their takeovers. */
	versions: OwnerVersion[];
	/** Heartbeats that each owner may send. The last one needs none, as nobody waits for its leases. */
	heartbeats: number;
	/** Owners may be suspended. */
	suspensions: boolean;
	/** The owner in force and the first worker may die in one moment; then the next owner knows of every heartbeat. */
	deaths: boolean;
	/** The last owner never reaches the first worker. */
	cutOff: boolean;
}

/** Ticks after which leases end: `span` after a heartbeat was sent, `lease` after their grant. */
const spanTicks = 2;
const leaseTicks = 2;
const horizonTicks = 1;

/** How long leases of owners of an older version may last after their successor's takeover. */
const olderWaitTicks = horizonTicks + leaseTicks;

/** Age from which a heartbeat is no basis for anything. */
const oldAge = spanTicks + 1;

const workerCount = 2;
const maxStartsInFlight = 1;

/** Ticks left of what has expired. */
const expired = -1;

/** A heartbeat that was sent. */
interface Heartbeat {
	/** Ticks since it was sent, and the same as its owner counts them. */
	age: number;
	ownAge: number;
}

interface Owner {
	/** `unread`: has taken over, and not read the record yet. `over`: can do nothing more that matters. */
	phase: 'new' | 'prepared' | 'unread' | 'on' | 'over';
	/** By count, beginning with 1. */
	heartbeats: Heartbeat[];
	/** The highest count that it knows to be stored; 0: none. */
	storedCount: number;
	/** Whether it knows the record's version. */
	knowsRecord: boolean;
	/** Ticks since its last confirmed call; kept for an older version only. */
	confirmAge: number;
	/** Workers that may hold a run of an earlier owner, as bits. */
	unreconciled: number;
	/** Ticks until the leases of earlier owners are over. */
	inheritedLeft: number;
	/** Whether an owner of an older version may have granted some of them. */
	inheritsOlder: boolean;
	/** The worker at which it believes the task to be; -1: none. */
	placed: number;
	/** Ticks left of the latest lease that it granted there. */
	grantedLeft: number;
	isDead: boolean;
}

interface Worker {
	epoch: number;
	running: boolean;
	leaseLeft: number;
	isDead: boolean;
}

/** A heartbeat that is to be stored. */
interface Write {
	owner: number;
	count: number;
	covers: boolean;
	/** Whether the record has the version on which the write depends. */
	isCurrent: boolean;
}

interface Start {
	worker: number;
	owner: number;
	left: number;
}

/** The stored heartbeat. */
interface HeartbeatRecord {
	owner: number;
	count: number;
	/** Whether every lease that its owner or an earlier one granted ends within the span after it was sent. */
	covers: boolean;
}

/** A state of the model. */
export interface HeartbeatState {
	/** The owner in force. */
	epoch: number;
	/** The first owner of those that follow one another up to the owner in force and all send heartbeats; -1: none. */
	heartbeatsSince: number;
	record: HeartbeatRecord | null;
	owners: Owner[];
	workers: Worker[];
	writes: Write[];
	starts: Start[];
	violation: string;
}

interface Step {
	name: string;
	next: HeartbeatState;
}

type AddStep = (name: string, change: (next: HeartbeatState) => void) => void;

function newOwner(): Owner {
	return {
		phase: 'new',
		heartbeats: [],
		storedCount: 0,
		knowsRecord: false,
		confirmAge: 0,
		unreconciled: 0,
		inheritedLeft: expired,
		inheritsOlder: false,
		placed: -1,
		grantedLeft: expired,
		isDead: false,
	};
}

function initialState({ versions }: HeartbeatBounds): HeartbeatState {
	return {
		epoch: 0,
		heartbeatsSince: versions[0] === 'current' ? 0 : -1,
		record: null,
		owners: versions.map((_, index) => ({
			...newOwner(),
			...(index === 0 ? { phase: 'on' as const, knowsRecord: true } : {}),
		})),
		workers: Array.from({ length: workerCount }, () => ({
			epoch: 0,
			running: false,
			leaseLeft: expired,
			isDead: false,
		})),
		writes: [],
		starts: [],
		violation: '',
	};
}

/** Returns the model with the given guards and bounds. */
export function heartbeatModel(
	name: string,
	bounds: HeartbeatBounds,
	guards: HeartbeatGuards,
): explore.Model<HeartbeatState> {
	const model = HeartbeatModel.create(bounds, guards);
	const versions = bounds.versions.includes('older') ? ` (${bounds.versions.join(', ')})` : '';
	const suspensions = bounds.suspensions ? ', suspensions' : '';
	const deaths = bounds.deaths ? ', 1 death of owner and worker' : '';
	const cutOff = bounds.cutOff ? ', 1 worker cut off' : '';
	return {
		name,
		bounds: `${bounds.versions.length} owners${versions}, ${workerCount} workers, ${bounds.heartbeats} heartbeats each, ${maxStartsInFlight} late${suspensions}${deaths}${cutOff}`,
		initial: initialState(bounds),
		steps: (state) => (state.violation === '' ? model.steps(state) : []),
		violation: (state) => (state.violation === '' ? undefined : state.violation),
		isGoal: (state) => state.workers.some((worker) => worker.running),
	};
}

class HeartbeatModel {
	private constructor(
		private readonly bounds: HeartbeatBounds,
		private readonly guards: HeartbeatGuards,
	) {}

	static create(bounds: HeartbeatBounds, guards: HeartbeatGuards): HeartbeatModel {
		return new HeartbeatModel(bounds, guards);
	}

	steps(state: HeartbeatState): Step[] {
		const { steps, step } = this.collect(state);
		state.owners.forEach((owner, index) => {
			if (owner.isDead) return;
			this.takeoverSteps(state, index, step);
			if (owner.phase === 'on') this.ownerSteps(state, index, step);
		});
		this.arrivalSteps(state, step);
		this.timeSteps(state, step);
		return steps;
	}

	private isCurrent(index: number): boolean {
		return at(this.bounds.versions, index) === 'current';
	}

	/** Whether the owner may send no heartbeat any more. */
	private isExhausted(state: HeartbeatState, index: number): boolean {
		return at(state.owners, index).heartbeats.length >= this.bounds.heartbeats;
	}

	private collect(state: HeartbeatState): { steps: Step[]; step: AddStep } {
		const steps: Step[] = [];
		const step: AddStep = (name, change) => {
			const next = copy(state);
			change(next);
			checkInvariants(next);
			this.dropIrrelevant(next);
			steps.push({ name, next });
		};
		return { steps, step };
	}

	private takeoverSteps(state: HeartbeatState, index: number, step: AddStep): void {
		const owner = at(state.owners, index);
		const isNext = index === state.epoch + 1;
		const isCurrent = this.isCurrent(index);
		if (isNext && owner.phase === 'new' && !this.guards.readUnderEpoch && isCurrent)
			this.readSteps(state, index, step);
		if (isNext && (owner.phase === 'new' || owner.phase === 'prepared'))
			step(`owner ${index} takes over`, (next) => {
				this.takeOver(next, index);
			});
		if (owner.phase === 'unread' && state.epoch === index) this.readSteps(state, index, step);
	}

	private takeOver(next: HeartbeatState, index: number): void {
		const owner = at(next.owners, index);
		const isCurrent = this.isCurrent(index);
		const wasPrepared = owner.phase === 'prepared';
		next.epoch = index;
		if (!isCurrent) next.heartbeatsSince = -1;
		else if (next.heartbeatsSince === -1) next.heartbeatsSince = index;
		owner.unreconciled = (1 << workerCount) - 1;
		owner.phase = isCurrent && !wasPrepared ? 'unread' : 'on';
		if (!wasPrepared) owner.inheritedLeft = olderWaitTicks;
	}

	/** An owner reads the record. It may know when any heartbeat was sent that was, or know it of none. */
	private readSteps(state: HeartbeatState, index: number, step: AddStep): void {
		const { record } = state;
		const takeoverAge = olderWaitTicks - at(state.owners, index).inheritedLeft;
		const isPrepared = at(state.owners, index).phase === 'new';
		const read = (name: string, inheritedLeft: number, inheritsOlder: boolean): void => {
			step(`owner ${index} reads the record${name}`, (next) => {
				const owner = at(next.owners, index);
				owner.phase = isPrepared ? 'prepared' : 'on';
				owner.knowsRecord = true;
				owner.inheritsOlder = inheritsOlder;
				owner.inheritedLeft = Math.max(expired, inheritedLeft);
			});
		};
		const isKnownFor = !this.guards.ownerVersions || (record?.owner ?? -1) >= state.heartbeatsSince;
		if (!record?.covers || !isKnownFor) {
			if (!isPrepared) read('', at(state.owners, index).inheritedLeft, true);
			return;
		}
		const knownAges = this.knownAges(state, record);
		for (const age of knownAges)
			read(`, and knows of a heartbeat sent ${age} ticks ago`, spanTicks - age, false);
		const mustKnow = this.bounds.deaths && state.owners.some((owner) => owner.isDead);
		if (!isPrepared && (!mustKnow || !this.guards.knownCount))
			read(', and does not know when it was sent', spanTicks - takeoverAge, false);
	}

	/** Ages of the heartbeats that a successor may take as a bound for the stored one. */
	private knownAges(state: HeartbeatState, record: HeartbeatRecord): number[] {
		const mustKnow = this.bounds.deaths && state.owners.some((owner) => owner.isDead);
		if (mustKnow && !this.guards.knownCount) return [];
		const ages = state.owners.flatMap(({ heartbeats }, owner) => {
			if (owner !== record.owner && this.guards.sameGeneration) return [];
			const known = heartbeats.filter(
				(_, index) => index + 1 >= record.count || (!this.guards.unknownCount && owner === record.owner),
			);
			return (mustKnow ? known.slice(-1) : known).map(({ age }) => age);
		});
		return [...new Set(ages)].sort((a, b) => a - b);
	}

	private ownerSteps(state: HeartbeatState, index: number, step: AddStep): void {
		const owner = at(state.owners, index);
		const isCurrent = this.isCurrent(index);
		const isInForce = state.epoch === index;
		if (isCurrent && isInForce && hasSuccessor(state) && !this.isExhausted(state, index))
			step(`owner ${index} sends heartbeat ${owner.heartbeats.length + 1}`, (next) => {
				this.sendHeartbeat(next, index);
			});
		if (!isCurrent && isInForce && owner.confirmAge > 0)
			step(`owner ${index} confirms its epoch`, (next) => {
				at(next.owners, index).confirmAge = 0;
			});
		distinctWorkers(state).forEach((worker, workerIndex) => {
			const isCutOff = this.bounds.cutOff && index === state.owners.length - 1 && workerIndex === 0;
			if (!worker.isDead && !isCutOff && worker.epoch <= index)
				step(`owner ${index} asks worker ${workerIndex}`, (next) => {
					this.poll(next, index, workerIndex);
				});
			this.timeoutSteps(state, index, workerIndex, step);
			this.startSteps(state, index, workerIndex, step);
		});
		this.deathStep(state, index, step);
	}

	private sendHeartbeat(next: HeartbeatState, index: number): void {
		const owner = at(next.owners, index);
		const mayCover = !owner.inheritsOlder || owner.inheritedLeft === expired || !this.guards.coverInherited;
		owner.heartbeats.push({ age: 0, ownAge: 0 });
		next.writes.push({
			owner: index,
			count: owner.heartbeats.length,
			covers: mayCover,
			isCurrent: owner.knowsRecord,
		});
	}

	/** Ticks left of a lease that the owner may grant now. */
	private grantableLeft(index: number, owner: Owner): number {
		if (!this.isCurrent(index)) return owner.confirmAge <= horizonTicks ? leaseTicks : expired;
		if (index === this.bounds.versions.length - 1) return leaseTicks;
		const count = this.guards.storedBasis ? owner.storedCount : owner.heartbeats.length;
		const basis = owner.heartbeats[count - 1];
		return basis === undefined ? expired : Math.max(expired, Math.min(leaseTicks, spanTicks - basis.ownAge));
	}

	/** Polls a worker. Leases of idle workers are not modelled: a start brings what a poll right before it would. */
	private poll(next: HeartbeatState, index: number, workerIndex: number): void {
		const owner = at(next.owners, index);
		const worker = at(next.workers, workerIndex);
		worker.epoch = index;
		owner.unreconciled &= ~(1 << workerIndex);
		const isStartInFlight = next.starts.some(
			(start) => start.owner === index && start.worker === workerIndex,
		);
		if (worker.running) owner.placed = workerIndex;
		else if (owner.placed === workerIndex && !isStartInFlight) owner.placed = -1;
		if (!worker.running) return;
		const left = this.grantableLeft(index, owner);
		worker.leaseLeft = Math.max(worker.leaseLeft, left);
		owner.grantedLeft = Math.max(owner.grantedLeft, left);
	}

	/** What an owner concludes from time alone, and from a call to the store after that. */
	private timeoutSteps(state: HeartbeatState, index: number, workerIndex: number, step: AddStep): void {
		const owner = at(state.owners, index);
		if (owner.inheritedLeft >= 0 || (state.epoch !== index && this.guards.confirmWaited)) return;
		if ((owner.unreconciled & (1 << workerIndex)) !== 0)
			step(`owner ${index} takes worker ${workerIndex} for settled`, (next) => {
				at(next.owners, index).unreconciled &= ~(1 << workerIndex);
			});
		if (owner.placed === workerIndex && owner.grantedLeft < 0)
			step(`owner ${index} takes the run at worker ${workerIndex} for lost`, (next) => {
				at(next.owners, index).placed = -1;
			});
	}

	private startSteps(state: HeartbeatState, index: number, workerIndex: number, step: AddStep): void {
		const owner = at(state.owners, index);
		if (owner.unreconciled !== 0 || owner.placed !== -1 || state.starts.length >= maxStartsInFlight) return;
		const grantableLeft = this.grantableLeft(index, owner);
		if (grantableLeft < 0) return;
		const left = this.guards.startsExtendNothing ? grantableLeft : leaseTicks;
		step(`owner ${index} sends a start to worker ${workerIndex}`, (next) => {
			const one = at(next.owners, index);
			one.placed = workerIndex;
			one.grantedLeft = left;
			next.starts.push({ worker: workerIndex, owner: index, left });
		});
	}

	private deathStep(state: HeartbeatState, index: number, step: AddStep): void {
		const { record, heartbeatsSince } = state;
		const isPossible =
			this.bounds.deaths &&
			state.epoch === index &&
			hasSuccessor(state) &&
			!state.owners.some((owner) => owner.isDead);
		if (!isPossible || record?.owner !== index || record.owner < heartbeatsSince || !record.covers) return;
		step(`owner ${index} and worker 0 die`, (next) => {
			at(next.owners, index).isDead = true;
			Object.assign(at(next.workers, 0), { isDead: true, running: false, leaseLeft: expired });
			next.starts = next.starts.filter((start) => start.worker !== 0);
		});
	}

	private arrivalSteps(state: HeartbeatState, step: AddStep): void {
		state.writes.forEach((write, position) => {
			const name = `heartbeat ${write.count} of owner ${write.owner}`;
			const isStored = write.isCurrent || !this.guards.recordVersion;
			const outcome = isStored ? 'is stored' : 'meets another version';
			step(`${name} ${outcome}, and the answer is lost`, (next) => {
				next.writes.splice(position, 1);
				if (isStored) this.store(next, write);
			});
			if (at(state.owners, write.owner).isDead) return;
			step(`${name} ${outcome}`, (next) => {
				next.writes.splice(position, 1);
				if (isStored) this.store(next, write);
				this.handleAnswer(next, write, isStored);
			});
		});
		state.starts.forEach((start, position) => {
			step(`the start of owner ${start.owner} arrives at worker ${start.worker}`, (next) => {
				next.starts.splice(position, 1);
				const worker = at(next.workers, start.worker);
				worker.epoch = start.owner;
				worker.running = true;
				worker.leaseLeft = Math.max(worker.leaseLeft, start.left);
			});
		});
	}

	private store(next: HeartbeatState, { owner, count, covers }: Write): void {
		next.record = { owner, count, covers };
		for (const write of next.writes) write.isCurrent = false;
		for (const one of next.owners) one.knowsRecord = false;
	}

	private handleAnswer(next: HeartbeatState, { owner: index, count }: Write, isStored: boolean): void {
		const owner = at(next.owners, index);
		const { record } = next;
		owner.knowsRecord = true;
		const foundCount = record?.owner === index ? record.count : 0;
		const learnedCount = isStored || !this.guards.conflictCount ? count : foundCount;
		owner.storedCount = Math.max(owner.storedCount, learnedCount);
		const heartbeat = owner.heartbeats[learnedCount - 1];
		if (!this.guards.sendTime && heartbeat !== undefined) heartbeat.ownAge = 0;
	}

	private timeSteps(state: HeartbeatState, step: AddStep): void {
		step('a tick passes', (next) => {
			if (this.isBoundMissed(state))
				next.violation = 'the span of the last heartbeat is over, and the task can not be started';
			passTime(next, -1);
		});
		state.owners.forEach((owner, index) => {
			if (!this.bounds.suspensions || owner.phase !== 'on' || owner.isDead) return;
			if (owner.heartbeats.every(({ ownAge }) => ownAge >= oldAge)) return;
			step(`a tick passes, with owner ${index} suspended`, (next) => {
				passTime(next, index);
				if (!this.guards.suspendedBasis) return;
				for (const heartbeat of at(next.owners, index).heartbeats) heartbeat.ownAge = oldAge;
			});
		});
	}

	/** Whether the span of the dead owner's last heartbeat is over, and the owner in force can't start the task now. */
	private isBoundMissed(state: HeartbeatState): boolean {
		const dead = state.owners.findIndex((owner) => owner.isDead);
		const lastHeartbeat = state.owners[dead]?.heartbeats.at(-1);
		if (lastHeartbeat === undefined || lastHeartbeat.age < oldAge || state.epoch === dead) return false;
		// Owners in between that stored a heartbeat may have granted leases on its basis.
		if (state.record?.owner !== dead) return false;
		if (hasSuccessor(state) && this.isExhausted(state, state.epoch)) return false;
		return !this.canRunNow(state, state.epoch, new Set());
	}

	/** Whether the task runs, or the owner can bring it about without waiting. */
	private canRunNow(state: HeartbeatState, index: number, seen: Set<string>): boolean {
		if (state.workers.some((worker) => worker.running)) return true;
		const key = JSON.stringify(state);
		if (seen.has(key)) return false;
		seen.add(key);
		const { steps, step } = this.collect(state);
		this.takeoverSteps(state, index, step);
		if (at(state.owners, index).phase === 'on') this.ownerSteps(state, index, step);
		this.arrivalSteps(state, step);
		return steps.some(({ next }) => next.epoch === index && this.canRunNow(next, index, seen));
	}

	/** Makes states equal that can't differ in what follows: this leaves fewer states and loses none. */
	private dropIrrelevant(next: HeartbeatState): void {
		next.writes = next.writes.filter(({ owner }) => owner === next.epoch || !this.guards.epochFence);
		next.starts = next.starts.filter(
			(start) => start.left >= 0 && start.owner >= at(next.workers, start.worker).epoch,
		);
		for (const worker of next.workers) if (!worker.running) worker.leaseLeft = expired;
		next.owners.forEach((owner, index) => {
			const isReplaced = index < next.epoch;
			if (isReplaced && owner.phase !== 'over' && this.isPowerless(next, index))
				Object.assign(owner, {
					...newOwner(),
					phase: 'over',
					heartbeats: owner.heartbeats,
					isDead: owner.isDead,
				});
			const isFree = owner.unreconciled === 0 && owner.placed === -1;
			if (owner.placed === -1) owner.grantedLeft = expired;
			if (isFree && !owner.inheritsOlder) owner.inheritedLeft = expired;
			if (owner.inheritedLeft === expired || isReplaced) owner.inheritsOlder = false;
			if (this.isCurrent(index) || owner.phase !== 'on') owner.confirmAge = 0;
			this.dropHeartbeats(next, index);
		});
		if (!this.isRecordRead(next) && !this.bounds.deaths) next.record = null;
	}

	private dropHeartbeats(next: HeartbeatState, index: number): void {
		const { sameGeneration, unknownCount, epochFence, recordVersion, storedBasis } = this.guards;
		const owner = at(next.owners, index);
		const isStoredOver = epochFence && recordVersion && index < next.epoch && next.record?.owner !== index;
		const isRead = this.isRecordRead(next) && !(isStoredOver && sameGeneration);
		owner.heartbeats.forEach((heartbeat, position) => {
			const count = position + 1;
			const isBelowRecord =
				recordVersion && unknownCount && next.record?.owner === index && count < next.record.count;
			if (!owner.isDead && (!isRead || isBelowRecord)) heartbeat.age = oldAge;
			const isNoBasis = storedBasis && (count < owner.storedCount || !mayBecomeBasis(next, index, count));
			if (owner.phase === 'over' || isNoBasis) heartbeat.ownAge = oldAge;
		});
		const isForgotten = owner.heartbeats.every(({ age, ownAge }) => age === oldAge && ownAge === oldAge);
		const isRecorded = next.record?.owner === index;
		if (owner.phase === 'over' && isForgotten && !owner.isDead && !isRecorded) owner.heartbeats = [];
	}

	/** Whether a takeover may still read the record. */
	private isRecordRead(state: HeartbeatState): boolean {
		return hasSuccessor(state) || at(state.owners, state.epoch).phase === 'unread';
	}

	/** Whether nothing that a replaced owner may still do grants a lease or starts the task. */
	private isPowerless(state: HeartbeatState, index: number): boolean {
		const owner = at(state.owners, index);
		if (owner.isDead || owner.phase !== 'on') return true;
		const mayLearn = !this.guards.epochFence && state.writes.some((write) => write.owner === index);
		return this.grantableLeft(index, owner) < 0 && !mayLearn;
	}
}

/** Whether the owner knows the heartbeat to be stored, or may learn that it is. */
function mayBecomeBasis(
	{ owners, writes, record, epoch }: HeartbeatState,
	index: number,
	count: number,
): boolean {
	const isInFlight = writes.some((write) => write.owner === index && write.count === count);
	const isStored = index === epoch && record?.owner === index && record.count === count;
	return isInFlight || isStored || at(owners, index).storedCount === count;
}

function passTime(next: HeartbeatState, suspended: number): void {
	const decrement = (left: number): number => Math.max(expired, left - 1);
	next.owners.forEach((owner, index) => {
		for (const heartbeat of owner.heartbeats) {
			heartbeat.age = Math.min(oldAge, heartbeat.age + 1);
			if (index !== suspended) heartbeat.ownAge = Math.min(oldAge, heartbeat.ownAge + 1);
		}
		owner.confirmAge = Math.min(horizonTicks + 1, owner.confirmAge + 1);
		owner.inheritedLeft = decrement(owner.inheritedLeft);
		owner.grantedLeft = decrement(owner.grantedLeft);
	});
	for (const worker of next.workers) {
		worker.leaseLeft = decrement(worker.leaseLeft);
		if (worker.leaseLeft < 0) worker.running = false;
	}
	for (const start of next.starts) start.left = decrement(start.left);
}

function checkInvariants(next: HeartbeatState): void {
	if (next.workers.filter((worker) => worker.running).length > 1)
		next.violation = 'the task runs in two places';
}

function hasSuccessor(state: HeartbeatState): boolean {
	return state.epoch < state.owners.length - 1;
}

/** The workers to tell apart: as long as nothing has happened at any, one stands for all. */
function distinctWorkers(state: HeartbeatState): Worker[] {
	const isUsed =
		state.owners.some(
			({ unreconciled, placed }) =>
				placed !== -1 || (unreconciled !== 0 && unreconciled !== (1 << workerCount) - 1),
		) ||
		state.starts.length > 0 ||
		state.workers.some((worker) => JSON.stringify(worker) !== JSON.stringify(state.workers[0]));
	return isUsed ? state.workers : state.workers.slice(0, 1);
}

/** Copies field by field: a general clone would take most of the exploration's time. */
function copy(state: HeartbeatState): HeartbeatState {
	return {
		...state,
		record: state.record && { ...state.record },
		owners: state.owners.map((owner) => ({
			...owner,
			heartbeats: owner.heartbeats.map((heartbeat) => ({ ...heartbeat })),
		})),
		workers: state.workers.map((worker) => ({ ...worker })),
		writes: state.writes.map((write) => ({ ...write })),
		starts: state.starts.map((start) => ({ ...start })),
	};
}

function at<T>(items: T[], index: number): T {
	const item = items[index];
	if (item === undefined) throw new Error(`no item at index ${index}`);
	return item;
}
