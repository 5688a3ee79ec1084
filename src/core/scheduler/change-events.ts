/** Logs committed changes as events. */
import type * as events from '../events/index.js';
import * as shards from '../shard/index.js';

/** Logs a committed change. */
export function logChange(
	log: events.EventLog,
	shard: string,
	change: shards.Change,
	state: shards.ShardState,
): void {
	switch (change.type) {
		case 'job.submitted':
			log.emit('job.submitted', { shard, job: change.part.id, tasks: change.part.tasks });
			return;
		case 'job.cancelled':
			log.emit('job.cancelled', { shard, job: change.job });
			return;
		case 'task.placed':
			log.emit('task.placed', { ...attemptFields(shard, change), worker: change.worker, reason: change.why });
			return;
		case 'task.finished':
			log.emit('task.finished', attemptFields(shard, change));
			return;
		case 'task.failed':
			log.emit('task.failed', {
				...attemptFields(shard, change),
				reason: change.reason,
				final: String(change.final),
			});
			return;
		case 'task.evicted':
			log.emit('task.evicted', {
				...attemptFields(shard, change),
				reason: change.reason,
				checkpoint: change.checkpoint,
			});
			return;
		case 'task.lost':
			log.emit('task.lost', {
				...attemptFields(shard, change),
				reason: change.proof,
				checkpoint: change.checkpoint,
			});
			return;
		case 'task.stopped':
			log.emit('task.stopped', attemptFields(shard, change));
			return;
		case 'worker.quarantined':
			log.emit('worker.quarantined', { shard, worker: change.worker, reason: change.evidence.join(' ') });
			return;
		case 'worker.released':
			log.emit('worker.released', { shard, worker: change.worker });
			return;
		default:
			logShardChange(log, shard, change, state);
	}
}

/** Logs the jobs that ended with a committed entry. */
export function logEndedJobs(
	log: events.EventLog,
	shard: string,
	changes: shards.Change[],
	state: shards.ShardState,
): void {
	const ids = new Set(
		changes.flatMap((change) => ('task' in change ? (state.tasks.get(change.task)?.job ?? []) : [])),
	);
	for (const id of ids) {
		const job = state.jobs.get(id);
		if (job?.endedAt === undefined) continue;
		log.emit('job.ended', { shard, job: id, reason: shards.jobState(state, job) });
	}
}

function attemptFields(shard: string, change: { task: string; attempt: number }): events.EventFields {
	return { shard, task: change.task, attempt: change.attempt, job: change.task.replace(/\/\d+$/, '') };
}

function logShardChange(
	log: events.EventLog,
	shard: string,
	change: shards.Change,
	state: shards.ShardState,
): void {
	if (change.type === 'shard.taken')
		log.emit('shard.taken', { shard, epoch: change.epoch, tasks: state.tasks.size });
	if (change.type === 'shard.released') log.emit('shard.released', { shard, epoch: state.epoch });
}
