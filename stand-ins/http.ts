/** What the stand-ins share: serving an h3 app on loopback, and announcing its address. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as h3 from 'h3';

/** Serves `app` on loopback; port 0: the kernel chooses one. Resolves with the server and its address, `host:port`. */
export async function listen(app: h3.H3, port: number): Promise<{ server: http.Server; address: string }> {
	const server = http.createServer(h3.toNodeHandler(app));
	server.keepAliveTimeout = 60_000;
	await new Promise<void>((resolve) => {
		server.listen(port, '127.0.0.1', resolve);
	});
	const at = server.address() as net.AddressInfo;
	return { server, address: `127.0.0.1:${at.port}` };
}

/** Writes the stand-in's address to standard output for the process that started it. */
export function announce(address: string): void {
	process.stdout.write(`${JSON.stringify({ ready: address })}\n`);
}
