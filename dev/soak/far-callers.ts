/**
 * Callers with a network delay to the boxes that leave their connections idle for a while: before the first request, or
 * between two. Planned stops can cut off requests that are on their way when a box ends such a connection.
 */
import * as net from 'node:net';
import * as listening from '../../src/cli/box/listening.js';
import * as random from '../random.js';
import type * as boxes from '../../stand-ins/box-process.js';
import type * as judges from './judge.js';
import * as worlds from './world.js';

/** One-way delays from a caller to a box, in milliseconds, from a near caller to a far one. */
const delaysMs = [0, 20, 40];

/**
 * Maximum idle time of a connection before its first request, and bounds of its idle time between two requests, in
 * milliseconds.
 */
const mostAheadMs = 3_000;
const leastPauseMs = 300;
const mostPauseMs = 4_000;

/** How long a caller waits for an answer, in milliseconds. */
const patienceMs = 3_000;

/** Options that all delayed callers share. */
export interface FarCallersOptions {
	world: worlds.World;
	judge: judges.Judge;
	next: () => number;
	/** Clock time until which requests are sent. */
	until: number;
}

/** Outcome of a request. `cut`: its connection ended without a complete answer. */
type Outcome = 'answered' | 'cut' | 'no-answer';

/** Runs one caller until the time is over, with one connection after another. */
export async function call(opts: FarCallersOptions): Promise<void> {
	const { world, next, until } = opts;
	const delayMs = random.pick(next, delaysMs);
	while (world.now() < until) {
		const box = random.pick(next, world.boxes);
		const connection = box.process && (await FarConnection.create(box.process.callers, delayMs));
		if (box.process === undefined || connection === undefined)
			await world.sleep(random.between(next, 0, leastPauseMs));
		else await useConnection(opts, box, box.process, connection);
	}
}

/** Sends requests over one connection, with idle times between them, until the other side ends it. */
async function useConnection(
	opts: FarCallersOptions,
	box: worlds.SoakBox,
	process: boxes.BoxProcess,
	connection: FarConnection,
): Promise<void> {
	const { world, judge, next, until } = opts;
	await world.sleep(random.between(next, 0, mostAheadMs));
	while (world.now() < until && !connection.hasEnded) {
		const outcome = await connection.ask(worlds.firstQueue);
		if (outcome === 'cut' && box.stopping === process)
			judge.report('cut', `${box.name} GET ${worlds.firstQueue}, from ${connection.delayMs} ms away`);
		if (outcome !== 'answered') break;
		await world.sleep(random.between(next, leastPauseMs, mostPauseMs));
	}
	connection.close();
}

/** A connection with a delay in each direction. */
class FarConnection {
	/** Whether the end of the connection has reached the caller. */
	hasEnded = false;
	private received = '';
	private isAsking = false;
	private notify: () => void = () => undefined;

	private constructor(
		private readonly socket: net.Socket,
		readonly delayMs: number,
	) {}

	/** Connects to an address. Undefined: the address accepts no connection. */
	static create(address: string, delayMs: number): Promise<FarConnection | undefined> {
		// What a delayed caller sends may still arrive after the other side has ended the connection.
		const socket = net.connect({ ...listening.toListenOptions(address), allowHalfOpen: true });
		const connection = new FarConnection(socket, delayMs);
		return new Promise((resolve) => {
			socket.once('connect', () => {
				resolve(connection);
			});
			socket.on('data', (chunk: Buffer) => {
				connection.later(() => {
					connection.take(chunk.toString('utf8'));
				});
			});
			socket.on('error', () => {
				resolve(undefined);
			});
			for (const event of ['end', 'close'])
				socket.on(event, () => {
					connection.later(() => (connection.hasEnded = true));
				});
		});
	}

	/** Sends one request and waits for its answer. */
	async ask(path: string): Promise<Outcome> {
		this.received = '';
		this.isAsking = true;
		const sentAt = performance.now();
		setTimeout(() => this.socket.write(`GET ${path} HTTP/1.1\r\nhost: ${worlds.host}\r\n\r\n`), this.delayMs);
		while (!isWhole(this.received)) {
			const leftMs = patienceMs - (performance.now() - sentAt);
			if (this.hasEnded) return 'cut';
			if (leftMs <= 0) return 'no-answer';
			await this.change(leftMs);
		}
		this.isAsking = false;
		return 'answered';
	}

	close(): void {
		this.socket.destroy();
	}

	private take(text: string): void {
		this.received += text;
		// Data that arrives without a request is no answer to the next one, and the connection must not be used any more
		// (RFC 9112, 9.2).
		if (!this.isAsking) this.hasEnded = true;
	}

	/** Calls `fn` after the delay to the caller, and then `notify`. */
	private later(fn: () => void): void {
		setTimeout(() => {
			fn();
			this.notify();
		}, this.delayMs);
	}

	/** Resolves once something has reached the caller, after `timeoutMs` at the latest. */
	private change(mostMs: number): Promise<void> {
		return new Promise((resolve) => {
			const timer = setTimeout(resolve, mostMs);
			this.notify = () => {
				clearTimeout(timer);
				resolve();
			};
		});
	}
}

/** Whether a text holds an answer with its complete body. */
function isWhole(text: string): boolean {
	const [head = '', body] = text.split('\r\n\r\n', 2);
	const length = /^content-length: (\d+)/im.exec(head)?.[1];
	return body !== undefined && length !== undefined && Buffer.byteLength(body) >= Number(length);
}
