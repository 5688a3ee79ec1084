/** Decides when a shard drops ended jobs and old claims: periodically, and at once when its snapshot grows large. */
import * as retention from './retention.js';
import * as shards from '../shard/index.js';
import type * as clocks from '../clock.js';

/** Interval between checks for jobs and claims to drop, in milliseconds. */
const lookMs = 60_000;

/** How long ended jobs and claims are kept, in milliseconds. */
export interface KeepOptions {
	keepEndedMs: number;
	keepClaimsMs: number;
}

/** Schedules the retention of one shard. */
export class Forgetting {
	private lookedAt = -Infinity;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly opts: KeepOptions,
	) {}

	static create(clock: clocks.Clock, opts: KeepOptions): Forgetting {
		return new Forgetting(clock, opts);
	}

	/**
	 * Drops ended jobs and claims whose retention time is over. While the snapshot is large, drops all ended jobs, the
	 * oldest first.
	 */
	round(state: shards.ShardState): shards.Change[] {
		const now = this.clock.now();
		const tight = shards.stateBytes(state) > shards.tightStateBytes;
		if (!tight && now - this.lookedAt < lookMs) return [];
		this.lookedAt = now;
		const wall = this.clock.wall();
		const endedBefore = tight ? wall : wall - this.opts.keepEndedMs;
		const claimsBefore = wall - this.opts.keepClaimsMs;
		return [...retention.droppedJobs(state, endedBefore), ...retention.expiredClaims(state, claimsBefore)];
	}
}
