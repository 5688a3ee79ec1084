/** HTTP as callers speak it to boxes; connections stay open as long as a box's process lives. */
import * as undici from 'undici';
import * as random from '../random.js';
import * as environments from './environment.js';
import type * as checkers from './invariant-checker.js';

/** A caller waits so long for an answer, in milliseconds. */
const answerTimeoutMs = 3_000;

/** Connections to one process. */
const connectionsPerProcess = 4;

/** Errors of connections that the kernel of the other side resets. */
const resetCodes = new Set(['ECONNRESET', 'EPIPE']);

/** What came of one request: a status, or none. */
export interface Reply {
	status: number | undefined;
	body: Record<string, unknown>;
}

type Method = 'GET' | 'POST' | 'DELETE';

/** What a client uses. */
export interface BoxClientOptions {
	environment: Pick<environments.Environment, 'boxes' | 'now'>;
	checker: checkers.InvariantChecker;
	/** Decides which box is asked. */
	nextRandom: () => number;
}

/** The connections of one caller. */
export class BoxClient {
	private readonly pools = new Map<string, undici.Pool>();

	private constructor(private readonly opts: BoxClientOptions) {}

	static create(opts: BoxClientOptions): BoxClient {
		return new BoxClient(opts);
	}

	/** One request to one box. */
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
			// A planned stop of the very process that was asked closed its connection.
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

	/** One request to any box. */
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
 * Whether a request that failed so was cut off. A connection that is reset before anything was written to it is refused, as
 * one that finds no listener: the caller knows that the request was never sent.
 */
export function isCutOff(code: string, isWritten: boolean): boolean {
	return code === 'UND_ERR_SOCKET' || (isWritten && resetCodes.has(code));
}

/** Tells when a request is written to its connection: until then it waits in the pool, and no box knows of it. */
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
