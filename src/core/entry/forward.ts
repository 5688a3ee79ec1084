/** Sends one request to one backend server and reads the answer. A failure states whether the request may have run. */
import * as undici from 'undici';
import type * as errors from '../errors/index.js';
import type * as stream from 'node:stream';

/** A caller's request, read whole. */
export interface CallerRequest {
	id: string;
	method: string;
	/** Path and query at the backend server. */
	path: string;
	headers: Record<string, string | string[]>;
	body: Buffer | undefined;
}

/** Headers of an answer, by name. */
export type ResponseHeaders = Record<string, string | string[]>;

/** Outcome of sending a request. */
export type SendOutcome =
	| { kind: 'whole'; status: number; headers: ResponseHeaders; body: Buffer }
	/** Too large to buffer: `firstChunks` have arrived; `rest` follows and may still break off. */
	| { kind: 'large'; status: number; headers: ResponseHeaders; firstChunks: Buffer[]; rest: stream.Readable }
	| { kind: 'refused'; leaving: boolean }
	| { kind: 'failed'; run: errors.RunOutcome; reason: string };

/** Answers of up to this many bytes are buffered whole before the first byte is passed on. */
export const maxBufferedBytes = 1024 * 1024;

/** Header with which a backend server reports that it did not run the request. */
export const notRunHeader = 'x-woodcross-not-run';

/** Header with which a backend server reports, on any answer, that it is leaving. */
export const leavingHeader = 'x-woodcross-leaving';

/** Header that carries the request's id, in the request and in the answer. */
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

/** Removes the headers that concern one connection only. */
export function endToEndHeaders(headers: Record<string, string | string[] | undefined>): ResponseHeaders {
	const kept: ResponseHeaders = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHopHeaders.has(name)) kept[name] = value;
	}
	return kept;
}

/** Codes of errors that occur before a connection is open: no byte of the request was sent. */
const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Sends the request; resolves within `timeoutMs` in every case. */
export async function send(
	pool: undici.Dispatcher,
	req: CallerRequest,
	timeoutMs: number,
): Promise<SendOutcome> {
	const abort = new AbortController();
	// AbortSignal.timeout() would keep its timer after the answer, which means thousands of timers under load.
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
		// The answer belongs to another request, so nothing from this connection can be trusted.
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
