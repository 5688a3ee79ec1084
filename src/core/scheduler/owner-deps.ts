/** Dependencies of a shard's owner. */
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as placement from '../placement/index.js';
import type * as platform from '../platform/index.js';
import type * as shards from '../shard/index.js';
import type * as types from './types.js';
import type * as workers from '../worker/index.js';

/** What an owner needs. */
export interface OwnerDeps {
	shard: string;
	/** Identifies this process by its box and boot. */
	owner: string;
	store: platform.Store;
	clock: clocks.Clock;
	events: events.EventLog;
	exchange: workers.Exchange;
	opts: types.OwnerOptions;
	/** Scores workers for placement. */
	score: placement.Score;
	nextShard: (part: shards.JobRecord['part']) => string | undefined;
	holderGone: (holder: string) => boolean;
	/** Called once if another process owns the shard. */
	onLost: () => void;
	metrics: OwnerMetrics;
}

/** Counters shared by all owners of a process. */
export interface OwnerMetrics {
	appends: number;
	decisions: number;
	bytes: number;
	exchanges: number;
	starts: number;
	recordCommitMs: (ms: number) => void;
}
