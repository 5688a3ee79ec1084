/** Creates the limit on preemptible work that the features in force name. */
import * as adaptive from './preemptible-limits.js';
import * as fixed from './fixed-limit.js';
import type * as forecasts from '../forecast/index.js';
import type * as interference from './interference.js';
import type * as limitTypes from './limit-types.js';
import type * as options from './options.js';

/** Runs are expected to take the corrected times of `runTimes`. */
export function createLimit(
	opts: options.DispatcherOptions,
	estimates: interference.InterferenceModel,
	runTimes: Pick<forecasts.RunTimes, 'expectedMs'>,
): limitTypes.PreemptibleLimit {
	if (opts.features?.preemptibleLimit !== 'adaptive') return fixed.FixedLimit.create(estimates);
	return adaptive.AdaptiveLimit.create({
		...opts,
		estimates,
		expectedMs: ({ spec, job }) => {
			const { queue } = job.record;
			return runTimes.expectedMs(queue.name, spec);
		},
	});
}
