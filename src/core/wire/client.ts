/** The calling side of peer connections: one connection a peer, many requests at once, each with a deadline. */
import * as net from 'node:net';
import * as frames from './frame.js';
import * as envelopes from './envelope.js';
import * as results from '../result.js';
import type * as clocks from '../clock.js';
import type * as errors from '../errors/index.js';
import type * as events from '../events/index.js';

/**
 * Why a call brought no reply. `none`: no byte of it left, so it had no effect.
 * `unknown`: it may or may not have taken effect.
 */
export interface CallFailure {
	effect: 'none' | 'unknown';
	/**
	 * `refused`: no process listens at the address. `silent`: no reply came in time. `broken`: the connection ended, or
	 * could not be opened, for another reason.
	 */
	cause: 'refused' | 'silent' | 'broken';
	reason: string;
}

/** What a peer call comes to: the peer's own result, or no reply. */
export type CallResult<T> = results.Result<results.Result<T, errors.Failure>, CallFailure>;

interface Waiting {
	settle: (result: CallResult<unknown>) => void;
}

/** Connections to peers by address, opened on use. */
export class PeerClient<Req> {
	private readonly links = new Map<string, Link>();

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly log: events.EventLog,
	) {}

	static create<Req>(clock: clocks.Clock, log: events.EventLog): PeerClient<Req> {
		return new PeerClient(clock, log);
	}

	/** Sends `req` to the process at `address` (`host:port`) and waits at most `timeoutMs`. */
	async call<T>(address: string, req: Req, timeoutMs: number): Promise<CallResult<T>> {
		let link = this.links.get(address);
		if (link === undefined || link.closed) {
			link = Link.create(address, this.log);
			this.links.set(address, link);
		}
		return (await link.call(req, timeoutMs, this.clock)) as CallResult<T>;
	}

	/** Closes every connection; calls under way end as `unknown`. */
	close(): void {
		for (const link of this.links.values()) link.close('closed here');
		this.links.clear();
	}
}

class Link {
	closed = false;
	private nextId = 1;
	private connected = false;
	private readonly waiting = new Map<number, Waiting>();
	private readonly reader = frames.FrameReader.create();

	private constructor(
		private readonly socket: net.Socket,
		private readonly log: events.EventLog,
	) {}

	static create(address: string, log: events.EventLog): Link {
		const cut = address.lastIndexOf(':');
		const socket = net.connect({ host: address.slice(0, cut), port: Number(address.slice(cut + 1)) });
		const link = new Link(socket, log);
		socket.setNoDelay(true);
		socket.on('connect', () => {
			link.connected = true;
		});
		socket.on('data', (chunk: Buffer) => {
			link.take(chunk);
		});
		socket.on('error', (err) => {
			const { code } = err as NodeJS.ErrnoException;
			link.close(err.message, code === 'ECONNREFUSED' ? 'refused' : 'broken');
		});
		socket.on('close', () => {
			link.close('connection closed');
		});
		return link;
	}

	call(req: unknown, timeoutMs: number, clock: clocks.Clock): Promise<CallResult<unknown>> {
		const id = this.nextId;
		this.nextId += 1;
		return new Promise((resolve) => {
			const timer = clock.after(timeoutMs, () => {
				const effect = this.connected ? 'unknown' : 'none';
				settle(results.fail({ effect, cause: 'silent', reason: `no reply within ${timeoutMs} ms` }));
				// A connection that swallows requests is not trusted with the next one.
				this.close('a reply is overdue');
			});
			const settle = (result: CallResult<unknown>): void => {
				if (!this.waiting.delete(id)) return;
				timer.cancel();
				resolve(result);
			};
			this.waiting.set(id, { settle });
			const env: envelopes.Envelope = { id, stamp: this.log.clock.tick(), kind: 'req', body: req };
			this.socket.write(frames.encodeFrame(env));
		});
	}

	close(reason: string, cause: CallFailure['cause'] = 'broken'): void {
		if (this.closed) return;
		this.closed = true;
		this.socket.destroy();
		const effect = this.connected ? 'unknown' : 'none';
		for (const waiting of [...this.waiting.values()]) waiting.settle(results.fail({ effect, cause, reason }));
	}

	private take(chunk: Buffer): void {
		const values = this.reader.push(chunk);
		if (!values.ok) {
			this.close(values.err);
			return;
		}
		for (const value of values.value) {
			const env = envelopes.envelope.safeParse(value);
			if (!env.success || env.data.kind !== 'res') {
				this.close('not a reply envelope');
				return;
			}
			this.log.clock.observe(env.data.stamp);
			const body = env.data.body as results.Result<unknown, errors.Failure>;
			this.waiting.get(env.data.id)?.settle(results.ok(body));
		}
	}
}
