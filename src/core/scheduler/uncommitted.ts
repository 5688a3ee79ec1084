/** Jobs and tasks with decisions that are not stored yet; workers are sent nothing about them. */
import * as shards from '../shard/index.js';

/** The uncommitted jobs and tasks of one shard. */
export class Uncommitted {
	private readonly markedIds = new Set<string>();

	private constructor() {
		// Instances come from `create`, as with every class here.
	}

	static create(): Uncommitted {
		return new Uncommitted();
	}

	/** Ids of these jobs and tasks. */
	get ids(): ReadonlySet<string> {
		return this.markedIds;
	}

	/** Marks the job or tasks that a change concerns. The change must have been applied to `state`. */
	mark(change: shards.Change, state: shards.ShardState): void {
		if ('task' in change) this.markedIds.add(change.task);
		if (change.type === 'job.submitted') this.markedIds.add(change.part.id);
		if (change.type === 'job.cancelled') this.markJob(change.job, state);
	}

	/** Clears all marks once the decisions are stored. */
	clear(): void {
		this.markedIds.clear();
	}

	private markJob(id: string, state: shards.ShardState): void {
		this.markedIds.add(id);
		for (const task of shards.taskIdsOfJob(state, id)) this.markedIds.add(task);
	}
}
