/** Real boxes as processes, of which the owner hands over when it is told to stop. */
import events from 'node:events';
import test from 'ava';
import * as realBoxes from './fixtures/real-boxes.js';

// Guards against a gap without an owner at each planned stop, and against boxes that look for the owner in the store.
test('a box that is told to stop dispatches until another one has taken over, and exits cleanly', async (t) => {
	process.env.WOODCROSS_HANDOVER = 'confirmed';
	const { start, startTwo } = await realBoxes.setUp(t);
	const { owner, other } = await startTwo();
	const third = await start('entry-3');
	await third.waitForLine((line) => line.name === 'owner.found');
	const taken = Promise.race(
		[other, third].map(async (box) => {
			await box.waitForLine((line) => line.name === 'owner.taken');
			return box;
		}),
	);
	// Until both have pinged long enough to be named.
	await new Promise((resolve) => setTimeout(resolve, 2_000));
	const ended = events.once(owner.process, 'exit');
	owner.process.kill('SIGTERM');
	const completed = await owner.waitForLine((line) => line.name === 'handover.completed');
	t.is(completed.fields.gapMs, 0);
	const next = await taken;
	const follower = next === other ? third : other;
	await follower.waitForLine((line) => line.name === 'owner.found' && line.fields.generation === 2);
	const id = '00000000000000f1';
	t.is((await realBoxes.call(follower.callers, 'POST', id, realBoxes.jobBody)).status, 200);
	await realBoxes.waitUntilEnded(next, id);
	t.deepEqual(await ended, [0, null]);
	t.is(owner.lines.filter((line) => line.name === 'owner.released').length, 0);
});
