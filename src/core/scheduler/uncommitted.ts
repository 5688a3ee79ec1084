/** The jobs and tasks about which something is decided that is not stored yet: workers are told nothing of them. */
import * as shards from '../shard/index.js';

/** The marks of one shard. */
export class Uncommitted {
	private readonly marked = new Set<string>();

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): Uncommitted {
		return new Uncommitted();
	}

	/** The names of these jobs and tasks. */
	get names(): ReadonlySet<string> {
		return this.marked;
	}

	/** Marks what a change is about; it has been applied to the state. */
	mark(change: shards.Change, state: shards.ShardState): void {
		if ('task' in change) this.marked.add(change.task);
		if (change.type === 'job.submitted') this.marked.add(change.part.id);
		if (change.type === 'job.cancelled') this.markJob(change.job, state);
	}

	/** Everything decided so far is stored. */
	clear(): void {
		this.marked.clear();
	}

	private markJob(id: string, state: shards.ShardState): void {
		this.marked.add(id);
		for (const task of shards.taskIdsOf(state, id)) this.marked.add(task);
	}
}
