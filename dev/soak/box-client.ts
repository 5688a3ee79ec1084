/** HTTP client that callers use for boxes. Connections stay open as long as a box's process lives. */
import * as undici from 'undici';
import * as random from '../random.js';
import * as environments from './environment.js';
import type * as checkers from './invariant-checker.js';

/** How long a caller waits for an answer, in milliseconds. */
const answerTimeoutMs = 3_000;

/** Maximum number of connections to one process. */
const connectionsPerProcess = 4;

/** Error codes of connections that the kernel of the other side resets. */
const resetCodes = new Set(['ECONNRESET', 'EPIPE']);

/** Outcome of one request. An undefined `status` means that there was no answer. */
export interface Reply {
	status: number | undefined;
	body: Record<string, unknown>;
}

type Method = 'GET' | 'POST' | 'DELETE';

export interface BoxClientOptions {
	environment: Pick<environments.Environment, 'boxes' | 'now'>;
	checker: checkers.InvariantChecker;
	/** Decides which box gets a request. */
	nextRandom: () => number;
}

/** The connections of one caller. */
export class BoxClient {
	private readonly pools = new Map<string, undici.Pool>();

	private constructor(private readonly opts: BoxClientOptions) {}

	static create(opts: BoxClientOptions): BoxClient {
		return new BoxClient(opts);
	}

	/** Sends one request to one box. */
	async send(box: environments.SoakBox, method: Method, path: string, body?: object): Promise<Reply> {
		const { environment, checker } = this.opts;
		const { process } = box;
		if (process === undefined) return { status: undefined, body: {} };
		const sentAt = environment.now();
		const headers = { host: environments.host, 'content-type': 'application/json' };
		let writtenAt: number | undefined;
		const writeObserver = observeWrite(() => {
			writtenAt = environment.now();
		});
		try {
			const res = await this.pool(process.callers)
				.compose(writeObserver)
				.request({
					method,
					path,
					headers,
					body: body === undefined ? null : JSON.stringify(body),
					headersTimeout: answerTimeoutMs,
					bodyTimeout: answerTimeoutMs,
				});
			return { status: res.statusCode, body: parseBody(await res.body.text()) };
		} catch (err) {
			const { code = '' } = err as NodeJS.ErrnoException;
			// A planned stop of the process that got this request closed its connection.
			if (box.stopping === process && isCutOff(code, writtenAt !== undefined)) {
				const writtenMs =
					writtenAt === undefined ? 'never' : `${Math.round(environment.now() - writtenAt)} ms ago`;
				const sentMs = Math.round(environment.now() - sentAt);
				const detail = `${sentMs} ms after it was sent, written ${writtenMs}: ${String(err)}`;
				checker.reportViolation('cut', `${box.name} ${method} ${path}, ${detail}`);
			}
			return { status: undefined, body: {} };
		}
	}

	async close(): Promise<void> {
		await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
	}

	/** Sends one request to any box. */
	sendAnywhere(method: Method, path: string, body?: object): Promise<Reply> {
		return this.send(random.pick(this.opts.nextRandom, this.opts.environment.boxes), method, path, body);
	}

	private pool(address: string): undici.Pool {
		const known = this.pools.get(address);
		if (known !== undefined) return known;
		const created = new undici.Pool(`http://${address}`, { connections: connectionsPerProcess });
		this.pools.set(address, created);
		return created;
	}
}

/**
 * Whether a request that failed with `code` was cut off. A connection that is reset before anything was written to it counts
 * as refused, like one that finds no listener: the caller knows that the request was never sent.
 */
export function isCutOff(code: string, isWritten: boolean): boolean {
	return code === 'UND_ERR_SOCKET' || (isWritten && resetCodes.has(code));
}

/**
 * Calls `onWrite` when a request is written to its connection. Until then the request waits in the pool, and no box knows of
 * it.
 */
function observeWrite(onWrite: () => void): undici.Dispatcher.DispatcherComposeInterceptor {
	return (dispatch) => (opts, handler) => {
		const observer: undici.Dispatcher.DispatchHandler = new undici.DecoratorHandler(handler);
		const forward = observer.onRequestStart?.bind(observer);
		observer.onRequestStart = (controller, context) => {
			onWrite();
			forward?.(controller, context);
		};
		return dispatch(opts, observer);
	};
}

function parseBody(text: string): Record<string, unknown> {
	return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}
