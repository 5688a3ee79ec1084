/**
 * Callers' requests under failures, through real entry boxes. The tests compare answers with what was sent, and count runs
 * in the backend servers' journals.
 */
import test from 'ava';
import * as clusters from '../dev/cluster.js';
import * as callers from './fixtures/callers.js';
import * as operate from '../dev/operate.js';
import * as processes from '../dev/processes.js';

const clusterOptions: clusters.ClusterOptions = {
	zones: ['rennes'],
	entriesPerZone: 2,
	schedulersPerZone: 1,
	backendsPerZone: 3,
	workersPerZone: 1,
	schedulerFlags: operate.shortTimeoutFlags,
};

const callerCount = 200;
const maxBodyBytes = 1024 * 1024;

function firstTwo<T>(items: T[]): [T, T] {
	const [first, second] = items;
	if (first === undefined || second === undefined) throw new Error('two expected');
	return [first, second];
}

async function start(
	t: { teardown: (fn: () => Promise<void>) => void },
	extra: Partial<clusters.ClusterOptions> = {},
): Promise<clusters.Cluster> {
	const cluster = await clusters.Cluster.create({ ...clusterOptions, ...extra });
	t.teardown(() => cluster.close());
	await Promise.all(cluster.programsOf('entry').map(callers.waitUntilReady));
	return cluster;
}

test.serial(
	'200 callers at once with distinct bodies of up to 1 MB each get their own complete answer',
	async (t) => {
		const cluster = await start(t);
		const [first, second] = firstTwo(cluster.programsOf('entry'));
		const wholeAnswers = Array.from({ length: callerCount }, async (_, index) => {
			const size = Math.round((maxBodyBytes * (index + 1)) / callerCount);
			const body = callers.seededBytes(`caller ${index}`, size);
			const id = `caller-${index}`;
			const headers = { 'x-request-id': id, 'x-woodcross-deadline-ms': '60000' };
			const entry = index % 2 === 0 ? first : second;
			let response = await callers.sendRequest(entry, { body, headers });
			// Requests beyond what slots and queue hold are answered as not run. Their callers retry after the time stated.
			while (
				response.problem?.notRun === true &&
				response.problem.type === 'urn:woodcross:error:Overloaded'
			) {
				const wait = response.problem.retryAfterMs;
				await new Promise((resolve) => setTimeout(resolve, wait));
				response = await callers.sendRequest(entry, { body, headers });
			}
			if (response.status !== 200)
				t.log(`${id}: ${response.status} ${response.problem?.type ?? ''} ${response.problem?.detail ?? ''}`);
			return response.status === 200 && response.body.equals(body) && response.headers['x-request-id'] === id;
		});
		const wholeCount = (await Promise.all(wholeAnswers)).filter(Boolean).length;
		t.is(wholeCount, callerCount);
		// "Not run" was true: whatever was refused and retried, each caller's request ran once.
		const runs = await callers.allBackendRuns(cluster);
		t.is(runs.filter((run) => run.id.startsWith('caller-')).length, callerCount);
		t.true(runs.every((run) => run.running <= clusters.backendSlots));
	},
);

for (const [point, expected, runs] of [
	['before', 'may-have-run', 0],
	['after', 'may-have-run', 1],
	['halfway', 'may-have-run', 1],
] as const) {
	test.serial(
		`a backend server disconnects ${point} its answer: never a truncated answer, never a false "not run"`,
		async (t) => {
			const cluster = await start(t);
			const [entry] = firstTwo(cluster.programsOf('entry'));
			const breakAll = { breakNext: point, breakCount: 1 };
			await Promise.all(cluster.backends.map((box) => clusters.post(box.address, '/fault', breakAll)));
			const headers = { 'x-request-id': 'one-booking' };
			const unsafe = await callers.sendRequest(entry, { body: Buffer.from('one booking'), headers });
			t.is(unsafe.status, 502);
			t.is(unsafe.problem?.mayHaveRun === true ? 'may-have-run' : 'not-run', expected);
			const ran = (await callers.allBackendRuns(cluster)).filter((run) => run.id === 'one-booking');
			t.is(ran.length, runs, 'an unsafe request is sent once');
			const safe = await callers.sendRequest(entry, {
				body: Buffer.from('proof'),
				headers: { 'x-woodcross-repeat': 'safe' },
			});
			// Two backend servers still break off their next answer; the retry budget allows one more attempt.
			t.true(safe.status === 200 ? safe.body.toString() === 'proof' : safe.problem?.mayHaveRun === true);
			await Promise.all(cluster.backends.map((box) => clusters.post(box.address, '/fault', {})));
			await operate.waitUntil(
				'whole answers again',
				async () => (await callers.sendRequest(entry, { body: Buffer.from('x') })).body.toString() === 'x',
			);
			t.pass();
		},
	);
}

