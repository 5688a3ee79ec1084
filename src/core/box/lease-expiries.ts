/**
 * Lease expiries at workers that were unresponsive to the owner, as it reported them to this box, for the time after that
 * owner. They hold for the next owner only, and only while the roster in the store is as that owner knew it: with each write
 * of the roster it may have granted leases again.
 */
import * as dispatch from '../dispatch/index.js';
import type * as protocol from './peer-protocol.js';

/** Added to each expiry: covers timers that fire late, in milliseconds. */
const marginMs = dispatch.settings.leaseMarginMs;

/** Boxes' clocks may differ by this fraction of the time that passes: as much as a worker's clock may from a box's. */
const clockDrift = dispatch.settings.maxClockDrift;

/** What the newest answer of an owner reported. */
interface ReportedExpiries {
	generation: number;
	rosterVersion: number;
	/** Clock time of this box by which all leases at a worker have expired. */
	expiresAt: Map<string, number>;
}

/** Lease expiries by worker, as the owner last reported them. */
export class LeaseExpiries {
	private newest: ReportedExpiries | undefined;

	private constructor(private readonly now: () => number) {}

	static create(now: () => number): LeaseExpiries {
		return new LeaseExpiries(now);
	}

	/** Replaces what the owner reported before by its newest answer. */
	update(reply: protocol.PingReply): void {
		const { generation, silent } = reply;
		if (silent === undefined) {
			this.newest = undefined;
			return;
		}
		// Counted from the arrival of the answer: never earlier than the owner meant.
		const base = this.now() + marginMs;
		const ends = Object.entries(silent.leftMs);
		const expiresAt = new Map(ends.map(([worker, leftMs]) => [worker, base + leftMs * (1 + clockDrift)]));
		this.newest = { generation, rosterVersion: silent.rosterVersion, expiresAt };
	}

	/**
	 * Workers that the owner before this generation last reported as unresponsive. Unlike the expiries this is no proof of
	 * anything, so it counts for any version of the roster.
	 */
	unresponsiveBefore(generation: number): ReadonlySet<string> {
		const { newest } = this;
		return new Set(newest?.generation === generation - 1 ? newest.expiresAt.keys() : []);
	}

	/** What an owner of this generation, which read the roster in this version, may rely on; empty: nothing. */
	validFor(generation: number, rosterVersion: number): ReadonlyMap<string, number> {
		const { newest } = this;
		const isValid = newest?.generation === generation - 1 && newest.rosterVersion === rosterVersion;
		return isValid ? newest.expiresAt : new Map();
	}
}
