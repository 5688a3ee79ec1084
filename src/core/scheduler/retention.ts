/** Which ended jobs and old claims a shard forgets. Pure. */
import * as shards from '../shard/index.js';

/**
 * Jobs that ended before `before` (wall milliseconds), oldest first.
 * A job some of whose places are still held is kept: its record is what tells that they are.
 */
export function droppedJobs(state: shards.ShardState, before: number): shards.Change[] {
	const ended: { id: string; endedAt: number }[] = [];
	for (const [id, job] of state.jobs) {
		if (job.endedAt === undefined || job.endedAt >= before) continue;
		const held = shards.taskIds(job.part).some((task) => (state.tasks.get(task)?.held.length ?? 0) > 0);
		if (!held) ended.push({ id, endedAt: job.endedAt });
	}
	ended.sort((a, b) => a.endedAt - b.endedAt);
	return ended.map(({ id }) => ({ type: 'job.dropped', job: id }));
}

/** Lets go of the claims from before `before` (wall milliseconds), if there are any. */
export function expiredClaims(state: shards.ShardState, before: number): shards.Change[] {
	const expired = [...state.claims.values()].some((claim) => claim.at < before);
	return expired ? [{ type: 'claims.expired', before }] : [];
}
