/**
 * Pooled connections of the HTTP client that have stopped responding: one call that times out detects it for all of them.
 */
import test from 'ava';
import * as http from 'node:http';
import * as client from '../platform/http-client.js';
import * as kvStore from '../platform/kv-store.js';
import * as proxies from '../stand-ins/proxy/index.js';
import type * as net from 'node:net';

/** Calls time out after this, in milliseconds. */
const timeoutMs = 300;

/** Number of connections that are kept to one address. */
const concurrentCalls = 6;

interface Teardown {
	teardown: (fn: () => void) => void;
}

/** A server on a port of the kernel's choice; returns its address. */
async function serve(t: Teardown, listener: http.RequestListener): Promise<string> {
	const server = http.createServer(listener);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const { port } = server.address() as net.AddressInfo;
	return `127.0.0.1:${String(port)}`;
}

/** A server behind a proxy. It holds its answers until `concurrentCalls` calls wait, and from then on answers at once. */
async function setUp(t: Teardown): Promise<proxies.FaultProxy> {
	let held: http.ServerResponse[] | undefined = [];
	const address = await serve(t, (_req, res) => {
		if (held === undefined) {
			res.end('{}');
			return;
		}
		held.push(res);
		if (held.length < concurrentCalls) return;
		for (const one of held) one.end('{}');
		held = undefined;
	});
	const proxy = await proxies.FaultProxy.create(address);
	t.teardown(() => {
		proxy.close();
	});
	return proxy;
}

test('after a call has timed out, no other pooled connection that may be dead too is used', async (t) => {
	const proxy = await setUp(t);
	const calls = client.JsonClient.create();
	const send = async (): Promise<boolean> =>
		(await calls.send(proxy.address, { method: 'GET', path: '/', timeoutMs })).ok;
	t.deepEqual(
		await Promise.all(Array.from({ length: concurrentCalls }, send)),
		Array(concurrentCalls).fill(true),
	);
	proxy.stallConnections();
	t.false(await send());
	const after = [];
	for (let call = 1; call < concurrentCalls; call += 1) after.push(await send());
	t.deepEqual(after, Array(concurrentCalls - 1).fill(true));
});

test('once connections are renewed, a call is answered while one over a dead connection still waits', async (t) => {
	const proxy = await setUp(t);
	const calls = client.JsonClient.create();
	const send = async (ms = timeoutMs): Promise<boolean> =>
		(await calls.send(proxy.address, { method: 'GET', path: '/', timeoutMs: ms })).ok;
	await Promise.all(Array.from({ length: concurrentCalls }, () => send()));
	proxy.stallConnections();
	let isWaiting = true;
	const deadCall = send(20 * timeoutMs).finally(() => {
		isWaiting = false;
	});
	calls.renew(proxy.address);
	t.true(await send());
	t.true(isWaiting);
	proxy.close();
	t.false(await deadCall);
});

test('calls that are in flight when another one times out are answered', async (t) => {
	const held: http.ServerResponse[] = [];
	const address = await serve(t, (req, res) => {
		if (req.url === '/slow') held.push(res);
	});
	const calls = client.JsonClient.create();
	const slowCall = calls.send(address, { method: 'GET', path: '/slow', timeoutMs: 20 * timeoutMs });
	t.false((await calls.send(address, { method: 'GET', path: '/never', timeoutMs })).ok);
	held[0]?.end('{}');
	t.true((await slowCall).ok);
});

test('a long answer may take the whole timeout of its call; without any answer, the call fails as early as a short one', async (t) => {
	const address = await serve(t, (req, res) => {
		if (req.url !== '/long') return;
		res.write('[');
		setTimeout(() => res.end(']'), 2 * timeoutMs);
	});
	const calls = client.JsonClient.create();
	const get = (path: string): Promise<{ ok: boolean }> =>
		calls.send(address, {
			method: 'GET',
			path,
			silentMs: timeoutMs,
			timeoutMs: 20 * timeoutMs,
		});
	const startedAt = performance.now();
	t.false((await get('/never')).ok);
	t.true(performance.now() - startedAt < 10 * timeoutMs);
	t.true((await get('/long')).ok);
});

test('a list call to a slow store has a longer timeout at the second attempt', async (t) => {
	const page = JSON.stringify({ items: [], has_more: false, current_rev: 1 });
	// Longer than the timeout of a short call, shorter than that of a page.
	const answerMs = 1_500;
	const address = await serve(t, (_req, res) => {
		setTimeout(() => res.end(page), answerMs);
	});
	const calls = client.JsonClient.create();
	const store = kvStore.KvStore.create(calls, calls, address);
	t.false((await store.list('a/')).ok);
	t.true((await store.list('a/')).ok);
	t.false((await store.list('a/')).ok, 'after an answer, the short timeout applies again');
});

// Guards against the end of a process by a rejected call that nobody handles.
test('a call to an address that cannot be used fails as a call that was not sent', async (t) => {
	const calls = client.JsonClient.create();
	for (const address of ['127.0.0.1:81610', '256.1.1.1:80', 'no address', '']) {
		const res = await calls.send(address, { method: 'GET', path: '/', timeoutMs });
		t.deepEqual(
			res.ok ? undefined : { ...res.err, reason: '' },
			{ sent: false, refused: false, reason: '' },
			address,
		);
	}
});

test('a call with a header that cannot be sent fails as a call that was not sent', async (t) => {
	const address = await serve(t, (_req, res) => {
		res.end('{}');
	});
	const headers = { 'target-instance': 'a\nb' };
	const res = await client.JsonClient.create().send(address, {
		method: 'GET',
		path: '/',
		headers,
		timeoutMs,
	});
	t.false(res.ok);
});
