/** Boxes that are told to stop in moments in which that used to end them at once. */
import events from 'node:events';
import test from 'ava';
import * as realBoxes from './fixtures/real-boxes.js';
import type * as boxes from '../stand-ins/box-process.js';

/** A question that a box answers by itself. */
function requestUnknownPath(box: boxes.BoxProcess): Promise<realBoxes.Reply> {
	return realBoxes.call(box.callers, 'GET', '', undefined, '/no-such-queue/');
}

const preloadUrl = new URL('./fixtures/stopped-as-it-listens.js', import.meta.url).href;

// Guards against requests that are cut off: a signal ended the process that nobody took, while its address was open already.
test('a box that is told to stop as it opens its address answers callers and ends as planned', async (t) => {
	const { start } = await realBoxes.setUp(t);
	const box = await start('entry-1', preloadUrl);
	const ended = events.once(box.process, 'exit');
	t.is((await requestUnknownPath(box)).status, 404);
	t.deepEqual(await ended, [0, null]);
});

// Guards against requests that are cut off: the second SIGTERM ended the process at once.
test('a box that is told to stop twice goes on answering callers and ends as planned', async (t) => {
	const { start } = await realBoxes.setUp(t);
	const box = await start('entry-1');
	const ended = events.once(box.process, 'exit');
	box.process.kill('SIGTERM');
	await box.logged((line) => line.name === 'process.stopping');
	box.process.kill('SIGTERM');
	t.is((await requestUnknownPath(box)).status, 404);
	t.deepEqual(await ended, [0, null]);
});
