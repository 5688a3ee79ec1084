/** What is decided together and stored as one entry, with the replies that wait for it. */
import * as shards from '../shard/index.js';
import type * as clocks from '../clock.js';
import type * as placing from './placing.js';
import type * as uncommitted from './uncommitted.js';
import type * as waiting from './request-queue.js';

/** What decisions have an effect on at once. */
export interface BatchDeps {
	clock: clocks.Clock;
	state: shards.ShardState;
	uncommitted: uncommitted.Uncommitted;
	placing: placing.Placing;
}

/** A reply, and who waits for it. */
export interface PendingReply {
	waiter: waiting.Waiter;
	reply: waiting.Reply;
}

/** One entry's decisions. */
export class Batch {
	readonly changes: shards.Change[] = [];
	readonly replies: PendingReply[] = [];

	private constructor(private readonly deps: BatchDeps) {}

	static create(deps: BatchDeps): Batch {
		return new Batch(deps);
	}

	/** Applies changes at once, so that the next decision of the batch sees them; orders wait for the commit. */
	adopt(changes: shards.Change[]): void {
		const { clock, state, uncommitted, placing } = this.deps;
		const at = clock.wall();
		for (const change of changes) {
			shards.applyChange(state, change, at);
			this.changes.push(change);
			uncommitted.mark(change, state);
			if ('task' in change) placing.settled(change.task);
		}
	}

	/** Keeps a reply until the entry is stored. */
	reply(waiter: waiting.Waiter, reply: waiting.Reply): void {
		this.replies.push({ waiter, reply });
	}
}
