/** Client side of peer connections: one connection per peer, many concurrent requests, each with a timeout. */
import * as net from 'node:net';
import * as frames from './frame.js';
import * as envelopes from './envelope.js';
import * as results from '../result.js';
import type * as clocks from '../clock.js';
import type * as errors from '../errors/index.js';
import type * as events from '../events/index.js';

/**
 * A connection with an overdue call is presumed dead if nothing has arrived on it for this time, in milliseconds. A peer
 * that is only slow answers other calls meanwhile; closing its connection would abort those and add new connections to its
 * load.
 */
const unresponsiveTimeoutMs = 1_000;

/** Why a call got no reply. `none`: no byte of it was sent, so it had no effect. `unknown`: it may have taken effect. */
export interface CallFailure {
	effect: 'none' | 'unknown';
	/**
	 * `refused`: no process listens at the address. `silent`: no reply came in time. `broken`: the connection closed, or
	 * could not be opened, for another reason.
	 */
	cause: 'refused' | 'silent' | 'broken';
	reason: string;
}

/** Result of a peer call: the peer's own result, or a failure if no reply came. */
export type CallResult<T> = results.Result<results.Result<T, errors.Failure>, CallFailure>;

interface PendingCall {
	complete: (result: CallResult<unknown>) => void;
}

/** Connections to peers by address, opened on first use. */
export class PeerClient<Req> {
	private readonly connections = new Map<string, Connection>();

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly log: events.EventLog,
	) {}

	static create<Req>(clock: clocks.Clock, log: events.EventLog): PeerClient<Req> {
		return new PeerClient(clock, log);
	}

	/** Sends `req` to the process at `address` (`host:port`) and waits at most `timeoutMs`. */
	async call<T>(address: string, req: Req, timeoutMs: number): Promise<CallResult<T>> {
		let connection = this.connections.get(address);
		if (connection === undefined || connection.closed) {
			connection = Connection.create(address, this.clock, this.log);
			this.connections.set(address, connection);
		}
		return (await connection.call(req, timeoutMs)) as CallResult<T>;
	}

	/** Closes every connection; calls in progress fail, with effect `unknown` if their connection was open. */
	close(): void {
		for (const connection of this.connections.values()) connection.close('connection closed by this process');
		this.connections.clear();
	}
}

class Connection {
	closed = false;
	private nextId = 1;
	private connected = false;
	/** Clock time at which the newest byte came from the peer, or at which the connection was opened. */
	private lastReceivedAt: number;
	private readonly waiting = new Map<number, PendingCall>();
	private readonly reader = frames.FrameReader.create();

	private constructor(
		private readonly socket: net.Socket,
		private readonly clock: clocks.Clock,
		private readonly log: events.EventLog,
	) {
		this.lastReceivedAt = clock.now();
	}

	static create(address: string, clock: clocks.Clock, log: events.EventLog): Connection {
		const colonIndex = address.lastIndexOf(':');
		const socket = net.connect({
			host: address.slice(0, colonIndex),
			port: Number(address.slice(colonIndex + 1)),
		});
		const connection = new Connection(socket, clock, log);
		socket.setNoDelay(true);
		socket.on('connect', () => {
			connection.connected = true;
			connection.lastReceivedAt = clock.now();
		});
		socket.on('data', (chunk: Buffer) => {
			connection.receive(chunk);
		});
		socket.on('error', (err) => {
			const { code } = err as NodeJS.ErrnoException;
			connection.close(err.message, code === 'ECONNREFUSED' ? 'refused' : 'broken');
		});
		socket.on('close', () => {
			connection.close('connection closed');
		});
		return connection;
	}

	call(req: unknown, timeoutMs: number): Promise<CallResult<unknown>> {
		const id = this.nextId;
		this.nextId += 1;
		const sentAt = this.clock.now();
		return new Promise((resolve) => {
			const timer = this.clock.after(timeoutMs, () => {
				const effect = this.connected ? 'unknown' : 'none';
				complete(results.fail({ effect, cause: 'silent', reason: `no reply within ${timeoutMs} ms` }));
				if (this.isUnresponsiveSince(sentAt)) this.close('a reply is overdue and nothing else has arrived');
			});
			const complete = (result: CallResult<unknown>): void => {
				if (!this.waiting.delete(id)) return;
				timer.cancel();
				resolve(result);
			};
			this.waiting.set(id, { complete });
			const env: envelopes.Envelope = { id, stamp: this.log.clock.tick(), kind: 'req', body: req };
			this.socket.write(frames.encodeFrame(env));
		});
	}

	close(reason: string, cause: CallFailure['cause'] = 'broken'): void {
		if (this.closed) return;
		this.closed = true;
		this.socket.destroy();
		const effect = this.connected ? 'unknown' : 'none';
		for (const pending of [...this.waiting.values()])
			pending.complete(results.fail({ effect, cause, reason }));
	}

	/** Whether no byte has come since the call was sent, and for long enough to presume that none will. */
	private isUnresponsiveSince(sentAt: number): boolean {
		if (!this.connected) return true;
		return this.lastReceivedAt <= sentAt && this.clock.now() - this.lastReceivedAt >= unresponsiveTimeoutMs;
	}

	private receive(chunk: Buffer): void {
		this.lastReceivedAt = this.clock.now();
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
			this.waiting.get(env.data.id)?.complete(results.ok(body));
		}
	}
}
