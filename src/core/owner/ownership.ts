/**
 * Election of the owner, the one box that dispatches; the owner record in the store names it under a lease. Every other box
 * keeps a ping open at the owner. When that breaks, or the record goes away with its lease, the boxes race to become the
 * next owner. Safety does not depend on this: the epoch ensures it, in the store and on every worker.
 */
import * as clocks from '../clock.js';
import * as handingOver from './handing-over.js';
import * as leaseKeepers from './lease-keeper.js';
import * as ledger from '../ledger/index.js';
import * as ownerRecords from './owner-record.js';
import * as settings from './settings.js';
import * as strength from './strength.js';
import * as successions from './succession.js';
import * as takeovers from './takeover.js';
import type * as candidates from './candidates.js';
import type * as events from '../events/index.js';
import type * as outgoingHandovers from './outgoing-handover.js';
import type * as platform from '../platform/types.js';

/** Outcome of a ping of the owner. */
export type PingOutcome = 'alive' | 'not-owner' | 'refused' | 'silent';

/** What confirmed handovers need: an owner that stops dispatches until its successor has taken over. */
export interface ConfirmedHandover {
	/** Failure domain of this box. */
	zone: string;
	/** The boxes that ping this one while it is the owner. */
	candidates: candidates.Candidates;
	/** How long after the begin of a planned stop ownership is released if nobody could take over, in milliseconds. */
	keepForMs: number;
	/** How long the store has been unresponsive to this box, in milliseconds; 0: it answers. */
	storeLostForMs: () => number;
	/** Answers the held pings of the other boxes. */
	answerPings: () => void;
	/** Pings the owner at an address at once; the answer arrives by `noteReply`. */
	pingNow: (address: string) => Promise<void>;
	/** Tells the box at an address that this one has replaced it; false: it gave no answer. */
	notifyTaken: (address: string, owner: ledger.OwnerRecord) => Promise<boolean>;
}

/** Options of `Ownership`. */
export interface OwnershipOptions {
	store: platform.RecordStore;
	clock: clocks.Clock;
	events: events.EventLog;
	box: string;
	/** Address at which peers connect to this box, `host:port`. */
	peer: string;
	leaseMs: number;
	/** Processor that this box may use, in cores. */
	processor: number;
	/** The highest processor of all boxes, in cores, as the owner last reported; undefined: not reported yet. */
	highestKnownProcessor: () => number | undefined;
	/**
	 * A stronger box that could dispatch in this one's place; called while this box is the owner. Undefined: there is none.
	 */
	strongerBox: () => string | undefined;
	/** Pings the owner at an address; a box that is the owner answers late. */
	ping: (address: string) => Promise<PingOutcome>;
	/** Whether the owner, at its last ping, had lost the store while this box has it. */
	ownerLacksStore: () => boolean;
	/** Called when this box becomes the owner. */
	onAcquired: (owned: ledger.OwnerLedger, contents: ledger.LedgerContents) => void;
	/** Called when it stops being the owner. */
	onLost: () => void;
	/** Returns a delay in milliseconds between 0 and the argument; seeded in tests. */
	random: (below: number) => number;
	/** Present where handovers are confirmed; absent: ownership is released, and the boxes race for it. */
	handover?: ConfirmedHandover;
}

/** What an owner says in its answers to pings about who owns. */
export interface OwnerReply extends successions.SuccessionReply {
	/** The box that answers is not the owner, and this one is; undefined: not known there. */
	movedTo?: ledger.OwnerRecord;
}

/** How often a new owner repeats its message to the former one, at most. */
const maxNotifications = 4;

/** This box's part in the election of the owner. */
export class Ownership {
	/** The owner as last read, or this box while it is the owner; undefined: not known. */
	owner: ledger.OwnerRecord | undefined;
	/** Whether the owner answered the last ping. */
	reachable = false;
	private ownerLedger: ledger.OwnerLedger | undefined;
	private lease: string | undefined;
	private keeper: leaseKeepers.LeaseKeeper | undefined;
	private stopping = false;
	/** Generation of the owner last logged as found. */
	private lastFoundGeneration = 0;
	/** The store's revision at the last read of the owner record; 0: not read. */
	private ownerRecordRevision = 0;
	/** Whether the previous owner became unresponsive: boxes notice that loss at different times. */
	private wasUnresponsive = false;
	/** Clock time at which this box last became owner. */
	private ownedSince = -Infinity;
	/** Undefined where handovers are not confirmed. */
	private readonly succession: successions.Succession | undefined;
	private readonly handingOver: handingOver.HandingOver | undefined;
	/** A planned stop has begun: this box takes over no more, and goes on owning until it is replaced. */
	private leaving = false;
	/** This box has permission and is taking over. */
	private isReplacing = false;
	/** The lease expired while this box was taking over. */
	private isLeaseExpired = false;
	/** Where a former owner said that the owner is. */
	private movedTo: ledger.OwnerRecord | undefined;
	/** Called when a stopping box no longer owns. */
	private onGivenUp: () => void = () => undefined;

