/**
 * Protects serving tasks from interference by preemptible tasks beside them. A task takes seconds to recover from an
 * overload, so placement avoids it. The control here throttles only the neighbours of a task that stays over its target:
 * first those expected to interfere with it, in the end all.
 */
import * as neighbours from './neighbours.js';
import * as paceOrders from './pace-orders.js';
import * as placements from './placements.js';
import * as reliefLog from './relief-log.js';
import type * as interference from './interference.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * Once a task has been over its target for this part of `maxSloViolationMs`, the neighbours presumed to cause that are
 * paused.
 */
const relievePart = 0.15;

/** Once a task has been over its target for this part of `maxSloViolationMs`, all its preemptible neighbours are paused. */
const certainPart = 0.5;

/** A neighbour with at least this interference slope is presumed to cause an overload, and is paused. */
const causingSlope = 0.5;

/** A paused task resumes at full speed once no task beside it has been over its target for this long, in milliseconds. */
const calmMs = 700;

/** Sets the pace of preemptible tasks, one worker at a time. */
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

	/** `maxSloViolationMs`: time over its target after which a task counts as an SLO violation, in milliseconds. */
	static create(
		deps: types.DispatchDeps,
		estimates: interference.Interference,
		harmMs: number,
	): PressureControl {
		return new PressureControl(deps, estimates, harmMs);
	}

	/** Sets the paces on a worker after its report. */
	look(session: sessions.WorkerSession): void {
		this.estimates.observe(session);
		const delayMs = session.reportDelayMs;
		const overloads = neighbours.servingOf(session).map((served) => this.overloadOf(served, delayMs));
		const filling = neighbours.fillingOf(session);
		session.mustStandStill = overloads.some(({ isNearHarm }) => isNearHarm);
		for (const place of filling) {
			const percent = session.mustStandStill ? paceOrders.still : this.wantedPace(place, overloads);
			if (percent !== undefined) this.orders.set(session, place, percent);
			this.orders.enforce(session, place);
		}
		for (const overload of overloads) this.log.note(session, overload, filling);
	}

	/**
	 * How long a task counts as over its target. `delayMs`: how late reports come. It counts twice: the task may have been
	 * over its target for that much longer, and the next decision comes that much later.
	 */
	private overloadOf(served: types.Placement, delayMs: number): reliefLog.Overload {
		const { overSince } = served;
		const overMs = overSince === undefined ? 0 : this.deps.clock.now() - overSince + 2 * delayMs;
		return { served, overMs, isNearHarm: overMs >= this.harmMs * certainPart };
	}

	/** The pace that a task should have beside these serving tasks, in per cent; undefined: unchanged. */
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

	/** Whether a preemptible task is presumed to cause a serving task's overload. */
	private isCause(place: types.Placement, served: types.Placement): boolean {
		if (place.exempt) return true;
		const { image } = served.task.step.spec;
		return this.estimates.slope(image, place.task.step.spec.image) >= causingSlope;
	}
}

/** Clock time at which a task was last over its target, or may have been. */
function lastOver(served: types.Placement): number {
	return placements.isFound(served) ? Math.max(served.overAt, served.confirmedAt) : served.overAt;
}
