/**
 * Predicts the serving tasks of a worker over the next seconds, at a few points of time: their loads, the interference of the
 * neighbours that are expected to be there still, and the cores in use.
 *
 * Load pattern: each placement and each exit changes a worker, hundreds of times a second over the fleet. An outlook is
 * computed once per change, in time linear in the worker's placements.
 */
import * as interference from './interference.js';
import * as neighbours from './neighbours.js';
import type * as clocks from '../clock.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * The points, in milliseconds from now. The known loads oscillate with periods from 5 to 20 seconds, so they hardly change
 * between two points.
 */
const pointsMs = [300, 1_300, 2_600, 4_200, 6_000] as const;

/** Maximum age of a cached outlook, in milliseconds: loads and slopes change slowly. */
const outlookMaxAgeMs = 250;

/** Maximum age of a step's cached loads, in milliseconds. */
const loadsMaxAgeMs = 100;

/**
 * A run is expected to take at least this part of its expected time longer, however long it has run: run times vary by half
 * of their mean and more.
 */
const minRemainingFraction = 0.6;

/** Run times vary by half of their mean, so the effects of a task are examined over this many times its expected run. */
const longRunFactor = 1.4;

/** Shortest expected run, and longest time over which a task's effects are examined, in milliseconds. */
const minExpectedMs = 1_000;
const maxExaminedMs = pointsMs[pointsMs.length - 1] ?? 6_000;

/** Expected time of one run, in milliseconds; infinite for a long-running one. */
export type ExpectedMs = (step: jobs.StepInstance) => number;

/** A serving task, with one value for each point. */
export interface ServingOutlook {
	image: string;
	loads: readonly number[];
	/** Upper estimate of how much its neighbours raise its busy part, contention excluded. */
	interference: number[];
	/** How much contention raises its busy part, per whole worker of cores in use beyond the contention threshold. */
	contentionSlope: number;
	/** Busy part above which it exceeds its target. */
	busyLimit: number;
}

/** A worker's next seconds. */
export interface WorkerOutlook {
	revision: number;
	at: number;
	tasks: ServingOutlook[];
	/** Share of the worker's cores in use at each point. */
	use: number[];
}

/** The loads of a step at the points. */
interface StepLoads {
	at: number;
	loads: number[];
}

/** Number of points that a run with this expected time, in milliseconds, may reach; at least two. */
export function pointsWithin(expectedMs: number): number {
	const bounded = Math.min(maxExaminedMs, Math.max(minExpectedMs, expectedMs) * longRunFactor);
	return pointsMs.findIndex((at) => at >= bounded) + 1;
}

/** Outlooks of all workers of one owner. */
export class Outlooks {
	private readonly loadsByStep = new WeakMap<jobs.StepInstance, StepLoads>();

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly estimates: interference.InterferenceModel,
		private readonly expectedMs: ExpectedMs,
	) {}

	static create(
		clock: clocks.Clock,
		estimates: interference.InterferenceModel,
		expectedMs: ExpectedMs,
	): Outlooks {
		return new Outlooks(clock, estimates, expectedMs);
	}

	/** The outlook of a worker: `known` if it is not older than a quarter of a second and of the newest placements. */
	of(session: sessions.WorkerSession, known: WorkerOutlook | undefined): WorkerOutlook {
		const now = this.clock.now();
		const isFresh = known?.revision === session.revision && now - known.at < outlookMaxAgeMs;
		return isFresh ? known : this.compute(session, now);
	}

	private compute(session: sessions.WorkerSession, now: number): WorkerOutlook {
		const served = neighbours.servingPlacements(session);
		const tasks = served.map((place) => this.describeTask(place, now));
		const use = this.reservedUse(session, now);
		for (const place of session.placements.values()) {
			const { spec } = place.task.step;
			if (spec.targetMs > 0) continue;
			const share = neighbours.coreShareOf(spec, session);
			const points = spec.fills ? this.pointsOfRun(place, now) : pointsMs.length;
			const image = spec.fills ? spec.image : neighbours.otherTasks;
			if (spec.fills) addUpTo(use, points, share);
			for (const task of tasks)
				addUpTo(task.interference, points, this.estimates.upperSlope(task.image, image) * share);
		}
		return { revision: session.revision, at: now, tasks, use };
	}

	private describeTask({ task }: types.Placement, now: number): ServingOutlook {
		const { image, targetMs } = task.step.spec;
		return {
			image,
			loads: this.loadsOf(task.step, now),
			interference: pointsMs.map(() => 0),
			contentionSlope: this.estimates.slope(image, neighbours.contention),
			busyLimit: this.estimates.busyLimit(image, targetMs),
		};
	}

	/** Share of the worker's cores used by what reserves them, at each point. Short tasks use all that they reserve. */
	private reservedUse(session: sessions.WorkerSession, now: number): number[] {
		const capacity = session.entry?.capacity.milliCores ?? 1;
		const use = pointsMs.map(() => session.used.milliCores / capacity);
		for (const { task } of session.placements.values()) {
			const { lasting, fills, milliCores } = task.step.spec;
			if (!lasting || fills) continue;
			this.loadsOf(task.step, now).forEach((load, i) => {
				use[i] = (use[i] ?? 0) - (milliCores * (1 - load)) / capacity;
			});
		}
		return use;
	}

	private loadsOf(step: jobs.StepInstance, now: number): readonly number[] {
		const known = this.loadsByStep.get(step);
		if (known !== undefined && now - known.at < loadsMaxAgeMs) return known.loads;
		const loads = pointsMs.map((aheadMs) => this.estimates.loadAhead(step, aheadMs));
		this.loadsByStep.set(step, { at: now, loads });
		return loads;
	}

	/** Number of points at which a preemptible run is expected to be there still. */
	private pointsOfRun(place: types.Placement, now: number): number {
		const { step } = place.task;
		const expectedMs = this.expectedMs(step);
		const elapsedMs = now - (place.confirmedAt === 0 ? place.placedAt : place.confirmedAt);
		const remainingMs = Math.max(expectedMs - elapsedMs, expectedMs * minRemainingFraction);
		const ended = pointsMs.findIndex((at) => at > remainingMs);
		return ended === -1 ? pointsMs.length : Math.max(1, ended);
	}
}

function addUpTo(values: number[], count: number, added: number): void {
	for (let i = 0; i < count; i += 1) values[i] = (values[i] ?? 0) + added;
}
