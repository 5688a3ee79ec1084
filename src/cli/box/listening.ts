/** Servers on addresses as the settings write them, `host:port`. */
import type * as http from 'node:http';
import * as net from 'node:net';
import * as connections from './connections.js';
import * as reading from '../../core/after-pending-reads.js';

/** A connection that was ended is read for so long until its caller has ended it too, in milliseconds. */
const lingerMs = 500;

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
 * their answers.
 *
 * A connection that carries no request ends with `lastAnswer`, a whole answer in HTTP/1.1 that refuses: a request that is on
 * its way then would be left without any. It is not run: what arrives after the close has to be refused anyway. Callers
 * without a request take the text for the end that it is (RFC 9112, 9.2; RFC 9110, 15.5.9 has the same for 408).
 */
export function finish(
	server: http.Server,
	unusedCloseDelayMs: number,
	timeoutMs: number,
	lastAnswer = '',
): Promise<void> {
	return new Promise((resolve) => {
		// Not the close of `http.Server`, which would end the idle connections at once: on some of them a request may have
		// arrived that is not read yet, the more the busier this process is.
		net.Server.prototype.close.call(server, () => {
			resolve();
		});
		setTimeout(() => {
			reading.afterPendingReads(() => {
				for (const socket of trackers.get(server)?.unused() ?? []) endUnused(socket, lastAnswer);
			});
		}, unusedCloseDelayMs).unref();
		setTimeout(resolve, timeoutMs).unref();
	});
}

/** Ends a connection that carries no request. */
function endUnused(socket: net.Socket, lastAnswer: string): void {
	socket.end(lastAnswer);
	// A close while requests arrive would reset the connection, and the last answer might be lost with it.
	const timer = setTimeout(() => socket.destroy(), lingerMs).unref();
	socket.once('close', () => {
		clearTimeout(timer);
	});
}

/** Host and port of an address. */
export function toListenOptions(address: string): { host: string; port: number } {
	const colon = address.lastIndexOf(':');
	return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
