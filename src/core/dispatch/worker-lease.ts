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
export type Denial = 'no-clock' | 'may-not-act';

/** The lease of one life of a worker. */
export class WorkerLease {
	/** Its clock as last read, and when that was on ours. */
	private reading: { clockMs: number; at: number } | undefined;
	/** Clock time at which the newest lease was given. */
	grantedAt = -Infinity;

	private constructor(
		private readonly deps: LeaseDeps,
		private endsBy: number,
	) {}

	/** `inheritedUntil`: clock time by which leases given by earlier owners have run out; `-Infinity`: there are none. */
	static create(deps: LeaseDeps, inheritedUntil: number): WorkerLease {
		return new WorkerLease(deps, inheritedUntil);
	}

	/** Clock time by which every lease has run out; `-Infinity`: none was ever given. */
	get overAt(): number {
		return this.endsBy;
	}

	/** How long it takes until every lease has run out, in milliseconds. */
	get leftMs(): number {
		return Math.max(0, this.endsBy - this.deps.clock.now());
	}

	/** Whether its clock is known, without which none can be given. */
	get hasClock(): boolean {
		return this.reading !== undefined;
	}

	/** Takes in the worker's clock from an answer. */
	heard(reading: fleet.ClockReading): void {
		this.reading = { clockMs: reading.clockMs, at: this.deps.clock.now() };
	}

	/** Why none can be given now; undefined: one can. */
	get denial(): Denial | undefined {
		if (!this.hasClock) return 'no-clock';
		return this.deps.mayAct() ? undefined : 'may-not-act';
	}

	/** Lease end to send with an order, on the worker's clock; undefined: none can or may be given. */
	grant(): number | undefined {
		if (this.reading === undefined || this.denial !== undefined) return undefined;
		const now = this.deps.clock.now();
		this.grantedAt = now;
		// The slowest rate its clock may have: the lease never reaches further than its limit.
		const clockMs = this.reading.clockMs + (now - this.reading.at) * (1 - settings.clockSlowness);
		this.assumeLongest();
		return clockMs + this.deps.maxLeaseMs;
	}

	/** An order that was not meant for this life may have given it the longest lease by now. */
	assumeLongest(): void {
		const longest = this.deps.maxLeaseMs / (1 - settings.clockSlowness) + settings.leaseMarginMs;
		this.endsBy = Math.max(this.endsBy, this.deps.clock.now() + longest);
	}
}
