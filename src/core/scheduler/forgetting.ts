/** When a shard forgets ended jobs and old claims: now and then, and at once where its snapshot grows large. */
import * as retention from './retention.js';
import * as shards from '../shard/index.js';
import type * as clocks from '../clock.js';

/** How often it is looked for what has been kept long enough, in milliseconds. */
const lookMs = 60_000;

/** How long things are kept, in milliseconds. */
export interface KeepOptions {
	keepEndedMs: number;
	keepClaimsMs: number;
}

/** The forgetting of one shard. */
export class Forgetting {
	private lookedAt = -Infinity;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly opts: KeepOptions,
	) {}

	static create(clock: clocks.Clock, opts: KeepOptions): Forgetting {
		return new Forgetting(clock, opts);
	}

	/** Drops what has been kept long enough, ended jobs also when the snapshot grows large, the oldest first. */
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
