/** The platform is down, slow, loses answers or stalls its watches while real processes work. */
import test from 'ava';
import * as clusters from '../dev/cluster.js';
import * as callers from './fixtures/callers.js';
import * as fixtures from './fixtures/clusters.js';
import * as journal from './fixtures/journal.js';
import * as operate from '../dev/operate.js';

const clusterOptions: clusters.ClusterOptions = {
	zones: ['rennes'],
	entriesPerZone: 1,
	schedulersPerZone: 2,
	backendsPerZone: 2,
	workersPerZone: 3,
	schedulerFlags: operate.shortTimeoutFlags,
};

/**
 * Duration of the outages, in milliseconds: ten times the schedulers' member lease, and longer than the renewal horizon of
 * the tests.
 */
const outageMs = 8_000;

const taskCount = 12;

function checkRuns(
	t: { deepEqual: (a: unknown, b: unknown) => boolean; is: (a: unknown, b: unknown) => boolean },
	cluster: clusters.Cluster,
): void {
	const allRuns = journal.attemptsFrom(journal.processJournalsOf(cluster));
	t.deepEqual(journal.findViolations(allRuns, clusters.workerCapacity.cores), []);
	const counts = journal.successCounts(allRuns.filter((one) => one.task.startsWith('press/night/')));
	t.is(Object.keys(counts).length, taskCount);
	t.deepEqual(
		Object.entries(counts).filter(([, count]) => count !== 1),
		[],
	);
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Sends requests to an entry box one after another until the wall-clock time `endAt`, in milliseconds. Returns the statuses
 * of the answers.
 */
async function statusesUntil(entry: clusters.Program, endAt: number): Promise<number[]> {
	const statuses: number[] = [];
	while (Date.now() < endAt) {
		statuses.push((await callers.sendRequest(entry, { body: Buffer.from('proof') })).status);
		await sleep(50);
	}
	return statuses;
}

test.serial(
	'the platform is down: callers are served, operators get true answers, tasks resume once',
	async (t) => {
		const { cluster, client } = await fixtures.startReady(t, clusterOptions);
		await operate.submit(client, operate.batchSpec('night', taskCount, 4000));
		const [entry] = cluster.programsOf('entry');
		if (entry === undefined) return;
		await callers.waitUntilReady(entry);
		await cluster.platformFault({ down: true });
		const downAt = Date.now();
		const submitted = client.call(
			'submit',
			{ specJson: JSON.stringify(operate.batchSpec('later', 1, 100)) },
			20_000,
		);
		const set = client.call(
			'setConfig',
			{ key: 'entry.queuePerSlot', value: '3', by: 'test', seenVersion: 0 },
			20_000,
		);
		const statuses = await statusesUntil(entry, downAt + outageMs);
		t.true(statuses.every((status) => status === 200));
		const [submitRes, setRes] = await Promise.all([submitted, set]);
		// The answer "not stored" must be true, and "unknown" is allowed; "accepted" is not.
		const names = [submitRes, setRes].map((res) => (res.ok ? 'accepted' : res.err.name));
		t.true(
			names.every((name) => ['PlatformUnavailable', 'OutcomeUnknown', 'ShardUnavailable'].includes(name)),
			names.join(),
		);
		await cluster.platformFault({});
		await operate.waitForJobState(client, 'press/night', 'finished');
		if (!submitRes.ok && submitRes.err.name !== 'OutcomeUnknown')
			t.is(await operate.jobState(client, 'press/later'), '');
		if (!setRes.ok && setRes.err.name === 'PlatformUnavailable') {
			const config = await client.call('getConfig', {});
			t.true(config.ok && config.value.history.every((change) => change.by !== 'test'));
		}
		client.close();
		checkRuns(t, cluster);
	},
);

test.serial('every second answer of the platform is lost after the write took effect', async (t) => {
	const { cluster, client } = await fixtures.startReady(t, clusterOptions);
	const epoch = async (): Promise<number> => {
		const status = await client.call('status', { team: '' });
		return status.ok ? (status.value.shards[0]?.epoch ?? 0) : 0;
	};
	const before = await epoch();
	await cluster.platformFault({ dropAnswerEvery: 2 });
	await operate.submit(client, operate.batchSpec('night', taskCount, 500));
	await operate.waitForJobState(client, 'press/night', 'finished');
	// Reading back determines the outcome of each append: no owner gives up the shard because of a lost answer.
	t.is(await epoch(), before);
	const again = await operate.submit(client, operate.batchSpec('night', taskCount, 500));
	t.deepEqual(
		again.parts.map((part) => part.created),
		[false],
	);
	client.close();
	checkRuns(t, cluster);
});

test.serial('the platform answers after 2 s: the job still finishes, nothing runs twice', async (t) => {
	const { cluster, client } = await fixtures.startReady(t, clusterOptions);
	await cluster.platformFault({ writeMs: 2000, readMs: 500 });
	await client.call(
		'submit',
		{ specJson: JSON.stringify(operate.batchSpec('night', taskCount, 500)) },
		20_000,
	);
	await operate.waitForJobState(client, 'press/night', 'finished', 60_000);
	client.close();
	checkRuns(t, cluster);
});

test.serial('watches stall without an error: a change is still in force everywhere within 4 s', async (t) => {
	const { cluster, client } = await fixtures.startReady(t, { ...clusterOptions, schedulersPerZone: 1 });
	await cluster.platformFault({ stallWatches: true });
	const from = Date.now();
	const set = await client.call('setConfig', {
		key: 'entry.queuePerSlot',
		value: '9',
		by: 'test',
		seenVersion: 0,
	});
	t.true(set.ok);
	await operate.waitUntil('in force everywhere', async () => {
		const res = await client.call('boxes', {});
		return res.ok && res.value.boxes.every((box) => box.configVersion === 1);
	});
	client.close();
	t.true(Date.now() - from < 4000);
});

test.serial(
	'a zone is cut off from the platform and from the other zone: both keep working, nothing runs twice',
	async (t) => {
		const zones = ['rennes', 'brest'];
		const { cluster, client, linkProxies } = await fixtures.startPartitionable(
			t,
			{ ...clusterOptions, zones, schedulersPerZone: 1, workersPerZone: 2 },
			(from, to) => (to === 'platform' ? from : undefined),
		);
		await operate.submit(client, operate.batchSpec('night', taskCount, 4000, { zones: ['brest'] }));
		await operate.submit(client, { ...operate.batchSpec('web', 2, 0), kind: 'service', run: {} });
		const brest = cluster.programsOf('entry', 'brest')[0];
		const rennes = cluster.programsOf('entry', 'rennes')[0];
		if (brest === undefined || rennes === undefined) return;
		await Promise.all([brest, rennes].map(callers.waitUntilReady));
		// Brest is cut off from the platform. All processes of rennes are frozen, which to brest is a cut as well.
		const rennesProcesses = [...cluster.programs, ...cluster.backends, ...cluster.workers].filter(
			(one) => one.zone === 'rennes',
		);
		for (const program of cluster
			.programsOf('entry', 'brest')
			.concat(cluster.programsOf('scheduler', 'brest')))
			linkProxies.get(program.box)?.set({ kind: 'cut' });
		for (const one of rennesProcesses) one.process.child.kill('SIGSTOP');
		const cutAt = Date.now();
		const statuses = await statusesUntil(brest, cutAt + outageMs);
		t.true(statuses.every((status) => status === 200));
		for (const one of rennesProcesses) one.process.child.kill('SIGCONT');
		for (const proxy of linkProxies.values()) proxy.set({ kind: 'pass' });
		t.is((await callers.sendRequest(rennes, { body: Buffer.from('proof') })).status, 200);
		await operate.waitForJobState(client, 'press/night', 'finished', 60_000);
		await operate.waitUntilShardsReady(client);
		t.is(await operate.jobState(client, 'press/web'), 'active');
		client.close();
		const ran = journal.attemptsFrom(journal.processJournalsOf(cluster));
		const batch = ran.filter((one) => one.task.startsWith('press/night'));
		t.deepEqual(journal.findViolations(batch, clusters.workerCapacity.cores), []);
		t.is(Object.keys(journal.successCounts(batch)).length, taskCount);
	},
);
