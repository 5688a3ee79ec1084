/** Owners that die or freeze at each step, and workers that die or are cut off. The workers' journals show what ran. */
import test from 'ava';
import * as clusters from '../dev/cluster.js';
import * as fixtures from './fixtures/clusters.js';
import * as journal from './fixtures/journal.js';
import * as operate from '../dev/operate.js';
import * as processes from '../dev/processes.js';

const clusterOptions: clusters.ClusterOptions = {
	zones: ['rennes'],
	entriesPerZone: 0,
	schedulersPerZone: 2,
	backendsPerZone: 0,
	workersPerZone: 3,
	schedulerFlags: operate.shortTimeoutFlags,
};

const taskCount = 12;

/** Resolves with the first scheduler that logs an event, as soon as it does. */
async function firstToLog(cluster: clusters.Cluster, name: string): Promise<clusters.Program> {
	const waiting = cluster.programsOf('scheduler').map(async (program) => {
		await processes.waitForLine(program.process, (line) => line.name === name, 30_000);
		return program;
	});
	return Promise.any(waiting);
}

const wrongFinishCounts = (ran: journal.ObservedAttempt[]): string[] =>
	Object.entries(journal.successCounts(ran))
		.filter(([, count]) => count !== 1)
		.map(([task, count]) => `${task} finished ${count} times`);

for (const step of ['job.submitted', 'task.placed', 'task.running', 'task.finished']) {
	test.serial(
		`the owner is killed when it logs ${step}: every task still finishes, none in two places`,
		async (t) => {
			const { cluster, client } = await fixtures.startReady(t, clusterOptions);
			const killed = firstToLog(cluster, step).then((owner) => clusters.kill(owner.process));
			await client.call('submit', { specJson: JSON.stringify(operate.batchSpec('night', taskCount, 800)) });
			await killed;
			await operate.submit(client, operate.batchSpec('night', taskCount, 800));
			await operate.waitForJobState(client, 'press/night', 'finished');
			client.close();
			const ran = journal.attemptsFrom(journal.processJournalsOf(cluster));
			t.deepEqual(journal.findViolations(ran, clusters.workerCapacity.cores), []);
			t.snapshot({ finished: Object.keys(journal.successCounts(ran)).sort() });
		},
	);
}

for (const step of ['task.placed', 'task.running', 'task.finished']) {
	test.serial(`the owner freezes when it logs ${step}, past lease and horizon, and comes back`, async (t) => {
		const { cluster, client } = await fixtures.startReady(t, clusterOptions);
		const frozen = firstToLog(cluster, step).then((owner) => {
			owner.process.child.kill('SIGSTOP');
			return owner;
		});
		await client.call(
			'submit',
			{ specJson: JSON.stringify(operate.batchSpec('night', taskCount, 6000)) },
			15_000,
		);
		const owner = await frozen;
		const other = cluster.programsOf('scheduler').find((one) => one !== owner);
		t.truthy(other);
		if (other === undefined) return;
		await processes.waitForLine(other.process, (line) => line.name === 'shard.taken', 30_000);
		owner.process.child.kill('SIGCONT');
		await processes.waitForLine(
			owner.process,
			(line) => line.name === 'shard.lost' || line.name === 'shard.taken',
			30_000,
		);
		await operate.waitForJobState(client, 'press/night', 'finished');
		client.close();
		const ran = journal.attemptsFrom(journal.processJournalsOf(cluster));
		t.deepEqual(journal.findViolations(ran, clusters.workerCapacity.cores), []);
		t.deepEqual(wrongFinishCounts(ran), []);
		t.is(Object.keys(journal.successCounts(ran)).length, taskCount);
	});
}

