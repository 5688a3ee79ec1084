/** Creates the limit on preemptible work that the features in force name. */
import * as adaptive from './preemptible-limits.js';
import * as fixed from './fixed-limit.js';
import type * as interference from './interference.js';
import type * as limitTypes from './limit-types.js';
import type * as options from './options.js';

/** Without run times, the callers' estimates count as they are. */
export function createLimit(
	opts: options.DispatcherOptions,
	estimates: interference.InterferenceModel,
): limitTypes.PreemptibleLimit {
	if (opts.features?.preemptibleLimit !== 'adaptive') return fixed.FixedLimit.create(estimates);
	return adaptive.AdaptiveLimit.create({
		...opts,
		estimates,
		expectedMs: ({ spec, job }) => {
			if (spec.lasting) return Infinity;
			const { queue } = job.record;
			return opts.runTimes?.expectedMs(queue.name, spec) ?? spec.estimateMs;
		},
	});
}
