/** A small TCP proxy that injects faults between two processes: cut, one-way cut, delay, freeze, a narrow link. Not shipped. */
import * as net from 'node:net';
import type * as narrowLinks from './narrow-link.js';

/** What the proxy does with traffic. */
export type ProxyMode =
	/** Passes everything on. */
	| { kind: 'pass' }
	/** Ends connections and refuses new ones. */
	| { kind: 'cut' }
	/** Accepts and passes nothing on, either way. */
	| { kind: 'freeze' }
	/** Requests reach the target; answers are dropped. */
	| { kind: 'drop-answers' }
	/** Holds each piece back for so many milliseconds. */
	| { kind: 'delay'; ms: number }
	/** Sends over links that others may share, one for requests and one for answers. */
	| { kind: 'narrow'; links: Record<'request' | 'answer', narrowLinks.NarrowLink> };

/** One proxied target. */
export class FaultProxy {
	/** Where it listens, also once it is closed. */
	address = '';
	private mode: ProxyMode = { kind: 'pass' };
	/** Troubles under way, the newest last. */
	private activeFaults: ProxyMode[] = [];
	private readonly sockets = new Set<net.Socket>();
	/** Connections that have gone silent for good. */
	private readonly stalled = new WeakSet<net.Socket>();

	private constructor(
		private readonly server: net.Server,
		private readonly target: string,
	) {}

	/** Listens on a kernel-chosen port of loopback for `target`, `host:port`. */
	static async create(target: string): Promise<FaultProxy> {
		const server = net.createServer();
		const proxy = new FaultProxy(server, target);
		server.on('connection', (socket) => {
			proxy.handleConnection(socket);
		});
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		proxy.address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
		return proxy;
	}

	/** Changes what happens from now on; connections from before a cut or freeze are treated alike. */
	set(mode: ProxyMode): void {
		this.mode = mode;
		if (mode.kind === 'cut') for (const socket of this.sockets) socket.destroy();
		// What a frozen link held back must not come through later as if nothing had been.
		if (mode.kind === 'pass') for (const socket of this.sockets) if (socket.isPaused()) socket.destroy();
	}

	/** Changes what happens until the call that is returned; of several troubles the newest counts. */
	addFault(mode: ProxyMode): () => void {
		const fault = { ...mode };
		this.activeFaults.push(fault);
		this.set(fault);
		return () => {
			this.activeFaults = this.activeFaults.filter((one) => one !== fault);
			const remaining = this.activeFaults.at(-1) ?? { kind: 'pass' };
			if (remaining !== this.mode) this.set(remaining);
		};
	}

	/** The connections that are open now carry nothing any more, not even their end; new ones work. */
	stallConnections(): void {
		for (const socket of this.sockets) this.stalled.add(socket);
	}

	close(): void {
		this.server.close();
		for (const socket of this.sockets) socket.destroy();
	}

	private handleConnection(client: net.Socket): void {
		if (this.mode.kind === 'cut') {
			client.destroy();
			return;
		}
		const portSeparator = this.target.lastIndexOf(':');
		const upstream = net.connect(
			Number(this.target.slice(portSeparator + 1)),
			this.target.slice(0, portSeparator),
		);
		this.pipe(client, upstream, 'request');
		this.pipe(upstream, client, 'answer');
	}

	private pipe(from: net.Socket, to: net.Socket, direction: 'request' | 'answer'): void {
		this.sockets.add(from);
		from.setNoDelay(true);
		from.on('data', (chunk: Buffer) => {
			this.forward(from, to, chunk, direction);
		});
		from.on('error', () => {
			this.passEnd(from, () => to.destroy());
		});
		from.on('end', () => {
			this.passEnd(from, () => to.end());
		});
		from.on('close', () => {
			this.sockets.delete(from);
			this.passEnd(from, () => to.destroy());
		});
	}

	/** Passes the end of a connection on, unless it is silent. */
	private passEnd(from: net.Socket, endOther: () => void): void {
		if (!this.stalled.has(from)) endOther();
	}

	private forward(from: net.Socket, to: net.Socket, chunk: Buffer, direction: 'request' | 'answer'): void {
		const { mode } = this;
		if (this.stalled.has(from)) return;
		if (mode.kind === 'freeze') {
			from.pause();
			return;
		}
		if (mode.kind === 'drop-answers' && direction === 'answer') return;
		if (mode.kind === 'narrow') {
			const link = mode.links[direction];
			link.send(chunk.length, () => {
				to.write(chunk);
			});
			if (!link.isFull) return;
			from.pause();
			link.whenNotFull(() => from.resume());
			return;
		}
		if (mode.kind === 'delay') {
			setTimeout(() => to.write(chunk), mode.ms);
			return;
		}
		to.write(chunk);
	}
}
