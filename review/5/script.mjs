/**
 * Case 5: the store loses the answers of some writes and does them seconds later. A caller whose submission has no answer
 * cancels the job, and the cancellation is acknowledged. The job is stored and started after that.
 */
import * as path from 'node:path';
import * as process from 'node:process';
import { fileURLToPath } from 'node:url';
import * as boxes from '../common-2/boxes.mjs';
import * as client from '../common-2/client.mjs';
import { Runner } from '../common-2/runner.mjs';
import { Store } from '../common-2/store.mjs';

const service = 'huvo11a';
const boxCount = 3;
const runnerCount = 4;

/** Times of the day, in milliseconds. */
const startLimitMs = 15_000;
const calmMs = 3_000;
const lossMs = 2_500;
const jobIntervalMs = 100;
const taskMs = 3_000;
const endMs = 16_000;

/** Of the writes during the loss, one in this many has no answer, and is done this much later, in milliseconds. */
const lostEvery = 3;
const lateMs = 6_000;

/** From the settings, in milliseconds. */
const cancelMs = 3_000;
const contactMs = 3_000;

/** A cancellation without a final answer is repeated after this time, in milliseconds. */
const cancelRetryMs = 200;

/** Exit statuses: the rule was broken, it held, the case could not run. */
const broken = 1;
const held = 0;
const notRun = 2;

const host = '127.0.0.1';
const hasTrouble = process.env.TROUBLE !== '0';
const folder = path.dirname(fileURLToPath(import.meta.url));
const record = new client.Record(path.join(folder, 'record.txt'));

const store = new Store();
const runners = [];
let deployment;

/** Time of each acknowledgement of a cancellation and of each start, by job, in seconds of the record. */
const cancelledAt = new Map();
const starts = [];

async function startRunners() {
	for (let index = 0; index < runnerCount; index += 1) {
		const runner = new Runner(`i-${index + 1}`, {
			workMs: () => taskMs,
			onStart: (what) => {
				record.add('start', what);
				starts.push({ ...what, at: record.now });
			},
			onEnd: (what) => record.add('end', what),
		});
		const entry = await runner.listen(host, service, boxes.zones[index % boxes.zones.length]);
		store.put(`servers/${runner.id}`, entry);
		runners.push(runner);
	}
}

/** Submits a job once. A caller that gets neither a 2xx nor a refusal gives the job up, and cancels it. */
async function submit(box) {
	const id = client.newId();
	const body = { spec: `print ${id}`, steps: [{ count: 2, cpu: 500, mem_mb: 256, estimate_ms: taskMs }] };
	const answer = await client.call(box.front, 'POST', client.prefix + id, body);
	record.add('POST', { id, box: box.name, status: answer.status });
	if (answer.status === 0 || answer.status === 502 || answer.status === 504) await cancel(id, box);
}

/** Cancels a job until that is acknowledged. */
async function cancel(id, box) {
	for (;;) {
		const answer = await client.call(box.front, 'DELETE', client.prefix + id);
		record.add('DELETE', { id, box: box.name, status: answer.status });
		if (answer.status === 200 || answer.status === 410) {
			cancelledAt.set(id, record.now);
			return;
		}
		await client.sleep(cancelRetryMs);
	}
}

/** Submits jobs for some time, at the boxes in turn. */
async function submitFor(ms) {
	const submissions = [];
	for (let sent = 0; sent * jobIntervalMs < ms; sent += 1) {
		submissions.push(submit(deployment.boxes[sent % boxCount]));
		await client.sleep(jobIntervalMs);
	}
	return Promise.all(submissions);
}

/** Loses the answers of some of the writes from now on, until `lossMs` are over. */
function loseAnswers() {
	let writes = 0;
	store.lateAfterMs = (txn) => {
		writes += 1;
		if (writes % lostEvery !== 0) return undefined;
		record.add('write without an answer', { keys: (txn.writes ?? []).map((row) => row.tls_key), lateMs });
		return lateMs;
	};
	void client.sleep(lossMs).then(() => {
		store.lateAfterMs = () => undefined;
		record.add('the store answers all writes again');
	});
}

/** The starts of cancelled jobs that came too late after the acknowledgement, while the store had been sound for long. */
function lateStarts(lossEndedAt) {
	return starts.filter(({ task, at }) => {
		const acknowledgedAt = cancelledAt.get(task.split('.', 1)[0]) ?? Infinity;
		const isInTouch = at - lossEndedAt > contactMs / 1_000;
		return isInTouch && at - acknowledgedAt > cancelMs / 1_000;
	});
}

async function run() {
	store.put('op/config', client.configurationOf(service));
	await startRunners();
	deployment = await boxes.startBoxes(boxCount, await store.listen(host), (what, fields) =>
		record.add(what, fields),
	);
	const readyAddresses = deployment.boxes.map((box) => box.ready);
	if (!(await client.untilReady(readyAddresses, startLimitMs))) return notRun;
	await submitFor(calmMs);
	const lossEndedAt = record.now + lossMs / 1_000;
	if (hasTrouble) loseAnswers();
	await submitFor(lossMs);
	await client.sleep(endMs);
	const late = lateStarts(lossEndedAt);
	record.add('result', { cancelled: cancelledAt.size, starts: starts.length, lateStarts: late });
	return late.length > 0 ? broken : held;
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
