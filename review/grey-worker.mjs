/**
 * The front of a worker that is unhealthy at times: it then answers part of the starts with 503 and has done nothing. All
 * other calls go through to the worker.
 */
import * as http from 'node:http';

/** Path of a start. */
const startPath = '/api/run-start';

export class GreyWorker {
	/** Share of the starts that are refused. */
	refusedShare = 0;
	/** Address at which it listens, `host:port`. */
	address = '';
	/** Called with each start that reaches the worker, and the status of its answer. */
	onStart = (/** @type {string} */ task, /** @type {number} */ run, /** @type {number} */ status) =>
		void [task, run, status];
	#agent = new http.Agent({ keepAlive: true, maxSockets: 64 });
	#server = http.createServer((req, res) => this.#serve(req, res));

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
		const worker = new GreyWorker(target, random);
		worker.#server.keepAliveTimeout = 0;
		await new Promise((resolve) => worker.#server.listen(0, '127.0.0.1', () => resolve(undefined)));
		const bound = /** @type {import('node:net').AddressInfo} */ (worker.#server.address());
		worker.address = `127.0.0.1:${bound.port}`;
		return worker;
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
		this.#agent.destroy();
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
			if (req.url === startPath && this.random() < this.refusedShare) {
				this.#noteStart(text, 503);
				res.writeHead(503, { 'content-type': 'application/json' }).end('{}');
			} else this.#pass(req, res, text);
		});
	}

	/**
	 * @param {http.IncomingMessage} req
	 * @param {http.ServerResponse} res
	 * @param {string} text
	 */
	#pass(req, res, text) {
		const [host, port] = this.target.split(':');
		const options = {
			host,
			port,
			path: req.url,
			method: req.method,
			headers: req.headers,
			agent: this.#agent,
		};
		const passed = http.request(options, (answer) => {
			if (req.url === startPath) this.#noteStart(text, answer.statusCode ?? 0);
			res.writeHead(answer.statusCode ?? 502, answer.headers);
			answer.pipe(res);
		});
		passed.on('error', () => res.destroy());
		passed.end(text);
	}

	/**
	 * @param {string} text
	 * @param {number} status
	 */
	#noteStart(text, status) {
		const { task, run } = JSON.parse(text);
		this.onStart(task, run, status);
	}
}
