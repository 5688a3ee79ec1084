/** Log lines about what a worker's report tells, and what its silence or its end proves. */
import type * as events from '../events/index.js';
import type * as fleet from '../fleet/types.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Tasks named in one line, at most. */
const maxNamedTasks = 10;

/** Writes the lines of one owner. */
export class ReportLog {
	private constructor(
		private readonly log: events.EventLog,
		private readonly epoch: number,
	) {}

	static create(log: events.EventLog, epoch: number): ReportLog {
		return new ReportLog(log, epoch);
	}

	/** A worker of earlier owners reported for the first time: what it runs is known from now on. */
	firstReport(session: sessions.WorkerSession, report: fleet.WorkerReport): void {
		const { epoch } = this;
		const { running, ended } = report;
		this.log.emit('takeover.heard', {
			epoch,
			worker: session.id,
			running: running.length,
			adopted: session.placements.size,
			ended: ended.length,
			named: running
				.slice(0, maxNamedTasks)
				.map(({ task, run }) => `${task}#${run}`)
				.join(' '),
		});
	}

	/** A worker's ends before this one are forgotten there, and `seenUpTo` is the newest that was read. */
	unreadExits(session: sessions.WorkerSession, first: fleet.RunExit): void {
		const { id: worker, seenUpTo } = session;
		this.log.emit('ends.unread', { worker, epoch: this.epoch, seenUpTo, first: first.seq });
	}

	/** A worker lists the end of a run. */
	ended(session: sessions.WorkerSession, end: fleet.RunExit): void {
		const { task, run, how } = end;
		this.log.emit('run.ended', { task, run, worker: session.id, how });
	}

	/** A worker runs what nobody wants there. */
	orphanedRun(session: sessions.WorkerSession, task: string, run: number): void {
		this.log.emit('run.stray', { worker: session.id, task, run, epoch: this.epoch });
	}

	/** A report does not list a run that was there. */
	notListed(session: sessions.WorkerSession, placement: types.Placement): void {
		this.taskLost(session, placement, 'a report does not list it');
	}

	/** A worker ceases to answer; what was started there last, and how long before. */
	unanswered(session: sessions.WorkerSession, err: fleet.WorkerFailure): void {
		const { firstFailureAt, placements } = session;
		if (firstFailureAt === undefined || placements.size === 0) return;
		const newest = [...placements.values()].reduce((a, b) => (a.placedAt > b.placedAt ? a : b));
		this.log.emit('worker.unanswered', {
			worker: session.id,
			epoch: this.epoch,
			reason: err.kind,
			silentMs: session.silentMs,
			tasks: placements.size,
			newest: newest.task.name,
			newestMs: Math.round(firstFailureAt - newest.placedAt),
		});
	}

	/** Nothing that was placed on a worker runs there any more. */
	lost(session: sessions.WorkerSession, { lost, carriedOver, proof }: types.Loss): void {
		this.log.emit('worker.lost', {
			worker: session.id,
			tasks: lost.length,
			...(carriedOver.length > 0 && { moved: carriedOver.length }),
			reason: proof,
			epoch: this.epoch,
			silentMs: session.silentMs,
		});
		for (const placement of lost) this.taskLost(session, placement, proof);
	}

	private taskLost(session: sessions.WorkerSession, placement: types.Placement, proof: string): void {
		const { task, run } = placement;
		this.log.emit('task.lost', {
			task: task.name,
			run,
			worker: session.id,
			epoch: this.epoch,
			reason: proof,
			answeredMs:
				placement.confirmedAt > 0 ? Math.round(placement.confirmedAt - placement.placedAt) : undefined,
			ranMs: session.firstFailureAt && Math.round(session.firstFailureAt - placement.placedAt),
		});
	}
}
