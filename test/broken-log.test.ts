/** Processes whose log is no longer read. */
import * as childProcess from 'node:child_process';
import events from 'node:events';
import test from 'ava';
import * as realBoxes from './fixtures/real-boxes.js';
import type * as stream from 'node:stream';

/** Closes the reading end of a pipe, so that later writes to it fail. */
async function closeReader(output: stream.Readable | null): Promise<void> {
	if (output === null) throw new Error('no pipe');
	const closed = events.once(output, 'close');
	output.destroy();
	await closed;
}

test('a box whose log is no longer read continues to serve, and stops with status 0', async (t) => {
	const { start } = await realBoxes.setUp(t);
	const box = await start('entry-1');
	await closeReader(box.process.stdout);
	for (const id of ['00000000000000a1', '00000000000000a2', '00000000000000a3']) {
		t.is((await realBoxes.call(box.callers, 'POST', id, realBoxes.jobBody)).status, 200);
		t.is((await realBoxes.call(box.callers, 'GET', id)).status, 200);
	}
	t.is(await box.kill('SIGTERM'), 0);
});

test('a process continues when neither its standard output nor its standard error is read any more', async (t) => {
	const child = childProcess.spawn(process.execPath, ['dist/test/fixtures/line-writer.js'], {
		stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
	});
	t.teardown(() => child.kill('SIGKILL'));
	const ended = events.once(child, 'exit').then(() => ['ended']);
	const write = (): Promise<unknown[]> => {
		child.send('write');
		return Promise.race([events.once(child, 'message'), ended]);
	};
	t.is((await write())[0], 'written');
	await closeReader(child.stdout);
	await closeReader(child.stderr);
	for (let number = 0; number < 3; number += 1) t.is((await write())[0], 'written');
});
