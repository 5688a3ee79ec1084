/** Concurrent operators, mass cancellations, workers that fail every task, jobs that can never run, and invalid input. */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as clusters from '../dev/cluster.js';
import * as fixtures from './fixtures/clusters.js';
import * as operate from '../dev/operate.js';
import * as processes from '../dev/processes.js';
import * as wire from '../src/core/wire/index.js';

const options: clusters.ClusterOptions = {
	zones: ['rennes'],
	entriesPerZone: 1,
	schedulersPerZone: 1,
	backendsPerZone: 1,
	workersPerZone: 4,
	schedulerFlags: operate.shortTimeoutFlags,
};

const operators = 10;

test.serial(
	'ten operators race with answers lost: accepted changes never revert, each submit makes one job',
	async (t) => {
		const { cluster, client } = await fixtures.startReady(t, { ...options, schedulersPerZone: 2 });
		await cluster.platformFault({ dropAnswerEvery: 3 });
		const raced = Array.from({ length: operators }, async (_, index) => {
			const set = await client.call(
				'setConfig',
				{ key: 'entry.queuePerSlot', value: String(index), by: `operator ${index}`, seenVersion: 0 },
				30_000,
			);
			const job = await client.call(
				'submit',
				{ specJson: JSON.stringify(operate.batchSpec('same', 2, 300)) },
				30_000,
			);
			const acceptedAt = Date.now();
			return { set, job, acceptedAt };
		});
		const done = await Promise.all(raced);
		await cluster.platformFault({});
		const accepted = done.flatMap((one) => (one.set.ok ? [one.set.value.version] : []));
		const config = await client.call('getConfig', {});
		t.true(config.ok);
		if (!config.ok) return;
		// Each accepted change is in the history under its own version, and none is there twice.
		t.is(new Set(accepted).size, accepted.length);
		const by = config.value.history.map((change) => change.by);
		t.is(new Set(by).size, by.length);
		t.true(accepted.every((version) => config.value.history.some((change) => change.version === version)));
		await operate.waitUntil(
			'in force everywhere',
			async () => {
				const res = await client.call('boxes', {});
				return res.ok && res.value.boxes.every((box) => box.configVersion === config.value.version);
			},
			4000,
		);
		t.is(done.filter((one) => one.job.ok && one.job.value.parts[0]?.created === true).length <= 1, true);
		await operate.waitForJobState(client, 'press/same', 'finished');
		client.close();
	},
);

test.serial('1,000 tasks are cancelled at once: all stop, other work goes on', async (t) => {
	const { cluster, client } = await fixtures.startReady(t, options);
	const small = { needs: { cores: 0.1, memoryMb: 64 } };
	await operate.submit(client, operate.batchSpec('wave', 1000, 600_000, small));
	const started = (): number =>
		cluster.workers.flatMap((box) => box.process.jsonLines.filter((line) => line.journal !== undefined))
			.length;
	await operate.waitUntil('all started', () => started() === 1000);
	const cancelled = await client.call('cancel', { job: 'press/wave' });
	t.true(cancelled.ok);
	await operate.submit(client, operate.batchSpec('other', 2, 100, small));
	await operate.waitForJobState(client, 'press/other', 'finished');
	await operate.waitForJobState(client, 'press/wave', 'cancelled');
	const explained = await client.call('explain', { task: 'press/wave/7' });
	t.true(explained.ok && explained.value.state === 'cancelled');
	client.close();
});

test.serial(
	'a worker that fails everything is quarantined with evidence; jobs finish elsewhere',
	async (t) => {
		const { cluster, client } = await fixtures.startReady(t, options);
		const failingWorker = cluster.workers[0];
		if (failingWorker === undefined) return;
		await clusters.post(failingWorker.address, '/fault', { failAll: true });
		const names = ['a', 'b', 'c', 'd', 'e', 'f'];
		for (const name of names) await operate.submit(client, operate.batchSpec(name, 4, 200));
		const states = async (): Promise<string[]> =>
			Promise.all(names.map((name) => operate.jobState(client, `press/${name}`)));
		await operate.waitUntil('all jobs finished', async () =>
			(await states()).every((state) => state === 'finished'),
		);
		const status = await client.call('status', { team: '' });
		client.close();
		const found = status.ok
			? status.value.shards.flatMap((shard) => shard.workers).find((one) => one.id === failingWorker.id)
			: undefined;
		t.is(found?.state, 'in quarantine');
	},
);

