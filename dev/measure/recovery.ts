/** Measures the time until work continues after the owner is killed, or frozen for 20 s, with default settings. */
import * as clusters from '../cluster.js';
import * as operate from '../operate.js';
import * as processes from '../processes.js';
import * as report from './report.js';
import * as scrape from './scrape.js';

const repetitions = 5;
const tasks = 24;
const frozenMs = 20_000;

interface Recovery {
	/** From the fault until another scheduler logs that it has taken over the shard, in milliseconds. */
	takeoverMs: number;
	/** From the fault until a task submitted after the takeover runs, in milliseconds. */
	newTaskRunningMs: number;
	/** Calls to the platform from the fault until that task runs. */
	calls: number;
	/** Number of batch attempts that exited with anything but status 0. */
	unsuccessfulAttempts: number;
}

type Fault = (owner: clusters.Program) => Promise<void>;

const killOwner: Fault = (owner) => clusters.kill(owner.process);

const freezeOwner: Fault = (owner) => {
	owner.process.child.kill('SIGSTOP');
	setTimeout(() => owner.process.child.kill('SIGCONT'), frozenMs);
	return Promise.resolve();
};

function countUnsuccessfulAttempts(cluster: clusters.Cluster): number {
	const lines = cluster.workers.flatMap((box) => box.process.jsonLines);
	const journalEntries = lines.map((line) => line.journal as { what: string; how: string } | undefined);
	return journalEntries.filter((entry) => entry?.what === 'end' && entry.how !== 'exit status 0').length;
}

async function measureOnce(fault: Fault): Promise<Recovery> {
	const cluster = await clusters.Cluster.create({
		...{ zones: ['rennes'], entriesPerZone: 0, schedulersPerZone: 3, backendsPerZone: 0, workersPerZone: 4 },
	});
	const client = operate.connectToOperator(cluster);
	await operate.waitUntilShardsReady(client);
	await operate.submit(client, operate.batchSpec('long', tasks, 600_000));
	const started = (job: string): boolean =>
		cluster.workers.some((box) =>
			box.process.jsonLines.some((line) =>
				(line.journal as { task?: string } | undefined)?.task?.startsWith(job),
			),
		);
	await operate.waitUntil('a batch task to run', () => started('press/long'));
	const owner = cluster
		.programsOf('scheduler')
		.find((one) => one.process.jsonLines.some((line) => line.name === 'shard.taken'));
	if (owner === undefined) throw new Error('no owner');
	const standbys = cluster.programsOf('scheduler').filter((one) => one !== owner);
	const countPlatformCalls = async (): Promise<number> => {
		const {
			reads = 0,
			writes = 0,
			leaseCalls = 0,
			watches = 0,
		} = await scrape.stats(cluster.platformAddress);
		return reads + writes + leaseCalls + watches;
	};
	const before = await countPlatformCalls();
	const faultAt = performance.now();
	await fault(owner);
	const takeover = Promise.any(
		standbys.map((one) => processes.waitForLine(one.process, (line) => line.name === 'shard.taken', 60_000)),
	);
	await takeover;
	const takeoverMs = performance.now() - faultAt;
	await operate.submit(client, operate.batchSpec('new', 1, 100));
	await operate.waitUntil('the new task to run', () => started('press/new'));
	const newTaskRunningMs = performance.now() - faultAt;
	const calls = (await countPlatformCalls()) - before;
	// Waits until the frozen owner has resumed, to count the attempts that it then disturbs: it must disturb none.
	if (fault === freezeOwner)
		await new Promise((resolve) => setTimeout(resolve, frozenMs + 2000 - newTaskRunningMs));
	client.close();
	const unsuccessfulAttempts = countUnsuccessfulAttempts(cluster);
	await cluster.close();
	return { takeoverMs, newTaskRunningMs, calls, unsuccessfulAttempts };
}

/** `npm run measure -- recovery`. */
export async function measureRecovery(): Promise<void> {
	const rows: report.Row[] = [];
	for (const [name, fault] of [
		['owner killed', killOwner],
		['owner frozen for 20 s', freezeOwner],
	] as const) {
		// Each repetition has its own processes. Two of them at a time leave the machine half idle.
		const recoveries: Recovery[] = [];
		while (recoveries.length < repetitions)
			recoveries.push(
				...(await Promise.all([measureOnce(fault), measureOnce(fault)])).slice(
					0,
					repetitions - recoveries.length,
				),
			);
		const summarize = (pick: (one: Recovery) => number): string => report.minMedianMax(recoveries.map(pick));
		rows.push({
			fault: name,
			'shard taken over, ms': summarize((one) => one.takeoverMs),
			'new task running, ms': summarize((one) => one.newTaskRunningMs),
			'platform calls': summarize((one) => one.calls),
			'batch attempts disturbed': summarize((one) => one.unsuccessfulAttempts),
		});
	}
	const note = `minimum / median / maximum of ${repetitions}; 3 schedulers, 4 workers, ${tasks} batch tasks running; settings' defaults`;
	report.printAndSave({ name: 'recovery', note, seeds: [], rows });
}
