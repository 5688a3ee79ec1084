/**
 * The lease on everything that runs on one worker, as its owner grants it. The expiry is computed on the worker's clock, so
 * that a command that arrives late extends nothing. A bound for it is kept on the owner's clock, so that the tasks of an
 * unresponsive worker can be presumed ended.
 */
import * as settings from './settings.js';
import type * as fleet from '../fleet/types.js';
import type * as types from './types.js';

/** What granting leases depends on. */
export type LeaseDeps = Pick<types.DispatchDeps, 'clock' | 'leasesEndBy' | 'maxLeaseMs' | 'mayAct'>;

/**
 * Why no lease can be granted: the worker's clock is not known, or the store has not confirmed the owner's epoch or stored
 * its heartbeat recently.
 */
export type LeaseDenial = 'no-clock' | 'may-not-act';

/** The lease of one incarnation of a worker. */
export class WorkerLease {
	/** The worker's clock as last read, and the owner's clock at that time; undefined: it has not been read. */
	private clockReading: { clockMs: number; at: number } | undefined;
	/** Clock time at which the newest lease was granted; `-Infinity`: none was. */
	grantedAt = -Infinity;
	/** Expiry of the newest lease on the worker's clock, and estimated on the owner's; undefined: none was granted. */
	private newest: { clockMs: number; endsAt: number } | undefined;

	private constructor(
		private readonly deps: LeaseDeps,
		private latestEndAt: number,
		private readonly keepsName: boolean,
	) {}

	/**
	 * `inheritedLeasesEndAt`: clock time by which leases granted by earlier owners have expired; `-Infinity`: there are none.
	 * `keepsName`: the worker may restart under its name. The next incarnation then carries out commands to this one, with a
	 * new clock, and may take the longest lease for any of them.
	 */
	static create(deps: LeaseDeps, inheritedLeasesEndAt: number, keepsName: boolean): WorkerLease {
		return new WorkerLease(deps, inheritedLeasesEndAt, keepsName);
	}

	/** Clock time by which every lease has expired; `-Infinity`: none was ever granted. */
	get allExpiredAt(): number {
		return this.latestEndAt;
	}

	/** Time until every lease has expired, in milliseconds. */
	get leftMs(): number {
		return Math.max(0, this.latestEndAt - this.deps.clock.now());
	}

	/** Whether the worker's clock is known. Without it no lease can be granted. */
	get isClockKnown(): boolean {
		return this.clockReading !== undefined;
	}

	/** Notes the worker's clock from an answer. */
	noteClock(reading: fleet.ClockReading): void {
		this.clockReading = { clockMs: reading.clockMs, at: this.deps.clock.now() };
	}

	/** Why no lease can be granted; undefined: one can. */
	get denial(): LeaseDenial | undefined {
		if (!this.isClockKnown) return 'no-clock';
		return this.grantableMs > 0 && this.deps.mayAct() ? undefined : 'may-not-act';
	}

	/** Duration of a lease that is granted now, in milliseconds on the worker's clock; 0 or less: none may be granted. */
	private get grantableMs(): number {
		const { clock, leasesEndBy, maxLeaseMs } = this.deps;
		return Math.min(maxLeaseMs, leasesEndBy() - clock.now());
	}

	/**
	 * Grants a lease. Returns its expiry to send with a command, on the worker's clock; undefined: none can or may be
	 * granted.
	 */
	grant(): number | undefined {
		if (this.clockReading === undefined || this.denial !== undefined) return undefined;
		const now = this.deps.clock.now();
		this.grantedAt = now;
		// Assumes the slowest rate that the worker's clock may have, so that the lease never exceeds its limit.
		const workerNow = this.clockReading.clockMs + (now - this.clockReading.at) * (1 - settings.maxClockDrift);
		const leaseMs = this.grantableMs;
		this.newest = { clockMs: workerNow + leaseMs, endsAt: now + leaseMs };
		this.assumeLease(leaseMs);
		return this.newest.clockMs;
	}

	/** Returns the expiry to send with a start: that of the newest lease, or of a new one if it ends soon. */
	grantForStart(): number | undefined {
		const { newest, denial } = this;
		const { clock } = this.deps;
		const isLong =
			!this.keepsName &&
			newest !== undefined &&
			newest.endsAt - clock.now() >= settings.minStartLeaseMs &&
			this.grantedAt > clock.resumedAt();
		return isLong && denial === undefined ? newest.clockMs : this.grant();
	}

	/** Assumes that the longest lease was granted just now: a command for another incarnation may have done so. */
	assumeLongestLease(): void {
		this.assumeLease(Math.min(this.deps.maxLeaseMs, settings.leaseSpanMs));
	}

	/** Notes a lease of this duration, in milliseconds on the worker's clock. */
	private assumeLease(leaseMs: number): void {
		const workerMs = this.keepsName ? this.deps.maxLeaseMs : leaseMs;
		const longestMs = workerMs / (1 - settings.maxClockDrift) + settings.leaseMarginMs;
		this.latestEndAt = Math.max(this.latestEndAt, this.deps.clock.now() + longestMs);
	}
}