test.serial('jobs that can never run: refused at once, or failed for good with the evidence', async (t) => {
	const { client } = await fixtures.startReady(t, options);
	const huge = await client.call('submit', {
		specJson: JSON.stringify(operate.batchSpec('huge', 1, 10, { needs: { cores: 64, memoryMb: 1 } })),
	});
	t.is(huge.ok ? 'accepted' : huge.err.name, 'NeverFits');
	const broken = await client.call('submit', {
		specJson: '{"team": "press", "name": "x", "kind": "batch", "tasks": 0}',
	});
	t.snapshot(broken.ok ? 'accepted' : broken.err.message);
	await operate.submit(client, operate.batchSpec('fails', 1, 100, { run: { fails: true } }));
	await operate.waitForJobState(client, 'press/fails', 'failed');
	const explained = await client.call('explain', { task: 'press/fails/0' });
	t.true(explained.ok);
	const failures = explained.ok ? explained.value.failures : [];
	t.is(new Set(failures.map((one) => one.worker)).size, 3);
	client.close();
});

test.serial(
	'a peer that sends nonsense is cut off and told of in the log; the process goes on',
	async (t) => {
		const { cluster, client } = await fixtures.startReady(t, options);
		const program = cluster.programsOf('scheduler')[0];
		if (program === undefined) return;
		const tooLong = Buffer.from([0xff, 0xff, 0xff, 0xff, 1]);
		const notCbor = Buffer.concat([Buffer.from([0, 0, 0, 2]), Buffer.from([0xff, 0xff])]);
		const notEnvelope = wire.encodeFrame({ hello: 1 });
		const badRequest = wire.encodeFrame({
			id: 1,
			stamp: { ms: 1, count: 1 },
			kind: 'req',
			body: { type: 'shard.submit', shard: 5 },
		});
		for (const bytes of [tooLong, notCbor, notEnvelope, badRequest]) await sendRaw(program.peer, bytes);
		const reasons = (): string[] =>
			program.process.jsonLines
				.filter((line) => line.name === 'wire.rejected')
				.map((line) => (line.fields as { reason: string }).reason);
		// The log and the connections reach this process independently of each other; a fifth line would show in the
		// snapshot.
		await operate.waitUntil('every connection is told of', () => Promise.resolve(reasons().length >= 4));
		t.snapshot(reasons());
		await operate.submit(client, operate.batchSpec('after', 1, 10));
		await operate.waitForJobState(client, 'press/after', 'finished');
		client.close();
	},
);

/** Sends bytes and resolves once the other side has closed the connection. */
function sendRaw(address: string, bytes: Buffer): Promise<void> {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		const socket = net.connect(Number(port), host ?? '');
		socket.on('error', () => socket.destroy());
		socket.on('close', () => {
			resolve();
		});
		socket.write(bytes);
	});
}

/** Runs a program until it exits. */
async function runToEnd(
	relative: string,
	args: string[],
): Promise<{ code: number | null; errors: string[] }> {
	const started = processes.start('binary', relative, args);
	const code = await new Promise<number | null>((resolve) => started.child.once('close', resolve));
	return { code, errors: started.stderrLines };
}

test('a bad setting names itself, the value and what was expected, and exits 2', async (t) => {
	const good = ['--box', 'b1', '--zone', 'rennes', '--zones', 'rennes', '--platform', 'http://127.0.0.1:1'];
	const cases = [
		['scheduler', [...good, '--lease-ms', 'soon']],
		['scheduler', [...good, '--writes-per-s', '-5']],
		['entry', good.slice(2)],
		['entry', [...good, '--http-listen', 'nowhere']],
		['operator', [...good, '--platform', 'ftp://x']],
		['operator', [...good, '--colour', 'blue']],
	] as const;
	for (const [name, args] of cases) {
		const { code, errors } = await runToEnd(`src/cli/${name}/main.js`, [...args]);
		t.is(code, 2, `${name} ${args.join(' ')}`);
		t.snapshot(errors.filter((line) => line.includes('--')).map((line) => line.trim()));
	}
});

test('a file that is no declaration is refused with its line, and nothing is sent', async (t) => {
	const file = path.join(fs.mkdtempSync(path.join(os.tmpdir(), 'woodcross-')), 'job.yaml');
	fs.writeFileSync(file, 'team: press\nname: [unclosed\nkind: batch\n');
	const { code, errors } = await runToEnd('src/cli/woodcross/main.js', [
		'submit',
		file,
		'--operator',
		'127.0.0.1:1',
	]);
	t.is(code, 2);
	t.regex(errors.join('\n'), /job\.yaml:\d+:/);
	t.regex(errors.join('\n'), /Nothing was stored/);
});
