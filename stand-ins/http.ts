/** What the stand-ins share: an h3 app on a kernel-chosen port, and a line that tells it. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as h3 from 'h3';

/** Starts `app`; resolves with the server and its address `host:port`. */
export async function listen(app: h3.H3, port: number): Promise<{ server: http.Server; address: string }> {
	const server = http.createServer(h3.toNodeHandler(app));
	server.keepAliveTimeout = 60_000;
	await new Promise<void>((resolve) => {
		server.listen(port, '127.0.0.1', resolve);
	});
	const at = server.address() as net.AddressInfo;
	return { server, address: `127.0.0.1:${at.port}` };
}

/** Tells the starter, on standard output, where the stand-in listens. */
export function announce(address: string): void {
	process.stdout.write(`${JSON.stringify({ ready: address })}\n`);
}
