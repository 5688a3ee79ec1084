/**
 * Keeps tasks that serve users from being harmed by what fills beside them. An overload takes seconds to be worked
 * off, so placement avoids it; here only those are slowed that stand beside a task which stays over its target: first
 * the ones expected to disturb it, in the end all.
 */
import * as neighbours from './neighbours.js';
import * as commands from './pace-commands.js';
import * as placements from './placements.js';
import * as reliefLog from './relief-log.js';
import type * as interference from './interference.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** A task over its target for so long is relieved of its disturbing neighbours; in parts of the time until harm. */
const throttleCausesFraction = 0.15;

/** For so long, of all that fill beside it. */
const throttleAllFraction = 0.5;

/** A neighbour with this slope or a steeper one is taken for the cause of an overload, and has to stand still. */
const minCauseSlope = 0.5;

/** A slowed task goes on at full speed once nothing beside it has been over its target for so long, in milliseconds. */
const recoveryMs = 700;

/** Paces what fills, one worker at a time. */
export class InterferenceControl {
	private readonly log: reliefLog.ReliefLog;
	private readonly paceCommands: commands.PaceCommands;

	private constructor(
		private readonly deps: types.DispatchDeps,
		private readonly estimates: interference.InterferenceModel,
		private readonly maxSloViolationMs: number,
	) {
		this.log = reliefLog.ReliefLog.create(deps.events, deps.epoch);
		this.paceCommands = commands.PaceCommands.create(deps, this.log);
	}

	/** `harmMs`: so long over its target, a task counts as harmed. */
	static create(
		deps: types.DispatchDeps,
		estimates: interference.InterferenceModel,
		maxSloViolationMs: number,
	): InterferenceControl {
		return new InterferenceControl(deps, estimates, maxSloViolationMs);
	}

	/** Looks at a worker after its report. */
	controlWorker(session: sessions.WorkerSession): void {
		this.estimates.observe(session);
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
	 * How long a task counts as over its target; `delayMs`: how late reports come. It may have been over it for that much
	 * longer, and the next decision comes that much later.
	 */
	private overloadOf(served: types.Placement, delayMs: number): reliefLog.Overload {
		const { overTargetSince } = served;
		const overMs = overTargetSince === undefined ? 0 : this.deps.clock.now() - overTargetSince + 2 * delayMs;
		return { served, overMs, isNearViolation: overMs >= this.maxSloViolationMs * throttleAllFraction };
	}

	/** The pace that a task should have beside these; undefined: as it is. */
	private desiredPace(place: types.Placement, overloads: readonly reliefLog.Overload[]): number | undefined {
		const now = this.deps.clock.now();
		let isRecovered = true;
		for (const { served, overMs } of overloads) {
			if (now - lastOverTargetAt(served) < recoveryMs) isRecovered = false;
			const mayThrottleCauses = overMs >= this.maxSloViolationMs * throttleCausesFraction;
			if (mayThrottleCauses && this.isCause(place, served)) return commands.pausedPace;
		}
		return isRecovered ? commands.fullPace : undefined;
	}

	/** Whether a filling task is taken for the cause of a serving one's overload. */
	private isCause(place: types.Placement, served: types.Placement): boolean {
		if (place.exempt) return true;
		const { image } = served.task.step.spec;
		return this.estimates.slope(image, place.task.step.spec.image) >= minCauseSlope;
	}
}

/** Clock time at which a task was over its target, or may have been, for the last time. */
function lastOverTargetAt(served: types.Placement): number {
	return placements.isAdopted(served)
		? Math.max(served.lastOverTargetAt, served.confirmedAt)
		: served.lastOverTargetAt;
}
