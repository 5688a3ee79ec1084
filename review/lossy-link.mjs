/**
 * A link that loses packets, as TCP shows it to a program: what is lost arrives after a retransmission timeout, and what was
 * sent after it on that connection waits for it.
 */
import * as net from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';

/** First retransmission timeout in milliseconds, as on Linux; it doubles with each further loss (RFC 6298). */
const firstRetransmissionMs = 200;

/** A loopback proxy for one target. */
export class LossyLink {
	/** Share of the packets that are lost. */
	loss = 0;
	/** Address at which the proxy listens, `host:port`. */
	address = '';
	/** @type {Set<net.Socket>} */
	#sockets = new Set();
	#server = net.createServer((client) => this.#connect(client));

	/**
	 * @param {string} target `host:port`
	 * @param {() => number} random
	 */
	constructor(target, random) {
		this.target = target;
		this.random = random;
	}

	/**
	 * @param {string} target
	 * @param {() => number} random
	 */
	static async open(target, random) {
		const link = new LossyLink(target, random);
		await new Promise((resolve) => link.#server.listen(0, '127.0.0.1', () => resolve(undefined)));
		const bound = /** @type {net.AddressInfo} */ (link.#server.address());
		link.address = `127.0.0.1:${bound.port}`;
		return link;
	}

	close() {
		this.#server.close();
		for (const socket of this.#sockets) socket.destroy();
	}

	/** @param {net.Socket} client */
	#connect(client) {
		const [host, port] = this.target.split(':');
		const server = net.connect(Number(port), host);
		this.#forward(client, server);
		this.#forward(server, client);
	}

	/**
	 * @param {net.Socket} from
	 * @param {net.Socket} to
	 */
	#forward(from, to) {
		this.#sockets.add(from);
		from.setNoDelay(true);
		/** Time before which nothing more may arrive, as earlier bytes are still missing. */
		let arrivesAt = 0;
		const arrive = (/** @type {() => void} */ fn) => {
			const delayMs = arrivesAt - performance.now();
			if (delayMs <= 0) fn();
			else setTimeout(fn, delayMs);
		};
		from.on('data', (chunk) => {
			arrivesAt = Math.max(arrivesAt, performance.now() + this.#lossMs());
			arrive(() => to.write(chunk));
		});
		from.on('end', () => arrive(() => to.end()));
		from.on('error', () => to.destroy());
		from.on('close', () => {
			this.#sockets.delete(from);
			arrive(() => to.destroy());
		});
	}

	/** How much later a packet arrives for its losses, in milliseconds. */
	#lossMs() {
		let delayMs = 0;
		for (let timeoutMs = firstRetransmissionMs; this.random() < this.loss; timeoutMs *= 2)
			delayMs += timeoutMs;
		return delayMs;
	}
}
