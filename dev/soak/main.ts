/** Randomized soak: real boxes as processes, faults from outside, and a judge of what callers and workers see. */
import * as childProcess from 'node:child_process';
import * as cmd from 'cmd-ts';
import * as fs from 'node:fs';
import * as soak from './soak.js';
import * as workQueue from '../work-off.js';
import type * as environments from './environment.js';

/** A seed that once failed, and why; played again in CI. */
interface KnownSeed {
	seed: number;
	seconds: number;
	cause: string;
	/** The set of faults with which it failed; absent: the first. */
	faults?: environments.FaultSet;
}

/** How a seed is played; absent: as it once failed, else as usual. */
interface SeedSettings {
	seconds?: number;
	faults?: environments.FaultSet;
}

/** How a seed is played that never failed. */
const defaultSettings: Required<SeedSettings> = { seconds: 15, faults: 6 };

/** Exit status of a soak that is ended by a signal. */
const exitStatusOnSignal = 2;

/** The list of tests that are known to fail; its lines on seeds begin so. */
const knownFailuresFile = 'KNOWN-RED.txt';
const knownFailingSeedsPattern = /^soak seeds? ([\d, ]+)/gm;

/** Seeds that once failed. */
function knownSeeds(): KnownSeed[] {
	return JSON.parse(fs.readFileSync('dev/soak/seeds.json', 'utf8')) as KnownSeed[];
}

/** Of these seeds those that are not known to fail still. */
function withoutKnownFailures(known: readonly KnownSeed[]): KnownSeed[] {
	const failing = knownFailingSeeds();
	return known.filter(({ seed }) => !failing.has(seed));
}

/** How a seed that once failed is played. */
function settingsOf({ seconds, faults = 1 }: KnownSeed): Required<SeedSettings> {
	return { seconds, faults };
}

/** Seeds that are known to fail, which are passed over. */
function knownFailingSeeds(): Set<number> {
	if (!fs.existsSync(knownFailuresFile)) return new Set();
	const lines = fs.readFileSync(knownFailuresFile, 'utf8').matchAll(knownFailingSeedsPattern);
	const seeds = new Set([...lines].flatMap(([, listed]) => (listed ?? '').split(',').map(Number)));
	console.log(`passed over, as ${knownFailuresFile} says: ${[...seeds].join(', ')}`);
	return seeds;
}

/** Plays seeds one after the other; returns how many of them broke a promise. */
async function runInSequence(seedOptions: soak.SoakOptions[]): Promise<number> {
	let broken = 0;
	for (const opts of seedOptions) broken += (await soak.runSeed(opts)).length > 0 ? 1 : 0;
	return broken;
}

/**
 * Plays several seeds at once, each in a process of its own, so that no soak's stand-ins hold up another's; returns how
 * many of them broke a promise.
 */
async function runConcurrently(seedOptions: soak.SoakOptions[], atOnce: number): Promise<number> {
	let broken = 0;
	await workQueue.workOff(seedOptions, atOnce, async (opts) => {
		if (!(await runInProcess(opts))) broken += 1;
	});
	return broken;
}

/** Plays one seed in a process of its own; whether it kept all promises. */
function runInProcess(opts: soak.SoakOptions): Promise<boolean> {
	const { keep, faults, ...numbers } = opts;
	const flags = Object.entries({ ...numbers, faults }).flatMap(([name, value]) => [
		`--${name}`,
		String(value),
	]);
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
const seedsArg = { type: cmd.number, long: 'seeds', description: 'how many seeds' } as const;
const secondsArg = {
	type: cmd.number,
	long: 'seconds',
	description: 'how long faults are injected, a seed; absent: as the seed is kept, else 15',
} as const;

const faultsArg = {
	type: cmd.oneOf(['1', '2', '3', '4', '5', '6', '7', '8']),
	long: 'faults',
	description:
		'set of faults, 1 to 5 former ones, 7 and 8 planned stops; absent: as the seed is kept, else 6',
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
			description: 'seeds played at the same time',
			defaultValue: () => 1,
		}),
		known: cmd.flag({ long: 'known', description: 'play the seeds that once failed first' }),
		boxes: cmd.option({ type: cmd.number, long: 'boxes', defaultValue: () => 4 }),
		workers: cmd.option({ type: cmd.number, long: 'workers', defaultValue: () => 6 }),
		callers: cmd.option({ type: cmd.number, long: 'callers', defaultValue: () => 4 }),
		keep: cmd.flag({ long: 'keep', description: 'keep the logs of seeds that break nothing too' }),
		logs: cmd.option({ type: cmd.string, long: 'logs', defaultValue: () => 'target/soak' }),
	},
	handler: async (parsedArgs) => {
		const { atOnce, seeds, known: includeKnown, seconds, faults, ...sizes } = parsedArgs;
		const requested: SeedSettings = { seconds, faults: faults && (Number(faults) as environments.FaultSet) };
		const known = knownSeeds();
		const newSeeds = Array.from({ length: seeds }, (_, number): soak.SoakOptions => {
			const seed = sizes.seed + number;
			const knownSeed = known.find((one) => one.seed === seed);
			const defaults = knownSeed === undefined ? defaultSettings : settingsOf(knownSeed);
			const settings = {
				seconds: requested.seconds ?? defaults.seconds,
				faults: requested.faults ?? defaults.faults,
			};
			return { ...sizes, seed, ...settings };
		});
		const repeated = includeKnown ? withoutKnownFailures(known) : [];
		const all = [...repeated.map((one) => ({ ...sizes, seed: one.seed, ...settingsOf(one) })), ...newSeeds];
		const broken = atOnce > 1 ? await runConcurrently(all, atOnce) : await runInSequence(all);
		process.exitCode = broken === 0 ? 0 : 1;
	},
});

// Without this the plays and their boxes would outlive a soak that is ended from outside.
for (const signal of ['SIGTERM', 'SIGINT'] as const)
	process.once(signal, () => {
		process.exit(exitStatusOnSignal);
	});

await cmd.run(command, process.argv.slice(2));
