/** Guards against jobs that miss their due time for a load trough, and against ones that could wait and don't. */
import test from 'ava';
import * as dueTimeLimit from '../src/core/dispatch/due-time-limit.js';
import * as fixedLimit from '../src/core/dispatch/fixed-limit.js';
import * as fixtures from './fixtures/dispatching.js';
import * as interference from '../src/core/dispatch/interference.js';
import * as jobs from '../src/core/jobs/index.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import type * as limitTypes from '../src/core/dispatch/limit-types.js';

const runMs = 1_000;

/** A limit that is recognized by its tolerance. */
function limitOf(estimates: interference.InterferenceModel, tolerance: number): limitTypes.PreemptibleLimit {
	return Object.assign(fixedLimit.FixedLimit.create(estimates), { toleranceFor: () => tolerance });
}

test('a task is placed by the fixed limit only while waiting for longer than a run would make its job late', async (t) => {
	const clock = time.VirtualClock.create();
	const estimates = interference.InterferenceModel.create(clock);
	const limit = dueTimeLimit.DueTimeLimit.create({
		now: () => clock.now(),
		patient: limitOf(estimates, 1),
		pressing: limitOf(estimates, 2),
		expectedMs: () => runMs,
		chainMs: () => runMs / 2,
	});
	const options = { cancelled: false, inherited: false, workersStored: true, now: clock.now(), age: 0 };
	const record = fixtures.job('wide', [fixtures.step({ fills: true, estimateMs: runMs })]);
	const job = jobs.ActiveJob.create(record, undefined, options);
	const [task] = job.openNextOccurrence(clock.now());
	if (task === undefined) throw new Error('no task');
	const slackMs = job.dueAt - clock.now() - runMs / 2;
	const toleranceAfter = async (ms: number): Promise<number> => {
		await clock.advance(ms);
		return limit.toleranceFor(task, clock.now());
	};
	t.true(slackMs > runMs);
	t.is(await toleranceAfter(0), 1, 'it can wait for longer than a run');
	t.is(await toleranceAfter(slackMs - runMs / 2), 2, 'it can still be on time, and not wait for a run');
	t.is(await toleranceAfter(runMs), 1, 'it is late whatever is done');
});
