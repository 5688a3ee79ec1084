/**
 * Protects serving tasks from interference by preemptible tasks beside them. A task takes seconds to recover from an
 * overload, so placement avoids it. The control here throttles only the neighbours of a task that stays over its target:
 * first those expected to interfere with it, in the end all.
 */
import * as neighbours from './neighbours.js';
import * as commands from './pace-commands.js';
import * as placements from './placements.js';
import * as reliefLog from './relief-log.js';
import type * as interference from './interference.js';
import type * as limitTypes from './limit-types.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * Once a task has been over its target for this part of `maxSloViolationMs`, the neighbours presumed to cause that are
 * paused.
 */
const throttleCausesFraction = 0.15;

/** Once a task has been over its target for this part of `maxSloViolationMs`, all its preemptible neighbours are paused. */
const throttleAllFraction = 0.5;

/** A neighbour with at least this interference slope is presumed to cause an overload, and is paused. */
const minCauseSlope = 0.5;

/** A paused task resumes at full speed once no task beside it has been over its target for this long, in milliseconds. */
const recoveryMs = 700;

export interface ControlDeps extends types.DispatchDeps {
	/** Time over its target after which a task counts as an SLO violation, in milliseconds. */
	maxSloViolationMs: number;
}

/** Sets the pace of preemptible tasks, one worker at a time. */
export class InterferenceControl {
	private readonly log: reliefLog.ReliefLog;
	private readonly paceCommands: commands.PaceCommands;

	private constructor(
		private readonly deps: ControlDeps,
		private readonly estimates: interference.InterferenceModel,
		private readonly limit: limitTypes.PreemptibleLimit,
	) {
		this.log = reliefLog.ReliefLog.create(deps.events, deps.epoch);
		this.paceCommands = commands.PaceCommands.create(deps, this.log);
	}

	static create(
		deps: ControlDeps,
		estimates: interference.InterferenceModel,
		limit: limitTypes.PreemptibleLimit,
	): InterferenceControl {
		return new InterferenceControl(deps, estimates, limit);
	}

	/** Sets the paces on a worker after its report. */
	controlWorker(session: sessions.WorkerSession): void {
		this.estimates.observe(session);
		this.limit.noteReport(session);
		const delayMs = session.reportDelayMs;
		const overloads = neighbours.servingPlacements(session).map((served) => this.overloadOf(served, delayMs));
		const preemptible = neighbours.preemptiblePlacements(session);
		session.mustPausePreemptible = overloads.some(({ isNearViolation }) => isNearViolation);
		for (const place of preemptible) {
			const percent = session.mustPausePreemptible ? commands.pausedPace : this.desiredPace(place, overloads);
			if (percent !== undefined) this.paceCommands.set(session, place, percent);
			this.paceCommands.reassertPace(session, place);
		}
		for (const overload of overloads) this.log.logTransition(session, overload, preemptible);
	}

	/**
	 * How long a task counts as over its target. `delayMs`: how late reports come. It counts twice: the task may have been
	 * over its target for that much longer, and the next decision comes that much later.
	 */
	private overloadOf(served: types.Placement, delayMs: number): reliefLog.Overload {
		const { overTargetSince } = served;
		const overMs = overTargetSince === undefined ? 0 : this.deps.clock.now() - overTargetSince + 2 * delayMs;
		return { served, overMs, isNearViolation: overMs >= this.deps.maxSloViolationMs * throttleAllFraction };
	}

	/** The pace that a task should have beside these serving tasks, in per cent; undefined: unchanged. */
	private desiredPace(place: types.Placement, overloads: readonly reliefLog.Overload[]): number | undefined {
		const now = this.deps.clock.now();
		let isRecovered = true;
		for (const { served, overMs } of overloads) {
			if (now - lastOverTargetAt(served) < recoveryMs) isRecovered = false;
			const mayThrottleCauses = overMs >= this.deps.maxSloViolationMs * throttleCausesFraction;
			if (mayThrottleCauses && this.isCause(place, served)) return commands.pausedPace;
		}
		return isRecovered ? commands.fullPace : undefined;
	}

	/** Whether a preemptible task is presumed to cause a serving task's overload. */
	private isCause(place: types.Placement, served: types.Placement): boolean {
		if (place.exempt) return true;
		const { image } = served.task.step.spec;
		return this.estimates.slope(image, place.task.step.spec.image) >= minCauseSlope;
	}
}

/** Clock time at which a task was last over its target, or may have been. */
function lastOverTargetAt(served: types.Placement): number {
	return placements.isAdopted(served)
		? Math.max(served.lastOverTargetAt, served.confirmedAt)
		: served.lastOverTargetAt;
}
