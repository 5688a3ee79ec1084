/**
 * What the owner told this box of workers that were silent for it, for the time after that owner. It holds for the next
 * owner only, and only while the roster in the store is as that owner knew it: with each write of the roster it may have
 * given leases again.
 */
import * as dispatch from '../dispatch/index.js';
import type * as protocol from './peer-protocol.js';

/** Added to each end: covers timers that fire late, in milliseconds. */
const marginMs = dispatch.settings.leaseMarginMs;

/** The boxes' clocks may differ by this part of the time that passes: as much as a worker's may from ours. */
const clockDrift = dispatch.settings.maxClockDrift;

/** What the newest answer of an owner said. */
interface ReportedExpiries {
	generation: number;
	rosterVersion: number;
	/** Clock time of this box by which all leases at a worker are over. */
	expiresAt: Map<string, number>;
}

/** The ends of leases as the owner last told them. */
export class LeaseExpiries {
	private newest: ReportedExpiries | undefined;

	private constructor(private readonly now: () => number) {}

	static create(now: () => number): LeaseExpiries {
		return new LeaseExpiries(now);
	}

	/** Takes in an answer of the owner; what it said before is void. */
	update(reply: protocol.PingReply): void {
		const { generation, silent } = reply;
		if (silent === undefined) {
			this.newest = undefined;
			return;
		}
		// Counted from the answer's arrival: never earlier than the owner meant.
		const base = this.now() + marginMs;
		const ends = Object.entries(silent.leftMs);
		const expiresAt = new Map(ends.map(([worker, leftMs]) => [worker, base + leftMs * (1 + clockDrift)]));
		this.newest = { generation, rosterVersion: silent.rosterVersion, expiresAt };
	}

	/** What an owner of this generation, which read the roster in this version, may rely on. */
	validFor(generation: number, rosterVersion: number): ReadonlyMap<string, number> {
		const { newest } = this;
		const isValid = newest?.generation === generation - 1 && newest.rosterVersion === rosterVersion;
		return isValid ? newest.expiresAt : new Map();
	}
}