test.serial('a worker is killed and comes back: its tasks resume, each once', async (t) => {
	const { cluster, client } = await fixtures.startReady(t, clusterOptions);
	await operate.submit(client, operate.batchSpec('night', taskCount, 3000));
	const target = cluster.workers[0];
	t.truthy(target);
	if (target === undefined) return;
	await processes.waitForLine(target.process, (line) => line.journal !== undefined);
	const killedAt = Date.now();
	await clusters.kill(target.process);
	const killedWorker = { lines: target.process.jsonLines, killedAt };
	const restarted = await cluster.startWorker(target.id, target.zone);
	cluster.workers[0] = restarted;
	await cluster.publish(target.zone);
	await operate.waitForJobState(client, 'press/night', 'finished');
	client.close();
	const ran = journal.attemptsFrom(journal.processJournalsOf(cluster, [killedWorker]));
	t.deepEqual(journal.findViolations(ran, clusters.workerCapacity.cores), []);
	t.is(Object.keys(journal.successCounts(ran)).length, taskCount);
	t.true(ran.some((one) => one.how === 'killed'));
});

test.serial(
	'a worker is cut off while its tasks run: they stop by their lease before they run elsewhere',
	async (t) => {
		const { cluster, client, linkProxies } = await fixtures.startPartitionable(
			t,
			clusterOptions,
			(from, to) => (from === 'scheduler' ? to : undefined),
		);
		await operate.submit(client, operate.batchSpec('night', taskCount, 4000));
		const target = cluster.workers[0];
		if (target === undefined) return;
		await processes.waitForLine(target.process, (line) => line.journal !== undefined);
		linkProxies.get(target.id)?.set({ kind: 'drop-answers' });
		await operate.waitForJobState(client, 'press/night', 'finished');
		linkProxies.get(target.id)?.set({ kind: 'cut' });
		linkProxies.get(target.id)?.set({ kind: 'pass' });
		await operate.waitUntilShardsReady(client);
		client.close();
		const ran = journal.attemptsFrom(journal.processJournalsOf(cluster));
		t.deepEqual(journal.findViolations(ran, clusters.workerCapacity.cores), []);
		t.deepEqual(wrongFinishCounts(ran), []);
		t.is(Object.keys(journal.successCounts(ran)).length, taskCount);
		t.true(ran.some((one) => one.worker === target.id && one.how === 'lease lapsed'));
		const logged = cluster
			.programsOf('scheduler')
			.flatMap((one) => one.process.jsonLines.map((line) => line.name));
		t.true(logged.includes('worker.unreachable'));
	},
);

test.serial('urgent work evicts batch work, which resumes from its checkpoint exactly once', async (t) => {
	const { cluster, client } = await fixtures.startReady(t, clusterOptions);
	const wholeWorker = { needs: { cores: 32, memoryMb: 1024 } };
	await operate.submit(client, operate.batchSpec('long', 3, 3000, wholeWorker));
	await operate.waitUntil('the workers full', () =>
		cluster.workers.every((box) => box.process.jsonLines.some((line) => line.journal !== undefined)),
	);
	const fullAt = Date.now();
	await operate.waitUntil('work done that an eviction must not lose', () => Date.now() - fullAt > 1500);
	await operate.submit(client, operate.batchSpec('urgent', 1, 500, { ...wholeWorker, urgent: true }));
	const finished = async (): Promise<boolean> =>
		(await operate.jobState(client, 'press/urgent')) === 'finished' &&
		(await operate.jobState(client, 'press/long')) === 'finished';
	await operate.waitUntil('both jobs finished', finished);
	client.close();
	const ran = journal.attemptsFrom(journal.processJournalsOf(cluster));
	t.deepEqual(journal.findViolations(ran, clusters.workerCapacity.cores), []);
	t.snapshot(journal.successCounts(ran));
	const evicted = ran.filter((one) => one.how === 'stopped by command');
	t.is(evicted.length, 1);
	const resumed = ran.find((one) => one.task === evicted[0]?.task && one.attempt === 2);
	// It resumes where it stopped: the second attempt does not work for the whole time again.
	t.true(resumed !== undefined && resumed.to - resumed.from < 3000 - (evicted[0]?.progressMs ?? 0) + 500);
});
