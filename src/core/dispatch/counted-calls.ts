/** Counts calls to workers by kind. */
import type * as fleet from '../fleet/types.js';
import type * as meters from './load-meter.js';

/** Wraps calls so that `meter` counts each poll, stop and pace command that is sent. */
export function countCalls(calls: fleet.WorkerCalls, meter: meters.LoadMeter): fleet.WorkerCalls {
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
