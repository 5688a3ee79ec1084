/**
 * Command line of the randomized soak: runs real boxes as processes, injects faults from outside and checks what callers and
 * workers see.
 */
import * as childProcess from 'node:child_process';
import * as cmd from 'cmd-ts';
import * as fs from 'node:fs';
import * as environments from './environment.js';
import * as lastingReports from './lasting-report.js';
import * as soak from './soak.js';
import * as workQueue from '../for-each-concurrently.js';

/** A seed that once failed, and the cause. CI runs it again. */
interface KnownSeed {
	seed: number;
	seconds: number;
	cause: string;
	/** The set of faults with which the seed failed. Absent: the first set. */
	faults?: environments.FaultSet;
}

/** How to run a seed. Absent values: as in the run that failed, else the defaults. */
interface SeedSettings {
	seconds?: number;
	faults?: environments.FaultSet;
}

/** Settings for a seed that never failed. */
const defaultSettings: Required<SeedSettings> = { seconds: 15, faults: 6 };

/** How many workers and callers a soak has. */
interface Population {
	workers: number;
	callers: number;
}

const defaultPopulation: Population = { workers: 6, callers: 4 };

/** With long-running tasks: enough workers and little enough short work for these tasks to find capacity at any time. */
const lastingPopulation: Population = { workers: 10, callers: 2 };

/** Exit status of a soak that is ended by a signal. */
const exitStatusOnSignal = 2;

/** The list of tests that are known to fail, and the beginning of its lines about seeds. */
const knownFailuresFile = 'KNOWN-RED.txt';
const knownFailingSeedsPattern = /^soak seeds? ([\d, ]+)/gm;

/** Reads the seeds that once failed. */
function knownSeeds(): KnownSeed[] {
	return JSON.parse(fs.readFileSync('dev/soak/seeds.json', 'utf8')) as KnownSeed[];
}

/** Returns the seeds that are not listed as failing still. */
function withoutKnownFailures(known: readonly KnownSeed[]): KnownSeed[] {
	const failing = knownFailingSeeds();
	return known.filter(({ seed }) => !failing.has(seed));
}

/** Settings with which a seed once failed. */
function settingsOf({ seconds, faults = 1 }: KnownSeed): Required<SeedSettings> {
	return { seconds, faults };
}

/** Returns the seeds that are known to fail. They are skipped. */
function knownFailingSeeds(): Set<number> {
	if (!fs.existsSync(knownFailuresFile)) return new Set();
	const lines = fs.readFileSync(knownFailuresFile, 'utf8').matchAll(knownFailingSeedsPattern);
	const seeds = new Set([...lines].flatMap(([, listed]) => (listed ?? '').split(',').map(Number)));
	console.log(`passed over, as ${knownFailuresFile} says: ${[...seeds].join(', ')}`);
	return seeds;
}

/** Runs seeds one after the other. Returns how many of them broke a promise. */
async function runInSequence(seedOptions: soak.SoakOptions[]): Promise<number> {
	let broken = 0;
	for (const opts of seedOptions) broken += (await soak.runSeed(opts)).length > 0 ? 1 : 0;
	return broken;
}

/**
 * Runs several seeds at once, each in its own process, so that the stand-ins of one soak don't delay those of another.
 * Returns how many seeds broke a promise.
 */
async function runConcurrently(seedOptions: soak.SoakOptions[], atOnce: number): Promise<number> {
	let broken = 0;
	await workQueue.forEachConcurrently(seedOptions, atOnce, async (opts) => {
		if (!(await runInProcess(opts))) broken += 1;
	});
	return broken;
}

/** Runs one seed in its own process. Returns whether it kept all promises. */
function runInProcess(opts: soak.SoakOptions): Promise<boolean> {
	const { keep, faults, holdMaxMs, ...numbers } = opts;
	const flags = Object.entries({ ...numbers, faults }).flatMap(([name, value]) => [
		`--${name}`,
		String(value),
	]);
	if (holdMaxMs !== undefined) flags.push('--hold-max-ms', String(holdMaxMs));
	const args = [process.argv[1] ?? '', ...flags, ...(keep ? ['--keep'] : [])];
	return new Promise((resolve) => {
		const child = childProcess.spawn(process.execPath, args, { stdio: ['ignore', 'inherit', 'inherit'] });
		const killChild = (): void => {
			child.kill();
		};
		process.once('exit', killChild);
		child.once('exit', (code) => {
			process.off('exit', killChild);
			resolve(code === 0);
		});
	});
}

