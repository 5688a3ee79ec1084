/** Commands on the pace of preemptible runs, and checks of the runs' readings against them. */
import * as neighbours from './neighbours.js';
import type * as reliefLog from './relief-log.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Pace of a run that has to pause, and of one that need not, in per cent. */
export const pausedPace = 0;
export const fullPace = 100;

/** After a command, a run's reading covers the earlier pace for this long, in milliseconds. */
const readingDelayMs = 800;

/** Sends the pace commands of one owner. */
export class PaceCommands {
	private constructor(
		private readonly deps: types.DispatchDeps,
		private readonly log: reliefLog.ReliefLog,
	) {}

	static create(deps: types.DispatchDeps, log: reliefLog.ReliefLog): PaceCommands {
		return new PaceCommands(deps, log);
	}

	/** Sets a run's pace, unless it is known to work at it. A run that is being stopped may only be paused. */
	set(session: sessions.WorkerSession, place: types.Placement, percent: number): void {
		if (place.pace === percent && place.isPaceConfirmed) return;
		const before = place.pace;
		if (place.phase === 'stopping' && percent !== pausedPace) return;
		place.pace = percent;
		place.isPaceConfirmed = true;
		place.paceChangedAt = this.deps.clock.now();
		session.neighboursChangedAt = place.paceChangedAt;
		session.revision += 1;
		if (percent < before) session.preemptibleLoadReducedAt = place.paceChangedAt;
		this.deps.events.emit('task.paced', { task: place.task.name, worker: session.id, percent, before });
		void this.send(session, place, percent, before);
	}

	/**
	 * Repeats the latest command on a run's pace if its reading contradicts it: a command without an answer may be carried
	 * out after later ones, and undo them.
	 */
	reassertPace(session: sessions.WorkerSession, place: types.Placement): void {
		const { pace, paceCommandSentAt, isPaceConfirmed } = place;
		const isInEffect = neighbours.isAtWork(place) === pace > pausedPace;
		if (isInEffect || !isPaceConfirmed || paceCommandSentAt === 0) return;
		const sinceCommandMs = this.deps.clock.now() - session.reportDelayMs - paceCommandSentAt;
		if (sinceCommandMs <= readingDelayMs) return;
		this.log.contradicted(session, place, sinceCommandMs);
		void this.send(session, place, pace, pace);
	}

	private async send(
		session: sessions.WorkerSession,
		place: types.Placement,
		percent: number,
		before: number,
	): Promise<void> {
		const call = session.newCall();
		const commandedAt = this.deps.clock.now();
		place.paceCommandSentAt = commandedAt;
		const res = await this.deps.calls.pace(call.target, place.task.name, place.run, percent, call.token);
		if (res.ok) return;
		this.log.unanswered(session, place, percent, res.err.kind);
		session.ended(res.err, call);
		// A later command has an answer of its own.
		if (place.paceCommandSentAt !== commandedAt) return;
		// The worker may be at either pace; the next report leads to a new decision.
		place.isPaceConfirmed = false;
		if (place.pace === percent) place.pace = before;
	}
}
