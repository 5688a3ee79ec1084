/**
 * A TCP proxy that injects faults between two processes: a broken link in both directions or one, a delay, a frozen link, a
 * limited bandwidth. Not shipped.
 */
import * as net from 'node:net';
import type * as narrowLinks from './narrow-link.js';

/** What the proxy does with traffic. */
export type ProxyMode =
	/** Forwards everything. */
	| { kind: 'pass' }
	/** Closes connections, and new ones as soon as they are accepted. */
	| { kind: 'cut' }
	/** Accepts connections and forwards nothing in either direction. */
	| { kind: 'freeze' }
	/** Forwards requests and drops answers. */
	| { kind: 'drop-answers' }
	/** Delays each chunk by `ms` milliseconds. */
	| { kind: 'delay'; ms: number }
	/** Sends through links with limited bandwidth, which other proxies may share; one for requests and one for answers. */
	| { kind: 'narrow'; links: Record<'request' | 'answer', narrowLinks.NarrowLink> };

/** A proxy for one target. */
export class FaultProxy {
	/** Address at which the proxy listens, `host:port`. Stays after `close`. */
	address = '';
	private mode: ProxyMode = { kind: 'pass' };
	/** Faults in force, the newest last. */
	private activeFaults: ProxyMode[] = [];
	private readonly sockets = new Set<net.Socket>();
	/** Connections that forward nothing any more. */
	private readonly stalled = new WeakSet<net.Socket>();

	private constructor(
		private readonly server: net.Server,
		private readonly target: string,
	) {}

	/** Creates a proxy for `target`, `host:port`, on a port of loopback that the kernel chooses. */
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

	/** Sets the mode. `cut` closes the open connections too; `pass` closes paused ones. */
	set(mode: ProxyMode): void {
		this.mode = mode;
		if (mode.kind === 'cut') for (const socket of this.sockets) socket.destroy();
		// Data that a frozen link held back must not arrive later as if the link had never been frozen.
		if (mode.kind === 'pass') for (const socket of this.sockets) if (socket.isPaused()) socket.destroy();
	}

	/** Sets a mode until the returned function is called. Of several faults in force, the newest applies. */
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

	/** From here on, the open connections forward neither data nor their end. New connections work. */
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

	/** Forwards the end of a connection, unless the connection is stalled. */
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
