/** Decisions that are stored as one entry, and the replies that wait until it is stored. */
import * as shards from '../shard/index.js';
import type * as clocks from '../clock.js';
import type * as placers from './placer.js';
import type * as uncommitted from './uncommitted.js';
import type * as requestQueue from './request-queue.js';

/** What a batch needs to apply its decisions before they are stored. */
export interface BatchDeps {
	clock: clocks.Clock;
	state: shards.ShardState;
	uncommitted: uncommitted.Uncommitted;
	placer: placers.Placer;
}

/** A reply and the request that waits for it. */
export interface PendingReply {
	request: requestQueue.PendingRequest;
	reply: requestQueue.Reply;
}

/** The decisions of one entry. */
export class Batch {
	readonly changes: shards.Change[] = [];
	readonly replies: PendingReply[] = [];

	private constructor(private readonly deps: BatchDeps) {}

	static create(deps: BatchDeps): Batch {
		return new Batch(deps);
	}

	/**
	 * Applies changes to the state at once, so that the next decision of the batch sees them. Workers get their commands
	 * only once the entry is committed.
	 */
	apply(changes: shards.Change[]): void {
		const { clock, state, uncommitted, placer } = this.deps;
		const at = clock.wall();
		for (const change of changes) {
			shards.applyChange(state, change, at);
			this.changes.push(change);
			uncommitted.mark(change, state);
			if ('task' in change) placer.clearEviction(change.task);
		}
	}

	/** Keeps a reply until the entry is stored. */
	reply(request: requestQueue.PendingRequest, reply: requestQueue.Reply): void {
		this.replies.push({ request, reply });
	}
}
