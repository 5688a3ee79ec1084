/** Sends one request to one backend server and takes the whole answer, or says truthfully what is known. */
import * as undici from 'undici';
import type * as errors from '../errors/index.js';
import type * as stream from 'node:stream';

/** A caller's request, whole. */
export interface CallerRequest {
	id: string;
	method: string;
	/** Path and query at the backend server. */
	path: string;
	headers: Record<string, string | string[]>;
	body: Buffer | undefined;
}

/** Headers of an answer, in order, as pairs. */
export type ResponseHeaders = Record<string, string | string[]>;

/** What sending came to. */
export type SendOutcome =
	| { kind: 'whole'; status: number; headers: ResponseHeaders; body: Buffer }
	/** Too large to hold: `head` came already, `rest` follows and may still break off. */
	| { kind: 'large'; status: number; headers: ResponseHeaders; firstChunks: Buffer[]; rest: stream.Readable }
	| { kind: 'refused'; leaving: boolean }
	| { kind: 'failed'; run: errors.RunOutcome; reason: string };

/** Answers up to this many bytes are held whole before a byte is passed on. */
export const maxBufferedBytes = 1024 * 1024;

/** Header by which a backend server says that it did not run the request. */
export const notRunHeader = 'x-woodcross-not-run';

/** Header by which a backend server says, on any answer, that it is leaving. */
export const leavingHeader = 'x-woodcross-leaving';

/** Header that carries the request's id there and back. */
export const requestIdHeader = 'x-request-id';

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const hopByHopHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'host',
	'content-length',
	'expect',
]);

/** Headers without those of the connection. */
export function endToEndHeaders(headers: Record<string, string | string[] | undefined>): ResponseHeaders {
	const kept: ResponseHeaders = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHopHeaders.has(name)) kept[name] = value;
	}
	return kept;
}

/** Errors raised before a connection stood: no byte of the request has left. */
const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Sends the request; every ending within `timeoutMs`. */
export async function send(
	pool: undici.Dispatcher,
	req: CallerRequest,
	timeoutMs: number,
): Promise<SendOutcome> {
	const abort = new AbortController();
	// AbortSignal.timeout() would keep its timer after the answer: thousands of them under load.
	const timer = setTimeout(
		() => {
			abort.abort(new Error('no answer within the deadline'));
		},
		Math.max(1, timeoutMs),
	);
	try {
		const res = await pool.request({
			method: req.method,
			path: req.path,
			headers: { ...req.headers, [requestIdHeader]: req.id },
			body: req.body,
			signal: abort.signal,
		});
		return await readResponse(req, res);
	} catch (err) {
		const code = errorCode(err);
		const reason = err instanceof Error ? err.message : String(err);
		return { kind: 'failed', run: unsentCodes.has(code) ? 'not-run' : 'may-have-run', reason };
	} finally {
		clearTimeout(timer);
	}
}

async function readResponse(req: CallerRequest, res: undici.Dispatcher.ResponseData): Promise<SendOutcome> {
	const echoedId = res.headers[requestIdHeader];
	if (echoedId !== undefined && echoedId !== req.id) {
		// Another request's answer: nothing from this connection is to be trusted.
		res.body.destroy();
		return { kind: 'failed', run: 'may-have-run', reason: `the answer is for request ${String(echoedId)}` };
	}
	if (res.statusCode === 503 && res.headers[notRunHeader] === '1') {
		await res.body.dump();
		return { kind: 'refused', leaving: res.headers[leavingHeader] === '1' };
	}
	const headers = endToEndHeaders(res.headers);
	const chunks: Buffer[] = [];
	let size = 0;
	const body = res.body as AsyncIterable<Buffer>;
	const iterator = body[Symbol.asyncIterator]();
	for (;;) {
		const next = await iterator.next();
		if (next.done === true)
			return { kind: 'whole', status: res.statusCode, headers, body: Buffer.concat(chunks) };
		chunks.push(next.value);
		size += next.value.length;
		if (size > maxBufferedBytes)
			return { kind: 'large', status: res.statusCode, headers, firstChunks: chunks, rest: res.body };
	}
}

/** The `code` of a Node or undici error; empty if it has none. */
function errorCode(err: unknown): string {
	const { code } = err as { code?: unknown };
	return typeof code === 'string' ? code : '';
}
