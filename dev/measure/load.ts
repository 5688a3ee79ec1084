/** Load generators for HTTP addresses: closed loop (a fixed number of callers) and open loop (a fixed rate). */
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';

/**
 * Result of a load. The percentiles are latencies of answered requests, in milliseconds. `refused` counts responses with
 * status 503; `failed` counts errors, other statuses and answers that differ from the request's body.
 */
export interface LoadResult {
	answered: number;
	refused: number;
	failed: number;
	perSecond: number;
	p50: number;
	p99: number;
	p999: number;
}

/** The request that a load repeats, and the origins that take it in turn. */
export interface Target {
	origins: string[];
	path: string;
	headers: Record<string, string>;
	body: Buffer;
}

const connectionsPerOrigin = 128;

class Recorder {
	readonly histogram = hdr.build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
	answered = 0;
	refused = 0;
	failed = 0;

	result(seconds: number): LoadResult {
		const percentileMs = (percentile: number): number =>
			this.histogram.getValueAtPercentile(percentile) / 1000;
		const { answered, refused, failed } = this;
		return {
			answered,
			refused,
			failed,
			perSecond: answered / seconds,
			p50: percentileMs(50),
			p99: percentileMs(99),
			p999: percentileMs(99.9),
		};
	}
}

/** Sends requests through one connection pool for each origin, round robin. */
class Sender {
	private requestCount = 0;
	private readonly pools: undici.Pool[];

	constructor(private readonly target: Target) {
		this.pools = target.origins.map(
			(origin) => new undici.Pool(origin, { connections: connectionsPerOrigin, pipelining: 1 }),
		);
	}

	async send(recorder: Recorder, scheduledAt: number): Promise<void> {
		const pool = this.pools[this.requestCount % this.pools.length];
		this.requestCount += 1;
		if (pool === undefined) return;
		try {
			const { path, headers, body } = this.target;
			const res = await pool.request({ path, method: 'POST', headers, body });
			const answer = Buffer.from(await res.body.arrayBuffer());
			if (res.statusCode === 503) recorder.refused += 1;
			else if (res.statusCode !== 200 || !answer.equals(body)) recorder.failed += 1;
			else {
				recorder.answered += 1;
				recorder.histogram.recordValue(Math.max(1, Math.round((performance.now() - scheduledAt) * 1000)));
			}
		} catch {
			recorder.failed += 1;
		}
	}

	async close(): Promise<void> {
		await Promise.all(this.pools.map((pool) => pool.destroy()));
	}
}

/** Closed loop: each of the callers sends its next request as soon as it has the answer to the last. */
export async function closedLoad(target: Target, callers: number, seconds: number): Promise<LoadResult> {
	const sender = new Sender(target);
	const recorder = new Recorder();
	const endAt = performance.now() + seconds * 1000;
	const loops = Array.from({ length: callers }, async () => {
		while (performance.now() < endAt) await sender.send(recorder, performance.now());
	});
	await Promise.all(loops);
	await sender.close();
	return recorder.result(seconds);
}

/**
 * Open loop: sends requests at a fixed rate, however late the answers are. A latency counts from the time at which the
 * request was scheduled.
 */
export async function openLoad(target: Target, perSecond: number, seconds: number): Promise<LoadResult> {
	const sender = new Sender(target);
	const recorder = new Recorder();
	const total = Math.round(perSecond * seconds);
	const startAt = performance.now();
	const requests: Promise<void>[] = [];
	while (requests.length < total) {
		const dueCount = Math.min(total, Math.floor(((performance.now() - startAt) / 1000) * perSecond));
		while (requests.length < dueCount)
			requests.push(sender.send(recorder, startAt + (requests.length / perSecond) * 1000));
		await new Promise((resolve) => setTimeout(resolve, 1));
	}
	await Promise.all(requests);
	await sender.close();
	return recorder.result(seconds);
}
