/** Reports how long the long-running tasks of soaks were without a run, and what the boxes logged about it. */
import * as fs from 'node:fs';
import * as lastingTasks from './lasting-tasks.js';
import type * as boxes from '../../stand-ins/box-process.js';
import type * as environments from './environment.js';

/** Time after a gap within which a box may log why it ended, in seconds. */
const logDelaySeconds = 0.5;

/** A gap, with what the boxes logged about it. */
export interface ExplainedGap extends lastingTasks.JudgedGap {
	/** The owner when the gap began, and those that took over in it, with the times in seconds. */
	owners: string[];
	/** What owners logged about the loss of the last run's worker. */
	lost: string[];
}

/** All gaps of a seed, the longest first. */
export interface SeedReport {
	seed: number;
	/** Longest lease of a worker, in milliseconds. */
	holdMaxMs: number;
	gaps: ExplainedGap[];
}

/** Where the report of a seed is kept. */
interface ReportLocation {
	logs: string;
	seed: number;
}

/** A line of a box's log, with its time in seconds. */
interface BoxLine {
	line: boxes.LogLine;
	box: string;
	at: number;
}

/** Adds to each gap what the boxes logged. `startedUnixMs`: start of the soak, in Unix milliseconds. */
export function explainGaps(
	gaps: readonly lastingTasks.JudgedGap[],
	environment: Pick<environments.Environment, 'boxes'>,
	startedUnixMs: number,
): ExplainedGap[] {
	const secondsOf = (line: boxes.LogLine): number => (line.stamp.ms - startedUnixMs) / 1_000;
	const lines = environment.boxes
		.flatMap((box) => box.lines.flat().map((line) => ({ line, box: box.name, at: secondsOf(line) })))
		.filter(({ line }) => line.name === 'owner.taken' || line.name === 'worker.lost')
		.sort((a, b) => a.at - b.at);
	return gaps.map((gap) => explainGap(gap, lines));
}

function explainGap(gap: lastingTasks.JudgedGap, lines: readonly BoxLine[]): ExplainedGap {
	const taken = lines.filter(({ line }) => line.name === 'owner.taken');
	const owners = [
		...taken.filter(({ at }) => at <= gap.from).slice(-1),
		...taken.filter(({ at }) => at > gap.from && at <= gap.to),
	];
	const { worker } = gap;
	const lost = lines.filter(
		({ line, at }) =>
			line.name === 'worker.lost' &&
			worker !== undefined &&
			String(line.fields.worker).startsWith(worker) &&
			at >= gap.from &&
			at <= gap.to + logDelaySeconds,
	);
	return {
		...gap,
		owners: owners.map(({ box, at }) => `${box} from ${at.toFixed(2)} s`),
		lost: lost.map(
			({ box, at, line: { fields } }) =>
				`${box} at ${at.toFixed(2)} s: ${String(fields.reason)}, ${String(fields.tasks)} tasks`,
		),
	};
}

/** Keeps the report of a seed in its logs. */
export function write({ logs }: ReportLocation, report: SeedReport): void {
	fs.mkdirSync(folderOf({ logs, seed: report.seed }), { recursive: true });
	const file = fileOf({ logs, seed: report.seed });
	fs.writeFileSync(file, JSON.stringify(report, undefined, '\t'));
}

/** Removes reports that earlier soaks of these seeds left. */
export function clear(seeds: readonly ReportLocation[]): void {
	for (const one of seeds) fs.rmSync(fileOf(one), { force: true });
}

/** Prints the longest gap of a seed. */
export function printLongest(holdMaxMs: number, gaps: readonly ExplainedGap[]): void {
	const [longest] = gaps;
	const count = `leases of ${holdMaxMs} ms, ${gaps.length} times without a run`;
	if (longest === undefined) {
		process.stdout.write(`  ${count}\n`);
		return;
	}
	process.stdout.write(
		`  ${count}, ${toCounts(gaps)}; the longest: ${lastingTasks.describe(longest)}; ` +
			`owners: ${longest.owners.join(', ')}; lost: ${longest.lost.join(', ') || 'not logged'}\n`,
	);
}

/** Prints the figures of several seeds, from their reports. */
export function printSummary(seeds: readonly ReportLocation[]): void {
	const reports = seeds.filter((one) => fs.existsSync(fileOf(one))).map(read);
	const gaps = reports.flatMap((report) => report.gaps);
	const longest = Math.max(0, ...gaps.map(({ seconds }) => seconds));
	const breaking = (promise: lastingTasks.JudgedGap['broken'][number]): string => {
		const broken = gaps.filter((gap) => gap.broken.includes(promise)).length;
		const inSeeds = reports.filter((report) =>
			report.gaps.some((gap) => gap.broken.includes(promise)),
		).length;
		return `${promise} broken ${broken} times in ${inSeeds} seeds`;
	};
	process.stdout.write(
		`${reports.length} of ${seeds.length} seeds with long-running tasks: ${gaps.length} times without a run, ` +
			`the longest ${longest.toFixed(2)} s, ${toCounts(gaps)}; ${breaking('lasting')}, ` +
			`${breaking('lasting-bound')}, ${gaps.filter((gap) => gap.excused).length} excused by the store\n`,
	);
}

/** How many gaps are longer than each of the counted lengths. */
function toCounts(gaps: readonly lastingTasks.Gap[]): string {
	const counts = lastingTasks.countedSeconds.map((limit) => {
		const longer = gaps.filter((gap) => gap.to - gap.from > limit).length;
		return `${longer} over ${limit} s`;
	});
	return counts.join(', ');
}

function read(location: ReportLocation): SeedReport {
	return JSON.parse(fs.readFileSync(fileOf(location), 'utf8')) as SeedReport;
}

function folderOf({ logs, seed }: ReportLocation): string {
	return `${logs}/seed-${seed}`;
}

function fileOf(location: ReportLocation): string {
	return `${folderOf(location)}/lasting.json`;
}
