/** Servers on addresses as the settings write them, `host:port`. */
import type * as http from 'node:http';
import * as net from 'node:net';
import * as connections from './connections.js';
import * as reading from '../../core/after-reading.js';

/** The connections of what listens. */
const trackers = new WeakMap<net.Server, connections.ConnectionTracker>();

/** Listens, and says where: port 0 lets the kernel choose. Fails if the address can't be used. */
export async function listen(server: net.Server, address: string): Promise<string> {
	trackers.set(server, connections.ConnectionTracker.create(server));
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(toListenOptions(address), resolve);
	});
	const at = server.address() as net.AddressInfo;
	return `${at.address}:${at.port}`;
}

/**
 * Takes no new connections, ends those that carry no request after `quietMs` milliseconds, and resolves once every request
 * under way has been answered, after `mostMs` milliseconds at the latest. Meanwhile connections in use are to be closed by
 * their answers: nothing tells a caller in time that one without a request ends.
 */
export function finish(server: http.Server, quietMs: number, mostMs: number): Promise<void> {
	return new Promise((resolve) => {
		// Not the close of `http.Server`, which would end the idle connections at once: on some of them a request may have
		// arrived that is not read yet, the more the busier this process is.
		net.Server.prototype.close.call(server, () => {
			resolve();
		});
		setTimeout(() => {
			reading.afterReading(() => {
				for (const socket of trackers.get(server)?.unused() ?? []) socket.destroy();
			});
		}, quietMs).unref();
		setTimeout(resolve, mostMs).unref();
	});
}

/** Host and port of an address. */
export function toListenOptions(address: string): { host: string; port: number } {
	const cut = address.lastIndexOf(':');
	return { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) };
}
