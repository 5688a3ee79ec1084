/** Runs one randomized soak: boxes as processes, injected faults, callers, and a checker of what callers and workers see. */
import * as fs from 'node:fs';
import * as callers from './callers.js';
import * as clocks from '../../src/core/clock.js';
import * as crashing from './crashing.js';
import * as delayedCallers from './delayed-callers.js';
import * as faults from './faults.js';
import * as checkers from './invariant-checker.js';
import * as lostJobs from './lost-jobs.js';
import * as random from '../random.js';
import * as reports from './report.js';
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
};

/**
 * In every set but the first, this fraction of the tasks outlasts a change of the owner. These tasks take between the two
 * times, in milliseconds.
 */
const longRunningFraction = 0.05;
const longRunningMs = { shortest: 2_000, longest: 6_000 };

/** Interval between checks for lost jobs, in milliseconds. */
const checkIntervalMs = 200;

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
}

/** Runs one seed. Returns the promises that it broke. */
export async function runSeed(opts: SoakOptions): Promise<checkers.Violation[]> {
	const startedAt = clocks.systemClock.now();
	const seconds = (): number => Math.round((clocks.systemClock.now() - startedAt) / 10) / 100;
	const nextRandom = random.seededRandom(opts.seed);
	const checker = checkers.InvariantChecker.create(seconds, environments.hasCrashingTasks(opts.faults));
	const plan = plannerFor(opts.faults);
	const environment = await environments.Environment.create({
		...opts,
		checker,
		plan,
		nextRandom: random.seededRandom(opts.seed + 2),
	});
	const until = clocks.systemClock.now() + opts.seconds * 1_000;
	const detector = lostJobs.LostJobDetector.create({
		checker,
		milliCores: opts.workers * users.workerMilliCores,
		workMs: (task) => plan(task, 1).ms,
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
	const injectionDone = faults.inject(environment, nextRandom, until, logFault).then(() => {
		detector.noteFaultsOver();
	});
	const checkTimer = clocks.every(clocks.systemClock, checkIntervalMs, () => {
		detector.check();
	});
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
		callers.watchConfiguration(callersOptions),
		...callersDone,
		...delayedCallersDone,
	]);
	checkTimer.cancel();
	checker.checkAtEnd();
	if (opts.keep || checker.violations.length > 0) writeLogs(opts, environment, faultLines, checker);
	await environment.close();
	reports.printSummary(opts.seed, faultLines, checker, seconds());
	if (checker.violations.length > 0) reports.explain(environment, faultLines, checker.violations);
	return checker.violations;
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
