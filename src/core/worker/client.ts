/** Adapter to the platform's workers: JSON over HTTP, one exchange at a time per worker. */
import * as undici from 'undici';
import * as results from '../result.js';
import * as types from './types.js';

/** Timeout of an exchange, in milliseconds; after it the exchange counts as unanswered. */
export const exchangeTimeoutMs = 2_000;

/** Sends an exchange to the worker at an address. */
export type Exchange = (
	address: string,
	req: types.ExchangeReq,
) => Promise<results.Result<types.ExchangeRes, string>>;

/** HTTP connections to workers, kept open. */
export class WorkerClient {
	private constructor(private readonly agent: undici.Agent) {}

	static create(): WorkerClient {
		return new WorkerClient(new undici.Agent({ connections: 1, pipelining: 1, keepAliveTimeout: 30_000 }));
	}

	/** One exchange with the worker at `address` (`host:port`). */
	readonly exchange: Exchange = async (address, req) => {
		try {
			const res = await undici.request(`http://${address}/v1/exchange`, {
				method: 'POST',
				dispatcher: this.agent,
				headers: { 'content-type': 'application/json' },
				body: JSON.stringify(req),
				signal: AbortSignal.timeout(exchangeTimeoutMs),
			});
			const body = await res.body.json();
			if (res.statusCode !== 200) return results.fail(`status ${res.statusCode}`);
			const parsed = types.exchangeRes.safeParse(body);
			return parsed.success ? results.ok(parsed.data) : results.fail(parsed.error.message);
		} catch (err) {
			return results.fail(err instanceof Error ? err.message : String(err));
		}
	};

	async close(): Promise<void> {
		await this.agent.destroy();
	}
}
