/** HTTP calls of callers, and the record of a case. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as http from 'node:http';
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';

/** How long a caller waits for an answer, in milliseconds. */
export const requestTimeoutMs = 3_000;

/** Host of the queue's route. */
export const host = 'nony24.example';

/** Prefix of the queue's route. */
export const prefix = '/lohu930/';

/** The operator's configuration: one queue, whose runners check what fits. */
export function configurationOf(service) {
	return {
		version: 7,
		routes: [
			{
				name: 'r-3hwrr6x',
				host,
				path_prefix: prefix,
				type: 'non_idempotent',
				timeout_ms: 3000,
				slo_ms: 1000,
				priority: 0,
				service,
				attempts: 4,
				stretch: 2,
			},
		],
		services: [{ name: service, admission_check: true, headroom: false }],
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 262_144,
			header_timeout_ms: 3_000,
			idle_timeout_ms: 15_000,
		},
	};
}

/** A job id of 16 hex digits. */
export function newId() {
	return crypto.randomBytes(8).toString('hex');
}

export function sleep(ms) {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

/**
 * Sends a request; resolves to its status and body, or to status 0 if there is no answer in time.
 * @returns {Promise<{ status: number, body: any }>}
 */
export function call(address, method, path, body) {
	const [ip, port] = address.split(':');
	const text = body === undefined ? '' : JSON.stringify(body);
	return new Promise((resolve) => {
		const req = http.request({
			host: ip,
			port,
			method,
			path,
			agent: false,
			headers: {
				host,
				'request-timeout': requestTimeoutMs,
				'content-type': 'application/json',
				'content-length': Buffer.byteLength(text),
			},
		});
		req.setTimeout(requestTimeoutMs, () => req.destroy());
		req.on('error', () => resolve({ status: 0, body: {} }));
		req.on('response', (res) => {
			let answer = '';
			res.on('data', (chunk) => (answer += chunk));
			res.on('error', () => resolve({ status: 0, body: {} }));
			res.on('end', () => resolve({ status: res.statusCode, body: answer === '' ? {} : JSON.parse(answer) }));
		});
		req.end(text);
	});
}

/** Resolves once each of the addresses answers that it takes callers; false: not within `withinMs`. */
export async function untilReady(addresses, withinMs) {
	const until = performance.now() + withinMs;
	while (performance.now() < until) {
		const answers = await Promise.all(addresses.map((one) => call(one, 'GET', '/api/readiness')));
		if (answers.every((one) => one.status === 200)) return true;
		await sleep(100);
	}
	return false;
}

/** Writes what was sent, answered and run to a file, a line each. */
export class Record {
	constructor(file) {
		this.file = file;
		this.startedAt = performance.now();
		fs.writeFileSync(file, '');
	}

	/** Seconds since the start. */
	get now() {
		return (performance.now() - this.startedAt) / 1_000;
	}

	add(what, fields = {}) {
		fs.appendFileSync(this.file, `${this.now.toFixed(3)} ${what} ${JSON.stringify(fields)}\n`);
	}
}
