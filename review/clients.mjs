/** Clients that submit jobs to the boxes in turn, and repeat a submission as the protocol says. */
import * as http from 'node:http';
import { setTimeout } from 'node:timers';

/** Time for which a client waits for an answer, in milliseconds: the deadline of the requests on the site. */
const timeoutMs = 3_000;

/** Most tries of one submission. */
const maxTries = 5;

/** Pause before a submission without an answer is repeated, in milliseconds. */
const pauseMs = 200;

export class Clients {
	/** @type {Map<string, number>} */
	statusById = new Map();
	#next = 0;

	/**
	 * @param {{ host: string, prefix: string, addresses: () => string[], random: () => number,
	 *   record: (text: string) => void }} options
	 */
	constructor(options) {
		this.options = options;
	}

	/**
	 * Submits a job until it is accepted or refused for good.
	 * @param {object} job
	 */
	async submit(job, id = this.newId()) {
		for (let tries = 0; tries < maxTries; tries += 1) {
			const status = await this.call('POST', id, job);
			this.options.record(`client POST ${id} answered ${status}`);
			this.statusById.set(id, status);
			if (status >= 200 && status < 300) return id;
			await new Promise((resolve) => setTimeout(resolve, pauseMs));
		}
		return id;
	}

	/**
	 * One call about a job; resolves to the status, 0 if there was no answer.
	 * @param {string} method
	 * @param {string} id
	 * @param {object} [body]
	 * @returns {Promise<number>}
	 */
	call(method, id, body) {
		const addresses = this.options.addresses();
		const [host, port] = (addresses[this.#next++ % addresses.length] ?? '').split(':');
		return new Promise((resolve) => {
			const headers = { host: this.options.host, 'content-type': 'application/json' };
			const path = `${this.options.prefix}${id}`;
			const req = http.request({ host, port, method, path, headers, timeout: timeoutMs }, (res) => {
				res.resume();
				res.on('end', () => resolve(res.statusCode ?? 0));
			});
			req.on('timeout', () => req.destroy());
			req.on('error', () => resolve(0));
			req.end(body === undefined ? '' : JSON.stringify(body));
		});
	}

	/** A new id of a job. */
	newId() {
		const half = () => Math.floor(this.options.random() * 0x1_0000_0000);
		return `${half().toString(16).padStart(8, '0')}${half().toString(16).padStart(8, '0')}`;
	}
}
