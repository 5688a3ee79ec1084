/** Measures the time until work continues after the owner is killed, or frozen for 20 s, with default settings. */
import * as clusters from '../cluster.js';
import * as operate from '../operate.js';
import * as processes from '../processes.js';
import * as report from './report.js';
import * as scrape from './scrape.js';

const turns = 5;
const tasks = 24;
const frozenMs = 20_000;

interface Recovery {
	/** From the fault until another scheduler logs that it has taken over the shard, in milliseconds. */
	takenMs: number;
	/** From the fault until a task submitted after the takeover runs, in milliseconds. */
	placedMs: number;
	/** Calls to the platform from the fault until that task runs. */
	calls: number;
	/** Number of batch attempts that exited with anything but status 0. */
	disturbed: number;
}

type Fault = (owner: clusters.Program) => Promise<void>;

const killOwner: Fault = (owner) => clusters.kill(owner.process);

const freezeOwner: Fault = (owner) => {
	owner.process.child.kill('SIGSTOP');
	setTimeout(() => owner.process.child.kill('SIGCONT'), frozenMs);
	return Promise.resolve();
};

function disturbedIn(cluster: clusters.Cluster): number {
	const lines = cluster.workers.flatMap((box) => box.process.lines);
	const ends = lines.map((line) => line.journal as { what: string; how: string } | undefined);
	return ends.filter((one) => one?.what === 'end' && one.how !== 'exit status 0').length;
}

async function oneTurn(fault: Fault): Promise<Recovery> {
	const cluster = await clusters.Cluster.create({
		...{ zones: ['rennes'], entriesPerZone: 0, schedulersPerZone: 3, backendsPerZone: 0, workersPerZone: 4 },
	});
	const client = operate.operatorOf(cluster);
	await operate.settled(client);
	await operate.submit(client, operate.batch('long', tasks, 600_000));
	const started = (job: string): boolean =>
		cluster.workers.some((box) =>
			box.process.lines.some((line) =>
				(line.journal as { task?: string } | undefined)?.task?.startsWith(job),
			),
		);
	await operate.until('a batch task to run', () => started('press/long'));
	const owner = cluster
		.of('scheduler')
		.find((one) => one.process.lines.some((line) => line.name === 'shard.taken'));
	if (owner === undefined) throw new Error('no owner');
	const others = cluster.of('scheduler').filter((one) => one !== owner);
	const callsOf = async (): Promise<number> => {
		const {
			reads = 0,
			writes = 0,
			leaseCalls = 0,
			watches = 0,
		} = await scrape.stats(cluster.platformAddress);
		return reads + writes + leaseCalls + watches;
	};
	const before = await callsOf();
	const from = performance.now();
	await fault(owner);
	const taken = Promise.any(
		others.map((one) => processes.waitLine(one.process, (line) => line.name === 'shard.taken', 60_000)),
	);
	await taken;
	const takenMs = performance.now() - from;
	await operate.submit(client, operate.batch('new', 1, 100));
	await operate.until('the new task to run', () => started('press/new'));
	const placedMs = performance.now() - from;
	const calls = (await callsOf()) - before;
	// Waits until the frozen owner has resumed, to count the attempts that it then disturbs: it must disturb none.
	if (fault === freezeOwner) await new Promise((resolve) => setTimeout(resolve, frozenMs + 2000 - placedMs));
	client.close();
	const disturbed = disturbedIn(cluster);
	await cluster.close();
	return { takenMs, placedMs, calls, disturbed };
}

/** `npm run measure -- recovery`. */
export async function measureRecovery(): Promise<void> {
	const rows: report.Row[] = [];
	for (const [name, fault] of [
		['owner killed', killOwner],
		['owner frozen for 20 s', freezeOwner],
	] as const) {
		// Each repetition has its own processes. Two of them at a time leave the machine half idle.
		const all: Recovery[] = [];
		while (all.length < turns)
			all.push(...(await Promise.all([oneTurn(fault), oneTurn(fault)])).slice(0, turns - all.length));
		const over = (pick: (one: Recovery) => number): string => report.spread(all.map(pick));
		rows.push({
			fault: name,
			'shard taken over, ms': over((one) => one.takenMs),
			'new task running, ms': over((one) => one.placedMs),
			'platform calls': over((one) => one.calls),
			'batch attempts disturbed': over((one) => one.disturbed),
		});
	}
	const note = `minimum / median / maximum of ${turns}; 3 schedulers, 4 workers, ${tasks} batch tasks running; settings' defaults`;
	report.keep({ name: 'recovery', note, seeds: [], rows });
}