	private constructor(private readonly opts: OwnershipOptions) {
		const { handover } = opts;
		if (handover !== undefined) {
			this.succession = successions.Succession.create({
				...opts,
				pingNow: (address) => handover.pingNow(address),
			});
			this.handingOver = handingOver.HandingOver.create({
				...opts,
				...handover,
				own: { zone: handover.zone, processor: opts.processor },
				isStrongerBoxUp: () => opts.strongerBox() !== undefined,
			});
		}
		void this.run();
	}

	static create(opts: OwnershipOptions): Ownership {
		return new Ownership(opts);
	}

	/** The ledger while this box is the owner; else undefined. */
	get currentLedger(): ledger.OwnerLedger | undefined {
		return this.ownerLedger;
	}

	/** The generation that this box is prepared to replace; undefined: none. */
	get prepared(): number | undefined {
		return this.succession?.prepared;
	}

	/** Whether a planned stop of this box has begun; undefined where handovers are not confirmed. */
	get reportedStopping(): boolean | undefined {
		return this.opts.handover && (this.leaving || this.stopping);
	}

	/** The owner, for a box that pings this one, which is not the owner; undefined: not known. */
	get knownOwner(): ledger.OwnerRecord | undefined {
		return this.owner?.box === this.opts.box ? undefined : this.owner;
	}

	/** Steps down: a newer epoch was seen. */
	lose(reason: string): void {
		if (this.ownerLedger === undefined) return;
		const { generation } = this.ownerLedger;
		this.opts.events.emit('owner.lost', { generation, reason });
		this.handingOver?.noteReplaced();
		this.endOwnership(undefined);
	}

	/** Applies what the owner, or a former one, at an address answered to a ping. */
	noteReply(reply: OwnerReply, address: string): void {
		this.movedTo = reply.movedTo;
		if (this.ownerLedger !== undefined || this.isReplacing || reply.movedTo !== undefined) return;
		this.succession?.noteReply(reply, address);
	}

	/** Notes that a box has taken over from this one. Older news has no effect. */
	noteTaken(owner: ledger.OwnerRecord): void {
		const known = this.ownerLedger?.generation ?? this.owner?.generation ?? 0;
		if (this.opts.handover === undefined) return;
		this.handingOver?.noteNewOwner(owner);
		if (owner.generation <= known) return;
		if (this.ownerLedger !== undefined) this.endOwnership(owner);
		this.owner = owner;
		this.ownerRecordRevision = 0;
	}

	/** Whether a ping of this box is to be answered without holding it: it does not know yet that it is named. */
	isAwaitedBy(box: string): boolean {
		return this.ownerLedger !== undefined && this.handingOver?.isAwaitedBy(box) === true;
	}

	/** What this owner adds to its answer to a ping of a box that is prepared for the generation `prepared`. */
	handoverReply(box: string, prepared: number | undefined): outgoingHandovers.HandoverReply {
		if (this.ownerLedger === undefined) return {};
		this.handingOver?.consider(this.ownerLedger.generation);
		return this.handingOver?.replyTo(box, prepared) ?? {};
	}

	/** Planned stop: gives up ownership, at once or when a successor has taken over. */
	async release(): Promise<void> {
		if (this.opts.handover === undefined) await this.releaseNow();
		else await this.leave(this.opts.handover);
	}

	/** Releases ownership at once, so that another box takes over. */
	private async releaseNow(): Promise<void> {
		this.stopping = true;
		if (this.ownerLedger === undefined) return;
		const { generation } = this.ownerLedger;
		await this.releaseOwnership();
		this.opts.events.emit('owner.released', { generation });
	}

	/**
	 * Goes on owning until a successor has taken over. If none has until the grace period is nearly over, releases ownership.
	 * From then on this box follows the owner without taking over.
	 */
	private async leave(handover: ConfirmedHandover): Promise<void> {
		this.leaving = true;
		this.succession?.close();
		const owned = this.ownerLedger;
		// The owner may be about to permit this box to take over.
		if (this.owner !== undefined && owned === undefined) void handover.pingNow(this.owner.peer);
		if (owned === undefined && !this.isReplacing) return;
		if (owned !== undefined) this.handingOver?.noteStop(owned.generation);
		await this.untilGivenUp(handover.keepForMs);
		// A takeover that is not complete by now would outlive the process.
		this.stopping = this.isReplacing;
		const stillOwned = this.currentLedger;
		if (stillOwned === undefined) return;
		this.owner = undefined;
		await this.releaseOwnership();
		this.opts.events.emit('owner.released', { generation: stillOwned.generation });
	}

