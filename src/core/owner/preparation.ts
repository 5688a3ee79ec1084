/**
 * A successor's preparation for one generation: reads all that an owner needs, keeps it current, and holds a lease for the
 * owner record. The lease also shows that the store takes this box's writes.
 */
import * as clocks from '../clock.js';
import * as leaseKeepers from './lease-keeper.js';
import * as ledger from '../ledger/index.js';
import * as limits from '../platform/limits.js';
import * as settings from './settings.js';
import type * as platform from '../platform/types.js';

/** Options of `Preparation`. */
export interface PreparationOptions {
	store: platform.RecordStore;
	clock: clocks.Clock;
	/** Duration of the owner's lease, in milliseconds. */
	leaseMs: number;
	/** Generation that this box is to replace. */
	generation: number;
	/** Address of that owner, `host:port`. */
	address: string;
	/** Pings that owner at once; its answer may permit the takeover. */
	askPermission: () => Promise<void>;
}

/** What a takeover starts from. */
export interface PreparedTakeover {
	/** Address of the owner that is replaced, `host:port`. */
	address: string;
	/** The epoch record of the generation that is replaced. */
	epoch: platform.Stored;
	copy: ledger.RecordCopy;
	lease: string;
}

/** Prepares until it is taken or closed. */
export class Preparation {
	private closed = false;
	private takeover: PreparedTakeover | undefined;
	private keeper: leaseKeepers.LeaseKeeper | undefined;

	private constructor(private readonly opts: PreparationOptions) {
		void this.run();
	}

	static create(opts: PreparationOptions): Preparation {
		return new Preparation(opts);
	}

	/** The generation that is to be replaced. */
	get generation(): number {
		return this.opts.generation;
	}

	/** Whether all has been read and the lease is held. */
	get isReady(): boolean {
		return !this.closed && this.takeover !== undefined;
	}

	/** Ends the preparation and returns what it read; the lease is the caller's from here on. Undefined: it is not ready. */
	take(): PreparedTakeover | undefined {
		if (!this.isReady) return undefined;
		this.stop();
		return this.takeover;
	}

	/** Gives the preparation up, and its lease. */
	close(): void {
		if (this.closed) return;
		this.stop();
		if (this.takeover !== undefined) void this.opts.store.endLease(this.takeover.lease);
	}

	private stop(): void {
		this.closed = true;
		this.keeper?.close();
	}

	private async run(): Promise<void> {
		while (!this.closed && !(await this.prepare())) await this.pause(settings.successorRetryMs);
		if (!this.isReady) return;
		void this.ask();
		await this.keepCurrent();
	}

	/** Reads the records and gets a lease; false: that failed, and has to be done anew. */
	private async prepare(): Promise<boolean> {
		const { store, clock, leaseMs, address } = this.opts;
		const copy = await ledger.RecordCopy.read(store);
		const epoch = copy.ok ? this.matchingEpoch(copy.value) : undefined;
		if (!copy.ok || epoch === undefined) return false;
		const lease = await store.grantLease(leaseMs);
		if (!lease.ok) return false;
		this.takeover = { address, epoch, copy: copy.value, lease: lease.value };
		if (this.isClosed()) {
			void store.endLease(lease.value);
			return false;
		}
		const onExpired = (): Promise<undefined> => {
			this.close();
			return Promise.resolve(undefined);
		};
		this.keeper = leaseKeepers.LeaseKeeper.create({ store, clock, lease: lease.value, onExpired });
		return true;
	}

	/** The epoch record in the copy, if it is of the generation that is to be replaced. */
	private matchingEpoch(copy: ledger.RecordCopy): platform.Stored | undefined {
		const epoch = copy.get(ledger.keys.epochKey);
		if (epoch === undefined) return undefined;
		return ledger.decodeEpoch(epoch.value).generation === this.opts.generation ? epoch : undefined;
	}

	/** Asks the owner for its permission until this is taken or closed. */
	private async ask(): Promise<void> {
		while (!this.isClosed()) {
			await this.opts.askPermission();
			await this.pause(settings.successorRetryMs);
		}
	}

	private async keepCurrent(): Promise<void> {
		const { store } = this.opts;
		while (!this.isClosed() && this.takeover !== undefined) {
			const read = await this.takeover.copy.readChanges(store, limits.ownerLongPollMs);
			if (read.ok && read.value === 'compacted') await this.readAgain();
			// Another box has taken over.
			if (this.matchingEpoch(this.takeover.copy) === undefined) this.close();
			await this.pause(settings.preparedReadPauseMs);
		}
	}

	/** The store's history no longer reaches back to the copy: replaces the copy. */
	private async readAgain(): Promise<void> {
		const copy = await ledger.RecordCopy.read(this.opts.store);
		if (copy.ok && !this.isClosed() && this.takeover !== undefined) this.takeover.copy = copy.value;
	}

	private pause(ms: number): Promise<void> {
		return clocks.sleep(this.opts.clock, ms);
	}

	/** A method, because after an `await` the compiler assumes that the field has not changed. */
	private isClosed(): boolean {
		return this.closed;
	}
}
