/** Decides when a shard drops ended jobs and old claims: periodically, and at once when its snapshot grows large. */
import * as retention from './retention.js';
import * as shards from '../shard/index.js';
import type * as clocks from '../clock.js';

/** Interval between checks for jobs and claims to drop, in milliseconds. */
const checkIntervalMs = 60_000;

/** How long ended jobs and claims are kept, in milliseconds. */
export interface RetentionOptions {
	keepEndedMs: number;
	keepClaimsMs: number;
}

/** Schedules the retention of one shard. */
export class RetentionSchedule {
	private lastCheckAt = -Infinity;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly opts: RetentionOptions,
	) {}

	static create(clock: clocks.Clock, opts: RetentionOptions): RetentionSchedule {
		return new RetentionSchedule(clock, opts);
	}

	/**
	 * Drops ended jobs and claims whose retention time is over. While the snapshot is large, drops all ended jobs, the
	 * oldest first.
	 */
	changesDue(state: shards.ShardState): shards.Change[] {
		const now = this.clock.now();
		const isLarge = shards.stateBytes(state) > shards.earlyDropStateBytes;
		if (!isLarge && now - this.lastCheckAt < checkIntervalMs) return [];
		this.lastCheckAt = now;
		const wall = this.clock.wall();
		const endedBefore = isLarge ? wall : wall - this.opts.keepEndedMs;
		const claimsBefore = wall - this.opts.keepClaimsMs;
		return [...retention.droppedJobs(state, endedBefore), ...retention.expiredClaims(state, claimsBefore)];
	}
}