	/** Resolves when this box no longer owns, at the latest after `maxMs`. */
	private untilGivenUp(maxMs: number): Promise<void> {
		return new Promise((resolve) => {
			const timer = this.opts.clock.after(maxMs, resolve);
			this.onGivenUp = (): void => {
				timer.cancel();
				resolve();
			};
		});
	}

	private async run(): Promise<void> {
		while (!this.stopping) {
			const wait =
				this.ownerLedger === undefined ? await this.followOwner() : await this.keep(this.ownerLedger);
			if (wait > 0) await clocks.sleep(this.opts.clock, wait);
		}
	}

	/** One turn of a box that is not the owner; returns how long to wait, in milliseconds. */
	private async followOwner(): Promise<number> {
		if (this.owner === undefined) return this.findOwner();
		const pinged = this.owner;
		const outcome = await this.pingOwner(pinged);
		if (outcome === 'permitted') return this.replaceOwner();
		if (this.hasMovedFrom(pinged)) return 0;
		if (outcome === 'not-owner' && this.followMove(pinged)) return 0;
		this.wasUnresponsive = outcome === 'silent' || outcome === 'name-gone';
		if (outcome === 'name-gone') return this.findOwner();
		if (outcome === 'alive') {
			this.reachable = true;
			// An owner that has lost the store can neither store exits nor renew leases for long.
			return this.opts.ownerLacksStore() ? this.findOwner() : 0;
		}
		if (this.isPingObsolete()) return 0;
		this.reachable = false;
		this.opts.events.emit('owner.missed', { box: this.owner.box, reason: outcome });
		// The connection was refused: the owner's process is gone, and its lease need not be waited out.
		const deadOwner = outcome === 'refused' ? this.owner : undefined;
		this.owner = undefined;
		return this.findOwner(deadOwner);
	}

	/** Pings the owner. After a ping without an answer it also watches the owner record, which goes away with the lease. */
	private async pingOwner(owner: ledger.OwnerRecord): Promise<PingOutcome | 'name-gone' | 'permitted'> {
		const pinged = this.opts.ping(owner.peer);
		const awaited: Promise<PingOutcome | 'name-gone' | 'permitted'>[] = [pinged];
		if (this.succession !== undefined)
			awaited.push(this.succession.whenPermitted().then(() => 'permitted' as const));
		if (!this.reachable && this.ownerRecordRevision !== 0) awaited.push(this.ownerRecordChanged(pinged));
		return Promise.race(awaited);
	}

	/** Goes to the owner that the former one named; false: it named none that is newer. */
	private followMove(former: ledger.OwnerRecord): boolean {
		const { movedTo } = this;
		this.movedTo = undefined;
		if (movedTo === undefined || movedTo.generation <= former.generation) return false;
		this.owner = movedTo;
		this.ownerRecordRevision = 0;
		this.lastFoundGeneration = movedTo.generation;
		const { box, generation } = movedTo;
		this.opts.events.emit('owner.found', { box, generation });
		return true;
	}

	/** Resolves to `name-gone` when the owner record changes in the store; else as `pinged` does. */
	private async ownerRecordChanged(pinged: Promise<PingOutcome>): Promise<PingOutcome | 'name-gone'> {
		return (await ownerRecords.changes(this.opts.store, this.ownerRecordRevision)) ? 'name-gone' : pinged;
	}

	/** Whether a successor's message named another owner, after an `await`. */
	private hasMovedFrom(owner: ledger.OwnerRecord): boolean {
		return this.owner !== undefined && this.owner !== owner;
	}

	/** Whether this box is stopping, or no longer has that owner, after an `await`. */
	private isPingObsolete(): boolean {
		return this.owner === undefined || this.stopping;
	}

	/**
	 * Reads the owner record; takes over if there is none, or if it names `deadOwner`. Returns how long to wait, in
	 * milliseconds.
	 */
	private async findOwner(deadOwner?: ledger.OwnerRecord): Promise<number> {
		const ownerRead = await ownerRecords.readOwner(this.opts.store);
		if (!ownerRead.ok) return settings.findRetryMs;
		const { owner, revision } = ownerRead.value;
		const isVacant = owner === undefined || owner.generation === deadOwner?.generation;
		if (isVacant && this.leaving) return settings.findRetryMs;
		if (isVacant) return this.takeOver(deadOwner?.generation);
		this.handingOver?.noteNewOwner(owner);
		if (owner.generation !== this.lastFoundGeneration) {
			this.lastFoundGeneration = owner.generation;
			this.opts.events.emit('owner.found', { box: owner.box, generation: owner.generation });
		}
		this.owner = owner;
		this.ownerRecordRevision = revision;
		return deadOwner === undefined && !this.reachable ? settings.findRetryMs : 0;
	}

