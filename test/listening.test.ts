/** How a box closes the address at which callers reach it. */
import * as http from 'node:http';
import * as net from 'node:net';
import test from 'ava';
import * as acceptQueues from '../src/core/accept-queue.js';
import * as ingress from '../platform/ingress.js';
import * as listening from '../src/cli/box/listening.js';
import * as pendingReads from '../src/core/after-pending-reads.js';
import type * as service from '../src/core/box/job-service.js';

/** A complete request. */
const request = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

/** Never called: without a configuration, no request reaches the service. */
const unusedService = undefined as unknown as service.JobService;

/** Longer than any test: only answers end the wait. */
const longMs = 100_000;

test('closing an address answers the request that is half sent, and accepts no new connection', async (t) => {
	const server = http.createServer((req, res) => {
		req.resume().on('end', () => {
			res.writeHead(200, { connection: 'close' }).end('done');
		});
	});
	const address = await listening.listen(server, '127.0.0.1:0');
	const caller = net.connect(listening.toListenOptions(address));
	const answered = readAll(caller);
	const seen = new Promise((resolve) => server.once('request', resolve));
	caller.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nha');
	await seen;
	const finished = listening.finish(server, 0, longMs);
	t.false(await acceptsConnection(address));
	caller.write('lf');
	t.regex(await answered, /^HTTP\/1.1 200 [^]*done/);
	await finished;
});

for (const count of [1, 10, 100]) {
	// Guards against requests that are reset without an answer: the kernel has established their connections, and the
	// process has not accepted them.
	test(`closing an address answers the requests of ${count} callers whose connections are not accepted yet`, async (t) => {
		const server = http.createServer((_req, res) => {
			res.writeHead(200, { connection: 'close' }).end('done');
		});
		const address = await listening.listen(server, '127.0.0.1:0');
		const answers = Array.from({ length: count }, () => {
			const caller = net.connect(listening.toListenOptions(address));
			caller.write(request);
			return readAll(caller);
		});
		const { emptied } = await acceptQueues.acceptQueued(server, longMs);
		const finished = listening.finish(server, 0, longMs);
		t.true(emptied);
		for (const answer of await Promise.all(answers)) t.regex(answer, /^HTTP\/1.1 200 [^]*done/);
		await finished;
	});
}

test('an address is closed in time although new connections never cease', async (t) => {
	const server = net.createServer((socket) => {
		// Each connection brings the next.
		const next = net.connect(listening.toListenOptions(address));
		next.on('error', () => next.destroy());
		socket.destroy();
	});
	const address = await listening.listen(server, '127.0.0.1:0');
	net.connect(listening.toListenOptions(address)).on('error', () => undefined);
	const { emptied } = await acceptQueues.acceptQueued(server, 50);
	t.false(emptied);
	server.close();
});

test('closing an address closes idle connections', async (t) => {
	const server = http.createServer((_req, res) => {
		res.end('done');
	});
	const address = await listening.listen(server, '127.0.0.1:0');
	const caller = net.connect(listening.toListenOptions(address));
	const closed = readAll(caller);
	caller.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	await new Promise((resolve) => caller.once('data', resolve));
	await listening.finish(server, 0, longMs);
	t.regex(await closed, /done/);
});

// Guards against stops that take all the time that they may: to `http.Server`, a connection that never carried a request
// isn't idle.
test('closing an address closes connections that never carried a request', async (t) => {
	const server = http.createServer();
	const address = await listening.listen(server, '127.0.0.1:0');
	const caller = net.connect(listening.toListenOptions(address));
	const closed = readAll(caller);
	await new Promise((resolve) => server.once('connection', resolve));
	await listening.finish(server, 0, longMs);
	t.is(await closed, '');
});

for (const when of ['after a pause', 'first on its connection'] as const) {
	// Guards against requests of distant callers that are cut off: the requests are in flight when the box closes the
	// connection.
	test(`a request that is sent ${when}, as the connection is closed, is answered as not run`, async (t) => {
		const target = {
			leaving: true,
			queues: undefined,
			isConfigurationInDoubt: false,
			service: unusedService,
		};
		const server = ingress.serveCallers(target, t.log);
		const address = await listening.listen(server, '127.0.0.1:0');
		// The end of the stream reaches a distant caller after it has sent the request.
		const caller = net.connect({ ...listening.toListenOptions(address), allowHalfOpen: true });
		const ended = new Promise((resolve) => caller.once('end', resolve));
		const all = readAll(caller);
		await new Promise((resolve) => server.once('connection', resolve));
		if (when === 'after a pause') {
			target.leaving = false;
			caller.write(request);
			await new Promise((resolve) => caller.once('data', resolve));
			target.leaving = true;
		}
		const finished = listening.finish(server, 0, longMs, ingress.finalResponse());
		await ended;
		caller.end(request);
		t.regex(
			await all,
			/HTTP\/1.1 503 [^]*retry-after: 0[^]*connection: close[^]*about to stop[^]*"notRun":true}$/,
		);
		await finished;
	});
}

