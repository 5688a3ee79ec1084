/** Callers that submit jobs, poll them and cancel some. */
import * as crypto from 'node:crypto';
import * as boxClients from './box-client.js';
import * as random from '../random.js';
import type * as checkers from './invariant-checker.js';
import * as environments from './environment.js';

/** Interval between two jobs of a caller, and between two polls of a job, in milliseconds. */
const submissionIntervalMs = 250;
const pollIntervalMs = 200;

/** Bounds of the steps of a job, in tasks, and of a task's demand, in thousandths of a core. */
const usualSizes = { maxTasks: 6, maxMilliCores: 12_000 };

/** Beside long-running tasks there is little short work, so that these always find capacity. */
const lightSizes = { maxTasks: 2, maxMilliCores: 2_000 };
const lightIntervalMs = 1_000;

/** Number of attempts to submit a job after which a caller gives up, if all of them were turned away. */
const maxTries = 8;

/** Fraction of the jobs that are to be cancelled, and of the polls of such a job before which the caller cancels it. */
const cancelledFraction = 0.08;
const cancelPerPollFraction = 0.3;

/** Time after a change of the configuration within which every stable box has to know it, in milliseconds. */
const configurationTimeoutMs = 2_000;

/** Maximum number of queue changes that are checked in a round. Every box has been asked about older ones often enough. */
const maxChangesChecked = 5;

/** Options that all callers share. */
export interface CallersOptions {
	environment: environments.Environment;
	checker: checkers.InvariantChecker;
	nextRandom: () => number;
	/** Clock time until which new jobs are submitted. */
	until: number;
	/** Whether callers need not wait for open jobs any longer. */
	isWaitOver: () => boolean;
}

/** Runs one caller until the time is over and all its jobs have ended, or it need not wait for them any longer. */
export async function call(opts: CallersOptions): Promise<void> {
	const client = boxClients.BoxClient.create(opts);
	const followed: Promise<void>[] = [];
	const isLight = environments.hasLastingTasks(opts.environment.faults);
	while (opts.environment.now() < opts.until) {
		followed.push(followJob(opts, client));
		await opts.environment.sleep(isLight ? lightIntervalMs : submissionIntervalMs);
	}
	await Promise.all(followed);
	await client.close();
}

/** Polls every stable box to check that it knows the newest changes of queues. */
export async function watchConfiguration(opts: CallersOptions): Promise<void> {
	const { environment } = opts;
	const client = boxClients.BoxClient.create(opts);
	while (environment.now() < opts.until) {
		const due = [...environment.changes.values()].filter(
			({ at }) => environment.now() - at > configurationTimeoutMs,
		);
		for (const change of due.slice(-maxChangesChecked))
			for (const box of environment.boxes) await checkQueue(opts, client, box, change);
		await environment.sleep(pollIntervalMs);
	}
	await client.close();
}

/** Checks whether a box, if it is stable, knows a change of a queue that was made long enough ago. */
async function checkQueue(
	opts: CallersOptions,
	client: boxClients.BoxClient,
	box: environments.SoakBox,
	change: environments.QueueChange,
): Promise<void> {
	const { environment, checker } = opts;
	const { prefix, exists } = change;
	// The queue was changed again, or the box got a fault, while other boxes were asked.
	if (environment.changes.get(prefix) !== change || !environment.isStable(box)) return;
	const { status } = await client.send(box, 'GET', prefix);
	if (status === 404 && exists)
		checker.reportViolation('configuration', `${box.name} does not know ${prefix}`);
	if (status === 200 && !exists)
		checker.reportViolation('configuration', `${box.name} still knows ${prefix}`);
}

/** Submits one job and polls it until it ends. */
async function followJob(opts: CallersOptions, client: boxClients.BoxClient): Promise<void> {
	const { environment, checker, nextRandom } = opts;
	const isLight = environments.hasLastingTasks(environment.faults);
	const job = makeJob(nextRandom, isLight ? lightSizes : usualSizes);
	const isToCancel = nextRandom() < cancelledFraction;
	checker.noteSubmission(job);
	if (!(await submitJob(opts, client, job))) return;
	while (!opts.isWaitOver()) {
		await environment.sleep(pollIntervalMs);
		if (isToCancel && !job.cancelled && nextRandom() < cancelPerPollFraction) await cancelJob(client, job);
		const reply = await client.sendAnywhere('GET', `${environments.firstQueue}${job.id}`);
		if (reply.status === 410) checker.reportViolation('lost', `${job.id} was accepted and is not known`);
		const { state } = reply.body;
		if (state === 'completed') checker.noteReportedCompleted(job);
		if (state === 'completed' || state === 'cancelled' || job.cancelled) return;
		if (state === 'failed') {
			checker.noteReportedFailed(job);
			return;
		}
	}
}

/** Submits a job, and repeats this while it may not be stored. False: the caller gave up. */
export async function submitJob(
	opts: CallersOptions,
	client: boxClients.BoxClient,
	job: checkers.SoakJob,
): Promise<boolean> {
	const { environment, checker } = opts;
	const body = { spec: 'soak', steps: toWireSteps(job) };
	for (let tries = 0; !opts.isWaitOver(); tries += 1) {
		if (tries >= maxTries && !job.mayBeAccepted) return false;
		const reply = await client.sendAnywhere('POST', `${environments.firstQueue}${job.id}`, body);
		if (reply.status === 200) {
			checker.accepted(job);
			return true;
		}
		if (reply.status === undefined || reply.status === 502 || reply.status === 504) job.mayBeAccepted = true;
		await environment.sleep(pollIntervalMs);
	}
	return false;
}

/** Cancels a job. It counts as cancelled unless an answer says that it is not. */
async function cancelJob(client: boxClients.BoxClient, job: checkers.SoakJob): Promise<void> {
	const reply = await client.sendAnywhere('DELETE', `${environments.firstQueue}${job.id}`);
	job.cancelled = reply.status === 200 || reply.status === undefined || reply.status === 504;
}

/** The steps of a job in wire format. */
function toWireSteps(job: checkers.SoakJob): object[] {
	return job.steps.map((step) => ({
		count: step.tasks,
		cpu: step.milliCores,
		mem_mb: 100,
		...(job.lasting === undefined ? { estimate_ms: 200 } : { long_running: true }),
		...(step.after.length > 0 && { after: step.after }),
		...(step.maxPerWorker !== undefined && { anti_affinity: step.maxPerWorker }),
	}));
}

/** Makes a job of one to three steps in sequence. */
function makeJob(nextRandom: () => number, sizes: typeof usualSizes): checkers.SoakJob {
	const steps = Array.from({ length: random.randomInteger(nextRandom, 1, 3) }, (_, number) => ({
		tasks: random.randomInteger(nextRandom, 1, sizes.maxTasks),
		milliCores: random.randomInteger(nextRandom, 500, sizes.maxMilliCores),
		after: number === 0 ? [] : [number - 1],
	}));
	return newJob(steps);
}

/** A job that was not submitted yet. */
export function newJob(steps: checkers.SoakStep[]): checkers.SoakJob {
	const id = crypto.randomBytes(8).toString('hex');
	const times = { sentAt: 0, acceptedAt: 0, lastProgressAt: 0 };
	return {
		id,
		steps,
		accepted: false,
		mayBeAccepted: false,
		cancelled: false,
		completed: false,
		failed: false,
		...times,
	};
}
