/** The caller's side of a request: reads it whole, and writes the answer or the problem. */
import type * as http from 'node:http';
import * as errors from '../errors/index.js';
import * as forward from './forward.js';
import * as results from '../result.js';

/** Header with which a caller may set a shorter deadline, in milliseconds from arrival. */
export const deadlineHeader = 'x-woodcross-deadline-ms';

/** Header with which a caller marks a request as safe to repeat; its value is then `safe`. */
export const repeatHeader = 'x-woodcross-repeat';

/** Header that names the caller; Idempotency-Keys are scoped to it. */
export const callerHeader = 'x-woodcross-caller';

/** Header of RFC draft "The Idempotency-Key HTTP Header Field". */
export const keyHeader = 'idempotency-key';

/** Longest Idempotency-Key, in characters. */
const maxKeyLength = 255;

/** Methods that are safe by their definition (RFC 9110, section 9.2.1). */
const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Parsed path and headers of a request. */
export interface ParsedRequest {
	service: string;
	/** Path and query at the backend server. */
	path: string;
	/** Whether it may be sent a second time, to another backend server, although it may have run. */
	repeatable: boolean;
	/** Milliseconds from arrival. */
	deadlineMs: number;
	key: string | undefined;
	caller: string;
}

function header(req: http.IncomingMessage, name: string): string | undefined {
	const value = req.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Parses `/services/<service>/<path>` and the headers; fails with `InvalidRequest`. */
export function parseRequest(
	req: http.IncomingMessage,
	defaultDeadlineMs: number,
): results.Result<ParsedRequest, errors.Failure> {
	const match = /^\/services\/([a-z0-9][a-z0-9-]{0,62})(\/[^#]*)?$/.exec(req.url ?? '');
	if (match?.[1] === undefined) return invalid('the path must be /services/<service>/...');
	const requestedDeadlineMs = header(req, deadlineHeader);
	if (requestedDeadlineMs !== undefined && !/^[1-9]\d{0,8}$/.test(requestedDeadlineMs))
		return invalid(`${deadlineHeader}: ${requestedDeadlineMs} is not a number of ms`);
	const key = header(req, keyHeader);
	if (key !== undefined && (key === '' || key.length > maxKeyLength)) {
		return invalid(`${keyHeader} must have 1 to ${maxKeyLength} characters`);
	}
	const safe = safeMethods.has(req.method ?? '');
	return results.ok({
		service: match[1],
		path: match[2] ?? '/',
		repeatable: safe || header(req, repeatHeader) === 'safe',
		deadlineMs: Math.min(
			defaultDeadlineMs,
			requestedDeadlineMs === undefined ? Infinity : Number(requestedDeadlineMs),
		),
		key: safe ? undefined : key,
		caller: header(req, callerHeader) ?? header(req, 'authorization') ?? '',
	});
}

function invalid(detail: string): results.Result<never, errors.Failure> {
	return results.fail(errors.failure('InvalidRequest', detail, { run: 'not-run' }));
}

/** Reads the whole body, up to `limit` bytes; undefined if there is none. Fails with `BodyTooLarge` or `InvalidRequest`. */
export function readBody(
	req: http.IncomingMessage,
	limit: number,
): Promise<results.Result<Buffer | undefined, errors.Failure>> {
	return new Promise((resolve) => {
		const chunks: Buffer[] = [];
		let size = 0;
		req.on('data', (chunk: Buffer) => {
			size += chunk.length;
			if (size > limit) {
				req.removeAllListeners('data');
				req.resume();
				resolve(
					results.fail(errors.failure('BodyTooLarge', `the limit is ${limit} bytes`, { run: 'not-run' })),
				);
				return;
			}
			chunks.push(chunk);
		});
		req.on('end', () => {
			resolve(results.ok(size === 0 ? undefined : Buffer.concat(chunks)));
		});
		req.on('error', (err) => {
			resolve(results.fail(errors.failure('InvalidRequest', err.message, { run: 'not-run' })));
		});
	});
}

/** Writes a problem (RFC 9457). */
export function writeProblem(res: http.ServerResponse, err: errors.Failure, id: string): void {
	if (res.headersSent || res.destroyed) return;
	const problem = errors.toProblem(err);
	const body = Buffer.from(JSON.stringify(problem));
	res.statusCode = problem.status;
	res.setHeader('content-type', 'application/problem+json');
	res.setHeader('content-length', body.length);
	res.setHeader(forward.requestIdHeader, id);
	if (err.retryAfterMs !== undefined) res.setHeader('retry-after', Math.ceil(err.retryAfterMs / 1000));
	// The answer does not wait for the rest of a body over the limit, so the connection can't carry another request.
	if (err.name === 'BodyTooLarge') res.setHeader('connection', 'close');
	res.end(body);
}

/** Writes an answer that was received whole. */
export function writeWhole(
	res: http.ServerResponse,
	id: string,
	answer: { status: number; headers: forward.ResponseHeaders; body: Uint8Array },
): void {
	if (res.destroyed) return;
	writeHead(res, id, answer);
	// An answer to HEAD gives the length of the body that it lacks, so no length of 0 is written.
	if (answer.body.length > 0 || res.req.method !== 'HEAD')
		res.setHeader('content-length', answer.body.length);
	res.end(answer.body);
}

/**
 * Streams a large answer as it arrives. If the backend server breaks it off, closes the caller's connection and returns
 * false.
 */
export async function writeLarge(
	res: http.ServerResponse,
	id: string,
	answer: Extract<forward.SendOutcome, { kind: 'large' }>,
): Promise<boolean> {
	writeHead(res, id, answer);
	for (const chunk of answer.firstChunks) res.write(chunk);
	try {
		for await (const chunk of answer.rest as AsyncIterable<Buffer>) {
			if (res.destroyed) break;
			if (!res.write(chunk)) await waitForDrain(res);
		}
	} catch {
		res.destroy();
		return false;
	}
	if (res.destroyed) answer.rest.destroy();
	res.end();
	return true;
}

function writeHead(
	res: http.ServerResponse,
	id: string,
	answer: { status: number; headers: forward.ResponseHeaders },
): void {
	res.statusCode = answer.status;
	for (const [name, value] of Object.entries(answer.headers)) res.setHeader(name, value);
	res.setHeader(forward.requestIdHeader, id);
}

function waitForDrain(res: http.ServerResponse): Promise<void> {
	return new Promise((resolve) => {
		const resolveOnce = (): void => {
			res.off('drain', resolveOnce);
			res.off('close', resolveOnce);
			resolve();
		};
		res.on('drain', resolveOnce);
		res.on('close', resolveOnce);
	});
}
