/** Orders on the pace of runs that fill, and whether their own readings agree with them. */
import * as neighbours from './neighbours.js';
import type * as reliefLog from './relief-log.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** The pace of a run that has to stand still, and of one that need not, in per cent. */
export const still = 0;
export const full = 100;

/** After an order a run's reading tells of the pace before for so long, in milliseconds. */
const settlesAfterMs = 800;

/** Gives the orders of one owner. */
export class PaceOrders {
	private constructor(
		private readonly deps: types.DispatchDeps,
		private readonly log: reliefLog.ReliefLog,
	) {}

	static create(deps: types.DispatchDeps, log: reliefLog.ReliefLog): PaceOrders {
		return new PaceOrders(deps, log);
	}

	/** Lets a run work at a pace, unless it is known to do so. */
	set(session: sessions.WorkerSession, place: types.Placement, percent: number): void {
		if (place.pace === percent && place.isPaceKnown) return;
		const before = place.pace;
		place.pace = percent;
		place.isPaceKnown = true;
		place.pacedAt = this.deps.clock.now();
		session.neighboursChangedAt = place.pacedAt;
		session.revision += 1;
		if (percent < before) session.relievedAt = place.pacedAt;
		this.deps.events.emit('task.paced', { task: place.task.name, worker: session.id, percent, before });
		void this.send(session, place, percent, before);
	}

	/** Compares a run's newest reading with the pace that its worker was told. */
	check(session: sessions.WorkerSession, place: types.Placement): void {
		const orderedMs = this.deps.clock.now() - session.reportDelayMs - place.pacedAt;
		const isSettled = place.isPaceKnown && orderedMs > settlesAfterMs;
		if (isSettled && place.pace === still && neighbours.isAtWork(place))
			this.log.contradicted(session, place, orderedMs);
	}

	private async send(
		session: sessions.WorkerSession,
		place: types.Placement,
		percent: number,
		before: number,
	): Promise<void> {
		const { target } = session;
		const stamp = session.stamp();
		const res = await this.deps.calls.pace(target, place.task.name, place.run, percent, stamp.token);
		if (res.ok) return;
		this.log.unanswered(session, place, percent, res.err.kind);
		session.ended(res.err, target, stamp);
		// The worker may be at either pace: the next report decides again.
		place.isPaceKnown = false;
		if (place.pace === percent) place.pace = before;
	}
}
