/** HTTP client that callers use for boxes. Connections stay open as long as a box's process lives. */
import * as undici from 'undici';
import * as random from '../random.js';
import * as worlds from './world.js';
import type * as judges from './judge.js';

/** How long a caller waits for an answer, in milliseconds. */
const patienceMs = 3_000;

/** Maximum number of connections to one process. */
const connections = 4;

/** Error codes of connections that the kernel of the other side resets. */
const resetCodes = new Set(['ECONNRESET', 'EPIPE']);

/** Outcome of one request. An undefined `status` means that there was no answer. */
export interface Reply {
	status: number | undefined;
	body: Record<string, unknown>;
}

type Method = 'GET' | 'POST' | 'DELETE';

export interface BoxClientOptions {
	world: Pick<worlds.World, 'boxes' | 'now'>;
	judge: judges.Judge;
	/** Decides which box gets a request. */
	next: () => number;
}

/** The connections of one caller. */
export class BoxClient {
	private readonly pools = new Map<string, undici.Pool>();

	private constructor(private readonly opts: BoxClientOptions) {}

	static create(opts: BoxClientOptions): BoxClient {
		return new BoxClient(opts);
	}

	/** Sends one request to one box. */
	async send(box: worlds.SoakBox, method: Method, path: string, body?: object): Promise<Reply> {
		const { world, judge } = this.opts;
		const { process } = box;
		if (process === undefined) return { status: undefined, body: {} };
		const sentAt = world.now();
		const headers = { host: worlds.host, 'content-type': 'application/json' };
		let writtenAt: number | undefined;
		const noting = noteWrite(() => {
			writtenAt = world.now();
		});
		try {
			const res = await this.pool(process.callers)
				.compose(noting)
				.request({
					method,
					path,
					headers,
					body: body === undefined ? null : JSON.stringify(body),
					headersTimeout: patienceMs,
					bodyTimeout: patienceMs,
				});
			return { status: res.statusCode, body: parse(await res.body.text()) };
		} catch (err) {
			const { code = '' } = err as NodeJS.ErrnoException;
			// A planned stop of the process that got this request closed its connection.
			if (box.stopping === process && isCutOff(code, writtenAt !== undefined)) {
				const writtenMs = writtenAt === undefined ? 'never' : `${Math.round(world.now() - writtenAt)} ms ago`;
				const sentMs = Math.round(world.now() - sentAt);
				const detail = `${sentMs} ms after it was sent, written ${writtenMs}: ${String(err)}`;
				judge.report('cut', `${box.name} ${method} ${path}, ${detail}`);
			}
			return { status: undefined, body: {} };
		}
	}

	async close(): Promise<void> {
		await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
	}

	/** Sends one request to any box. */
	sendAnywhere(method: Method, path: string, body?: object): Promise<Reply> {
		return this.send(random.pick(this.opts.next, this.opts.world.boxes), method, path, body);
	}

	private pool(callers: string): undici.Pool {
		const known = this.pools.get(callers);
		if (known !== undefined) return known;
		const created = new undici.Pool(`http://${callers}`, { connections });
		this.pools.set(callers, created);
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
function noteWrite(onWrite: () => void): undici.Dispatcher.DispatcherComposeInterceptor {
	return (dispatch) => (opts, handler) => {
		const noting: undici.Dispatcher.DispatchHandler = new undici.DecoratorHandler(handler);
		const pass = noting.onRequestStart?.bind(noting);
		noting.onRequestStart = (controller, context) => {
			onWrite();
			pass?.(controller, context);
		};
		return dispatch(opts, noting);
	};
}

function parse(text: string): Record<string, unknown> {
	return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}
