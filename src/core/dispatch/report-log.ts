/** Log lines about what a worker's report tells. */
import type * as events from '../events/index.js';
import type * as fleet from '../fleet/types.js';
import type * as sessions from './worker-session.js';

/** Writes the lines. */
export class ReportLog {
	private constructor(private readonly log: events.EventLog) {}

	static create(log: events.EventLog): ReportLog {
		return new ReportLog(log);
	}

	/** A worker lists the end of a run. */
	ended(session: sessions.WorkerSession, end: fleet.RunEnd): void {
		const { task, run, how } = end;
		this.log.emit('run.ended', { task, run, worker: session.id, how });
	}

	/** A worker runs what nobody wants there. */
	stray(session: sessions.WorkerSession, task: string, run: number): void {
		this.log.emit('run.stray', { worker: session.id, task, run });
	}
}
