/**
 * The lease of everything on one worker, as its owner gives it. It is worked out on the worker's clock, so that an order
 * that arrives late brings no longer one, and its end is known on ours, so that a silent worker's tasks can be taken for
 * ended.
 */
import * as settings from './settings.js';
import type * as fleet from '../fleet/types.js';
import type * as types from './types.js';

/** What leases are given by. */
export type LeaseDeps = Pick<types.DispatchDeps, 'clock' | 'maxLeaseMs' | 'mayAct'>;

/** Why no lease can be given: the worker's clock is not known, or the owner's epoch was not shown in force lately. */
export type LeaseDenial = 'no-clock' | 'may-not-act';

/** The lease of one life of a worker. */
export class WorkerLease {
	/** Its clock as last read, and when that was on ours. */
	private clockReading: { clockMs: number; at: number } | undefined;
	/** Clock time at which the newest lease was given. */
	grantedAt = -Infinity;

	private constructor(
		private readonly deps: LeaseDeps,
		private latestEndAt: number,
	) {}

	/** `inheritedUntil`: clock time by which leases given by earlier owners have run out; `-Infinity`: there are none. */
	static create(deps: LeaseDeps, inheritedLeasesEndAt: number): WorkerLease {
		return new WorkerLease(deps, inheritedLeasesEndAt);
	}

	/** Clock time by which every lease has run out; `-Infinity`: none was ever given. */
	get allExpiredAt(): number {
		return this.latestEndAt;
	}

	/** How long it takes until every lease has run out, in milliseconds. */
	get leftMs(): number {
		return Math.max(0, this.latestEndAt - this.deps.clock.now());
	}

	/** Whether its clock is known, without which none can be given. */
	get isClockKnown(): boolean {
		return this.clockReading !== undefined;
	}

	/** Takes in the worker's clock from an answer. */
	noteClock(reading: fleet.ClockReading): void {
		this.clockReading = { clockMs: reading.clockMs, at: this.deps.clock.now() };
	}

	/** Why none can be given now; undefined: one can. */
	get denial(): LeaseDenial | undefined {
		if (!this.isClockKnown) return 'no-clock';
		return this.deps.mayAct() ? undefined : 'may-not-act';
	}

	/** Lease end to send with an order, on the worker's clock; undefined: none can or may be given. */
	grant(): number | undefined {
		if (this.clockReading === undefined || this.denial !== undefined) return undefined;
		const now = this.deps.clock.now();
		this.grantedAt = now;
		// The slowest rate its clock may have: the lease never reaches further than its limit.
		const clockMs = this.clockReading.clockMs + (now - this.clockReading.at) * (1 - settings.maxClockDrift);
		this.assumeLongestLease();
		return clockMs + this.deps.maxLeaseMs;
	}

	/** An order that was not meant for this life may have given it the longest lease by now. */
	assumeLongestLease(): void {
		const longestLeaseMs = this.deps.maxLeaseMs / (1 - settings.maxClockDrift) + settings.leaseMarginMs;
		this.latestEndAt = Math.max(this.latestEndAt, this.deps.clock.now() + longestLeaseMs);
	}
}
