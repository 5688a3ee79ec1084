/** Real boxes against a stand-in of the users' platform. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as boxes from '../stand-ins/box-process.js';
import * as realBoxes from './fixtures/real-boxes.js';

test('a job handed in at one box is run by the other, and both tell its state', async (t) => {
	const { platform, startTwo } = await realBoxes.setUp(t);
	const { owner, other } = await startTwo();
	const id = '00000000000000a1';
	t.is((await realBoxes.call(other.callers, 'POST', id, realBoxes.jobBody)).status, 200);
	t.is((await realBoxes.call(owner.callers, 'POST', id, realBoxes.jobBody)).status, 200);
	await realBoxes.waitUntilEnded(owner, id);
	// The end of a job is reported once it is stored, some milliseconds after the owner noticed it.
	await realBoxes.waitUntilCompleted(other, id);
	t.is(platform.fleet.starts.length, 2);
	t.deepEqual((await realBoxes.call(owner.callers, 'GET', '')).body, { pending: 0 });
	t.is((await realBoxes.call(other.callers, 'GET', '00000000000000ff')).status, 410);
});

test('bad input is turned away at once and nothing is stored', async (t) => {
	const { platform, start } = await realBoxes.setUp(t);
	const box = await start('entry-1');
	const before = platform.store.keys().filter((key) => key.includes('/jobs/'));
	const id = '00000000000000b1';
	const step = realBoxes.jobBody.steps[0];
	const cases: [string, string, unknown][] = [
		['no JSON', id, '{'],
		['no steps', id, { spec: 'x', steps: [] }],
		['a step after itself', id, { spec: 'x', steps: [{ ...step, after: [0] }] }],
		['a step after a later one', id, { spec: 'x', steps: [{ ...step, after: [1] }, step] }],
		['no task', id, { spec: 'x', steps: [{ ...step, count: 0 }] }],
		['a long text', id, { spec: 'x'.repeat(5_000), steps: realBoxes.jobBody.steps }],
		['a large body', id, { spec: 'x', steps: realBoxes.jobBody.steps, more: 'x'.repeat(70_000) }],
		['no id', 'not-an-id', realBoxes.jobBody],
	];
	const replies: [string, number, unknown][] = [];
	for (const [what, tail, sent] of cases) {
		const reply = await realBoxes.call(box.callers, 'POST', tail, sent);
		replies.push([what, reply.status, reply.body.detail]);
	}
	t.snapshot(replies);
	t.deepEqual(
		platform.store.keys().filter((key) => key.includes('/jobs/')),
		before,
	);
});

test('without the store nothing is accepted, the answer says so at once, and service comes back', async (t) => {
	const { platform, start } = await realBoxes.setUp(t);
	const box = await start('entry-1');
	await box.waitForLine((line) => line.name === 'owner.taken');
	platform.storeFault = 'down';
	const refused = await realBoxes.call(box.callers, 'POST', '00000000000000c1', realBoxes.jobBody);
	t.is(refused.status, 503);
	t.is(refused.body.notRun, true);
	t.is(refused.retryAfter, '1');
	platform.storeFault = 'none';
	await box.waitForLine((line) => line.name === 'store.regained');
	t.is((await realBoxes.call(box.callers, 'POST', '00000000000000c2', realBoxes.jobBody)).status, 200);
	await realBoxes.waitUntilEnded(box, '00000000000000c2');
	t.false(platform.fleet.starts.some((one) => one.task.startsWith('00000000000000c1')));
});

test('when the owner is killed another box goes on, and no task runs twice', async (t) => {
	const { platform, startTwo } = await realBoxes.setUp(t);
	const { owner: first, other: second } = await startTwo();
	const id = '00000000000000d1';
	t.is((await realBoxes.call(second.callers, 'POST', id, realBoxes.jobBody)).status, 200);
	await first.waitForLine((line) => line.name === 'task.placed');
	await first.kill();
	await second.waitForLine((line) => line.name === 'owner.taken');
	await realBoxes.waitUntilCompleted(second, id);
	const starts = platform.fleet.starts.map((one) => one.task);
	t.deepEqual([...starts].sort(), [...new Set(starts)].sort());
});

test('a planned stop hands the dispatching over and ends with status 0', async (t) => {
	const { startTwo } = await realBoxes.setUp(t);
	const { owner: first, other: second } = await startTwo();
	const exiting = first.kill('SIGTERM');
	await second.waitForLine((line) => line.name === 'owner.taken');
	t.is((await realBoxes.call(second.callers, 'POST', '00000000000000e1', realBoxes.jobBody)).status, 200);
	t.is(await exiting, 0);
});

test('a settings file that can not be used ends the process with the name of the field', (t) => {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'woodcross-test-'));
	t.teardown(() => {
		fs.rmSync(folder, { recursive: true, force: true });
	});
	const file = path.join(folder, 'box.yaml');
	fs.writeFileSync(
		file,
		boxes.createSettings('entry-1', '127.0.0.1:1').replace('front: "127.0.0.1:0"', 'front: 7'),
	);
	const run = childProcess.spawnSync(process.execPath, ['dist/src/cli/box/main.js'], {
		env: { ...process.env, WOODCROSS_NODE_FILE: file },
		encoding: 'utf8',
	});
	t.is(run.status, 2);
	t.true(run.stderr.includes('listen.front'));
});
