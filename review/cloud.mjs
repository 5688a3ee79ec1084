/** The platform's list of machines and their upkeep, as the protocol states them where fencing tokens are not checked. */
import * as http from 'node:http';
import { setTimeout } from 'node:timers';

/**
 * A machine and the runner that lives on it; `upkeeps`: the waves for which its upkeep has begun.
 * @typedef {{ name: string, worker: string, state: 'up' | 'upkeep', upkeeps: Set<number> }} Machine
 */

/**
 * An order that the platform has received.
 * @typedef {{ machine: string, wave: number, holder: string, token: number }} Order
 */

export class Cloud {
	/** Address at which it listens, `host:port`. */
	address = '';
	/** Whether calls are neither carried out nor answered. */
	isSilent = false;
	/** Called with each order that arrives, before it is carried out. */
	onOrder = (/** @type {Order} */ order) => void order;
	/** Called with each order that was carried out or refused, and the status of its answer. */
	onAnswered = (/** @type {Order} */ order, /** @type {number} */ status) => void [order, status];
	/** @type {Map<string, Machine>} */
	#machines = new Map();
	#server = http.createServer((req, res) => this.#serve(req, res));

	/**
	 * @param {{ pool: string, upkeepMs: number, takeDown: (worker: string) => void, bringUp: (worker: string) => string }} options
	 *   `takeDown`: ends a runner with all that runs there; `bringUp`: starts the next one in its place and names it.
	 */
	constructor(options) {
		this.options = options;
	}

	/** @param {ConstructorParameters<typeof Cloud>[0]} options */
	static async open(options) {
		const cloud = new Cloud(options);
		await new Promise((resolve) => cloud.#server.listen(0, '127.0.0.1', () => resolve(undefined)));
		const bound = /** @type {import('node:net').AddressInfo} */ (cloud.#server.address());
		cloud.address = `127.0.0.1:${bound.port}`;
		return cloud;
	}

	/**
	 * @param {string} name
	 * @param {string} worker
	 */
	add(name, worker) {
		this.#machines.set(name, { name, worker, state: 'up', upkeeps: new Set() });
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/**
	 * @param {http.IncomingMessage} req
	 * @param {http.ServerResponse} res
	 */
	#serve(req, res) {
		let text = '';
		req.setEncoding('utf8');
		req.on('data', (chunk) => {
			text += chunk;
		});
		req.on('end', () => {
			const order = req.method === 'POST' ? orderOf(req, text) : undefined;
			if (order !== undefined && !this.isSilent) this.onOrder(order);
			if (this.isSilent) return;
			const [status, body] = order === undefined ? [200, this.#list()] : this.#upkeep(order);
			if (order !== undefined) this.onAnswered(order, status);
			res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
		});
	}

	#list() {
		const machines = [...this.#machines.values()].map(({ name, worker, state }) => ({
			machine: name,
			pool: this.options.pool,
			state,
			zone: 'brasov-a',
			labels: ['a', 'r1'],
			capacity: { cpu: 32_000, mem_mb: 128_000, gpu: 0 },
			id: state === 'up' ? worker : '',
		}));
		return { machines, next_token: null };
	}

	/**
	 * @param {Order} order
	 * @returns {[number, object]}
	 */
	#upkeep({ machine: name, wave }) {
		const machine = this.#machines.get(name);
		if (machine === undefined) return [400, {}];
		if (machine.upkeeps.has(wave)) return [200, {}];
		if (machine.state !== 'up') return [409, { reason: 'busy' }];
		machine.upkeeps.add(wave);
		machine.state = 'upkeep';
		this.options.takeDown(machine.worker);
		setTimeout(() => {
			machine.worker = this.options.bringUp(machine.worker);
			machine.state = 'up';
		}, this.options.upkeepMs).unref();
		return [200, {}];
	}
}

/**
 * @param {http.IncomingMessage} req
 * @param {string} text
 * @returns {Order}
 */
function orderOf(req, text) {
	const { machine, wave } = JSON.parse(text);
	const holder = String(req.headers['lease-holder']);
	return { machine, wave, holder, token: Number(req.headers['fencing-token']) };
}
