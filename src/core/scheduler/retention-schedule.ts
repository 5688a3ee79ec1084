/** When a shard forgets ended jobs and old claims: now and then, and at once where its snapshot grows large. */
import * as retention from './retention.js';
import * as shards from '../shard/index.js';
import type * as clocks from '../clock.js';

/** How often it is looked for what has been kept long enough, in milliseconds. */
const checkIntervalMs = 60_000;

/** How long things are kept, in milliseconds. */
export interface RetentionOptions {
	keepEndedMs: number;
	keepClaimsMs: number;
}

/** The forgetting of one shard. */
export class RetentionSchedule {
	private lastCheckAt = -Infinity;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly opts: RetentionOptions,
	) {}

	static create(clock: clocks.Clock, opts: RetentionOptions): RetentionSchedule {
		return new RetentionSchedule(clock, opts);
	}

	/** Drops what has been kept long enough, ended jobs also when the snapshot grows large, the oldest first. */
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
