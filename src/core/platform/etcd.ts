/**
 * Adapter to a key-value service with the JSON mapping of etcd's v3 interface (`/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/*`,
 * `/v3/watch`): keys and values are in base64, 64-bit numbers are decimal strings. It uses only compare-and-swap of single
 * keys, so any service that has this can be used instead.
 */
import * as undici from 'undici';
import * as zod from 'zod';
import * as results from '../result.js';
import type * as types from './types.js';

const z = zod.z;

const int64 = z.coerce.number().int();

const kv = z.object({ key: z.string(), value: z.string().default(''), mod_revision: int64.default(0) });

const header = z.object({ revision: int64.default(0) });

const rangeRes = z.object({ header, kvs: z.array(kv).default([]) });

const txnRes = z.object({
	header,
	succeeded: z.boolean().default(false),
	responses: z
		.array(z.object({ response_range: z.object({ kvs: z.array(kv).default([]) }).optional() }))
		.default([]),
});

const grantRes = z.object({ ID: z.string() });

const keepRes = z.object({ result: z.object({ TTL: int64.default(0) }) });

const watchLine = z.object({
	result: z.object({
		events: z.array(z.object({ type: z.string().optional(), kv })).default([]),
		canceled: z.boolean().default(false),
	}),
});

/** A call without an answer after this many milliseconds fails. */
export const callTimeoutMs = 3_000;

/** Most calls in flight. */
const maxConnections = 16;

const toBase64 = (text: string): string => Buffer.from(text).toString('base64');

const fromBase64 = (text: string): string => Buffer.from(text, 'base64').toString();

/** End of the key range of a prefix: the prefix with its last byte incremented. */
function prefixEnd(prefix: string): string {
	const bytes = Buffer.from(prefix);
	const last = bytes.length - 1;
	bytes[last] = (bytes[last] ?? 0) + 1;
	return bytes.toString('base64');
}

function toStored(item: zod.infer<typeof kv>): types.Stored {
	return { key: fromBase64(item.key), value: Buffer.from(item.value, 'base64'), version: item.mod_revision };
}

/** A call that failed before its connection was established can't have had an effect. */
function toFailure(err: unknown): types.StoreFailure {
	const code = (err as { code?: unknown }).code;
	const unsent = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH';
	return { effect: unsent ? 'none' : 'unknown', reason: err instanceof Error ? err.message : String(err) };
}

/** Client of the key-value service at one address. */
export class EtcdStore implements types.Store {
	private constructor(
		private readonly origin: string,
		private readonly calls: undici.Pool,
		private readonly streams: undici.Agent,
	) {}

	/** `origin` as in `http://127.0.0.1:2379`. */
	static create(origin: string): EtcdStore {
		const calls = new undici.Pool(origin, { connections: maxConnections, pipelining: 1 });
		const streams = new undici.Agent({ bodyTimeout: 0, headersTimeout: callTimeoutMs, pipelining: 1 });
		return new EtcdStore(origin, calls, streams);
	}

	async get(key: string): Promise<results.Result<types.Stored | undefined, types.StoreFailure>> {
		const res = await this.post('/v3/kv/range', { key: toBase64(key) }, rangeRes);
		if (!res.ok) return res;
		const first = res.value.kvs[0];
		return results.ok(first && toStored(first));
	}

	async list(
		prefix: string,
	): Promise<results.Result<{ items: types.Stored[]; revision: number }, types.StoreFailure>> {
		const res = await this.post(
			'/v3/kv/range',
			{ key: toBase64(prefix), range_end: prefixEnd(prefix) },
			rangeRes,
		);
		if (!res.ok) return res;
		return results.ok({ items: res.value.kvs.map(toStored), revision: res.value.header.revision });
	}