	/** Gives stronger boxes time to take over first; true if another box did. */
	private async yieldToStronger(replacedGeneration: number | undefined): Promise<boolean> {
		const { clock, random } = this.opts;
		const isWeaker = await this.isWeaker();
		const detectionMs = this.wasUnresponsive ? settings.pingTimeoutMs : 0;
		const headStartMs = isWeaker ? settings.weakerBoxDelayMs + detectionMs : 0;
		await clocks.sleep(clock, random(settings.raceJitterMs) + headStartMs);
		if (!isWeaker) return false;
		const ownerRead = await ownerRecords.readOwner(this.opts.store);
		const owner = ownerRead.ok ? ownerRead.value.owner : undefined;
		if (owner === undefined || owner.generation === replacedGeneration) return false;
		this.owner = owner;
		this.ownerRecordRevision = 0;
		return true;
	}

	/** Whether a clearly stronger box is known; until an owner has reported on that, the store is read. */
	private async isWeaker(): Promise<boolean> {
		const strongest =
			this.opts.highestKnownProcessor() ?? (await strength.readHighestProcessor(this.opts.store));
		return strength.isWeaker(this.opts.processor, strongest);
	}

	/**
	 * Runs in the race; returns how long to wait, in milliseconds. `replacedGeneration`: generation of an owner whose
	 * process is gone though its record is still there.
	 */
	private async takeOver(replacedGeneration: number | undefined): Promise<number> {
		if (await this.yieldToStronger(replacedGeneration)) return 0;
		const lease = await this.opts.store.grantLease(this.opts.leaseMs);
		if (!lease.ok) return settings.findRetryMs;
		// The lease is renewed from here on, as reading many stored jobs may take longer than the lease.
		this.keeper = this.createKeeper(lease.value);
		const context = this.takeoverContext(lease.value);
		const taken = await takeovers.acquireAndLoad(context, replacedGeneration);
		if (taken.ok && !this.isStopping()) {
			this.becomeOwner(lease.value, taken.value);
			return 0;
		}
		return this.giveUpTakeover(lease.value, taken.ok ? 'this box stops' : taken.err);
	}

	/** Ends the lease of a takeover that failed; returns how long to wait, in milliseconds. */
	private giveUpTakeover(lease: string, reason: string): number {
		this.keeper?.close();
		this.opts.events.emit('owner.not-taken', { reason });
		void this.opts.store.endLease(lease);
		return settings.findRetryMs;
	}

	/**
	 * Replaces the owner that permits it, by compare-and-swap of the epoch against the record of its generation; returns how
	 * long to wait, in milliseconds.
	 */
	private async replaceOwner(): Promise<number> {
		const prepared = this.succession?.take();
		if (prepared === undefined) return 0;
		this.isReplacing = true;
		this.keeper = this.createKeeper(prepared.lease);
		const taken = await takeovers.replaceAndLoad(this.takeoverContext(prepared.lease), prepared);
		this.isReplacing = false;
		if (!taken.ok || this.stopping) {
			this.onGivenUp();
			return this.giveUpTakeover(prepared.lease, taken.ok ? 'this box stops' : taken.err);
		}
		this.becomeOwner(prepared.lease, taken.value);
		// Only from here on: until then the former owner is the one that dispatches.
		void this.notifyFormerOwner(prepared.address);
		if (this.leaving) this.handingOver?.noteStop(taken.value.owned.generation);
		return 0;
	}

	/** Tells the former owner, until it answers, so that it stops dispatching and sends the other boxes here. */
	private async notifyFormerOwner(address: string): Promise<void> {
		const { handover, clock } = this.opts;
		for (let sent = 0; sent < maxNotifications; sent += 1) {
			if (this.ownerLedger === undefined || this.owner === undefined || handover === undefined) return;
			if (await handover.notifyTaken(address, this.owner)) return;
			await clocks.sleep(clock, settings.successorRetryMs);
		}
	}

	/** A method, as the compiler assumes that the field can't change during an `await`. */
	private isStopping(): boolean {
		return this.stopping || this.leaving;
	}

