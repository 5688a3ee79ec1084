/** The jobs and tasks about which something is decided that is not stored yet: workers are told nothing of them. */
import * as shards from '../shard/index.js';

/** The marks of one shard. */
export class Uncommitted {
	private readonly markedIds = new Set<string>();

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): Uncommitted {
		return new Uncommitted();
	}

	/** The names of these jobs and tasks. */
	get ids(): ReadonlySet<string> {
		return this.markedIds;
	}

	/** Marks what a change is about; it has been applied to the state. */
	mark(change: shards.Change, state: shards.ShardState): void {
		if ('task' in change) this.markedIds.add(change.task);
		if (change.type === 'job.submitted') this.markedIds.add(change.part.id);
		if (change.type === 'job.cancelled') this.markJob(change.job, state);
	}

	/** Everything decided so far is stored. */
	clear(): void {
		this.markedIds.clear();
	}

	private markJob(id: string, state: shards.ShardState): void {
		this.markedIds.add(id);
		for (const task of shards.taskIdsOfJob(state, id)) this.markedIds.add(task);
	}
}
