/** Selects the ended jobs and old claims that a shard drops. Pure. */
import * as shards from '../shard/index.js';

/**
 * Changes that drop the jobs that ended before `before` (wall-clock milliseconds), oldest first. Jobs with held placements
 * stay: only the job's record shows that they are held.
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

/** A change that drops the claims last changed before `before` (wall-clock milliseconds), if there are any. */
export function expiredClaims(state: shards.ShardState, before: number): shards.Change[] {
	const expired = [...state.claims.values()].some((claim) => claim.at < before);
	return expired ? [{ type: 'claims.expired', before }] : [];
}
