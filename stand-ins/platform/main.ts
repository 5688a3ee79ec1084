/**
 * Simulates the platform's key-value service: the part of etcd's v3 JSON mapping that woodcross uses. `POST /fault` sets
 * faults, `GET /stats` returns counts of calls. Not shipped.
 */
import * as timers from 'node:timers/promises';
import * as h3 from 'h3';
import * as zod from 'zod';
import * as standIn from '../http.js';
import * as stores from './store.js';

const z = zod.z;

const faultSchema = z.strictObject({
	/** Refuses all calls and closes the watches. */
	down: z.boolean().default(false),
	/** Delay before a write takes effect, in milliseconds. */
	writeMs: z.number().default(0),
	/** Delay before a read is answered, in milliseconds. */
	readMs: z.number().default(0),
	/** For every n-th write the connection closes without an answer after the write took effect; 0: none. */
	dropAnswerEvery: z.number().int().default(0),
	/** Watches stay open and send no changes. */
	stallWatches: z.boolean().default(false),
	/** Maximum number of writes per second; 0: no limit. */
	maxWrites: z.number().int().default(0),
});

const store = stores.MemoryStore.create(() => Date.now());
const stats = { reads: 0, writes: 0, leaseCalls: 0, watches: 0, bytesWritten: 0 };
const closeWatches = new Set<() => void>();
let faults = faultSchema.parse({});
let writeCount = 0;
let nextWriteAt = 0;

const decode = (text: string): string => Buffer.from(text, 'base64').toString('latin1');
const encode = (text: string): string => Buffer.from(text, 'latin1').toString('base64');

const toKv = (entry: stores.Entry): object => ({
	key: encode(entry.key),
	value: entry.value,
	mod_revision: String(entry.version),
	lease: entry.lease,
});

const header = (): object => ({ revision: String(store.revision) });

/** Closes the connection without an answer. */
function closeConnection(event: h3.H3Event): never {
	event.runtime?.node?.res?.socket?.destroy();
	throw new h3.HTTPError({ status: 503, message: 'down' });
}

async function waitForWriteTurn(): Promise<void> {
	if (faults.writeMs > 0) await timers.setTimeout(faults.writeMs);
	if (faults.maxWrites > 0) {
		const now = Date.now();
		nextWriteAt = Math.max(now, nextWriteAt) + 1000 / faults.maxWrites;
		await timers.setTimeout(nextWriteAt - now);
	}
}

interface TxnBody {
	compare: { key: string; mod_revision?: string }[];
	success: { request_put: { key: string; value: string; lease?: string } }[];
}

async function txn(event: h3.H3Event): Promise<object> {
	const body = (await event.req.json()) as TxnBody;
	await waitForWriteTurn();
	if (faults.down) closeConnection(event);
	store.expireLeases();
	stats.writes += 1;
	const compare = body.compare[0];
	const put = body.success[0]?.request_put;
	if (compare === undefined || put === undefined)
		throw new h3.HTTPError({ status: 400, message: 'unsupported txn' });
	const key = decode(compare.key);
	if (store.versionOf(key) !== Number(compare.mod_revision ?? '0')) {
		const kvs = store.range(key).map(toKv);
		return { header: header(), succeeded: false, responses: [{ response_range: { kvs } }] };
	}
	store.put(key, put.value, put.lease ?? '0');
	stats.bytesWritten += put.value.length;
	writeCount += 1;
	if (faults.dropAnswerEvery > 0 && writeCount % faults.dropAnswerEvery === 0) closeConnection(event);
	return { header: header(), succeeded: true, responses: [{ response_put: {} }] };
}

async function range(event: h3.H3Event): Promise<object> {
	const body = (await event.req.json()) as { key: string; range_end?: string };
	if (faults.readMs > 0) await timers.setTimeout(faults.readMs);
	if (faults.down) closeConnection(event);
	store.expireLeases();
	stats.reads += 1;
	const kvs = store.range(decode(body.key), body.range_end && decode(body.range_end));
	return { header: header(), kvs: kvs.map(toKv), count: String(kvs.length) };
}

async function watch(event: h3.H3Event): Promise<Response> {
	const body = (await event.req.json()) as {
		create_request: { key: string; range_end: string; start_revision?: string };
	};
	if (faults.down) closeConnection(event);
	stats.watches += 1;
	const request = body.create_request;
	const from = Number(request.start_revision ?? store.revision + 1);
	let end = (): void => undefined;
	const stream = new ReadableStream<Uint8Array>({
		start(controller) {
			const send = (result: object): void => {
				controller.enqueue(Buffer.from(`${JSON.stringify({ result })}\n`));
			};
			send({ header: header(), created: true });
			const stop = store.watch(decode(request.key), decode(request.range_end), from, (changes) => {
				if (faults.stallWatches) return;
				send({
					header: header(),
					events: changes.map((change) => ({ type: change.type, kv: toKv(change.entry) })),
				});
			});
			const closeWatch = (): void => {
				end();
				controller.close();
			};
			end = () => {
				stop();
				closeWatches.delete(closeWatch);
			};
			closeWatches.add(closeWatch);
		},
		cancel() {
			end();
		},
	});
	return new Response(stream, { headers: { 'content-type': 'application/json' } });
}

async function leaseCall(
	event: h3.H3Event,
	answer: (body: Record<string, string>) => object,
): Promise<object> {
	const body = (await event.req.json()) as Record<string, string>;
	if (faults.down) closeConnection(event);
	stats.leaseCalls += 1;
	return answer(body);
}

const app = new h3.H3()
	.post('/v3/kv/range', range)
	.post('/v3/kv/txn', txn)
	.post('/v3/watch', watch)
	.post('/v3/lease/grant', (event) =>
		leaseCall(event, (body) => ({ header: header(), ID: store.grantLease(Number(body.TTL)), TTL: body.TTL })),
	)
	.post('/v3/lease/keepalive', (event) =>
		leaseCall(event, (body) => ({ result: { ID: body.ID, TTL: String(store.keep(body.ID ?? '')) } })),
	)
	.post('/v3/lease/revoke', (event) =>
		leaseCall(event, (body) => {
			store.revokeLease(body.ID ?? '');
			return { header: header() };
		}),
	)
	.get('/stats', () => ({ ...stats, watching: store.watcherCount, revision: store.revision }))
	.post('/fault', async (event) => {
		faults = faultSchema.parse(await event.req.json());
		if (faults.down) for (const cut of [...closeWatches]) cut();
		return faults;
	});

setInterval(() => {
	store.expireLeases();
}, 100).unref();

const port = Number(process.env.PORT ?? '0');
const { address } = await standIn.listen(app, port);
standIn.announce(address);