test.serial(
	'a truncated large answer ends the connection: the caller never presumes it complete',
	async (t) => {
		const cluster = await start(t);
		const [entry] = firstTwo(cluster.programsOf('entry'));
		const whole = await callers.sendRequest(entry, { path: '/proof?size=3000000', body: Buffer.from('a') });
		t.is(whole.body.length, 3_000_000);
		await Promise.all(
			cluster.backends.map((box) =>
				clusters.post(box.address, '/fault', { breakNext: 'halfway', breakCount: 1 }),
			),
		);
		const broken = await callers.sendRequest(entry, { path: '/proof?size=3000000', body: Buffer.from('a') });
		t.true(broken.status === 0 || broken.status === 502);
	},
);

test.serial(
	'a keyed request runs at most once, however often it is repeated through other boxes',
	async (t) => {
		const cluster = await start(t);
		const [first, second] = firstTwo(cluster.programsOf('entry'));
		const client = operate.connectToOperator(cluster);
		await operate.waitUntilShardsReady(client);
		client.close();
		const body = Buffer.from('confirm slot 14');
		const headersOf = (key: string): Record<string, string> => ({
			'idempotency-key': key,
			'x-woodcross-caller': 'agency-3',
		});

		// The same key is used through both boxes concurrently, in several requests.
		const concurrent = await Promise.all(
			Array.from({ length: 10 }, (_, index) =>
				callers.sendRequest(index % 2 === 0 ? first : second, { body, headers: headersOf('k1') }),
			),
		);
		t.true(concurrent.every((response) => response.status === 200 && response.body.equals(body)));

		// The backend server runs the request and its answer is lost. The caller repeats it through the other box.
		await Promise.all(
			cluster.backends.map((box) =>
				clusters.post(box.address, '/fault', { breakNext: 'after', breakCount: 1 }),
			),
		);
		const lost = await callers.sendRequest(first, { body, headers: headersOf('k2') });
		t.true(lost.problem?.mayHaveRun);
		const repeatedElsewhere = await callers.sendRequest(second, { body, headers: headersOf('k2') });
		t.true(repeatedElsewhere.problem?.mayHaveRun);
		t.is(repeatedElsewhere.problem?.type, 'urn:woodcross:error:MayHaveRun');

		// A different request under a used key.
		const other = await callers.sendRequest(second, {
			body: Buffer.from('confirm slot 15'),
			headers: headersOf('k1'),
		});
		t.is(other.status, 422);
		t.true(other.problem?.notRun);

		// The box dies while the request runs. The caller repeats it through the other box.
		await Promise.all(
			cluster.backends.map((box) => clusters.post(box.address, '/fault', { serviceMs: 300 })),
		);
		const interrupted = callers.sendRequest(first, { body, headers: headersOf('k3') });
		await operate.waitUntil('the request running', () =>
			callers.backendRuns(cluster).some((run) => run.key === 'k3'),
		);
		await clusters.kill(first.process);
		t.is((await interrupted).status, 0);
		const repeated = await callers.sendRequest(second, { body, headers: headersOf('k3') });
		t.true(repeated.problem?.mayHaveRun);

		const runs = await callers.allBackendRuns(cluster);
		const counts = ['k1', 'k2', 'k3'].map((key) => runs.filter((run) => run.key === key).length);
		t.deepEqual(counts, [1, 1, 1]);
	},
);

test.serial(
	'the platform is down: keyed requests are answered "not run" and do not run, others are served',
	async (t) => {
		const cluster = await start(t);
		const [entry] = firstTwo(cluster.programsOf('entry'));
		const client = operate.connectToOperator(cluster);
		await operate.waitUntilShardsReady(client);
		await cluster.platformFault({ down: true });
		const headers = { 'idempotency-key': 'k9', 'x-woodcross-deadline-ms': '8000' };
		const [keyed, unkeyed] = await Promise.all([
			callers.sendRequest(entry, { body: Buffer.from('book'), headers }),
			callers.sendRequest(entry, { body: Buffer.from('proof') }),
		]);
		t.is(unkeyed.status, 200);
		t.is(keyed.status, 503);
		t.true(keyed.problem?.notRun);
		t.truthy(keyed.headers['retry-after']);
		await cluster.platformFault({});
		await operate.waitUntil(
			'keyed requests run again',
			async () => (await callers.sendRequest(entry, { body: Buffer.from('book'), headers })).status === 200,
		);
		client.close();
		const runs = await callers.allBackendRuns(cluster);
		t.is(runs.filter((run) => run.key === 'k9').length, 1);
	},
);

