/** What is left to do of a job, by corrected run times. */
import type * as jobs from '../jobs/index.js';

/** Expected time of one run of a step's tasks, in milliseconds. */
export type ExpectedRunMs = (step: jobs.StepInstance) => number;

/** Work that is left of one occurrence of a job, from one of its steps on. */
export interface RemainingWork {
	/** Length of the longest chain of dependent steps that begins with the step, in milliseconds. */
	chainMs: number;
	/** Unfinished tasks of all steps of the occurrence, in core-milliseconds. */
	coreMs: number;
}

/** Work that is left of a step's occurrence. */
export function remainingWork(step: jobs.StepInstance, expectedRunMs: ExpectedRunMs): RemainingWork {
	const steps = step.job.steps.filter((one) => one.occurrence === step.occurrence);
	let coreMs = 0;
	for (const one of steps) coreMs += coreMsOf(one, one.unfinished, expectedRunMs);
	return { chainMs: chainMs(step, steps, expectedRunMs), coreMs };
}

/** Work of some tasks of a step, in core-milliseconds. */
export function coreMsOf(step: jobs.StepInstance, tasks: number, expectedRunMs: ExpectedRunMs): number {
	return (tasks * step.spec.milliCores * expectedRunMs(step)) / 1_000;
}

/** Length of the longest chain from a step on. Steps depend on earlier ones only, so one pass over them suffices. */
function chainMs(
	first: jobs.StepInstance,
	steps: readonly jobs.StepInstance[],
	expectedRunMs: ExpectedRunMs,
): number {
	const finishTimes = new Map([[first.number, expectedRunMs(first)]]);
	for (const step of steps) {
		const starts = step.spec.after.flatMap((number) => finishTimes.get(number) ?? []);
		if (starts.length > 0) finishTimes.set(step.number, Math.max(...starts) + expectedRunMs(step));
	}
	return Math.max(...finishTimes.values());
}
