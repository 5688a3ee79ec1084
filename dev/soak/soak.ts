/** Runs one randomized soak: boxes as processes, injected faults, callers, and a checker of what callers and workers see. */
import * as fs from 'node:fs';
import * as boxes from '../../stand-ins/box-process.js';
import * as callers from './callers.js';
import * as clocks from '../../src/core/clock.js';
import * as crashing from './crashing.js';
import * as delayedCallers from './delayed-callers.js';
import * as faults from './faults.js';
import * as checkers from './invariant-checker.js';
import * as lastingJobs from './lasting-jobs.js';
import * as lastingReports from './lasting-report.js';
import * as lastingTasks from './lasting-tasks.js';
import * as lostJobs from './lost-jobs.js';
import * as random from '../random.js';
import * as reports from './report.js';
import * as stalls from './stalls.js';
import * as users from '../../stand-ins/users-platform/server.js';
import * as environments from './environment.js';
import type * as workers from '../../stand-ins/fleet/workers.js';

/** Shortest and longest duration of a run, in milliseconds, by set of faults. */
const runMsBySet: Record<environments.FaultSet, { shortest: number; longest: number }> = {
	1: { shortest: 50, longest: 900 },
	// Shorter runs make up for the long-running tasks, so that the workers have as much work as in the first set.
	2: { shortest: 50, longest: 500 },
	3: { shortest: 50, longest: 500 },
	4: { shortest: 50, longest: 500 },
	5: { shortest: 50, longest: 500 },
	6: { shortest: 50, longest: 500 },
	7: { shortest: 50, longest: 500 },
	8: { shortest: 50, longest: 500 },
	9: { shortest: 50, longest: 500 },
};

/**
 * In every set but the first, this fraction of the tasks outlasts a change of the owner. These tasks take between the two
 * times, in milliseconds.
 */
const longRunningFraction = 0.05;
const longRunningMs = { shortest: 2_000, longest: 6_000 };

/** Interval between checks for lost jobs, in milliseconds. */
const checkIntervalMs = 200;

/** How long long-running tasks have to begin again after the last fault, in milliseconds. */
const lastingTimeoutMs = 25_000;

/** Number of delayed callers in the sets of planned stops. */
const delayedCallersCount = 24;

/** Fraction of the runs that fail by themselves. A task fails three times in a row once in 30,000 tasks. */
const failingFraction = 0.03;

/** Number of attempts that the stand-in's queues give a task. */
const maxAttempts = 3;

/** Options of one soak. `logs` is the folder for the logs of a soak that breaks a promise. */
export interface SoakOptions {
	seed: number;
	seconds: number;
	boxes: number;
	workers: number;
	callers: number;
	logs: string;
	/** Whether the logs are kept also if no promise was broken. */
	keep: boolean;
	faults: environments.FaultSet;
	/**
	 * Longest lease of a worker, in milliseconds. Undefined: 10,000, and in the set with long-running tasks one of those that
	 * sites have, by the seed.
	 */
	holdMaxMs: number | undefined;
}

/** Longest leases of workers that sites have, in milliseconds. */
const holdMaxMsBySeed = [10_000, 6_000];

