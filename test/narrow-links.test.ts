/** Guards against connections over a saturated slow link that receive nothing for good, as if the link were cut. */
import events from 'node:events';
import * as net from 'node:net';
import test from 'ava';
import * as narrowLinks from '../stand-ins/proxy/narrow-link.js';
import * as proxies from '../stand-ins/proxy/index.js';

const connections = 8;
const answerBytes = 400_000;

test('a link that several connections saturate delivers to each of them its whole answer', async (t) => {
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