	async swap(
		key: string,
		value: Uint8Array,
		expected: number,
		lease?: string,
	): Promise<results.Result<types.SwapOutcome, types.StoreFailure>> {
		const name = toBase64(key);
		const put = { key: name, value: Buffer.from(value).toString('base64'), lease: lease ?? '0' };
		const body = {
			compare: [{ target: 'MOD', result: 'EQUAL', key: name, mod_revision: String(expected) }],
			success: [{ request_put: put }],
			failure: [{ request_range: { key: name } }],
		};
		const res = await this.post('/v3/kv/txn', body, txnRes);
		if (!res.ok) return res;
		if (res.value.succeeded) return results.ok({ swapped: true, version: res.value.header.revision });
		const current = res.value.responses[0]?.response_range?.kvs[0];
		return results.ok({ swapped: false, current: current && toStored(current) });
	}

	async grantLease(ttlS: number): Promise<results.Result<string, types.StoreFailure>> {
		const res = await this.post('/v3/lease/grant', { TTL: String(ttlS) }, grantRes);
		return res.ok ? results.ok(res.value.ID) : res;
	}

	async keepLease(lease: string): Promise<results.Result<boolean, types.StoreFailure>> {
		const res = await this.post('/v3/lease/keepalive', { ID: lease }, keepRes);
		return res.ok ? results.ok(res.value.result.TTL > 0) : res;
	}

	async endLease(lease: string): Promise<results.Result<true, types.StoreFailure>> {
		const res = await this.post('/v3/lease/revoke', { ID: lease }, z.unknown());
		return res.ok ? results.ok(true as const) : res;
	}

	watch(prefix: string, revision: number, handlers: types.WatchHandlers): types.Watch {
		const abort = new AbortController();
		const run = async (): Promise<string> => {
			const create = {
				key: toBase64(prefix),
				range_end: prefixEnd(prefix),
				start_revision: String(revision + 1),
			};
			const res = await undici.request(`${this.origin}/v3/watch`, {
				method: 'POST',
				dispatcher: this.streams,
				signal: abort.signal,
				headers: { 'content-type': 'application/json' },
				body: JSON.stringify({ create_request: create }),
			});
			if (res.statusCode !== 200) return `status ${res.statusCode}`;
			for await (const line of lines(res.body)) {
				const message = watchLine.parse(JSON.parse(line)).result;
				if (message.canceled) return 'cancelled by the platform';
				if (message.events.length > 0) handlers.onChanges(message.events.map(toChange));
			}
			return 'stream ended';
		};
		const end = (reason: string): void => {
			if (!abort.signal.aborted) handlers.onEnd(reason);
		};
		run().then(end, (err: unknown) => {
			end(String(err));
		});
		return {
			close: () => {
				abort.abort();
			},
		};
	}

	async close(): Promise<void> {
		await Promise.all([this.calls.destroy(), this.streams.destroy()]);
	}

	private async post<T>(
		path: string,
		body: unknown,
		shape: zod.ZodType<T>,
	): Promise<results.Result<T, types.StoreFailure>> {
		try {
			const res = await this.calls.request({
				path,
				method: 'POST',
				headers: { 'content-type': 'application/json' },
				body: JSON.stringify(body),
				signal: AbortSignal.timeout(callTimeoutMs),
			});
			const answer = await res.body.json();
			if (res.statusCode !== 200)
				return results.fail({ effect: 'unknown', reason: `status ${res.statusCode}` });
			const parsed = shape.safeParse(answer);
			if (!parsed.success) return results.fail({ effect: 'unknown', reason: parsed.error.message });
			return results.ok(parsed.data);
		} catch (err) {
			return results.fail(toFailure(err));
		}
	}
}

function toChange(event: { type?: string | undefined; kv: zod.infer<typeof kv> }): types.StoreChange {
	const stored = toStored(event.kv);
	const isDeleted = event.type === 'DELETE';
	return { key: stored.key, value: isDeleted ? undefined : stored.value, version: stored.version };
}

async function* lines(body: AsyncIterable<Buffer>): AsyncGenerator<string> {
	let rest = '';
	for await (const chunk of body) {
		rest += chunk.toString();
		const parts = rest.split('\n');
		rest = parts.pop() ?? '';
		yield* parts.filter((part) => part.length > 0);
	}
}