/** Runs one seed. Returns the promises that it broke. */
export async function runSeed(opts: SoakOptions): Promise<checkers.Violation[]> {
	const startedAt = clocks.systemClock.now();
	const seconds = (): number => Math.round((clocks.systemClock.now() - startedAt) / 10) / 100;
	const nextRandom = random.seededRandom(opts.seed);
	const checker = checkers.InvariantChecker.create(seconds, environments.hasCrashingTasks(opts.faults));
	const finitePlan = plannerFor(opts.faults);
	const plan = (task: string, run: number): workers.RunPlan =>
		checker.lastingTasks?.has(task) === true ? { ms: 'endless', how: 'failed' } : finitePlan(task, run);
	const holdMaxMs = holdMaxMsOf(opts);
	const startedUnixMs = Date.now();
	const environment = await environments.Environment.create({
		...opts,
		holdMaxMs,
		checker,
		plan,
		nextRandom: random.seededRandom(opts.seed + 2),
	});
	const observed = environments.hasLastingTasks(opts.faults)
		? lastingTasks.LastingTasks.create({ checker, faults: environment.faultTimes })
		: undefined;
	checker.lastingTasks = observed;
	const until = clocks.systemClock.now() + opts.seconds * 1_000;
	const detector = lostJobs.LostJobDetector.create({
		checker,
		milliCores: opts.workers * users.workerMilliCores,
		workMs: (task) => finitePlan(task, 1).ms,
	});
	const isWaitOver = (): boolean => detector.isWaitOver;
	const callersOptions: callers.CallersOptions = {
		environment,
		checker,
		nextRandom: random.seededRandom(opts.seed + 1),
		until,
		isWaitOver,
	};
	const faultLines: string[] = [];
	const logFault = (line: string): void => {
		faultLines.push(`${seconds()} s: ${line}`);
	};
	const callersDone = Array.from({ length: opts.callers }, () => callers.call(callersOptions));
	const injectionDone = faults.inject(environment, nextRandom, until, logFault, observed).then(() => {
		detector.noteFaultsOver();
		return observed && waitUntilRunning(observed);
	});
	const checkTimer = clocks.every(clocks.systemClock, checkIntervalMs, () => {
		detector.check();
		observed?.checkCapacity(environment.usableWorkers());
	});
	const stallWatch =
		observed &&
		stalls.watch(({ stalledMs, processorMs }) => {
			environment.faultTimes.noteStall(stalledMs / 1_000);
			logFault(`the soak itself stalled for ${stalledMs} ms, with ${processorMs} ms of processor`);
		});
	const lastingDone = observed && lastingJobs.run({ ...callersOptions, lastingTasks: observed });
	const delayedCallersDone = Array.from(
		{ length: environments.hasDelayedCallers(opts.faults) ? delayedCallersCount : 0 },
		(_, number) =>
			delayedCallers.call({
				environment,
				checker,
				nextRandom: random.seededRandom(opts.seed + 3 + number),
				until,
			}),
	);
	await Promise.all([
		injectionDone,
		lastingDone,
		callers.watchConfiguration(callersOptions),
		...callersDone,
		...delayedCallersDone,
	]);
	checkTimer.cancel();
	stallWatch?.cancel();
	checker.checkAtEnd();
	const gaps = observed && lastingReports.explainGaps(observed.judgedGaps(), environment, startedUnixMs);
	if (gaps !== undefined) lastingReports.write(opts, { seed: opts.seed, holdMaxMs, gaps });
	if (opts.keep || checker.violations.length > 0) writeLogs(opts, environment, faultLines, checker);
	await environment.close();
	reports.printSummary(opts.seed, faultLines, checker, seconds());
	if (gaps !== undefined) lastingReports.printLongest(holdMaxMs, gaps);
	if (checker.violations.length > 0) reports.explain(environment, faultLines, checker.violations);
	return checker.violations;
}

/** Longest lease of a worker in a soak, in milliseconds. */
function holdMaxMsOf({ seed, faults: faultSet, holdMaxMs }: SoakOptions): number {
	const bySeed = environments.hasLastingTasks(faultSet)
		? holdMaxMsBySeed[seed % holdMaxMsBySeed.length]
		: undefined;
	return holdMaxMs ?? bySeed ?? boxes.defaultHoldMaxMs;
}

/** Resolves once all long-running tasks run, or have had time enough for it. */
async function waitUntilRunning(observed: lastingTasks.LastingTasks): Promise<void> {
	const until = clocks.systemClock.now() + lastingTimeoutMs;
	while (!observed.areAllRunning() && clocks.systemClock.now() < until)
		await clocks.sleep(clocks.systemClock, checkIntervalMs);
}

/** Plan of a run that exits by itself. */
type FinitePlan = workers.RunPlan & { ms: number };

/** Returns the function that plans a run. The plans are the same for every soak with this set of faults. */
function plannerFor(faultSet: environments.FaultSet): (task: string, run: number) => FinitePlan {
	return (task, run) => {
		// Never the last attempt: the job would fail, and callers report a failed job as lost.
		const fails =
			random.seededRandom(random.hash(`${task} ${run}`))() < failingFraction && run % maxAttempts === 1;
		const nextRandom = random.seededRandom(random.hash(task));
		const isLongRunning =
			faultSet !== 1 && random.seededRandom(random.hash(`${task} lasts`))() < longRunningFraction;
		const { shortest, longest } = isLongRunning ? longRunningMs : runMsBySet[faultSet];
		const plan: FinitePlan = {
			ms: random.randomInteger(nextRandom, shortest, longest),
			how: fails ? 'failed' : 'done',
		};
		const crashAfterMs = environments.hasCrashingTasks(faultSet) ? crashing.crashMsOf(task) : undefined;
		// Twice the delay of the crash, so that the task still runs when it crashes its worker.
		return crashAfterMs === undefined ? plan : { ...plan, ms: 2 * crashAfterMs, crashAfterMs };
	};
}

/** Writes the boxes' logs, the faults, the crashes of workers and the broken promises to a folder. */
function writeLogs(
	opts: SoakOptions,
	environment: environments.Environment,
	faultLines: string[],
	{ violations, workerCrashes }: checkers.InvariantChecker,
): void {
	const folder = `${opts.logs}/seed-${opts.seed}`;
	fs.mkdirSync(folder, { recursive: true });
	fs.writeFileSync(`${folder}/faults.txt`, `${faultLines.join('\n')}\n`);
	fs.writeFileSync(`${folder}/broken.json`, JSON.stringify(violations, undefined, '\t'));
	fs.writeFileSync(`${folder}/crashes.json`, JSON.stringify(workerCrashes, undefined, '\t'));
	for (const box of environment.boxes) {
		const logLines = box.lines.flat().map((line) => JSON.stringify(line));
		fs.writeFileSync(`${folder}/${box.name}.jsonl`, `${logLines.join('\n')}\n`);
	}
}
