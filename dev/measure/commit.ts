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
const offeredRates = [300, 3100];
const writeLatenciesMs = [1, 5, 20];

interface QueuedDecision {
	queuedAt: number;
}

/**
 * Appends a shard's queued decisions, up to `maxBatchSize` in one write, until `endAt`. Returns the number of decisions
 * appended.
 */
async function runShard(
	log: shards.ShardLog,
	queue: QueuedDecision[],
	maxBatchSize: number,
	endAt: number,
	histogram: hdr.Histogram,
	shardCount: number,
): Promise<number> {
	const writeIntervalMs = (shardCount * 1000) / writesPerS;
	let decided = 0;
	while (performance.now() < endAt) {
		const batch = queue.splice(0, maxBatchSize);
		if (batch.length === 0) {
			await new Promise((resolve) => setTimeout(resolve, 5));
			continue;
		}
		const startedAt = performance.now();
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
		for (const decision of batch)
			histogram.recordValue(Math.round((performance.now() - decision.queuedAt) * 1000));
		const remainingMs = writeIntervalMs - (performance.now() - startedAt);
		if (maxBatchSize > 1 && remainingMs > 0) await new Promise((resolve) => setTimeout(resolve, remainingMs));
		if (log.isSnapshotDue) await log.snapshot();
	}
	return decided;
}

async function measureRun(
	commitMode: string,
	maxBatchSize: number,
	offeredPerS: number,
	writeMs: number,
	shardCount: number,
): Promise<report.Row> {
	const platformProcess = processes.start('platform', 'stand-ins/platform/main.js');
	const address = await processes.readyAddress(platformProcess);
	await clusters.post(address, '/fault', { writeMs, maxWrites: writesPerS });
	const store = platform.EtcdStore.create(`http://${address}`);
	const clock = clocks.systemClock;
	const log = events.EventLog.create('measure', clock);
	const names = Array.from({ length: shardCount }, (_, index) => `rennes.${index}`);
	const logs = await Promise.all(
		names.map((shard) => shards.ShardLog.read({ shard, owner: 'measure', store, clock, events: log })),
	);
	const queues = names.map((): QueuedDecision[] => []);
	const histogram = hdr.build({ highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 });
	const startAt = performance.now();
	const endAt = startAt + seconds * 1000;
	let offeredCount = 0;
	const offerTimer = setInterval(() => {
		const due = Math.floor(((Math.min(performance.now(), endAt) - startAt) / 1000) * offeredPerS);
		for (; offeredCount < due; offeredCount += 1)
			queues[offeredCount % shardCount]?.push({ queuedAt: performance.now() });
	}, 2);
	const loops = logs.map((shardLog, index) => {
		if (!shardLog.ok) throw new Error(shardLog.err.reason);
		return runShard(shardLog.value, queues[index] ?? [], maxBatchSize, endAt, histogram, shardCount);
	});
	const decided = (await Promise.all(loops)).reduce((sum, count) => sum + count, 0);
	clearInterval(offerTimer);
	const { writes = 0, bytesWritten = 0 } = await scrape.stats(address);
	await store.close();
	await clusters.kill(platformProcess);
	const percentileMs = (percentile: number): number =>
		report.round(histogram.getValueAtPercentile(percentile) / 1000, 0);
	return {
		...{
			way: commitMode,
			shards: shardCount,
			'offered/s': offeredPerS,
			'write ms': writeMs,
			'decided/s': report.round(decided / seconds, 0),
		},
		...{
			'p50 ms': percentileMs(50),
			'p99 ms': percentileMs(99),
			'writes/s': report.round(writes / seconds, 0),
		},
		'KB/s': report.round(bytesWritten / seconds / 1000, 0),
	};
}

/** `npm run measure -- commit`. */
export async function measureCommit(): Promise<void> {
	const rows: report.Row[] = [];
	for (const writeMs of writeLatenciesMs) {
		for (const offeredPerS of offeredRates) {
			rows.push(await measureRun('one write a decision', 1, offeredPerS, writeMs, 60));
			for (const count of shardCounts)
				rows.push(await measureRun('group commit', 10_000, offeredPerS, writeMs, count));
		}
	}
	const note = `platform capped at ${writesPerS} writes/s; time from decision to acknowledged entry`;
	report.printAndSave({ name: 'commit', note, seeds: [], rows });
}
