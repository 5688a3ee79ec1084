/**
 * Simulates a backend server (a runner of guichet or programari) with a fixed number of slots. It answers after a delay, and
 * writes each run with its key to standard output, where lines survive a kill.
 */
import type * as http from 'node:http';
import * as h3 from 'h3';
import * as zod from 'zod';
import * as standIn from '../http.js';

const z = zod.z;

const faultSchema = z.strictObject({
	/** Duration of a request, in milliseconds. */
	serviceMs: z.number().default(Number(process.env.SERVICE_MS ?? '5')),
	/** Closes the connection of the next requests: before the body is read, after the run, or halfway through the answer. */
	breakNext: z.enum(['none', 'before', 'after', 'halfway']).default('none'),
	/** Number of requests to which `breakNext` applies. */
	breakCount: z.number().int().default(1),
	/** Refuses all new requests and reports that the server is leaving. */
	leaving: z.boolean().default(false),
});

/** A marker for the journal. It is written after all earlier lines. */
const markerSchema = z.strictObject({ mark: z.string() });

const slots = Number(process.env.SLOTS ?? '8');
let faults = faultSchema.parse({});
let running = 0;

function takeBreak(kind: 'before' | 'after' | 'halfway'): boolean {
	if (faults.breakNext !== kind || faults.breakCount <= 0) return false;
	faults.breakCount -= 1;
	return true;
}

async function readBody(req: http.IncomingMessage): Promise<Buffer> {
	const chunks: Buffer[] = [];
	for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
	return Buffer.concat(chunks);
}

function refuse(res: http.ServerResponse): void {
	res.statusCode = 503;
	res.setHeader('x-woodcross-not-run', '1');
	if (faults.leaving) res.setHeader('x-woodcross-leaving', '1');
	res.end();
}

/** Answers with the request's body, or with `size` bytes filled from it if the query names a `size`. */
async function answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
	if (takeBreak('before')) {
		res.socket?.destroy();
		return;
	}
	const body = await readBody(req);
	if (faults.leaving || running >= slots) {
		refuse(res);
		return;
	}
	running += 1;
	const url = new URL(req.url ?? '/', 'http://backend');
	const run = {
		id: req.headers['x-request-id'],
		key: req.headers['idempotency-key'] ?? '',
		path: url.pathname,
	};
	if (process.env.QUIET !== '1')
		process.stdout.write(`${JSON.stringify({ run: { ...run, at: Date.now(), running } })}\n`);
	if (faults.serviceMs > 0) await new Promise((resolve) => setTimeout(resolve, faults.serviceMs));
	running -= 1;
	if (takeBreak('after')) {
		res.socket?.destroy();
		return;
	}
	const size = Number(url.searchParams.get('size') ?? '0');
	const responseBody = size > 0 ? Buffer.alloc(size, body.length > 0 ? body : 'w') : body;
	res.setHeader('content-type', 'application/octet-stream');
	res.setHeader('x-request-id', req.headers['x-request-id'] ?? '');
	res.setHeader('content-length', responseBody.length);
	if (takeBreak('halfway')) {
		res.write(responseBody.subarray(0, Math.ceil(responseBody.length / 2)), () => res.socket?.destroy());
		return;
	}
	res.end(responseBody);
}

const app = new h3.H3()
	.post('/fault', async (event) => {
		faults = faultSchema.parse(await event.req.json());
		return faults;
	})
	.get('/running', () => ({ running }))
	.post('/mark', async (event) => {
		const { mark } = markerSchema.parse(await event.req.json());
		process.stdout.write(`${JSON.stringify({ mark })}\n`);
		return { mark };
	})
	.all(
		'/**',
		h3.fromNodeHandler((req, res) => answer(req as http.IncomingMessage, res as http.ServerResponse)),
	);

const { server, address } = await standIn.listen(app, Number(process.env.PORT ?? '0'));
server.maxConnections = Number(process.env.CONNECTIONS ?? '64');
standIn.announce(address);
