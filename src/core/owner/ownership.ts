/**
 * Election of the owner, the one box that dispatches; the owner record in the store names it under a lease. Every other box
 * keeps a ping open at the owner. When that breaks, or the record goes away with its lease, the boxes race to become the
 * next owner. Safety does not depend on this: the epoch ensures it, in the store and on every worker.
 */
import * as clocks from '../clock.js';
import * as leaseKeepers from './lease-keeper.js';
import * as ledger from '../ledger/index.js';
import * as ownerRecords from './owner-record.js';
import * as results from '../result.js';
import * as settings from './settings.js';
import * as strength from './strength.js';
import type * as events from '../events/index.js';
import type * as platform from '../platform/types.js';

/** Outcome of a ping of the owner. */
export type PingOutcome = 'alive' | 'not-owner' | 'refused' | 'silent';

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
}

/** A takeover that succeeded. */
interface Takeover {
	owned: ledger.OwnerLedger;
	contents: ledger.LedgerContents;
}

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

	private constructor(private readonly opts: OwnershipOptions) {
		void this.run();
	}

	static create(opts: OwnershipOptions): Ownership {
		return new Ownership(opts);
	}

	/** The ledger while this box is the owner; else undefined. */
	get currentLedger(): ledger.OwnerLedger | undefined {
		return this.ownerLedger;
	}

	/** Steps down: a newer epoch was seen. */
	lose(reason: string): void {
		if (this.ownerLedger === undefined) return;
		const { generation } = this.ownerLedger;
		this.opts.events.emit('owner.lost', { generation, reason });
		this.ownerLedger = undefined;
		this.keeper?.close();
		this.owner = undefined;
		this.reachable = false;
		this.opts.onLost();
	}

	/** Planned stop: releases ownership at once, so that another box takes over. */
	async release(): Promise<void> {
		this.stopping = true;
		if (this.ownerLedger === undefined) return;
		const { generation } = this.ownerLedger;
		await this.releaseOwnership();
		this.opts.events.emit('owner.released', { generation });
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
		const outcome = await this.pingOwner(this.owner);
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
	private async pingOwner(owner: ledger.OwnerRecord): Promise<PingOutcome | 'name-gone'> {
		const pinged = this.opts.ping(owner.peer);
		if (this.reachable || this.ownerRecordRevision === 0) return pinged;
		return Promise.race([pinged, this.ownerRecordChanged(pinged)]);
	}

	/** Resolves to `name-gone` when the owner record changes in the store; else as `pinged` does. */
	private async ownerRecordChanged(pinged: Promise<PingOutcome>): Promise<PingOutcome | 'name-gone'> {
		return (await ownerRecords.changes(this.opts.store, this.ownerRecordRevision)) ? 'name-gone' : pinged;
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
		if (isVacant) return this.takeOver(deadOwner?.generation);
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
		const taken = await this.publishAndLoad(lease.value, replacedGeneration);
		if (taken.ok && !this.isStopping()) {
			this.becomeOwner(lease.value, taken.value);
			return 0;
		}
		const reason = taken.ok ? 'this box stops' : taken.err;
		this.keeper.close();
		this.opts.events.emit('owner.not-taken', { reason });
		void this.opts.store.endLease(lease.value);
		return settings.findRetryMs;
	}

	/** A method, as the compiler assumes that the field can't change during an `await`. */
	private isStopping(): boolean {
		return this.stopping;
	}

	/** Writes this box into the owner record and reads the ledger; fails if another box was first. */
	private async publishAndLoad(
		lease: string,
		replacedGeneration: number | undefined,
	): Promise<results.Result<Takeover, string>> {
		const { store, clock, box, peer, processor } = this.opts;
		const strongest = Math.max(processor, this.opts.highestKnownProcessor() ?? 0);
		const owner = { box, peer, lease, strongest };
		const owned = await ledger.OwnerLedger.acquire(store, () => clock.now(), owner, replacedGeneration);
		if (!owned.ok) return owned;
		const contents = await owned.value.load();
		return contents.ok ? results.ok({ owned: owned.value, contents: contents.value }) : contents;
	}

	/** This box is the owner from here on. */
	private becomeOwner(lease: string, taken: Takeover): void {
		const { box, peer, clock, events, onAcquired } = this.opts;
		const { owned, contents } = taken;
		const { generation } = owned;
		this.lease = lease;
		this.ownerLedger = owned;
		this.ownedSince = clock.now();
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
		const onExpired = async (): Promise<string | undefined> =>
			this.ownerLedger && this.renew(this.ownerLedger);
		return leaseKeepers.LeaseKeeper.create({ store, clock, lease, onExpired });
	}

	/**
	 * One turn of the owner: hands over to a stronger box, or checks in the store that it still is the owner. Returns how
	 * long to wait, in milliseconds.
	 */
	private async keep(owned: ledger.OwnerLedger): Promise<number> {
		const stronger = this.handoverTarget();
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
		this.opts.onLost();
		if (this.lease !== undefined) await this.opts.store.endLease(this.lease);
	}

	/**
	 * The lease expired while the store was unresponsive: writes the owner record again, unless another box has taken over.
	 * Returns the new lease; undefined: this failed.
	 */
	private async renew(owned: ledger.OwnerLedger): Promise<string | undefined> {
		const lease = await this.opts.store.grantLease(this.opts.leaseMs);
		if (!lease.ok || this.ownerLedger !== owned) return undefined;
		const { box, peer } = this.opts;
		const outcome = await owned.republishOwner({ box, peer, lease: lease.value });
		if (this.ownerLedger !== owned) return undefined;
		if (outcome === 'superseded') this.lose('another box took over after the lease lapsed');
		if (outcome !== 'committed') return undefined;
		this.lease = lease.value;
		return lease.value;
	}
}
