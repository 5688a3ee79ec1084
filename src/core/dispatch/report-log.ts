/** Log lines about what a worker's report shows, and about what its unresponsiveness or its end proves. */
import type * as crashAttribution from './crash-attribution.js';
import type * as events from '../events/index.js';
import type * as fleet from '../fleet/types.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Maximum number of tasks named in one log line. */
const maxNamedTasks = 10;

/** Writes the log lines of one owner. */
export class ReportLog {
	private constructor(
		private readonly log: events.EventLog,
		private readonly epoch: number,
	) {}

	static create(log: events.EventLog, epoch: number): ReportLog {
		return new ReportLog(log, epoch);
	}

	/** Logs the first report of a worker that earlier owners used: what it runs is known from then on. */
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

	/**
	 * Logs a gap in a worker's exits: it has dropped those before `first`, and `seenUpTo` is the newest that was processed.
	 */
	unreadExits(session: sessions.WorkerSession, first: fleet.RunExit): void {
		const { id: worker, seenUpTo } = session;
		this.log.emit('ends.unread', { worker, epoch: this.epoch, seenUpTo, first: first.seq });
	}

	/** Logs the exit of a run that a worker lists. */
	ended(session: sessions.WorkerSession, end: fleet.RunExit): void {
		const { task, run, how } = end;
		this.log.emit('run.ended', { task, run, worker: session.id, how });
	}

	/** Logs an orphaned run, which nobody wants on its worker. */
	orphanedRun(session: sessions.WorkerSession, task: string, run: number): void {
		this.log.emit('run.stray', { worker: session.id, task, run, epoch: this.epoch });
	}

	/** Logs the loss of a run that a report should list and does not. */
	notListed(session: sessions.WorkerSession, placement: types.Placement): void {
		this.taskLost(session, placement, 'a report does not list it');
	}

	/** Logs that a worker with placements has ceased to answer: what was placed there last, and how long before. */
	unanswered(
		session: sessions.WorkerSession,
		err: fleet.WorkerFailure,
		evidence: crashAttribution.CrashEvidence,
	): void {
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
			suspects: evidence.suspects,
			simultaneous: evidence.simultaneous,
			moment: evidence.isMomentKnown ? 'known' : 'unknown',
			probation: session.runOnProbation?.task.name,
		});
	}

	/** Logs that nothing that was placed on a worker runs there any more. */
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
