/**
 * The demonstration: a small deployment answers requests, runs jobs and changes its configuration. Exits with 1 if any step
 * fails.
 */
import * as crypto from 'node:crypto';
import * as undici from 'undici';
import * as consolaLib from 'consola';
import * as operator from '../src/core/operator/index.js';
import * as clusters from './cluster.js';
import type * as results from '../src/core/result.js';

const { consola } = consolaLib;

/** Requests sent to each entry box. */
const requestsPerEntry = 50;

/** Timeout of the whole demonstration, in milliseconds. */
const timeoutMs = 55_000;

/** Number of timeline events printed. */
const maxShownEvents = 40;

function ensure(condition: boolean, expectation: string): asserts condition {
	if (!condition) throw new Error(`demo: expected ${expectation}`);
}

async function valueOrThrow<T>(
	callName: string,
	call: Promise<results.Result<T, operator.CallError>>,
): Promise<T> {
	const res = await call;
	if (!res.ok) throw new Error(`demo: ${callName} failed: ${res.err.name} ${res.err.message}`);
	return res.value;
}

async function waitUntil(expectation: string, check: () => Promise<boolean>): Promise<void> {
	const deadline = Date.now() + 20_000;
	while (!(await check())) {
		ensure(Date.now() < deadline, expectation);
		await new Promise((resolve) => setTimeout(resolve, 100));
	}
}

/**
 * Sends random bodies to an entry box and checks that each answer returns its body byte for byte. Returns the number of
 * correct answers.
 */
async function checkEntry(entry: clusters.Program): Promise<number> {
	const checks = Array.from({ length: requestsPerEntry }, async () => {
		const body = crypto.randomBytes(1 + Math.floor(Math.random() * 20_000));
		const path = `http://${entry.serves}/services/${clusters.serviceName}/proof`;
		const res = await undici.request(path, {
			method: 'POST',
			body,
			headers: { 'x-woodcross-repeat': 'safe' },
		});
		const answer = Buffer.from(await res.body.arrayBuffer());
		return res.statusCode === 200 && answer.equals(body);
	});
	const correctCount = (await Promise.all(checks)).filter(Boolean).length;
	ensure(
		correctCount === requestsPerEntry,
		`${entry.box} to answer all ${requestsPerEntry} requests correctly (it answered ${correctCount})`,
	);
	return correctCount;
}

async function runDemo(cluster: clusters.Cluster): Promise<void> {
	const [operatorProgram] = cluster.programsOf('operator');
	ensure(operatorProgram !== undefined, 'an operator process');
	const client = operator.OperatorClient.create(operatorProgram.serves);
	consola.start('Waiting for the schedulers to take ownership of their shards');
	await waitUntil('every shard to have an owner that reaches its workers', async () => {
		const status = await client.call('status', { team: '' });
		return (
			status.ok &&
			status.value.shards.every(
				(shard) => shard.problem === '' && shard.workers.every((worker) => worker.state === 'live'),
			)
		);
	});

	const service = {
		team: 'press',
		name: 'guichet',
		kind: 'service',
		tasks: 4,
		needs: { cores: 2, memoryMb: 2048 },
	};
	const batch = {
		...{ team: 'press', name: 'certificates', kind: 'batch', tasks: 24, needs: { cores: 4, memoryMb: 4096 } },
		run: { durationMs: 1500 },
	};
	for (const spec of [service, batch]) {
		const res = await valueOrThrow(
			`submit ${spec.name}`,
			client.call('submit', { specJson: JSON.stringify(spec) }),
		);
		consola.success(`Submitted ${res.parts.map((part) => `${part.id} (shard ${part.shard})`).join(', ')}`);
	}

	const correctCounts = await Promise.all(cluster.programsOf('entry').map(checkEntry));
	consola.success(
		`${correctCounts.reduce((sum, count) => sum + count, 0)} requests answered correctly through ${correctCounts.length} entry boxes`,
	);

	const change = await valueOrThrow(
		'config set',
		client.call('setConfig', { key: 'entry.retryBudgetPercent', value: '7', by: 'demo', seenVersion: 0 }),
	);
	await waitUntil('the configuration to be in force on every process', async () => {
		const res = await valueOrThrow('boxes', client.call('boxes', {}));
		return res.boxes.every((box) => box.reachable && box.configVersion === change.version);
	});
	const boxes = await valueOrThrow('boxes', client.call('boxes', {}));
	ensure(boxes.boxes.length === cluster.programs.length, 'the operator to list every process');
	consola.success(
		`Configuration version ${change.version} is in force on all ${boxes.boxes.length} processes`,
	);

	await waitUntil('the batch job to finish and the service to run', async () => {
		const res = await valueOrThrow('status', client.call('status', { team: 'press' }));
		const jobs = res.shards.flatMap((shard) => shard.jobs);
		const running = jobs
			.filter((job) => job.kind === 'service')
			.reduce((sum, job) => sum + (job.counts.running ?? 0), 0);
		return running === service.tasks && jobs.some((job) => job.kind === 'batch' && job.state === 'finished');
	});
	const successfulExits = cluster.workers.flatMap((box) =>
		box.process.jsonLines.filter((line) => exitDetail(line) === 'exit status 0'),
	);
	ensure(
		successfulExits.length === batch.tasks,
		`${batch.tasks} successful exits in the workers' journals, got ${successfulExits.length}`,
	);
	consola.success(
		`Job press/certificates finished: ${successfulExits.length} tasks, each with one successful exit in the workers' own journals`,
	);

	const explained = await valueOrThrow('explain', client.call('explain', { task: 'press/guichet@rennes/0' }));
	consola.info(`press/guichet@rennes/0 is ${explained.state} on ${explained.worker}: ${explained.why}`);
	const timeline = await valueOrThrow('timeline', client.call('timeline', { about: '', limit: 2000 }));
	ensure(
		timeline.missing.length === 0 && timeline.events.length > 0,
		'a timeline with events and without missing processes',
	);
	consola.info(`Newest ${maxShownEvents} of ${timeline.events.length} events of all processes:`);
	for (const event of timeline.events.slice(-maxShownEvents)) {
		const fields = Object.entries(event.fields).map(([key, value]) => `${key}=${value}`);
		const at = new Date(event.ms).toISOString().slice(11, 23);
		process.stdout.write(`  ${at} ${event.id} ${event.name} [${event.process}] ${fields.join(' ')}\n`);
	}
	client.close();
}

const timer = setTimeout(() => {
	consola.error(`The demonstration took longer than ${timeoutMs} ms`);
	process.exit(1);
}, timeoutMs);
const cluster = await clusters.Cluster.create({
	...{
		zones: ['rennes', 'brest'],
		entriesPerZone: 2,
		schedulersPerZone: 2,
		backendsPerZone: 4,
		workersPerZone: 4,
	},
});
try {
	await runDemo(cluster);
	consola.success('All steps of the demonstration succeeded');
} catch (err) {
	consola.error(err);
	process.exitCode = 1;
} finally {
	await cluster.close();
	clearTimeout(timer);
}

function exitDetail(line: Record<string, unknown>): string {
	return (line.journal as { how?: string } | undefined)?.how ?? '';
}
