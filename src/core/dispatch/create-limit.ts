/** Creates the limit on preemptible work that the features in force name. */
import * as adaptive from './preemptible-limits.js';
import * as dueTime from './due-time-limit.js';
import * as fixed from './fixed-limit.js';
import * as remaining from './remaining-work.js';
import type * as forecasts from '../forecast/index.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as limitTypes from './limit-types.js';
import type * as options from './options.js';

/** Runs are expected to take the corrected times of `runTimes`. */
export function createLimit(
	opts: options.DispatcherOptions,
	estimates: interference.InterferenceModel,
	runTimes: Pick<forecasts.RunTimes, 'expectedMs'>,
): limitTypes.PreemptibleLimit {
	const fixedLimit = fixed.FixedLimit.create(estimates);
	const { preemptibleLimit = 'fixed' } = opts.features ?? {};
	if (preemptibleLimit === 'fixed') return fixedLimit;
	const expectedMs = ({ spec, job }: jobs.StepInstance): number => {
		if (spec.lasting) return Infinity;
		const { queue } = job.record;
		return runTimes.expectedMs(queue.name, spec);
	};
	const adaptiveLimit = adaptive.AdaptiveLimit.create({ ...opts, estimates, expectedMs });
	if (preemptibleLimit === 'adaptive') return adaptiveLimit;
	return dueTime.DueTimeLimit.create({
		now: () => opts.clock.now(),
		patient: adaptiveLimit,
		pressing: fixedLimit,
		expectedMs,
		chainMs: (step) => remaining.remainingWork(step, expectedMs).chainMs,
	});
}
