/** Prints a summary of each seed and, if a promise was broken, what led to it, as CI keeps no files. */
import type * as boxes from '../../stand-ins/box-process.js';
import type * as checkers from './invariant-checker.js';
import type * as environments from './environment.js';

/** Maximum number of log lines printed about one subject: the newest. */
const maxLinesPerSubject = 60;

/** Maximum number of subjects of broken promises whose log lines are printed. */
const maxSubjects = 5;

/** Maximum number of broken promises about long-running tasks that are printed of each kind: many tasks share a cause. */
const maxLastingLines = 6;

/** Prints a summary and each broken promise. */
export function printSummary(
	seed: number,
	faults: readonly string[],
	checker: checkers.InvariantChecker,
	seconds: number,
): void {
	const all = checker.all();
	const completed = all.filter((job) => job.completed).length;
	process.stdout.write(
		`seed ${seed}: ${faults.length} faults, ${all.length} jobs, ${completed} completed, ` +
			`${checker.starts} starts, ${checker.violations.length} broken promises in ${seconds} s\n`,
	);
	const counts = new Map<string, number>();
	for (const one of checker.violations) {
		const count = (counts.get(one.promise) ?? 0) + 1;
		counts.set(one.promise, count);
		if (count <= maxLastingLines || !one.promise.startsWith('lasting'))
			process.stdout.write(`  ${one.at} s ${one.promise}: ${one.detail}\n`);
	}
	for (const [promise, count] of counts)
		if (count > maxLastingLines && promise.startsWith('lasting'))
			process.stdout.write(`  ${count} times ${promise} in all\n`);
}

/** Prints the faults, and the boxes' log lines about the subjects of the first broken promises. */
export function explain(
	environment: environments.Environment,
	faults: readonly string[],
	broken: checkers.Violation[],
): void {
	for (const fault of faults) process.stdout.write(`    fault at ${fault}\n`);
	const subjects = new Set(broken.map(({ detail }) => subjectOf(detail)));
	for (const subject of [...subjects].slice(0, maxSubjects)) {
		const logged = linesAbout(environment, subject);
		process.stdout.write(`    ${logged.length} lines about ${subject}, the newest:\n`);
		for (const line of logged.slice(-maxLinesPerSubject)) process.stdout.write(`    ${line}\n`);
	}
}

/** The subject of a broken promise: the job, or whatever its text begins with. */
function subjectOf(detail: string): string {
	return /^[\w-]+/.exec(detail)?.[0] ?? detail;
}

/** Log lines of all boxes that name the subject, in order of time. */
function linesAbout(environment: environments.Environment, subject: string): string[] {
	const allLines = environment.boxes.flatMap((box) => box.lines.flat());
	const found = allLines.filter((line) => JSON.stringify(line).includes(subject));
	return found.sort((a, b) => timeOf(a) - timeOf(b)).map((line) => JSON.stringify(line));
}

function timeOf(line: boxes.LogLine): number {
	return line.stamp.ms;
}
