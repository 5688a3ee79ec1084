/** Real boxes against a stand-in of the users' platform. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as undici from 'undici';
import * as boxes from '../stand-ins/box-process.js';
import * as users from '../stand-ins/users-platform/server.js';

const host = 'proofs.example';
const body = { spec: 'a proof', steps: [{ count: 2, cpu: 500, mem_mb: 100, estimate_ms: 100 }] };

interface Reply {
	status: number;
	body: Record<string, unknown>;
	retryAfter: string | undefined;
}

async function call(callers: string, method: string, tail: string, sent?: unknown): Promise<Reply> {
	const res = await undici.request(`http://${callers}/jobs/${tail}`, {
		method,
		headers: { host, 'content-type': 'application/json' },
		body: typeof sent === 'string' ? sent : sent === undefined ? null : JSON.stringify(sent),
	});
	const text = await res.body.text();
	const retryAfter = res.headers['retry-after'];
	return {
		status: res.statusCode,
		body: (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>,
		retryAfter: typeof retryAfter === 'string' ? retryAfter : undefined,
	};
}

interface Setup {
	platform: users.UsersPlatform;
	start: (box: string) => Promise<boxes.BoxProcess>;
	/** Starts a box that becomes owner, and then another that finds it. */
	startTwo: () => Promise<{ owner: boxes.BoxProcess; other: boxes.BoxProcess }>;
}

async function setUp(t: { teardown: (fn: () => Promise<void>) => void }): Promise<Setup> {
	const platform = users.UsersPlatform.create({ plan: () => ({ ms: 150, how: 'done' }) });
	const storeAddress = await platform.startStore();
	await platform.startWorker('i-1', (address) => address);
	platform.configure(3, host);
	const started: boxes.BoxProcess[] = [];
	t.teardown(async () => {
		await Promise.all(started.map((box) => box.kill()));
		platform.close();
	});
	const start = async (box: string): Promise<boxes.BoxProcess> => {
		const one = await boxes.BoxProcess.create(box, storeAddress);
		started.push(one);
		await one.logged((line) => line.name === 'config.applied');
		return one;
	};
	const startTwo: Setup['startTwo'] = async () => {
		const owner = await start('entry-1');
		await owner.logged((line) => line.name === 'owner.taken');
		const other = await start('entry-2');
		await other.logged((line) => line.name === 'owner.found');
		return { owner, other };
	};
	return { platform, start, startTwo };
}

function ended(box: boxes.BoxProcess, job: string): Promise<boxes.LogLine> {
	return box.logged((line) => line.name === 'job.ended' && line.fields.job === job);
}

/** Asks a box for a job's state until it is told that the job is completed. */
async function completed(box: boxes.BoxProcess, job: string): Promise<void> {
	let state = '';
	while (state !== 'completed') state = String((await call(box.callers, 'GET', job)).body.state);
}

test('a job handed in at one box is run by the other, and both tell its state', async (t) => {
	const { platform, startTwo } = await setUp(t);
	const { owner, other } = await startTwo();
	const id = '00000000000000a1';
	t.is((await call(other.callers, 'POST', id, body)).status, 200);
	t.is((await call(owner.callers, 'POST', id, body)).status, 200);
	await ended(owner, id);
	// The end is told once it is stored, some milliseconds after it was seen.
	await completed(other, id);
	t.is(platform.fleet.starts.length, 2);
	t.deepEqual((await call(owner.callers, 'GET', '')).body, { pending: 0 });
	t.is((await call(other.callers, 'GET', '00000000000000ff')).status, 410);
});

test('bad input is turned away at once and nothing is stored', async (t) => {
	const { platform, start } = await setUp(t);
	const box = await start('entry-1');
	const before = platform.store.keys().filter((key) => key.includes('/jobs/'));
	const id = '00000000000000b1';
	const step = body.steps[0];
	const tries: [string, string, unknown][] = [
		['no JSON', id, '{'],
		['no steps', id, { spec: 'x', steps: [] }],
		['a step after itself', id, { spec: 'x', steps: [{ ...step, after: [0] }] }],
		['a step after a later one', id, { spec: 'x', steps: [{ ...step, after: [1] }, step] }],
		['no task', id, { spec: 'x', steps: [{ ...step, count: 0 }] }],
		['a long text', id, { spec: 'x'.repeat(5_000), steps: body.steps }],
		['a large body', id, { spec: 'x', steps: body.steps, more: 'x'.repeat(70_000) }],
		['no id', 'not-an-id', body],
	];
	const replies: [string, number, unknown][] = [];
	for (const [what, tail, sent] of tries) {
		const reply = await call(box.callers, 'POST', tail, sent);
		replies.push([what, reply.status, reply.body.detail]);
	}
	t.snapshot(replies);
	t.deepEqual(
		platform.store.keys().filter((key) => key.includes('/jobs/')),
		before,
	);
});

test('without the store nothing is accepted, the answer says so at once, and service comes back', async (t) => {
	const { platform, start } = await setUp(t);
	const box = await start('entry-1');
	await box.logged((line) => line.name === 'owner.taken');
	platform.storeFault = 'down';
	const refused = await call(box.callers, 'POST', '00000000000000c1', body);
	t.is(refused.status, 503);
	t.is(refused.body.notRun, true);
	t.is(refused.retryAfter, '1');
	platform.storeFault = 'none';
	await box.logged((line) => line.name === 'store.regained');
	t.is((await call(box.callers, 'POST', '00000000000000c2', body)).status, 200);
	await ended(box, '00000000000000c2');
	t.false(platform.fleet.starts.some((one) => one.task.startsWith('00000000000000c1')));
});

test('when the owner is killed another box goes on, and no task runs twice', async (t) => {
	const { platform, startTwo } = await setUp(t);
	const { owner: first, other: second } = await startTwo();
	const id = '00000000000000d1';
	t.is((await call(second.callers, 'POST', id, body)).status, 200);
	await first.logged((line) => line.name === 'task.placed');
	await first.kill();
	await second.logged((line) => line.name === 'owner.taken');
	await completed(second, id);
	const starts = platform.fleet.starts.map((one) => one.task);
	t.deepEqual([...starts].sort(), [...new Set(starts)].sort());
});

test('a planned stop hands the dispatching over and ends with status 0', async (t) => {
	const { startTwo } = await setUp(t);
	const { owner: first, other: second } = await startTwo();
	const ending = first.kill('SIGTERM');
	await second.logged((line) => line.name === 'owner.taken');
	t.is((await call(second.callers, 'POST', '00000000000000e1', body)).status, 200);
	t.is(await ending, 0);
});

test('a settings file that can not be used ends the process with the name of the field', (t) => {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'woodcross-test-'));
	t.teardown(() => {
		fs.rmSync(folder, { recursive: true, force: true });
	});
	const file = path.join(folder, 'box.yaml');
	fs.writeFileSync(
		file,
		boxes.settingsText('entry-1', '127.0.0.1:1').replace('front: "127.0.0.1:0"', 'front: 7'),
	);
	const run = childProcess.spawnSync(process.execPath, ['dist/src/cli/box/main.js'], {
		env: { ...process.env, WOODCROSS_NODE_FILE: file },
		encoding: 'utf8',
	});
	t.is(run.status, 2);
	t.true(run.stderr.includes('listen.front'));
});
