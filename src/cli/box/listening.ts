/** Servers on addresses of the form `host:port`, and their graceful close. */
import type * as http from 'node:http';
import * as net from 'node:net';
import * as connections from './connections.js';
import * as reading from '../../core/after-pending-reads.js';

/** A connection that was ended here is still read for this long until its caller ends it too, in milliseconds. */
const lingerMs = 500;

/** The connections of each listening server. */
const trackers = new WeakMap<net.Server, connections.ConnectionTracker>();

/** Listens, and returns the address; port 0 lets the kernel choose a port. Fails if the address can't be used. */
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
 * Accepts no new connections, ends those that carry no request after `unusedCloseDelayMs` milliseconds, and resolves once
 * every pending request is answered, after `timeoutMs` milliseconds at the latest. Answers sent meanwhile have to close
 * their connections.
 *
 * A connection that carries no request ends with `lastAnswer`, a complete HTTP/1.1 response that refuses. Without it, a
 * request already on its way would get no answer. That request is not run: what arrives after the close has to be refused
 * anyway. Callers without a request take the text as the end of the connection (RFC 9112, 9.2; RFC 9110, 15.5.9 has the same
 * for 408).
 */
export function finish(
	server: http.Server,
	unusedCloseDelayMs: number,
	timeoutMs: number,
	lastAnswer = '',
): Promise<void> {
	return new Promise((resolve) => {
		// Not `close` of `http.Server`, which ends idle connections at once: a request may have arrived on one of them that
		// is not read yet, more likely the busier this process is.
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
	// Closing while requests arrive would reset the connection, and the last answer might be lost with it.
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