test.serial(
	'a leaving backend server gets no new request 3 s after it is marked, and none is aborted',
	async (t) => {
		const cluster = await start(t, { backendEnv: { SERVICE_MS: '20' } });
		const [entry] = firstTwo(cluster.programsOf('entry'));
		const leaving = cluster.backends[0];
		t.truthy(leaving);
		if (leaving === undefined) return;
		let stop = false;
		const failures: string[] = [];
		const load = Array.from({ length: 8 }, async () => {
			while (!stop) {
				const response = await callers.sendRequest(entry, { body: Buffer.from('proof') });
				if (response.status !== 200) failures.push(`${response.status} ${response.problem?.detail ?? ''}`);
			}
		});
		await operate.waitUntil('load on it', () =>
			callers.backendRuns(cluster).some((run) => run.backend === leaving.id),
		);
		leaving.state = 'leaving';
		await cluster.publish(leaving.zone);
		const markedAt = Date.now();
		await operate.waitUntil('4 s under load', () => Date.now() - markedAt > 4000);
		stop = true;
		await Promise.all(load);
		const runs = await callers.allBackendRuns(cluster);
		const lateRuns = runs.filter((run) => run.backend === leaving.id && run.at > markedAt + 3000);
		t.deepEqual({ late: lateRuns.length, failures }, { late: 0, failures: [] });
	},
);

/** Duration of a request that takes longer than the balancer needs to learn of a planned stop, in milliseconds. */
const slowServiceMs = 4000;

/** Starts a slow request through each entry box, and then makes the backend servers fast again for other requests. */
async function sendSlowRequests(
	cluster: clusters.Cluster,
	entries: clusters.Program[],
): Promise<Promise<callers.CallReply>[]> {
	const setServiceMs = (serviceMs: number): Promise<unknown> =>
		Promise.all(cluster.backends.map((box) => clusters.post(box.address, '/fault', { serviceMs })));
	await setServiceMs(slowServiceMs);
	const slow = entries.map((entry) =>
		callers.sendRequest(entry, { path: '/slow', body: Buffer.from('proof') }),
	);
	const running = (): number => callers.backendRuns(cluster).filter((run) => run.path === '/slow').length;
	await operate.waitUntil('the slow requests running', () => running() === entries.length);
	await setServiceMs(20);
	return slow;
}

for (const role of ['entry', 'scheduler', 'operator'] as const) {
	test.serial(`a planned stop of ${role} under load: no caller sees an error`, async (t) => {
		const cluster = await start(t, { schedulersPerZone: 2, backendEnv: { SERVICE_MS: '20' } });
		const client = operate.connectToOperator(cluster);
		await operate.waitUntilShardsReady(client);
		client.close();
		const entries = cluster.programsOf('entry');
		const stopping = cluster.programsOf(role)[0];
		if (stopping === undefined) return;
		const slow = await sendSlowRequests(cluster, entries);
		let stop = false;
		let drained = false;
		let answered = 0;
		const failures: string[] = [];
		const load = Array.from({ length: 8 }, async (_, index) => {
			while (!stop) {
				// The balancer sends nothing new to a box whose health page fails.
				const healthy = entries.filter((one) => one !== stopping || !drained);
				const entry = healthy[index % healthy.length];
				if (entry === undefined) return;
				const got = await callers.sendRequest(entry, { body: Buffer.from('proof') });
				if (got.status === 200) answered += 1;
				else failures.push(`${got.status} ${got.problem?.detail ?? 'broken connection'}`);
			}
		});
		await operate.waitUntil('load', () => answered > 50);
		const code = processes.stop(stopping.process);
		await processes.waitForLine(stopping.process, (line) => line.name === 'process.stopping');
		drained = true;
		t.is(await code, 0);
		const before = answered;
		await operate.waitUntil('load goes on', () => answered > before + 50);
		stop = true;
		await Promise.all(load);
		t.deepEqual(failures, []);
		t.deepEqual(
			(await Promise.all(slow)).map((got) => got.status),
			entries.map(() => 200),
		);
	});
}
