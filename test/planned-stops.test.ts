/** Boxes that are told to stop at moments at which a signal could end the process at once. */
import events from 'node:events';
import test from 'ava';
import * as realBoxes from './fixtures/real-boxes.js';
import type * as boxes from '../stand-ins/box-process.js';

/** Sends a request that a box answers by itself. */
function requestUnknownPath(box: boxes.BoxProcess): Promise<realBoxes.Reply> {
	return realBoxes.call(box.callers, 'GET', '', undefined, '/no-such-queue/');
}

const preloadUrl = new URL('./fixtures/stopped-as-it-listens.js', import.meta.url).href;

// Guards against aborted requests: a signal without a handler ended the process while its address was already open.
test('a box that is told to stop as it starts to listen still answers callers and exits cleanly', async (t) => {
	const { start } = await realBoxes.setUp(t);
	const box = await start('entry-1', preloadUrl);
	const ended = events.once(box.process, 'exit');
	t.is((await requestUnknownPath(box)).status, 404);
	t.deepEqual(await ended, [0, null]);
});

// Guards against aborted requests: the second SIGTERM ended the process at once.
test('a box that is told to stop twice still answers callers and exits cleanly', async (t) => {
	const { start } = await realBoxes.setUp(t);
	const box = await start('entry-1');
	const ended = events.once(box.process, 'exit');
	box.process.kill('SIGTERM');
	await box.waitForLine((line) => line.name === 'process.stopping');
	box.process.kill('SIGTERM');
	t.is((await requestUnknownPath(box)).status, 404);
	t.deepEqual(await ended, [0, null]);
});
