/** Counts calls to workers by kind. */
import * as callRepeater from './call-repeater.js';
import type * as clocks from '../clock.js';
import type * as fleet from '../fleet/types.js';
import type * as meters from './load-meter.js';

/** Wraps calls so that they are repeated if they are overtaken, and so that `meter` counts the repeats and what is sent. */
export function repeatAndCount(
	calls: fleet.WorkerCalls,
	clock: clocks.Clock,
	meter: meters.LoadMeter,
): fleet.WorkerCalls {
	const repeated = callRepeater.repeatCalls(calls, clock, () => {
		meter.count('repeats');
	});
	return countCalls(repeated, meter);
}

/** Wraps calls so that `meter` counts each poll, stop and pace command that is sent. */
function countCalls(calls: fleet.WorkerCalls, meter: meters.LoadMeter): fleet.WorkerCalls {
	return {
		...calls,
		requestReport: (at, request) => {
			meter.count('holds');
			return calls.requestReport(at, request);
		},
		stop: (at, task, run, token) => {
			meter.count('stops');
			return calls.stop(at, task, run, token);
		},
		pace: (at, task, run, percent, token) => {
			meter.count('paces');
			return calls.pace(at, task, run, percent, token);
		},
	};
}
