/** The fixed limit on preemptible work: bounds of the cores in use and of the SLO violations expected for the next moment. */
import * as neighbours from './neighbours.js';
import * as overloads from './recent-overloads.js';
import * as waitingOrder from './waiting-order.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as limitTypes from './limit-types.js';
import type * as sessions from './worker-session.js';

/** Score of each serving task that is expected to exceed its target. */
const sloViolationWeight = 5;

/**
 * A preemptible task waits rather than keep more than this many serving tasks over their targets. After `relaxLimitAfterMs`
 * it accepts more: a task that waits longer also interferes for longer, so strict limits spare nobody.
 */
const maxSloViolations = 0.2;
const maxSloViolationsAfterWait = 0.5;

/** Wait after which the higher limit applies, in milliseconds. */
const relaxLimitAfterMs = 3_000;

/**
 * A worker gets no preemptible task if its expected core use would exceed this part of its cores: interference beyond it is
 * unknown.
 */
export const maxExpectedUse = 1.3;

/** The same limit on every worker. */
export class FixedLimit implements limitTypes.PreemptibleLimit {
	private misses = 0;
	private readonly slopeOf: overloads.SlopeOf = (serving, image) => this.estimates.slope(serving, image);

	private constructor(private readonly estimates: interference.InterferenceModel) {}

	static create(estimates: interference.InterferenceModel): FixedLimit {
		return new FixedLimit(estimates);
	}

	/** Number of serving tasks that a task may keep over their targets, after the time it has waited. */
	toleranceFor(task: jobs.Task, now: number): number {
		return waitingOrder.waitedMs(task, now) < relaxLimitAfterMs
			? maxSloViolations
			: maxSloViolationsAfterWait;
	}

	usePenalty(task: jobs.Task, worker: sessions.WorkerSession, ignoreInterference: boolean): number {
		const use = this.estimates.expectedUtilization(worker) + neighbours.coreShareOf(task.step.spec, worker);
		return use > maxExpectedUse && !ignoreInterference ? Infinity : use;
	}

	interferencePenalty(
		task: jobs.Task,
		worker: sessions.WorkerSession,
		check: limitTypes.InterferenceCheck,
	): number {
		const { spec } = task.step;
		const { now, tolerance, ignoreInterference } = check;
		const violations = this.estimates.expectedViolations(
			worker,
			spec.image,
			neighbours.coreShareOf(spec, worker),
		);
		if (!ignoreInterference && violations > tolerance) return Infinity;
		if (!ignoreInterference && overloads.interferesWithOverloaded(spec.image, worker, this.slopeOf, now))
			return Infinity;
		return violations * sloViolationWeight;
	}

	obstacleAt(
		task: jobs.Task,
		worker: sessions.WorkerSession,
		now: number,
	): limitTypes.LimitObstacle | undefined {
		const { spec } = task.step;
		const share = neighbours.coreShareOf(spec, worker);
		if (this.estimates.expectedUtilization(worker) + share > maxExpectedUse) return 'cores-in-use';
		if (this.estimates.expectedViolations(worker, spec.image, share) > this.toleranceFor(task, now))
			return 'harm';
		return overloads.interferesWithOverloaded(spec.image, worker, this.slopeOf, now)
			? 'overloaded'
			: undefined;
	}

	notePlaced(): void {
		// The limit is the same whatever runs.
	}

	noteReport(): void {
		// The limit is the same whatever is reported.
	}

	noteSlowed(): void {
		this.misses += 1;
	}

	read(workers: readonly sessions.WorkerSession[]): limitTypes.LimitReading {
		const reading = { limitCuts: 0, limitMisses: this.misses, limitCores: 0, usedCores: 0 };
		this.misses = 0;
		for (const worker of workers) {
			const cores = (worker.entry?.capacity.milliCores ?? 0) / 1_000;
			reading.limitCores += cores * maxExpectedUse;
			reading.usedCores += cores * this.estimates.expectedUtilization(worker);
		}
		return {
			...reading,
			limitCores: Math.round(reading.limitCores),
			usedCores: Math.round(reading.usedCores),
		};
	}

	exportLimits(): limitTypes.ImageLimits {
		return {};
	}

	restore(): number {
		return 0;
	}
}
