/**
 * Renews the lease of the owner's name on a beat of its own.
 *
 * Load pattern: the store's answers take a second because the owner's link is full. A renewal that waits for the answer
 * to the one before, or to another call, then reaches the store more than a lease after it, and an owner that works is
 * replaced. What counts for the lease is when a renewal arrives, not when its answer does.
 */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as platform from '../platform/types.js';

/** What renewing needs. */
export interface LeaseKeeperOptions {
	store: Pick<platform.RecordStore, 'keepLease'>;
	clock: clocks.Clock;
	lease: string;
	/** The store says that the lease is over; resolves to the one to keep from now on, if there is one. */
	onExpired: () => Promise<string | undefined>;
}

/** The renewals of one owner. */
export class LeaseKeeper {
	private lease: string;
	private isReplacing = false;
	private closed = false;
	private timer: clocks.Timer;

	private constructor(private readonly opts: LeaseKeeperOptions) {
		this.lease = opts.lease;
		this.timer = this.schedule();
	}

	static create(opts: LeaseKeeperOptions): LeaseKeeper {
		return new LeaseKeeper(opts);
	}

	/** Renews no more. */
	close(): void {
		this.closed = true;
		this.timer.cancel();
	}

	private schedule(): clocks.Timer {
		return this.opts.clock.after(settings.renewalIntervalMs, () => {
			this.timer = this.schedule();
			void this.keep();
		});
	}

	private async keep(): Promise<void> {
		const { lease } = this;
		const kept = await this.opts.store.keepLease(lease);
		// Without an answer the next beat tries again.
		const isExpired = kept.ok && !kept.value && lease === this.lease;
		if (!isExpired || this.isReplacing || this.closed) return;
		this.isReplacing = true;
		const newLease = await this.opts.onExpired();
		this.isReplacing = false;
		if (newLease !== undefined) this.lease = newLease;
	}
}
