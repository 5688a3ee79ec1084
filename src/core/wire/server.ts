/** The listening side of peer connections: one task a connection, requests answered by id. */
import * as net from 'node:net';
import * as frames from './frame.js';
import * as types from './types.js';
import type * as errors from '../errors/index.js';
import type * as events from '../events/index.js';
import type * as results from '../result.js';

/** Answers one request of a peer. */
export type PeerHandler = (req: types.PeerReq) => Promise<results.Result<unknown, errors.Failure>>;

/** A connection that sends nothing at all is closed after this many milliseconds. */
const silentLimitMs = 30_000;

/** Listens for peers. */
export class PeerServer {
	private readonly sockets = new Set<net.Socket>();

	private constructor(
		private readonly server: net.Server,
		private readonly log: events.EventLog,
		private readonly handler: PeerHandler,
	) {}

	/** Starts listening on a loopback or zone address; port 0 lets the kernel choose. */
	static async create(
		host: string,
		port: number,
		log: events.EventLog,
		handler: PeerHandler,
	): Promise<PeerServer> {
		const server = net.createServer();
		const self = new PeerServer(server, log, handler);
		server.on('connection', (socket) => {
			self.serve(socket);
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		return self;
	}

	/** The address peers connect to, `host:port`. */
	get address(): string {
		const at = this.server.address() as net.AddressInfo;
		return `${at.address}:${at.port}`;
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
		socket.setTimeout(silentLimitMs, () => {
			this.reject(socket, 'silent for too long');
		});
		const reader = frames.FrameReader.create();
		socket.on('data', (chunk: Buffer) => {
			const values = reader.push(chunk);
			if (!values.ok) {
				this.reject(socket, values.err);
				return;
			}
			for (const value of values.value) this.take(socket, value);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => this.sockets.delete(socket));
	}

	private take(socket: net.Socket, value: unknown): void {
		const env = types.envelope.safeParse(value);
		if (!env.success || env.data.kind !== 'req') {
			this.reject(socket, 'not a request envelope');
			return;
		}
		const req = types.peerReq.safeParse(env.data.body);
		if (!req.success) {
			const issue = req.error.issues[0];
			this.reject(socket, `request field ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
			return;
		}
		this.log.clock.observe(env.data.stamp);
		void this.answer(socket, env.data.id, req.data);
	}

	private async answer(socket: net.Socket, id: number, req: types.PeerReq): Promise<void> {
		const body = await this.handler(req);
		if (socket.destroyed) return;
		const env: types.Envelope = { id, stamp: this.log.clock.tick(), kind: 'res', body };
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
