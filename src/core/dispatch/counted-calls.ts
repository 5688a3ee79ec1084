/** Counts calls to workers by kind. */
import * as callRepeater from './call-repeater.js';
import type * as fleet from '../fleet/types.js';
import type * as meters from './load-meter.js';
import type * as types from './types.js';

/**
 * Wraps calls so that they are repeated if they are overtaken, and so that `meter` counts the repeats and what is sent.
 * Repeated starts are logged. `isClosed`: whether the owner sends nothing more.
 */
export function repeatAndCount(
	{ calls, clock, events }: Pick<types.DispatchDeps, 'calls' | 'clock' | 'events'>,
	meter: meters.LoadMeter,
	isClosed: () => boolean,
): fleet.WorkerCalls {
	const repeated = callRepeater.repeatCalls(calls, clock, {
		isClosed,
		onRepeat: () => {
			meter.count('repeats');
		},
		onStartRepeated: ({ id: worker }, { task, run }, copies) => {
			events.emit('start.repeated', { task, run, worker, copies });
		},
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
