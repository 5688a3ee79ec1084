/** Runs one randomized soak: boxes as processes, injected faults, callers, and a checker of what callers and workers see. */
import * as fs from 'node:fs';
import * as callers from './callers.js';
import * as clocks from '../../src/core/clock.js';
import * as crashing from './crashing.js';
import * as farCallers from './far-callers.js';
import * as faults from './faults.js';
import * as judges from './judge.js';
import * as patiences from './patience.js';
import * as random from '../random.js';
import * as reports from './report.js';
import * as users from '../../stand-ins/users-platform/server.js';
import * as worlds from './world.js';
import type * as workers from '../../stand-ins/fleet/workers.js';

/** Shortest and longest duration of a run, in milliseconds, by set of faults. */
const runMs: Record<worlds.FaultSet, { shortest: number; longest: number }> = {
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
const lastingPart = 0.05;
const lastingMs = { shortest: 2_000, longest: 6_000 };

/** Interval between checks for lost jobs, in milliseconds. */
const lookGapMs = 200;

/** Number of delayed callers in the sets of planned stops. */
const farCallersCount = 24;

/** Fraction of the runs that fail by themselves. A task fails three times in a row once in 30,000 tasks. */
const failingPart = 0.03;

/** Number of attempts that the stand-in's queues give a task. */
const attempts = 3;

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
	faults: worlds.FaultSet;
}

/** Runs one seed. Returns the promises that it broke. */
export async function play(opts: SoakOptions): Promise<judges.Violation[]> {
	const startedAt = clocks.systemClock.now();
	const seconds = (): number => Math.round((clocks.systemClock.now() - startedAt) / 10) / 100;
	const next = random.seeded(opts.seed);
	const judge = judges.Judge.create(seconds, worlds.hasCrashing(opts.faults));
	const plan = planFor(opts.faults);
	const world = await worlds.World.create({
		...opts,
		judge,
		plan,
		next: random.seeded(opts.seed + 2),
	});
	const until = clocks.systemClock.now() + opts.seconds * 1_000;
	const patience = patiences.Patience.create({
		judge,
		milliCores: opts.workers * users.workerMilliCores,
		workMs: (task) => plan(task, 1).ms,
	});
	const isOver = (): boolean => patience.isOver;
	const shared: callers.CallersOptions = { world, judge, next: random.seeded(opts.seed + 1), until, isOver };
	const lines: string[] = [];
	const log = (line: string): void => {
		lines.push(`${seconds()} s: ${line}`);
	};
	const calls = Array.from({ length: opts.callers }, () => callers.call(shared));
	const injected = faults.inject(world, next, until, log).then(() => {
		patience.begin();
	});
	const looks = clocks.every(clocks.systemClock, lookGapMs, () => {
		patience.look();
	});
	const farCalls = Array.from(
		{ length: worlds.hasFarCallers(opts.faults) ? farCallersCount : 0 },
		(_, number) => farCallers.call({ world, judge, next: random.seeded(opts.seed + 3 + number), until }),
	);
	await Promise.all([injected, callers.watchConfiguration(shared), ...calls, ...farCalls]);
	looks.cancel();
	judge.atEnd();
	if (opts.keep || judge.violations.length > 0) keepLogs(opts, world, lines, judge.violations);
	await world.close();
	reports.summarize(opts.seed, lines, judge, seconds());
	if (judge.violations.length > 0) reports.explain(world, lines, judge.violations);
	return judge.violations;
}

/** Plan of a run that exits by itself. */
type FinitePlan = workers.RunPlan & { ms: number };

/** Returns the function that plans a run. The plans are the same for every soak with this set of faults. */
function planFor(faultSet: worlds.FaultSet): (task: string, run: number) => FinitePlan {
	return (task, run) => {
		// Never the last attempt: the job would fail, and callers report a failed job as lost.
		const fails = random.seeded(random.hash(`${task} ${run}`))() < failingPart && run % attempts === 1;
		const next = random.seeded(random.hash(task));
		const isLasting = faultSet !== 1 && random.seeded(random.hash(`${task} lasts`))() < lastingPart;
		const { shortest, longest } = isLasting ? lastingMs : runMs[faultSet];
		const plan: FinitePlan = {
			ms: random.between(next, shortest, longest),
			how: fails ? 'failed' : 'done',
		};
		const crashMs = worlds.hasCrashing(faultSet) ? crashing.crashMsOf(task) : undefined;
		// Twice the delay of the crash, so that the task still runs when it crashes its worker.
		return crashMs === undefined ? plan : { ...plan, ms: 2 * crashMs, crashMs };
	};
}

/** Writes the boxes' logs, the faults and the broken promises to a folder. */
function keepLogs(opts: SoakOptions, world: worlds.World, lines: string[], broken: judges.Violation[]): void {
	const folder = `${opts.logs}/seed-${opts.seed}`;
	fs.mkdirSync(folder, { recursive: true });
	fs.writeFileSync(`${folder}/faults.txt`, `${lines.join('\n')}\n`);
	fs.writeFileSync(`${folder}/broken.json`, JSON.stringify(broken, undefined, '\t'));
	for (const box of world.boxes) {
		const logged = box.lines.flat().map((line) => JSON.stringify(line));
		fs.writeFileSync(`${folder}/${box.name}.jsonl`, `${logged.join('\n')}\n`);
	}
}