const seedArg = { type: cmd.number, long: 'seed', description: 'first seed' } as const;
const seedsArg = { type: cmd.number, long: 'seeds', description: 'number of seeds' } as const;
const secondsArg = {
	type: cmd.number,
	long: 'seconds',
	description: 'how long faults are injected per seed; absent: as recorded for a known seed, else 15',
} as const;

const faultsArg = {
	type: cmd.oneOf(['1', '2', '3', '4', '5', '6', '7', '8', '9']),
	long: 'faults',
	description:
		'set of faults, 1 to 5 earlier ones, 7 and 8 planned stops, 9 long-running tasks; absent: as recorded for a known seed, else 6',
} as const;

const command = cmd.command({
	name: 'soak',
	description: 'Runs boxes under random faults and checks what must always hold.',
	args: {
		seed: cmd.option({ ...seedArg, defaultValue: () => 1 }),
		seeds: cmd.option({ ...seedsArg, defaultValue: () => 1 }),
		seconds: cmd.option({ ...secondsArg, type: cmd.optional(secondsArg.type) }),
		faults: cmd.option({ ...faultsArg, type: cmd.optional(faultsArg.type) }),
		atOnce: cmd.option({
			type: cmd.number,
			long: 'at-once',
			description: 'seeds run at the same time',
			defaultValue: () => 1,
		}),
		known: cmd.flag({ long: 'known', description: 'first run the seeds that once failed' }),
		boxes: cmd.option({ type: cmd.number, long: 'boxes', defaultValue: () => 4 }),
		workers: cmd.option({ type: cmd.optional(cmd.number), long: 'workers' }),
		callers: cmd.option({ type: cmd.optional(cmd.number), long: 'callers' }),
		holdMaxMs: cmd.option({
			type: cmd.optional(cmd.number),
			long: 'hold-max-ms',
			description: 'longest lease of a worker; absent: 10,000, with faults 9 by the seed 10,000 or 6,000',
		}),
		keep: cmd.flag({ long: 'keep', description: 'also keep the logs of seeds that break no promise' }),
		logs: cmd.option({ type: cmd.string, long: 'logs', defaultValue: () => 'target/soak' }),
	},
	handler: async (parsedArgs) => {
		const { atOnce, seeds, known: includeKnown, seconds, faults, workers, callers, ...sizes } = parsedArgs;
		const optionsOf = (seed: number, settings: Required<SeedSettings>): soak.SoakOptions => {
			const defaults = environments.hasLastingTasks(settings.faults) ? lastingPopulation : defaultPopulation;
			const population = { workers: workers ?? defaults.workers, callers: callers ?? defaults.callers };
			return { ...sizes, seed, ...settings, ...population };
		};
		const requested: SeedSettings = { seconds, faults: faults && (Number(faults) as environments.FaultSet) };
		const known = knownSeeds();
		const newSeeds = Array.from({ length: seeds }, (_, number): soak.SoakOptions => {
			const seed = sizes.seed + number;
			const knownSeed = known.find((one) => one.seed === seed);
			const defaults = knownSeed === undefined ? defaultSettings : settingsOf(knownSeed);
			return optionsOf(seed, {
				seconds: requested.seconds ?? defaults.seconds,
				faults: requested.faults ?? defaults.faults,
			});
		});
		const repeated = includeKnown ? withoutKnownFailures(known) : [];
		const all = [...repeated.map((one) => optionsOf(one.seed, settingsOf(one))), ...newSeeds];
		const observed = all.filter((one) => environments.hasLastingTasks(one.faults));
		lastingReports.clear(observed);
		const broken = atOnce > 1 ? await runConcurrently(all, atOnce) : await runInSequence(all);
		if (observed.length > 1) lastingReports.printSummary(observed);
		process.exitCode = broken === 0 ? 0 : 1;
	},
});

// Exits through the `exit` handlers, which kill the seeds' processes and their boxes. Otherwise these would outlive a soak
// that a signal ends.
for (const signal of ['SIGTERM', 'SIGINT'] as const)
	process.once(signal, () => {
		process.exit(exitStatusOnSignal);
	});

await cmd.run(command, process.argv.slice(2));
