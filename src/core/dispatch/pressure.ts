/**
 * Keeps tasks that serve users from being harmed by what fills beside them. An overload takes seconds to be worked
 * off, so placement avoids it; here only those are slowed that stand beside a task which stays over its target: first
 * the ones expected to disturb it, in the end all.
 */
import * as neighbours from './neighbours.js';
import * as paceOrders from './pace-orders.js';
import * as placements from './placements.js';
import * as reliefLog from './relief-log.js';
import type * as interference from './interference.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** A task over its target for so long is relieved of its disturbing neighbours; in parts of the time until harm. */
const relievePart = 0.15;

/** For so long, of all that fill beside it. */
const certainPart = 0.5;

/** A neighbour with this slope or a steeper one is taken for the cause of an overload, and has to stand still. */
const causingSlope = 0.5;

/** A slowed task goes on at full speed once nothing beside it has been over its target for so long, in milliseconds. */
const calmMs = 700;

/** Paces what fills, one worker at a time. */
export class PressureControl {
	private readonly log: reliefLog.ReliefLog;
	private readonly orders: paceOrders.PaceOrders;

	private constructor(
		private readonly deps: types.DispatchDeps,
		private readonly estimates: interference.Interference,
		private readonly harmMs: number,
	) {
		this.log = reliefLog.ReliefLog.create(deps.events, deps.epoch);
		this.orders = paceOrders.PaceOrders.create(deps, this.log);
	}

	/** `harmMs`: so long over its target, a task counts as harmed. */
	static create(
		deps: types.DispatchDeps,
		estimates: interference.Interference,
		harmMs: number,
	): PressureControl {
		return new PressureControl(deps, estimates, harmMs);
	}

	/** Looks at a worker after its report. */
	look(session: sessions.WorkerSession): void {
		this.estimates.observe(session);
		const delayMs = session.reportDelayMs;
		const overloads = neighbours.servingOf(session).map((served) => this.overloadOf(served, delayMs));
		const filling = neighbours.fillingOf(session);
		session.mustPausePreemptible = overloads.some(({ isNearHarm }) => isNearHarm);
		for (const place of filling) {
			const percent = session.mustPausePreemptible ? paceOrders.still : this.wantedPace(place, overloads);
			if (percent !== undefined) this.orders.set(session, place, percent);
			this.orders.enforce(session, place);
		}
		for (const overload of overloads) this.log.note(session, overload, filling);
	}

	/**
	 * How long a task counts as over its target; `delayMs`: how late reports come. It may have been over it for that much
	 * longer, and the next decision comes that much later.
	 */
	private overloadOf(served: types.Placement, delayMs: number): reliefLog.Overload {
		const { overTargetSince: overSince } = served;
		const overMs = overSince === undefined ? 0 : this.deps.clock.now() - overSince + 2 * delayMs;
		return { served, overMs, isNearHarm: overMs >= this.harmMs * certainPart };
	}

	/** The pace that a task should have beside these; undefined: as it is. */
	private wantedPace(place: types.Placement, overloads: readonly reliefLog.Overload[]): number | undefined {
		const now = this.deps.clock.now();
		let calm = true;
		for (const { served, overMs } of overloads) {
			if (now - lastOver(served) < calmMs) calm = false;
			const isRelieved = overMs >= this.harmMs * relievePart;
			if (isRelieved && this.isCause(place, served)) return paceOrders.still;
		}
		return calm ? paceOrders.full : undefined;
	}

	/** Whether a filling task is taken for the cause of a serving one's overload. */
	private isCause(place: types.Placement, served: types.Placement): boolean {
		if (place.exempt) return true;
		const { image } = served.task.step.spec;
		return this.estimates.slope(image, place.task.step.spec.image) >= causingSlope;
	}
}

/** Clock time at which a task was over its target, or may have been, for the last time. */
function lastOver(served: types.Placement): number {
	return placements.isFound(served)
		? Math.max(served.lastOverTargetAt, served.confirmedAt)
		: served.lastOverTargetAt;
}
