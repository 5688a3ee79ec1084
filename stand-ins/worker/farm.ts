/**
 * Runs many simulated workers in one process, each on its own port, and counts the bytes that they exchange. For
 * measurements.
 */
import * as crypto from 'node:crypto';
import type * as net from 'node:net';
import * as h3 from 'h3';
import * as workers from '../../src/core/worker/index.js';
import * as standIn from '../http.js';
import * as machines from './machine.js';

const count = Number(process.env.WORKERS ?? '10');
let closedSocketBytes = 0;
let exchanges = 0;
let starts = 0;

async function startWorker(index: number): Promise<string> {
	const machine = machines.Machine.create({
		id: `worker-${index}`,
		incarnation: crypto.randomUUID(),
		now: () => performance.now(),
		wall: () => Date.now(),
		journal: (line) => {
			if (line.what === 'start') starts += 1;
		},
	});
	const app = new h3.H3().post('/v1/exchange', async (event) => {
		exchanges += 1;
		return machine.exchange(workers.exchangeReq.parse(await event.req.json()));
	});
	const { server, address } = await standIn.listen(app, 0);
	server.on('connection', (socket: net.Socket) => {
		openSockets.add(socket);
		socket.on('close', () => {
			openSockets.delete(socket);
			closedSocketBytes += socket.bytesRead + socket.bytesWritten;
		});
	});
	return address;
}

const openSockets = new Set<net.Socket>();

function totalBytes(): number {
	let sum = closedSocketBytes;
	for (const socket of openSockets) sum += socket.bytesRead + socket.bytesWritten;
	return sum;
}

const addresses = await Promise.all(Array.from({ length: count }, (_, index) => startWorker(index)));
const app = new h3.H3().get('/stats', () => ({ bytes: totalBytes(), exchanges, starts }));
const { address } = await standIn.listen(app, 0);
process.stdout.write(`${JSON.stringify({ ready: address, workers: addresses })}\n`);
