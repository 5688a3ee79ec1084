/** Compares group commit with one write for each decision, over many shards that share the platform's write rate. */
import * as hdr from 'hdr-histogram-js';
import * as clocks from '../../src/core/clock.js';
import * as events from '../../src/core/events/index.js';
import * as platform from '../../src/core/platform/index.js';
import * as processes from '../processes.js';
import * as report from './report.js';
import * as scrape from './scrape.js';
import * as shards from '../../src/core/shard/index.js';
import * as clusters from '../cluster.js';

const shardCounts = [60, 180];
const writesPerS = 300;
const seconds = 6;
const offered = [300, 3100];
const latencies = [1, 5, 20];

interface Waiting {
	since: number;
}

/**
 * Appends a shard's queued decisions, up to `maxBatchSize` in one write, until `endAt`. Returns the number of decisions
 * appended.
 */
async function shardLoop(
	log: shards.ShardLog,
	waiting: Waiting[],
	most: number,
	endAt: number,
	histogram: hdr.Histogram,
	shardCount: number,
): Promise<number> {
	const gapMs = (shardCount * 1000) / writesPerS;
	let decided = 0;
	while (performance.now() < endAt) {
		const batch = waiting.splice(0, most);
		if (batch.length === 0) {
			await new Promise((resolve) => setTimeout(resolve, 5));
			continue;
		}
		const from = performance.now();
		// A change of the size of a real placement, so that the bytes written are realistic.
		const changes = batch.map((): shards.Change => ({
			type: 'place.cleared',
			task: 'press/certificates/12345',
			attempt: 1,
			worker: 'worker-rennes-123456',
		}));
		const outcome = await log.append(1, changes);
		if (outcome !== 'committed') throw new Error(outcome);
		decided += batch.length;
		for (const one of batch) histogram.recordValue(Math.round((performance.now() - one.since) * 1000));
		const rest = gapMs - (performance.now() - from);
		if (most > 1 && rest > 0) await new Promise((resolve) => setTimeout(resolve, rest));
		if (log.snapshotDue) await log.snapshot();
	}
	return decided;
}

async function run(
	way: string,
	most: number,
	rate: number,
	writeMs: number,
	shardCount: number,
): Promise<report.Row> {
	const stand = processes.start('platform', 'stand-ins/platform/main.js');
	const address = await processes.readyAddress(stand);
	await clusters.post(address, '/fault', { writeMs, maxWrites: writesPerS });
	const store = platform.EtcdStore.create(`http://${address}`);
	const clock = clocks.systemClock;
	const log = events.EventLog.create('measure', clock);
	const names = Array.from({ length: shardCount }, (_, index) => `rennes.${index}`);
	const logs = await Promise.all(
		names.map((shard) => shards.ShardLog.read({ shard, owner: 'measure', store, clock, events: log })),
	);
	const queues = names.map((): Waiting[] => []);
	const histogram = hdr.build({ highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 });
	const startAt = performance.now();
	const endAt = startAt + seconds * 1000;
	let offeredSoFar = 0;
	const feeding = setInterval(() => {
		const due = Math.floor(((Math.min(performance.now(), endAt) - startAt) / 1000) * rate);
		for (; offeredSoFar < due; offeredSoFar += 1)
			queues[offeredSoFar % shardCount]?.push({ since: performance.now() });
	}, 2);
	const loops = logs.map((one, index) => {
		if (!one.ok) throw new Error(one.err.reason);
		return shardLoop(one.value, queues[index] ?? [], most, endAt, histogram, shardCount);
	});
	const decided = (await Promise.all(loops)).reduce((sum, one) => sum + one, 0);
	clearInterval(feeding);
	const { writes = 0, bytesWritten = 0 } = await scrape.stats(address);
	await store.close();
	await clusters.kill(stand);
	const ms = (quantile: number): number => report.round(histogram.getValueAtPercentile(quantile) / 1000, 0);
	return {
		...{
			way,
			shards: shardCount,
			'offered/s': rate,
			'write ms': writeMs,
			'decided/s': report.round(decided / seconds, 0),
		},
		...{ 'p50 ms': ms(50), 'p99 ms': ms(99), 'writes/s': report.round(writes / seconds, 0) },
		'KB/s': report.round(bytesWritten / seconds / 1000, 0),
	};
}

/** `npm run measure -- commit`. */
export async function measureCommit(): Promise<void> {
	const rows: report.Row[] = [];
	for (const writeMs of latencies) {
		for (const rate of offered) {
			rows.push(await run('one write a decision', 1, rate, writeMs, 60));
			for (const count of shardCounts) rows.push(await run('group commit', 10_000, rate, writeMs, count));
		}
	}
	const note = `platform capped at ${writesPerS} writes/s; time from decision to acknowledged entry`;
	report.keep({ name: 'commit', note, seeds: [], rows });
}
