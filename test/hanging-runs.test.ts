/**
 * Guards against healthy runs that are stopped as hung, and their workers quarantined, because report requests to those
 * workers have no answer.
 */
import test from 'ava';
import * as results from '../src/core/result.js';
import * as settings from '../src/core/dispatch/settings.js';
import * as world from './fixtures/dispatching.js';

/** How long report requests have no answer, in milliseconds. */
const unheardMs = 2 * settings.hungAfterMs;

/** Number of stops of runs that were presumed hung. */
function hanging(owner: world.TestOwner): number {
	const stops = owner.events.select(({ name }) => name === 'task.stop');
	return stops.filter(({ fields }) => fields.reason === 'hangs').length;
}

/** A worker whose runs report this progress; commands to it are answered all the while. */
async function runOne(percent: number) {
	const made = world.createWorld((task) => ({
		ms: task.startsWith('brief') ? 100 : 60_000,
		how: 'done',
		percent,
	}));
	const { clock } = made;
	const w1 = made.fleet.add('w1');
	const owner = await made.takeOver();
	await clock.pass(1_200);
	const orders = async (forMs: number): Promise<void> => {
		const endsAt = clock.now() + forMs;
		while (clock.now() < endsAt) {
			await made.submit(owner, world.job(`brief${String(clock.now())}`, [world.step()]));
			await clock.pass(300);
		}
	};
	return { ...made, w1, owner, orders };
}

test('a run is not presumed hung while nothing is reported of it', async (t) => {
	const made = await runOne(40);
	const { clock, w1, owner, orders } = made;
	const hold = w1.hold.bind(w1);
	w1.hold = () => results.fail({ kind: 'no-answer', reason: 'late' });
	await made.submit(owner, world.job('job1', [world.step()]));
	await orders(unheardMs);
	w1.hold = hold;
	await clock.pass(settings.hungAfterMs);
	t.is(hanging(owner), 0);
	t.true(w1.running.has('job1.0.0.0'));
	owner.dispatcher.close();
});

test('a run that a worker repeatedly reports without progress is presumed hung', async (t) => {
	const made = await runOne(40);
	await made.submit(made.owner, world.job('job1', [world.step()]));
	await made.orders(2 * settings.hungAfterMs);
	t.is(hanging(made.owner), 1);
	made.owner.dispatcher.close();
});
