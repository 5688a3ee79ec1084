/** A connection over a slow link that others filled went silent for good, as if its way were dead. */
import events from 'node:events';
import * as net from 'node:net';
import test from 'ava';
import * as narrowLinks from '../stand-ins/proxy/narrow-link.js';
import * as proxies from '../stand-ins/proxy/index.js';

const connections = 8;
const answerBytes = 400_000;

test('a link that connections fill at once brings each of them all of its answer', async (t) => {
	const server = net.createServer((socket) => {
		socket.write(Buffer.alloc(answerBytes));
	});
	server.listen(0, '127.0.0.1');
	await events.once(server, 'listening');
	const { port } = server.address() as net.AddressInfo;
	const proxy = await proxies.FaultProxy.create(`127.0.0.1:${String(port)}`);
	const createLink = (): narrowLinks.NarrowLink => narrowLinks.NarrowLink.create(20_000_000, 65_536);
	proxy.set({ kind: 'narrow', links: { request: createLink(), answer: createLink() } });
	t.teardown(() => {
		proxy.close();
		server.close();
	});
	const readAnswer = (): Promise<void> =>
		new Promise((resolve) => {
			const socket = net.connect(Number(proxy.address.split(':')[1]), '127.0.0.1');
			let bytes = 0;
			socket.on('data', (chunk: Buffer) => {
				bytes += chunk.length;
				if (bytes === answerBytes) resolve();
			});
		});
	await Promise.all(Array.from({ length: connections }, readAnswer));
	t.pass();
});