// Guards against the end of a process by an unhandled error in the handling of what a caller sends.
test('a request whose handling fails unexpectedly is answered, and the next one over its connection is served', async (t) => {
	const seen: unknown[] = [];
	const target = {
		leaving: false,
		get queues(): undefined {
			if (seen.length === 0) throw new TypeError('a fault');
			return undefined;
		},
		isConfigurationInDoubt: false,
		service: unusedService,
	};
	const server = ingress.serveCallers(target, (err) => seen.push(String(err)));
	const address = await listening.listen(server, '127.0.0.1:0');
	const caller = net.connect(listening.toListenOptions(address));
	const all = readAll(caller);
	caller.write(request);
	await new Promise((resolve) => caller.once('data', resolve));
	caller.end(request);
	t.regex(await all, /^HTTP\/1.1 504 [^]*AcceptanceUnknown[^]*HTTP\/1.1 503 /);
	t.deepEqual(seen, ['TypeError: a fault']);
	server.close();
});

test('closing an address answers the request that has arrived on an idle connection and is not read yet', async (t) => {
	const server = http.createServer((_req, res) => {
		res.writeHead(200, { connection: server.listening ? 'keep-alive' : 'close' }).end('done');
	});
	const address = await listening.listen(server, '127.0.0.1:0');
	const caller = net.connect(listening.toListenOptions(address));
	const all = readAll(caller);
	caller.write(request);
	await new Promise((resolve) => caller.once('data', resolve));
	// Written and closed in one turn of the event loop: the request is at the server's socket by then.
	caller.write(request);
	await listening.finish(server, 0, longMs);
	t.is((await all).match(/done/g)?.length, 2);
});

test('a request over an idle connection is not cut off when its box closes its address', async (t) => {
	const target = { leaving: false, queues: undefined, isConfigurationInDoubt: false, service: unusedService };
	const server = ingress.serveCallers(target, t.log);
	const address = await listening.listen(server, '127.0.0.1:0');
	const caller = net.connect(listening.toListenOptions(address));
	const all = readAll(caller);
	caller.write(request);
	await new Promise((resolve) => caller.once('data', resolve));
	target.leaving = true;
	const finished = listening.finish(server, longMs, longMs);
	// By this time everything that a close ends at once has ended.
	await new Promise<void>((resolve) => {
		pendingReads.afterPendingReads(resolve);
	});
	caller.write(request);
	t.regex(
		await all,
		/^HTTP\/1.1 503 [^]*HTTP\/1.1 503 [^]*retry-after: 0[^]*connection: close[^]*about to stop/i,
	);
	await finished;
});

for (const closes of [false, true]) {
	const when = closes ? 'after its address was closed' : 'while its address is open';
	test(`a request that was in flight when its box was told to stop, answered ${when}, is the last on its connection`, async (t) => {
		const target = {
			leaving: false,
			queues: undefined,
			isConfigurationInDoubt: true,
			service: unusedService,
		};
		const server = ingress.serveCallers(target, t.log);
		const address = await listening.listen(server, '127.0.0.1:0');
		const caller = net.connect(listening.toListenOptions(address));
		const answered = readAll(caller);
		const seen = new Promise((resolve) => server.once('request', resolve));
		caller.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nha');
		await seen;
		target.leaving = true;
		const responseBegun = new Promise((resolve) => caller.once('data', resolve));
		if (closes) void listening.finish(server, 0, longMs);
		caller.write('lf');
		await responseBegun;
		caller.destroy();
		server.close();
		t.regex(await answered, /^HTTP\/1.1 503 [^]*connection: close/i);
	});
}

/** Everything that arrives over a connection until it closes; empty if the connection fails. */
function readAll(socket: net.Socket): Promise<string> {
	return new Promise((resolve) => {
		const chunks: Buffer[] = [];
		socket.on('data', (chunk: Buffer) => chunks.push(chunk));
		socket.on('error', () => {
			resolve('');
		});
		socket.on('close', () => {
			resolve(Buffer.concat(chunks).toString('utf8'));
		});
	});
}

/** Whether an address accepts a connection. */
function acceptsConnection(address: string): Promise<boolean> {
	return new Promise((resolve) => {
		const socket = net.connect(listening.toListenOptions(address));
		socket.on('connect', () => {
			socket.destroy();
			resolve(true);
		});
		socket.on('error', () => {
			resolve(false);
		});
	});
}
