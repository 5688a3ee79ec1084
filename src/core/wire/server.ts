/** Server side of peer connections: answers the requests of each connection by id. */
import * as net from 'node:net';
import * as frames from './frame.js';
import * as envelopes from './envelope.js';
import * as errorStacks from '../errors/stacks.js';
import type * as errors from '../errors/index.js';
import type * as events from '../events/index.js';
import type * as results from '../result.js';

/** Answers one request of a peer. */
export type PeerHandler<Req> = (req: Req) => Promise<results.Result<unknown, errors.Failure>>;

/** Validates a peer's request; the failure names the field at fault. */
export type ParseReq<Req> = (body: unknown) => results.Result<Req, string>;

/** Idle timeout of a connection that sends nothing, in milliseconds. */
const idleTimeoutMs = 30_000;

/** Accepts connections of peers and answers their requests. */
export class PeerServer<Req> {
	private readonly sockets = new Set<net.Socket>();

	private constructor(
		private readonly server: net.Server,
		private readonly log: events.EventLog,
		private readonly parse: ParseReq<Req>,
		private readonly handler: PeerHandler<Req>,
	) {}

	/** Starts listening on a loopback or zone address; port 0 lets the kernel choose. */
	static async create<Req>(
		host: string,
		port: number,
		log: events.EventLog,
		parse: ParseReq<Req>,
		handler: PeerHandler<Req>,
	): Promise<PeerServer<Req>> {
		const server = net.createServer();
		const self = new PeerServer(server, log, parse, handler);
		server.on('connection', (socket) => {
			self.serve(socket);
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		return self;
	}

	/** Address for peers, `host:port`. */
	get address(): string {
		const bound = this.server.address() as net.AddressInfo;
		return `${bound.address}:${bound.port}`;
	}

	/** Stops listening and closes every connection. */
	async close(): Promise<void> {
		const closed = new Promise<void>((resolve) => {
			this.server.close(() => {
				resolve();
			});
		});
		for (const socket of this.sockets) socket.destroy();
		await closed;
	}

	private serve(socket: net.Socket): void {
		this.sockets.add(socket);
		socket.setNoDelay(true);
		socket.setTimeout(idleTimeoutMs, () => {
			this.reject(socket, 'idle for too long');
		});
		const reader = frames.FrameReader.create();
		socket.on('data', (chunk: Buffer) => {
			const values = reader.push(chunk);
			if (!values.ok) {
				this.reject(socket, values.err);
				return;
			}
			for (const value of values.value) this.receive(socket, value);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => this.sockets.delete(socket));
	}

	private receive(socket: net.Socket, value: unknown): void {
		const env = envelopes.envelope.safeParse(value);
		if (!env.success || env.data.kind !== 'req') {
			this.reject(socket, 'not a request envelope');
			return;
		}
		const req = this.parse(env.data.body);
		if (!req.ok) {
			this.reject(socket, req.err);
			return;
		}
		this.log.clock.observe(env.data.stamp);
		void this.answer(socket, env.data.id, req.value);
	}

	private async answer(socket: net.Socket, id: number, req: Req): Promise<void> {
		let body: results.Result<unknown, errors.Failure>;
		try {
			body = await this.handler(req);
		} catch (err) {
			// Any answer would state what became of the request, which is not known. The peer's other requests are answered.
			this.log.emit('request.unhandled', { reason: String(err), stack: errorStacks.placeOf(err) });
			return;
		}
		if (socket.destroyed) return;
		const env: envelopes.Envelope = { id, stamp: this.log.clock.tick(), kind: 'res', body };
		socket.write(frames.encodeFrame(env));
	}

	private reject(socket: net.Socket, reason: string): void {
		this.log.emit('wire.rejected', {
			reason,
			peer: `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`,
		});
		socket.destroy();
	}
}
