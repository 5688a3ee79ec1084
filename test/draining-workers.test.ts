/** Workers that begin to drain while a start is in flight to them. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';

test('a start without an answer is not repeated at a worker that has begun to drain meanwhile', async (t) => {
	const { environment, owner, w1 } = await fixtures.leaveStartUnanswered(fixtures.step());
	const { clock, fleet } = environment;
	owner.dispatcher.setWorkers([{ ...w1.entry, draining: true, remainingMs: 60_000 }], [], false);
	w1.fault = 'none';
	const w2 = fleet.add('w2');
	owner.dispatcher.setWorkers([w2.entry], [], false);
	await clock.advance(5_000);
	t.deepEqual(
		fleet.starts.map((one) => one.worker),
		['w2'],
	);
	owner.dispatcher.close();
});
