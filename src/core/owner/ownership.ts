/**
 * Who dispatches: one box, named in the store under a lease. Every other box keeps a question open at the owner; when
 * that breaks, or the name goes away with its lease, the boxes race to be next. Safety does not rest on this: the
 * epoch does it, in the store and on every worker.
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

/** What a question to the owner came to. */
export type PingOutcome = 'alive' | 'not-owner' | 'refused' | 'silent';

/** What the race needs. */
export interface OwnershipOptions {
	store: platform.RecordStore;
	clock: clocks.Clock;
	events: events.EventLog;
	box: string;
	/** Where peers connect to this box, `host:port`. */
	peer: string;
	leaseMs: number;
	/** Cores' worth of processor that this box may use. */
	processor: number;
	/** The strongest processor of all boxes, as the owner last told; undefined: not told yet. */
	highestKnownProcessor: () => number | undefined;
	/** A stronger box that could dispatch in this one's place; asked while this box owns. */
	strongerBox: () => string | undefined;
	/** Asks the owner at an address whether it still is; answers late if it is. */
	ping: (address: string) => Promise<PingOutcome>;
	/** Whether the owner, asked last, was without the store while this box has it. */
	ownerLacksStore: () => boolean;
	/** This box owns the dispatching now. */
	onAcquired: (owned: ledger.OwnerLedger, contents: ledger.LedgerContents) => void;
	/** It no longer does. */
	onLost: () => void;
	/** A delay in milliseconds between 0 and the argument; seeded in tests. */
	random: (below: number) => number;
}

/** A takeover that succeeded. */
interface Takeover {
	owned: ledger.OwnerLedger;
	contents: ledger.LedgerContents;
}

/** This box's part in the race. */
export class Ownership {
	/** The owner as last read; this box itself if it owns. */
	owner: ledger.OwnerRecord | undefined;
	/** Whether the owner answered its last question. */
	reachable = false;
	private ownerLedger: ledger.OwnerLedger | undefined;
	private lease: string | undefined;
	private keeper: leaseKeepers.LeaseKeeper | undefined;
	private stopping = false;
	/** Generation of the owner last logged as found. */
	private lastFoundGeneration = 0;
	/** The store's revision when the owner's name was last read; 0: not read. */
	private ownerRecordRevision = 0;
	/** The owner before fell silent: its loss shows to each box at another moment. */
	private wasUnresponsive = false;
	/** Clock time at which this box last became owner. */
	private ownedSince = -Infinity;

	private constructor(private readonly opts: OwnershipOptions) {
		void this.run();
	}

	static create(opts: OwnershipOptions): Ownership {
		return new Ownership(opts);
	}

	/** The ledger, while this box owns. */
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

	/** Planned stop: gives the name back at once, so that another box goes on. */
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

	/** One turn of a box that does not own; returns how long to wait. */
	private async followOwner(): Promise<number> {
		if (this.owner === undefined) return this.findOwner();
		const outcome = await this.pingOwner(this.owner);
		this.wasUnresponsive = outcome === 'silent' || outcome === 'name-gone';
		if (outcome === 'name-gone') return this.findOwner();
		if (outcome === 'alive') {
			this.reachable = true;
			// An owner that the store turns away can neither store ends nor renew leases for long.
			return this.opts.ownerLacksStore() ? this.findOwner() : 0;
		}
		if (this.isPingObsolete()) return 0;
		this.reachable = false;
		this.opts.events.emit('owner.missed', { box: this.owner.box, reason: outcome });
		// A refused connection: its process is gone, and its lease need not be waited out.
		const deadOwner = outcome === 'refused' ? this.owner : undefined;
		this.owner = undefined;
		return this.findOwner(deadOwner);
	}

	/** Asks the owner. Once it was silent, its name is watched meanwhile: it goes away with its lease. */
	private async pingOwner(owner: ledger.OwnerRecord): Promise<PingOutcome | 'name-gone'> {
		const pinged = this.opts.ping(owner.peer);
		if (this.reachable || this.ownerRecordRevision === 0) return pinged;
		return Promise.race([pinged, this.ownerRecordChanged(pinged)]);
	}

	/** Resolves when the owner's name changes in the store; else as `asked` does. */
	private async ownerRecordChanged(pinged: Promise<PingOutcome>): Promise<PingOutcome | 'name-gone'> {
		return (await ownerRecords.changes(this.opts.store, this.ownerRecordRevision)) ? 'name-gone' : pinged;
	}

	/** Whether this box stopped, or learnt of another owner, during an `await`. */
	private isPingObsolete(): boolean {
		return this.owner === undefined || this.stopping;
	}

	/** Reads who owns; takes over if nobody does, or if only `dead` does. */
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

	/** Leaves stronger boxes the time to be first; true: one was. */
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

	/** Whether a clearly stronger box is known; a box that no owner has told yet asks the store. */
	private async isWeaker(): Promise<boolean> {
		const strongest =
			this.opts.highestKnownProcessor() ?? (await strength.readHighestProcessor(this.opts.store));
		return strength.isWeaker(this.opts.processor, strongest);
	}

	/** Runs in the race; `replaces`: generation of an owner whose process is gone though it is still named. */
	private async takeOver(replacedGeneration: number | undefined): Promise<number> {
		if (await this.yieldToStronger(replacedGeneration)) return 0;
		const lease = await this.opts.store.grantLease(this.opts.leaseMs);
		if (!lease.ok) return settings.findRetryMs;
		// From now on, as reading what is kept of many jobs may take longer than the lease.
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

	/** Read after an `await`, where the compiler thinks the field can't have changed. */
	private isStopping(): boolean {
		return this.stopping;
	}

	/** Names this box in the store and reads what is kept there; fails if another box was first. */
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

	/** This box owns from now on. */
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

	/** One turn of the owner: asks the store whether it still owns. */
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

	/** The stronger box to hand over to now. */
	private handoverTarget(): string | undefined {
		if (this.opts.clock.now() - this.ownedSince < settings.minHandoverIntervalMs) return undefined;
		return this.opts.strongerBox();
	}

	/** Gives the name back while this box goes on serving callers: the stronger box is first in the race that follows. */
	private async handOver(owned: ledger.OwnerLedger, to: string): Promise<void> {
		this.opts.events.emit('owner.handed-over', { generation: owned.generation, box: to });
		await this.releaseOwnership();
		this.owner = undefined;
		this.reachable = false;
	}

	/** Stops owning and lets the name go away, so that another box can be first at once. */
	private async releaseOwnership(): Promise<void> {
		this.ownerLedger = undefined;
		this.keeper?.close();
		this.opts.onLost();
		if (this.lease !== undefined) await this.opts.store.endLease(this.lease);
	}

	/** The lease lapsed while the store was away: names this box again, under the lease returned, unless another has taken over. */
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
