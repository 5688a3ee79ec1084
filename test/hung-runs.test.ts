/**
 * Guards against healthy runs that are stopped as hung, and their workers quarantined, because report requests to those
 * workers have no answer.
 */
import test from 'ava';
import * as results from '../src/core/result.js';
import * as settings from '../src/core/dispatch/settings.js';
import * as fixtures from './fixtures/dispatching.js';

/** How long report requests have no answer, in milliseconds. */
const unansweredMs = 2 * settings.hungAfterMs;

/** Number of stops of runs that were presumed hung. */
function countHungStops(owner: fixtures.TestOwner): number {
	const stops = owner.events.select(({ name }) => name === 'task.stop');
	return stops.filter(({ fields }) => fields.reason === 'hangs').length;
}

/** A worker whose runs report this progress; commands to it are answered all the while. */
async function startOne(percent: number) {
	const environment = fixtures.createEnvironment((task) => ({
		ms: task.startsWith('brief') ? 100 : 60_000,
		how: 'done',
		percent,
	}));
	const { clock } = environment;
	const w1 = environment.fleet.add('w1');
	const owner = await environment.takeOver();
	await clock.advance(1_200);
	const sendCommands = async (forMs: number): Promise<void> => {
		const endsAt = clock.now() + forMs;
		while (clock.now() < endsAt) {
			await environment.submit(owner, fixtures.job(`brief${String(clock.now())}`, [fixtures.step()]));
			await clock.advance(300);
		}
	};
	return { ...environment, w1, owner, sendCommands };
}

test('a run is not presumed hung while nothing is reported of it', async (t) => {
	const environment = await startOne(40);
	const { clock, w1, owner, sendCommands } = environment;
	const hold = w1.handleReportRequest.bind(w1);
	w1.handleReportRequest = () => results.fail({ kind: 'no-answer', reason: 'late' });
	await environment.submit(owner, fixtures.job('job1', [fixtures.step()]));
	await sendCommands(unansweredMs);
	w1.handleReportRequest = hold;
	await clock.advance(settings.hungAfterMs);
	t.is(countHungStops(owner), 0);
	t.true(w1.running.has('job1.0.0.0'));
	owner.dispatcher.close();
});

test('a run that a worker repeatedly reports without progress is presumed hung', async (t) => {
	const environment = await startOne(40);
	await environment.submit(environment.owner, fixtures.job('job1', [fixtures.step()]));
	await environment.sendCommands(2 * settings.hungAfterMs);
	t.is(countHungStops(environment.owner), 1);
	environment.owner.dispatcher.close();
});
