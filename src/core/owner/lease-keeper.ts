/**
 * Renews the lease of the owner record on a schedule of its own.
 *
 * Load pattern: the store's answers take a second because the owner's link is full. If a renewal waited for the answer to
 * the previous one, or to another call, it would reach the store more than a lease after the previous one, and a working
 * owner would be replaced. What counts for the lease is when a renewal arrives, not when its answer does.
 */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as platform from '../platform/types.js';

/** Options of `LeaseKeeper`. */
export interface LeaseKeeperOptions {
	store: Pick<platform.RecordStore, 'keepLease'>;
	clock: clocks.Clock;
	lease: string;
	/**
	 * Called when the store says that the lease has expired; resolves to the lease to renew from then on, undefined if none.
	 */
	onExpired: () => Promise<string | undefined>;
}

/** Renews the lease of one owner. */
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

	/** Stops renewing. */
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
		// Without an answer, the next renewal tries again.
		const isExpired = kept.ok && !kept.value && lease === this.lease;
		if (!isExpired || this.isReplacing || this.closed) return;
		this.isReplacing = true;
		const newLease = await this.opts.onExpired();
		this.isReplacing = false;
		if (newLease !== undefined) this.lease = newLease;
	}
}
