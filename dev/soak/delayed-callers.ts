/**
 * Callers with a network delay to the boxes that leave their connections idle for a while: before the first request, or
 * between two. Planned stops can cut off requests that are on their way when a box ends such a connection.
 */
import * as net from 'node:net';
import * as listening from '../../src/cli/box/listening.js';
import * as random from '../random.js';
import type * as boxes from '../../stand-ins/box-process.js';
import type * as checkers from './invariant-checker.js';
import * as environments from './environment.js';

/** One-way delays from a caller to a box, in milliseconds, from a near caller to a far one. */
const delaysMs = [0, 20, 40];

/**
 * Maximum idle time of a connection before its first request, and bounds of its idle time between two requests, in
 * milliseconds.
 */
const maxIdleBeforeFirstMs = 3_000;
const minIdleMs = 300;
const maxIdleMs = 4_000;

/** How long a caller waits for an answer, in milliseconds. */
const answerTimeoutMs = 3_000;

/** Options that all delayed callers share. */
export interface DelayedCallersOptions {
	environment: environments.Environment;
	checker: checkers.InvariantChecker;
	nextRandom: () => number;
	/** Clock time until which requests are sent. */
	until: number;
}

/** Outcome of a request. `cut`: its connection ended without a complete answer. */
type Outcome = 'answered' | 'cut' | 'no-answer';

/** Runs one caller until the time is over, with one connection after another. */
export async function call(opts: DelayedCallersOptions): Promise<void> {
	const { environment, nextRandom, until } = opts;
	const delayMs = random.pick(nextRandom, delaysMs);
	while (environment.now() < until) {
		const box = random.pick(nextRandom, environment.boxes);
		const connection = box.process && (await DelayedConnection.create(box.process.callers, delayMs));
		if (box.process === undefined || connection === undefined)
			await environment.sleep(random.randomInteger(nextRandom, 0, minIdleMs));
		else await useConnection(opts, box, box.process, connection);
	}
}

/** Sends requests over one connection, with idle times between them, until the other side ends it. */
async function useConnection(
	opts: DelayedCallersOptions,
	box: environments.SoakBox,
	process: boxes.BoxProcess,
	connection: DelayedConnection,
): Promise<void> {
	const { environment, checker, nextRandom, until } = opts;
	await environment.sleep(random.randomInteger(nextRandom, 0, maxIdleBeforeFirstMs));
	while (environment.now() < until && !connection.hasEnded) {
		const outcome = await connection.request(environments.firstQueue);
		if (outcome === 'cut' && box.stopping === process)
			checker.reportViolation(
				'cut',
				`${box.name} GET ${environments.firstQueue}, from ${connection.delayMs} ms away`,
			);
		if (outcome !== 'answered') break;
		await environment.sleep(random.randomInteger(nextRandom, minIdleMs, maxIdleMs));
	}
	connection.close();
}

/** A connection with a delay in each direction. */
class DelayedConnection {
	/** Whether the end of the connection has reached the caller. */
	hasEnded = false;
	private received = '';
	private isAwaitingAnswer = false;
	private notify: () => void = () => undefined;

	private constructor(
		private readonly socket: net.Socket,
		readonly delayMs: number,
	) {}

	/** Connects to an address. Undefined: the address accepts no connection. */
	static create(address: string, delayMs: number): Promise<DelayedConnection | undefined> {
		// What a delayed caller sends may still arrive after the other side has ended the connection.
		const socket = net.connect({ ...listening.toListenOptions(address), allowHalfOpen: true });
		const connection = new DelayedConnection(socket, delayMs);
		return new Promise((resolve) => {
			socket.once('connect', () => {
				resolve(connection);
			});
			socket.on('data', (chunk: Buffer) => {
				connection.later(() => {
					connection.receive(chunk.toString('utf8'));
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
	async request(path: string): Promise<Outcome> {
		this.received = '';
		this.isAwaitingAnswer = true;
		const sentAt = performance.now();
		setTimeout(
			() => this.socket.write(`GET ${path} HTTP/1.1\r\nhost: ${environments.host}\r\n\r\n`),
			this.delayMs,
		);
		while (!isComplete(this.received)) {
			const leftMs = answerTimeoutMs - (performance.now() - sentAt);
			if (this.hasEnded) return 'cut';
			if (leftMs <= 0) return 'no-answer';
			await this.waitForChange(leftMs);
		}
		this.isAwaitingAnswer = false;
		return 'answered';
	}

	close(): void {
		this.socket.destroy();
	}

	private receive(text: string): void {
		this.received += text;
		// Data that arrives without a request is no answer to the next one, and the connection must not be used any more
		// (RFC 9112, 9.2).
		if (!this.isAwaitingAnswer) this.hasEnded = true;
	}

	/** Calls `fn` after the delay to the caller, and then `notify`. */
	private later(fn: () => void): void {
		setTimeout(() => {
			fn();
			this.notify();
		}, this.delayMs);
	}

	/** Resolves once something has reached the caller, after `timeoutMs` at the latest. */
	private waitForChange(timeoutMs: number): Promise<void> {
		return new Promise((resolve) => {
			const timer = setTimeout(resolve, timeoutMs);
			this.notify = () => {
				clearTimeout(timer);
				resolve();
			};
		});
	}
}

/** Whether a text holds an answer with its complete body. */
function isComplete(text: string): boolean {
	const [head = '', body] = text.split('\r\n\r\n', 2);
	const length = /^content-length: (\d+)/im.exec(head)?.[1];
	return body !== undefined && length !== undefined && Buffer.byteLength(body) >= Number(length);
}
