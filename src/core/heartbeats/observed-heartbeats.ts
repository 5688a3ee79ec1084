/** What a box knows of the owner's heartbeats from its answers to pings. */
import * as dispatch from '../dispatch/settings.js';
import * as settings from './settings.js';
import type * as ledger from '../ledger/index.js';
import type * as types from './types.js';

/** Number of heartbeats that are remembered. In a long outage of the store, more may be sent after the last stored one. */
const maxRemembered = 128;

/** Options of `ObservedHeartbeats.leasesEndAfter`. */
export interface InheritedLeasesOptions {
	/** The new owner's generation. */
	generation: number;
	/** The heartbeat that the new owner read under its own epoch; undefined: none was stored. */
	last: ledger.HeartbeatRecord | undefined;
	/** Clock time by which the new owner had taken over. */
	takenOverAt: number;
	/** The longest lease that workers accept, in milliseconds. */
	maxLeaseMs: number;
}

/** The heartbeats of the newest owner that this box has pinged. */
export class ObservedHeartbeats {
	private generation = 0;
	/** Clock time of this box by which each heartbeat had been sent, by number. */
	private readonly sentBy = new Map<number, number>();

	private constructor(private readonly now: () => number) {}

	/** `now`: clock time of this box. */
	static create(now: () => number): ObservedHeartbeats {
		return new ObservedHeartbeats(now);
	}

	/** Notes the newest heartbeat of an owner, as an answer that has just arrived reports it. */
	note(generation: number, { count, ageMs }: types.SentHeartbeat): void {
		if (generation < this.generation) return;
		if (generation > this.generation) this.sentBy.clear();
		this.generation = generation;
		// Counts back from the arrival of the answer at the slowest rate, so that the time is never too early.
		const sentBy = this.now() - ageMs * (1 - dispatch.maxClockDrift);
		this.sentBy.set(count, Math.min(sentBy, this.sentBy.get(count) ?? Infinity));
		for (const one of this.sentBy.keys()) if (one <= count - maxRemembered) this.sentBy.delete(one);
	}

	/**
	 * When every lease of owners before a new one has ended. Called after the new owner has read the last heartbeat: no
	 * earlier owner can have stored another since.
	 */
	leasesEndAfter(opts: InheritedLeasesOptions): types.InheritedLeaseEnd {
		const { generation, last, takenOverAt, maxLeaseMs } = opts;
		if (generation === 1) return { endsAt: -Infinity, longestEndAt: -Infinity, basis: 'heartbeat' };
		const longestEndAt = takenOverAt + settings.longestWaitMs(maxLeaseMs);
		if (last?.leasesEndWithinMs === undefined)
			return { endsAt: longestEndAt, longestEndAt, basis: 'longest-lease' };
		const spanMs = settings.longestSpanMs(last.leasesEndWithinMs);
		const sentBy = last.generation === this.generation ? this.sentByOf(last.count) : undefined;
		if (sentBy === undefined) return { endsAt: takenOverAt + spanMs, longestEndAt, basis: 'takeover' };
		return { endsAt: sentBy + spanMs, longestEndAt, basis: 'heartbeat' };
	}

	/** Clock time by which a heartbeat had been sent, by its own report or a later one's; undefined: it is not known. */
	private sentByOf(count: number): number | undefined {
		const later = [...this.sentBy].filter(([one]) => one >= count).map(([, sentBy]) => sentBy);
		return later.length === 0 ? undefined : Math.min(...later);
	}
}
