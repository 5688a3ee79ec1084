/** Callers that submit jobs, poll them and cancel some. */
import * as crypto from 'node:crypto';
import * as clients from './box-client.js';
import * as random from '../random.js';
import type * as judges from './judge.js';
import * as worlds from './world.js';

/** Interval between two jobs of a caller, and between two polls of a job, in milliseconds. */
const betweenJobsMs = 250;
const betweenQuestionsMs = 200;

/** Number of attempts to submit a job after which a caller gives up, if all of them were turned away. */
const mostTries = 8;

/** Fraction of the jobs that are to be cancelled, and of the polls of such a job before which the caller cancels it. */
const cancelledPart = 0.08;
const cancelNowPart = 0.3;

/** Time after a change of the configuration within which every stable box has to know it, in milliseconds. */
const configurationMs = 2_000;

/** Maximum number of queue changes that are checked in a round. Every box has been asked about older ones often enough. */
const changesAsked = 5;

/** Options that all callers share. */
export interface CallersOptions {
	world: worlds.World;
	judge: judges.Judge;
	next: () => number;
	/** Clock time until which new jobs are submitted. */
	until: number;
	/** Whether callers need not wait for open jobs any longer. */
	isOver: () => boolean;
}

/** Runs one caller until the time is over and all its jobs have ended, or it need not wait for them any longer. */
export async function call(opts: CallersOptions): Promise<void> {
	const client = clients.BoxClient.create(opts);
	const open: Promise<void>[] = [];
	while (opts.world.now() < opts.until) {
		open.push(follow(opts, client));
		await opts.world.sleep(betweenJobsMs);
	}
	await Promise.all(open);
	await client.close();
}

/** Polls every stable box to check that it knows the newest changes of queues. */
export async function watchConfiguration(opts: CallersOptions): Promise<void> {
	const { world } = opts;
	const client = clients.BoxClient.create(opts);
	while (world.now() < opts.until) {
		const due = [...world.changes.values()].filter(({ at }) => world.now() - at > configurationMs);
		for (const change of due.slice(-changesAsked))
			for (const box of world.boxes) await askForQueue(opts, client, box, change);
		await world.sleep(betweenQuestionsMs);
	}
	await client.close();
}

/** Checks whether a box, if it is stable, knows a change of a queue that was made long enough ago. */
async function askForQueue(
	opts: CallersOptions,
	client: clients.BoxClient,
	box: worlds.SoakBox,
	change: worlds.QueueChange,
): Promise<void> {
	const { world, judge } = opts;
	const { prefix, exists } = change;
	// The queue was changed again, or the box got a fault, while other boxes were asked.
	if (world.changes.get(prefix) !== change || !world.isCalm(box)) return;
	const { status } = await client.send(box, 'GET', prefix);
	if (status === 404 && exists) judge.report('configuration', `${box.name} does not know ${prefix}`);
	if (status === 200 && !exists) judge.report('configuration', `${box.name} still knows ${prefix}`);
}

/** Submits one job and polls it until it ends. */
async function follow(opts: CallersOptions, client: clients.BoxClient): Promise<void> {
	const { world, judge, next } = opts;
	const job = makeJob(next);
	const isToCancel = next() < cancelledPart;
	judge.sent(job);
	if (!(await submit(opts, client, job))) return;
	while (!opts.isOver()) {
		await world.sleep(betweenQuestionsMs);
		if (isToCancel && !job.cancelled && next() < cancelNowPart) await cancel(client, job);
		const reply = await client.sendAnywhere('GET', `${worlds.firstQueue}${job.id}`);
		if (reply.status === 410) judge.report('lost', `${job.id} was accepted and is not known`);
		const { state } = reply.body;
		if (state === 'completed') judge.toldCompleted(job);
		if (state === 'completed' || state === 'cancelled' || job.cancelled) return;
		if (state === 'failed') {
			if (!judge.mayFail(job)) judge.report('lost', `${job.id} is shown as failed`);
			job.failed = true;
			return;
		}
	}
}

/** Submits a job, and repeats this while it may not be stored. False: the caller gave up. */
async function submit(
	opts: CallersOptions,
	client: clients.BoxClient,
	job: judges.SoakJob,
): Promise<boolean> {
	const { world, judge } = opts;
	const body = { spec: 'soak', steps: spellSteps(job) };
	for (let tries = 0; !opts.isOver(); tries += 1) {
		if (tries >= mostTries && !job.unknown) return false;
		const reply = await client.sendAnywhere('POST', `${worlds.firstQueue}${job.id}`, body);
		if (reply.status === 200) {
			judge.accepted(job);
			return true;
		}
		if (reply.status === undefined || reply.status === 502 || reply.status === 504) job.unknown = true;
		await world.sleep(betweenQuestionsMs);
	}
	return false;
}

/** Cancels a job. It counts as cancelled unless an answer says that it is not. */
async function cancel(client: clients.BoxClient, job: judges.SoakJob): Promise<void> {
	const reply = await client.sendAnywhere('DELETE', `${worlds.firstQueue}${job.id}`);
	job.cancelled = reply.status === 200 || reply.status === undefined || reply.status === 504;
}

/** The steps of a job in wire format. */
function spellSteps(job: judges.SoakJob): object[] {
	return job.steps.map((step) => ({
		count: step.tasks,
		cpu: step.milliCores,
		mem_mb: 100,
		estimate_ms: 200,
		...(step.after.length > 0 && { after: step.after }),
	}));
}

/** Makes a job of one to three steps in sequence. */
function makeJob(next: () => number): judges.SoakJob {
	const id = crypto.randomBytes(8).toString('hex');
	const steps = Array.from({ length: random.between(next, 1, 3) }, (_, number) => ({
		tasks: random.between(next, 1, 6),
		milliCores: random.between(next, 500, 12_000),
		after: number === 0 ? [] : [number - 1],
	}));
	const times = { sentAt: 0, acceptedAt: 0, movedAt: 0 };
	return {
		id,
		steps,
		accepted: false,
		unknown: false,
		cancelled: false,
		completed: false,
		failed: false,
		...times,
	};
}
