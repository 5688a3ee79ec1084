/**
 * `npm run model-check`: explores every model completely, on as many threads as there are cores, up to a maximum. Prints
 * counts and the mutants' shortest traces, and compares both with `spec/expected.json` (`--update` rewrites that file).
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as threads from 'node:worker_threads';
import * as url from 'node:url';
import * as assets from '../src/core/assets.js';
import * as modelChecks from './checks.js';
import * as explore from './explore.js';
import * as concurrency from '../dev/for-each-concurrently.js';

/** Heap limit of one exploration, in MiB. */
const heapMb = 3_000;

const maxThreads = Number(process.env.WOODCROSS_MODEL_THREADS ?? 6);

const expectedFile = assets.assetPath('spec/expected.json');

interface ExpectedResult {
	name: string;
	kind: explore.Verdict['kind'];
	states: number;
	steps?: number;
	stuck?: number;
	trace?: string[];
}

function exploreInThread(index: number): Promise<{ verdict: explore.Verdict; ms: number }> {
	const startedAt = performance.now();
	return new Promise((resolve, reject) => {
		const thread = new threads.Worker(url.fileURLToPath(import.meta.url), {
			workerData: index,
			resourceLimits: { maxOldGenerationSizeMb: heapMb },
		});
		thread.once('message', (verdict: explore.Verdict) => {
			resolve({ verdict, ms: performance.now() - startedAt });
		});
		thread.once('error', reject);
	});
}

function toExpectedResult(name: string, verdict: explore.Verdict): ExpectedResult {
	if (verdict.kind === 'wrong')
		return { name, kind: verdict.kind, states: verdict.states, trace: verdict.trace };
	return { name, kind: verdict.kind, states: verdict.states, steps: verdict.steps, stuck: verdict.stuck };
}

function printResult(
	check: modelChecks.Check,
	verdict: explore.Verdict,
	ms: number,
	isPassed: boolean,
): void {
	const status = isPassed ? 'ok  ' : 'FAIL';
	const duration = `${(ms / 1000).toFixed(1)} s`;
	if (verdict.kind === 'holds') {
		const counts = `${verdict.states} states, ${verdict.steps} steps, ${verdict.stuck} without an end`;
		console.log(`${status} ${check.name}: holds; ${counts} (${check.bounds}; ${duration})`);
		return;
	}
	console.log(
		`${status} ${check.name}: wrong after ${verdict.states} states: ${verdict.violation} (${duration})`,
	);
	for (const step of verdict.trace) console.log(`         ${step}`);
}

async function main(): Promise<void> {
	const update = process.argv.includes('--update');
	const expected = update ? [] : (JSON.parse(fs.readFileSync(expectedFile, 'utf8')) as ExpectedResult[]);
	const results: ExpectedResult[] = [];
	const queue = modelChecks.checks.map((check, index) => ({ check, index }));
	// Longest first: a long exploration that begins last would run alone for minutes.
	queue.sort((a, b) => (expected[b.index]?.states ?? 0) - (expected[a.index]?.states ?? 0));
	let failed = 0;
	const threadCount = Math.min(maxThreads, os.availableParallelism());
	await concurrency.forEachConcurrently(queue, threadCount, async ({ check, index }) => {
		const { verdict, ms } = await exploreInThread(index);
		const result = toExpectedResult(check.name, verdict);
		results[index] = result;
		const isExpectedVerdict =
			verdict.kind === check.expect && (verdict.kind === 'wrong' || verdict.stuck === 0);
		const isUnchanged = update || JSON.stringify(expected[index]) === JSON.stringify(result);
		if (!isExpectedVerdict || !isUnchanged) failed += 1;
		printResult(check, verdict, ms, isExpectedVerdict && isUnchanged);
	});
	if (update) fs.writeFileSync(expectedFile, `${JSON.stringify(results, null, '\t')}\n`);
	console.log(`${results.length - failed} checks passed, ${failed} failed`);
	process.exitCode = failed === 0 ? 0 : 1;
}

if (threads.isMainThread) {
	await main();
} else {
	const check = modelChecks.checks[threads.workerData as number];
	if (check !== undefined) threads.parentPort?.postMessage(check.run(explore.explore));
}
