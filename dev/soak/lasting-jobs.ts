/** The long-running jobs of a soak: submitted before the first fault, watched, and some of them cancelled near the end. */
import * as boxClients from './box-client.js';
import * as callers from './callers.js';
import * as environments from './environment.js';
import * as checkers from './invariant-checker.js';
import * as random from '../random.js';
import type * as lastingTasks from './lasting-tasks.js';

/** Number of jobs, and bounds of their tasks. The demands are in thousandths of a core. */
const jobCount = 6;
const maxTasks = 4;
const minMilliCores = 500;
const maxMilliCores = 4_000;

/**
 * Fraction of the jobs that have at most `maxPerWorker` tasks on one worker. On the four workers that stay usable, their tasks
 * still find places twice over.
 */
const spreadFraction = 0.5;
const maxPerWorker = 2;

/** Fraction of the jobs that are cancelled, and how long before the end that is at most, in milliseconds. */
const cancelledFraction = 0.25;
const maxCancelledBeforeEndMs = 4_000;

/** Interval between two polls of a job, and between two attempts to submit or cancel one, in milliseconds. */
const pollIntervalMs = 1_000;

/** States of a job that has to go on. */
const openStates = new Set<unknown>(['pending', 'running']);

export interface LastingJobsOptions extends callers.CallersOptions {
	lastingTasks: lastingTasks.LastingTasks;
}

/** Runs all long-running jobs until the time is over. */
export async function run(opts: LastingJobsOptions): Promise<void> {
	const client = boxClients.BoxClient.create(opts);
	const jobs = Array.from({ length: jobCount }, () => makeJob(opts.nextRandom));
	await Promise.all(jobs.map((job) => followJob(opts, client, job)));
	await client.close();
}

async function followJob(
	opts: LastingJobsOptions,
	client: boxClients.BoxClient,
	job: checkers.SoakJob,
): Promise<void> {
	const { environment, checker, nextRandom, until } = opts;
	const cancelsAt =
		nextRandom() < cancelledFraction
			? until - random.randomInteger(nextRandom, 0, maxCancelledBeforeEndMs)
			: Infinity;
	const tasks = checkers.taskNames(job);
	for (const task of tasks) opts.lastingTasks.add(task, job.steps[0]?.milliCores ?? 0);
	checker.noteSubmission(job);
	while (!(await callers.submitJob(opts, client, job))) {
		if (opts.isWaitOver()) return;
		await environment.sleep(pollIntervalMs);
	}
	opts.lastingTasks.accepted(tasks);
	while (environment.now() < Math.min(until, cancelsAt)) {
		await environment.sleep(pollIntervalMs);
		const { status, body } = await client.sendAnywhere('GET', `${environments.firstQueue}${job.id}`);
		if (status === 410) checker.reportViolation('lost', `${job.id} was accepted and is not known`);
		if (status === 200 && !openStates.has(body.state))
			checker.reportViolation('lost', `${job.id} is to last and is shown as ${String(body.state)}`);
	}
	if (cancelsAt === Infinity) return;
	opts.lastingTasks.cancelled(tasks);
	job.cancelled = true;
	await cancelJob(opts, client, job);
}

/** Cancels a job, and repeats this until an answer confirms it or nobody waits any longer. */
async function cancelJob(
	{ environment, isWaitOver }: LastingJobsOptions,
	client: boxClients.BoxClient,
	job: checkers.SoakJob,
): Promise<void> {
	while (!isWaitOver()) {
		const { status } = await client.sendAnywhere('DELETE', `${environments.firstQueue}${job.id}`);
		if (status === 200 || status === 410) return;
		await environment.sleep(pollIntervalMs);
	}
}

/** Makes a job of one long-running step. */
function makeJob(nextRandom: () => number): checkers.SoakJob {
	const step = {
		tasks: random.randomInteger(nextRandom, 1, maxTasks),
		milliCores: random.randomInteger(nextRandom, minMilliCores, maxMilliCores),
		after: [],
		...(nextRandom() < spreadFraction && { maxPerWorker }),
	};
	return { ...callers.newJob([step]), lasting: true };
}