	private takeoverContext(lease: string): takeovers.TakeoverContext {
		const { store, clock, box, peer, processor } = this.opts;
		const strongest = Math.max(processor, this.opts.highestKnownProcessor() ?? 0);
		const owner = { box, peer, lease, strongest };
		return { store, clock, owner, mayRetryRead: () => this.mayRetryRead() };
	}

	/** Where handovers are confirmed, a box keeps reading unless the store has said that the lease expired. */
	private mayRetryRead(): boolean {
		if (this.opts.handover === undefined || this.isLeaseExpired) return false;
		return this.isReplacing ? !this.stopping : !this.isStopping();
	}

	/** This box is the owner from here on. */
	private becomeOwner(lease: string, taken: takeovers.Takeover): void {
		const { box, peer, clock, events, onAcquired } = this.opts;
		const { owned, contents } = taken;
		const { generation } = owned;
		this.lease = lease;
		this.ownerLedger = owned;
		this.ownedSince = clock.now();
		this.handingOver?.noteAcquired();
		this.succession?.abandon();
		this.owner = { generation, box, peer };
		this.reachable = true;
		events.emit('owner.taken', {
			generation,
			jobs: contents.jobs.size,
			workers: contents.roster.length,
		});
		onAcquired(owned, contents);
	}

	private createKeeper(lease: string): leaseKeepers.LeaseKeeper {
		const { store, clock } = this.opts;
		this.isLeaseExpired = false;
		const onExpired = async (): Promise<string | undefined> => {
			this.isLeaseExpired = true;
			return this.ownerLedger && this.renew(this.ownerLedger);
		};
		return leaseKeepers.LeaseKeeper.create({ store, clock, lease, onExpired });
	}

	/**
	 * One turn of the owner: hands over to a stronger box, or checks in the store that it still is the owner. Returns how
	 * long to wait, in milliseconds.
	 */
	private async keep(owned: ledger.OwnerLedger): Promise<number> {
		this.handingOver?.consider(owned.generation);
		const stronger = this.opts.handover === undefined ? this.handoverTarget() : undefined;
		if (stronger !== undefined) {
			await this.handOver(owned, stronger);
			return 0;
		}
		if (!clocks.isFresh(this.opts.clock, owned.epochConfirmedAt, settings.confirmAfterMs)) {
			const outcome = await owned.confirmEpoch();
			if (outcome === 'superseded') {
				this.lose('the store names a newer generation');
				return 0;
			}
		}
		return settings.renewalIntervalMs;
	}

	/** The stronger box to hand over to now; undefined: none. */
	private handoverTarget(): string | undefined {
		if (this.opts.clock.now() - this.ownedSince < settings.minHandoverIntervalMs) return undefined;
		return this.opts.strongerBox();
	}

	/** Stops dispatching. `next`: the owner that replaced this one; undefined: not known. */
	private endOwnership(next: ledger.OwnerRecord | undefined): void {
		this.ownerLedger = undefined;
		this.keeper?.close();
		this.owner = next;
		this.reachable = false;
		this.opts.onLost();
		this.onGivenUp();
	}

	/** Releases ownership while this box goes on serving callers: the stronger box is first in the race that follows. */
	private async handOver(owned: ledger.OwnerLedger, to: string): Promise<void> {
		this.opts.events.emit('owner.handed-over', { generation: owned.generation, box: to });
		await this.releaseOwnership();
		this.owner = undefined;
		this.reachable = false;
	}

	/** Stops being the owner and ends the lease, so that another box can take over at once. */
	private async releaseOwnership(): Promise<void> {
		this.ownerLedger = undefined;
		this.keeper?.close();
		this.handingOver?.clear();
		this.opts.onLost();
		if (this.lease !== undefined) await this.opts.store.endLease(this.lease);
	}

	/**
	 * The lease expired while the store was unresponsive: writes the owner record again, unless another box has taken over.
	 * Returns the new lease; undefined: this failed.
	 */
	private async renew(owned: ledger.OwnerLedger): Promise<string | undefined> {
		const { store, leaseMs, box, peer } = this.opts;
		const lease = await store.grantLease(leaseMs);
		if (!lease.ok) return undefined;
		const isOwner = (): boolean => this.ownerLedger === owned;
		const outcome = isOwner() ? await owned.republishOwner({ box, peer, lease: lease.value }) : undefined;
		if (!isOwner()) {
			// Otherwise the record would name this box until the lease expires.
			void store.endLease(lease.value);
			return undefined;
		}
		if (outcome === 'superseded') this.lose('another box took over after the lease lapsed');
		if (outcome !== 'committed') return undefined;
		this.lease = lease.value;
		return lease.value;
	}
}
