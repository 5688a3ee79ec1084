/**
 * Starts on a worker that refuses part of them, over a link that loses packets. A task must not have two runs at a time, and
 * must not be started again after a run of it is done.
 */
import * as path from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import * as boxes from '../boxes.mjs';
import { Clients } from '../clients.mjs';
import { GreyWorker } from '../grey-worker.mjs';
import { LossyLink } from '../lossy-link.mjs';
import { Record, seededRandom } from '../record.mjs';
import { UsersPlatform } from '../../dist/stand-ins/users-platform/server.js';

const exitHeld = 0;
const exitBroken = 1;
const exitNotRun = 2;

const hasTrouble = process.env.TROUBLE !== '0';
const seed = Number(process.env.SEED ?? Date.now());
const random = seededRandom(seed);

const host = 'review.example';
const prefix = '/jobs/';
const workerCount = 7;
const jobsPerS = 13;
const tasksPerJob = 6;

/** Time for the boxes to elect an owner and hear every worker, in milliseconds. */
const warmUpMs = 3_000;
/** One worker at a time is in trouble for `troubleMs`, then none for `calmMs`, in milliseconds. */
const troubleMs = 5_000;
const calmMs = 500;
const windows = 15;
/** Time for the last runs to end and be acknowledged, in milliseconds. */
const settleMs = 6_000;
/** Three packets in ten are lost, and four starts in ten are refused. */
const lossShare = 0.3;
const refusedShare = 0.4;
/** Length of a run, in milliseconds: 640 ms on average. */
const shortestRunMs = 300;
const longestRunMs = 980;

/** @typedef {import('../../dist/stand-ins/fleet/types.js').FleetJournal} FleetJournal */

const record = new Record();
record.add(`seed ${seed}, ${hasTrouble ? 'with' : 'without'} trouble`);
/** Broken rules, as they were seen. @type {string[]} */
const broken = [];
/** Runs at work, by task. @type {Map<string, Map<number, string>>} */
const running = new Map();
/** The first run of each task that is done. @type {Map<string, { run: number, isNoted: boolean }>} */
const done = new Map();
/** Starts after a run was done, by task. @type {Map<string, string>} */
const startsAfterDone = new Map();

/** @type {FleetJournal} */
const journal = {
	started: ({ task, run, worker }) => {
		record.add(`worker ${worker} starts ${task} run ${run}`);
		const others = running.get(task) ?? new Map();
		if (others.size > 0)
			broken.push(
				`TWICE ${task}: run ${run} on ${worker} beside ${[...others].map(([one, at]) => `run ${one} on ${at}`)}`,
			);
		const finished = done.get(task);
		if (finished !== undefined && !startsAfterDone.has(task))
			startsAfterDone.set(task, `TWICE ${task}: run ${run} on ${worker} after run ${finished.run} was done`);
		others.set(run, worker);
		running.set(task, others);
	},
	ended: ({ task, run, how }) => {
		record.add(`run ${run} of ${task} ends: ${how}`);
		running.get(task)?.delete(run);
		if (how === 'done' && !done.has(task)) done.set(task, { run, isNoted: false });
	},
	acknowledged: ({ task, run, how }) => {
		const finished = done.get(task);
		if (how === 'done' && finished?.run === run) finished.isNoted = true;
	},
};

const sleep = (/** @type {number} */ ms) => new Promise((resolve) => setTimeout(resolve, ms));

const platform = UsersPlatform.create({
	plan: () => ({ ms: shortestRunMs + random() * (longestRunMs - shortestRunMs), how: 'done' }),
	journal,
	heartbeatMs: 1_500,
});
/** @type {{ id: string, grey: GreyWorker, link: LossyLink }[]} */
const workers = [];
/** @type {boxes.Box[]} */
const started = [];

async function startAll() {
	platform.writeConfiguration(1, host, [prefix]);
	for (let number = 1; number <= workerCount; number += 1) {
		const id = `i-${number.toString().padStart(10, '0')}`;
		await platform.startWorker(id, async (address) => {
			const grey = await GreyWorker.open(address, random);
			grey.onStart = (task, run, status) =>
				record.add(`worker ${id} answers start of ${task} run ${run}: ${status}`);
			const link = await LossyLink.open(grey.address, random);
			workers.push({ id, grey, link });
			return link.address;
		});
	}
	const store = await platform.startStore();
	for (const [index, zone] of boxes.zones.entries())
		started.push(await boxes.Box.start({ name: `edge-${zone}-1`, zone, ip: `127.0.0.${11 + index}`, store }));
}

/** Submits jobs at an even rate until `isOver`. */
async function submitJobs(/** @type {() => boolean} */ isOver) {
	const clients = new Clients({
		host,
		prefix,
		addresses: () => started.map((box) => box.callers),
		random,
		record: (text) => record.add(text),
	});
	const step = { count: tasksPerJob, cpu: 3_500, mem_mb: 4_600, estimate_ms: 640 };
	while (!isOver()) {
		void clients.submit({ spec: 'review', steps: [step] });
		await sleep(1_000 / jobsPerS);
	}
}

/** Puts one worker after the other in trouble. */
async function play() {
	for (let window = 0; window < windows; window += 1) {
		const worker = workers[window % workers.length];
		if (hasTrouble && worker !== undefined) {
			record.add(
				`worker ${worker.id}: loses ${lossShare} of its packets, refuses ${refusedShare} of the starts`,
			);
			worker.link.loss = lossShare;
			worker.grey.refusedShare = refusedShare;
		}
		await sleep(troubleMs);
		if (worker !== undefined) {
			worker.link.loss = 0;
			worker.grey.refusedShare = 0;
			if (hasTrouble) record.add(`worker ${worker.id}: sound again`);
		}
		await sleep(calmMs);
	}
}

async function run() {
	await startAll();
	await sleep(warmUpMs);
	let isOver = false;
	const submitting = submitJobs(() => isOver);
	await play();
	isOver = true;
	await submitting;
	await sleep(settleMs);
	for (const [task, text] of startsAfterDone) if (done.get(task)?.isNoted === true) broken.push(text);
	if (done.size === 0) return exitNotRun;
	return broken.length > 0 ? exitBroken : exitHeld;
}

let status = exitNotRun;
try {
	status = await run();
} catch (err) {
	record.add(`could not run: ${String(err)}`);
}
for (const text of broken) record.add(text);
record.add(`tasks done: ${done.size}; rules broken: ${broken.length}; exit status ${status}`);
record.write(path.join(import.meta.dirname, 'record.txt'));
await Promise.all(started.map((box) => box.end()));
platform.close();
for (const { grey, link } of workers) {
	grey.close();
	link.close();
}
process.stdout.write(`tasks done: ${done.size}; rules broken: ${broken.length}\n`);
process.exit(status);
