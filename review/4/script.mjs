/** Case 4: an entry of another writer in the list of runners, whose address is no address. */
import * as path from 'node:path';
import * as process from 'node:process';
import { fileURLToPath } from 'node:url';
import * as boxes from '../common-2/boxes.mjs';
import * as client from '../common-2/client.mjs';
import { Runner } from '../common-2/runner.mjs';
import { Store } from '../common-2/store.mjs';

const service = 'huvo11a';
const boxCount = 4;
const runnerCount = 4;

/** Times of the day, in milliseconds. */
const startLimitMs = 15_000;
const calmMs = 5_000;
const troubleMs = 12_000;
const finishMs = 14_000;
const jobIntervalMs = 250;
const taskMs = 400;

/** Exit statuses: the rule was broken, it held, the case could not run. */
const broken = 1;
const held = 0;
const notRun = 2;

/** From RULES.md, Fault: a tenth of the machines in use, two at least, three times. */
const minMachines = 2;
const minOwnEnds = 3;

const host = '127.0.0.1';
const hasTrouble = process.env.TROUBLE !== '0';
const folder = path.dirname(fileURLToPath(import.meta.url));
const record = new client.Record(path.join(folder, 'record.txt'));

/** The entry of another writer: a field, the address, is not what it should be. The port has a digit too many. */
const foreignEntry = {
	service,
	address: '127.0.0.1:81610',
	zone: boxes.zones[0],
	version: 'v1',
	slots: 8,
	state: 'ready',
	cold_left_ms: 0,
	capacity: { cpu: 32_000, mem_mb: 128_000, gpu: 0 },
	labels: ['a', 'r1-1'],
	seq_no: 1,
};

const store = new Store();
const runners = [];
let deployment;

async function startRunners() {
	for (let index = 0; index < runnerCount; index += 1) {
		const runner = new Runner(`i-${index + 1}`, {
			workMs: () => taskMs,
			onStart: (what) => record.add('start', what),
			onEnd: (what) => record.add('end', what),
		});
		const entry = await runner.listen(host, service, boxes.zones[index % boxes.zones.length]);
		store.put(`servers/${runner.id}`, entry);
		runners.push(runner);
	}
}

/** Submits a job. After no answer, a 502 or a 504 the same id comes again, at the next box; so it does after a 503. */
async function submit(id, first) {
	for (let tries = 0; tries < 5; tries += 1) {
		const box = deployment.boxes[(first + tries) % boxCount];
		const body = { spec: `print ${id}`, steps: [{ count: 2, cpu: 500, mem_mb: 256, estimate_ms: taskMs }] };
		const answer = await client.call(box.front, 'POST', client.prefix + id, body);
		record.add('POST', { id, box: box.name, status: answer.status });
		if (answer.status === 200) return true;
		await client.sleep(1_000);
	}
	return false;
}

/** State of a job as any of the boxes gives it. */
async function stateOf(id) {
	for (const box of deployment.boxes) {
		const answer = await client.call(box.front, 'GET', client.prefix + id);
		record.add('GET', { id, box: box.name, status: answer.status, state: answer.body.state });
		if (answer.status === 200) return answer.body.state;
	}
	return 'no answer';
}

/** Submits jobs for some time; returns the ids of those that were accepted. */
async function submitFor(ms) {
	const submissions = [];
	for (let sent = 0; sent * jobIntervalMs < ms; sent += 1) {
		const id = client.newId();
		submissions.push(submit(id, sent).then((accepted) => (accepted ? [id] : [])));
		await client.sleep(jobIntervalMs);
	}
	return (await Promise.all(submissions)).flat();
}

async function run() {
	store.put('op/config', client.configurationOf(service));
	await startRunners();
	deployment = await boxes.startBoxes(boxCount, await store.listen(host), (what, fields) =>
		record.add(what, fields),
	);
	const readyAddresses = deployment.boxes.map((box) => box.ready);
	if (!(await client.untilReady(readyAddresses, startLimitMs))) return notRun;
	const before = await submitFor(calmMs);
	if (hasTrouble) {
		store.put('servers/spare-unit', foreignEntry);
		record.add('another writer adds an entry', { key: 'servers/spare-unit', address: foreignEntry.address });
	}
	const during = await submitFor(troubleMs);
	record.add('end of traffic', { accepted: before.length + during.length });
	await client.sleep(finishMs);
	const unfinished = [];
	for (const id of [...before, ...during]) {
		const state = await stateOf(id);
		if (state !== 'completed') unfinished.push(`${id}: ${state}`);
	}
	const ends = deployment.boxes.map((box) => box.ownEnds);
	const crashing = ends.filter((count) => count >= minOwnEnds).length;
	record.add('result', { ownEnds: ends, accepted: before.length + during.length, unfinished });
	return crashing >= minMachines || unfinished.length > 0 ? broken : held;
}

let status = notRun;
try {
	status = await run();
} catch (err) {
	record.add('the case could not run', { reason: String(err) });
} finally {
	deployment?.close();
	for (const runner of runners) runner.close();
	store.close();
}
record.add('exit', { status });
process.exit(status);
