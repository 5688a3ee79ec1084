/**
 * A small simulation of the platform for tests with real boxes. It serves the store and the workers over HTTP in the
 * platform's protocol, as far as a box uses it. Faults are set on the memory store and the simulated workers behind it.
 */
import * as http from 'node:http';
import * as addressViews from './address-view.js';
import * as clocks from '../../src/core/clock.js';
import * as memory from '../fleet/memory-store.js';
import * as listings from './listing.js';
import * as workers from '../fleet/workers.js';
import type * as fleet from '../../src/core/fleet/types.js';
import type * as net from 'node:net';
import type * as platform from '../../src/core/platform/types.js';

type Body = Record<string, unknown>;

/** Status and body of an answer. `none`: the connection breaks, and the call may have been carried out. */
type Answer = [number, object] | 'none';

type RequestHandler = (req: http.IncomingMessage, url: URL, body: Body) => Promise<Answer>;

/** Options of the simulated platform. */
export interface UsersPlatformOptions {
	plan: (task: string, run: number) => workers.RunPlan;
	/**
	 * Notified of each start that a worker carried out, each exit, and each exit that a worker dropped once it was
	 * acknowledged.
	 */
	journal?: workers.FleetJournal;
	/** Interval at which workers rewrite their entries, in milliseconds; absent: they don't. */
	heartbeatMs?: number;
	/**
	 * Longest lease of the workers, in milliseconds; absent: 10,000. It has to equal `hold_max_ms` in the boxes' settings
	 * (`box-process.ts`).
	 */
	maxLeaseMs?: number;
}

const defaultMaxLeaseMs = 10_000;

/** Capacity of a worker unless it is resized, in thousandths of a core. */
export const workerMilliCores = 32_000;

/** HTTP status of each refusal by a worker, and the reason in its body. */
const refusals: Record<string, [number, string]> = {
	fenced: [409, 'fence'],
	'stale-run': [409, 'old'],
	'too-late': [409, 'late'],
	'no-room': [409, 'room'],
	'other-life': [421, ''],
};

/** The simulated platform. */
export class UsersPlatform {
	readonly store = memory.MemoryStore.create(clocks.systemClock);
	readonly fleet: workers.FakeFleet;
	/** Fault of every call to the store. */
	storeFault: memory.StoreFault = 'none';
	private readonly listing: listings.WorkerListing;
	private readonly servers: http.Server[] = [];

	private constructor(opts: UsersPlatformOptions) {
		this.fleet = workers.FakeFleet.create({
			clock: clocks.systemClock,
			...opts,
			maxLeaseMs: opts.maxLeaseMs ?? defaultMaxLeaseMs,
		});
		this.listing = listings.WorkerListing.create(this.store, opts.heartbeatMs);
	}

	static create(opts: UsersPlatformOptions): UsersPlatform {
		return new UsersPlatform(opts);
	}

	/**
	 * Serves the store and returns its address. `addressMap`: serves a view for one box that has its own addresses for the
	 * other processes.
	 */
	startStore(addressMap?: addressViews.AddressMap): Promise<string> {
		const untranslated = this.store.view(() => this.storeFault);
		const view =
			addressMap === undefined
				? untranslated
				: addressViews.withTranslatedAddresses(untranslated, addressMap);
		return this.listen((req, url, body) => handleStoreCall(view, req.method ?? '', url, body));
	}

	/**
	 * Starts a worker and lists it in the store under `listedAs(address)`. Returns the address at which it listens. `born`:
	 * the start time that it reports; absent: it reports none.
	 */
	async startWorker(
		id: string,
		listedAs: (address: string) => Promise<string> | string,
		born?: number,
	): Promise<string> {
		const address = await this.listen((req, url, body) =>
			this.handleWorkerCall({ id: String(req.headers['target-instance']), address }, url.pathname, body),
		);
		this.addIncarnation(id, address, await listedAs(address), born);
		return address;
	}

	/**
	 * Ends a worker with all its runs and starts another incarnation at the same address. `lapsing`: the old entry stays
	 * listed until it lapses after three missed heartbeats; without heartbeats it stays until `removeEntry`.
	 */
	replaceWorker(
		previousId: string,
		id: string,
		listedAs: string,
		entry: 'dropped' | 'lapsing' = 'dropped',
	): void {
		// A worker that has crashed already is not in the fleet.
		const address = this.fleet.workers.get(previousId)?.entry.address ?? listedAs;
		if (entry === 'dropped') this.removeEntry(previousId);
		else this.listing.stopHeartbeats(previousId);
		this.addIncarnation(id, address, listedAs);
	}

	/** Restarts a worker under its id at its address. If it is up, it crashes with all its runs first. */
	restartWorker(id: string, listedAs: string, born: number): void {
		const previous = this.fleet.workers.get(id);
		if (previous !== undefined) this.fleet.takeDown(previous);
		this.addIncarnation(id, previous?.entry.address ?? listedAs, listedAs, born);
	}

	/** Removes the entry of an incarnation that has ended. */
	removeEntry(id: string): void {
		this.listing.remove(id);
	}

	private addIncarnation(id: string, address: string, listedAs: string, born?: number): void {
		this.fleet.add(id, { address }, born);
		this.listing.add(id, { ...createEntry(listedAs, workerMilliCores), born });
	}

	/** Changes the capacity in the entry of worker `id`, which is listed at `listedAs`. */
	resize(id: string, listedAs: string, milliCores: number): void {
		this.listing.update(id, createEntry(listedAs, milliCores));
	}

	/** Stops the heartbeats of a worker that has crashed, or is cut off from the store. */
	stopHeartbeats(id: string): void {
		this.listing.stopHeartbeats(id);
	}

	/** Lists a worker anew that was cut off from the store. `born`: the start time that it reports. */
	resumeHeartbeats(id: string, listedAs: string, born?: number): void {
		this.listing.add(id, { ...createEntry(listedAs, workerMilliCores), born });
	}

	/** Writes the operators' configuration, with one queue at `host` for each path prefix. */
	writeConfiguration(version: number, host: string, prefixes = ['/jobs/']): void {
		const configuration = { version, ...createConfiguration(host, prefixes) };
		this.store.put('op/config', Buffer.from(JSON.stringify(configuration)));
	}

	/** Evacuates a zone, as an operator does. */
	evacuate(zone: string): void {
		this.store.put(`op/evacuate/${zone}`, Buffer.from('{}'));
	}

	/** Cancels an evacuation, as an operator does. */
	cancelEvacuation(zone: string): void {
		this.store.remove(`op/evacuate/${zone}`);
	}

	/** Closes all servers. */
	close(): void {
		this.listing.close();
		for (const server of this.servers) {
			server.closeAllConnections();
			server.close();
		}
	}

	private async handleWorkerCall(at: fleet.WorkerTarget, path: string, body: Body): Promise<Answer> {
		const calls = this.fleet.calls();
		const token = Number(body.fencing_token ?? 0);
		const leaseUntil = body.deadline_ms as number | undefined;
		if (path === '/api/hold') {
			const acknowledgeUpTo = Number(body.last_seen ?? 0);
			const waitMs = Number(body.wait_ms ?? 0);
			return toAnswer(
				await calls.requestReport(at, { token, acknowledgeUpTo, leaseUntil, waitMs }),
				toWireReport,
			);
		}
		const task = String(body.task);
		const run = Number(body.run);
		const toWireClock = (reading: fleet.ClockReading): object => ({ clock_ms: reading.clockMs });
		if (path === '/api/run-stop') return toAnswer(await calls.stop(at, task, run, token), toWireClock);
		const text = String(body.spec);
		const checkpoint = (body.last_checkpoint ?? '') as string;
		const command = { task, run, text, token, leaseUntil, checkpoint, ticket: '' };
		return toAnswer(await calls.start(at, command), toWireClock);
	}

	/** Starts a server on a port that the kernel chooses. Returns its address. */
	private async listen(handle: RequestHandler): Promise<string> {
		const server = http.createServer((req, res) => {
			respond(req, res, handle);
		});
		this.servers.push(server);
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const { address, port } = server.address() as net.AddressInfo;
		return `${address}:${port}`;
	}
}

/** Reads a request's body and answers it. Answer `none` closes the connection. */
function respond(req: http.IncomingMessage, res: http.ServerResponse, handle: RequestHandler): void {
	const chunks: Buffer[] = [];
	req.on('data', (chunk: Buffer) => chunks.push(chunk));
	req.on('end', () => {
		const text = Buffer.concat(chunks).toString('utf8');
		const body = (text === '' ? {} : JSON.parse(text)) as Body;
		void handle(req, new URL(req.url ?? '/', 'http://stand-in'), body).then((answer) => {
			if (answer === 'none') {
				req.socket.destroy();
				return;
			}
			const [status, value] = answer;
			res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
		});
	});
}

/** The fields that a worker writes in its entry. */
function createEntry(address: string, milliCores: number): object {
	return {
		service: 'press',
		address,
		zone: 'rennes',
		state: 'ready',
		capacity: { cpu: milliCores, mem_mb: 128_000, gpu: 0 },
		labels: ['a', 'r1'],
	};
}

/** The part of the operators' configuration that all versions share. */
function createConfiguration(host: string, prefixes: string[]): object {
	const routes = prefixes.map((prefix, index) => ({
		name: `proofs-${index}`,
		host,
		path_prefix: prefix,
		slo_ms: 500,
		priority: 0,
		service: 'press',
		attempts: 3,
		stretch: 2,
	}));
	return {
		routes,
		services: [{ name: 'press', admission_check: true, headroom: false }],
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 65_536,
			header_timeout_ms: 3_000,
			idle_timeout_ms: 15_000,
		},
	};
}

/** Converts a worker's answer to HTTP. */
function toAnswer<T>(res: Awaited<fleet.WorkerResult<T>>, toWire: (value: T) => object): Answer {
	if (res.ok) return [200, toWire(res.value)];
	const refusal = refusals[res.err.kind];
	return refusal === undefined ? 'none' : [refusal[0], { reason: refusal[1] }];
}

function toWireReport(report: fleet.WorkerReport): object {
	return {
		born: report.born,
		clock_ms: report.clockMs,
		running: report.running.map((one) => [one.task, one.run, one.checkpoint, one.percent, one.reading]),
		ended: report.ended.map((one) => [one.seq, one.task, one.run, one.how, one.checkpoint]),
	};
}

/** Converts a failed call to the store: 503 if nothing was written, a broken connection if that is unknown. */
function toFailureAnswer(err: platform.StoreFailure): Answer {
	return err.effect === 'none' ? [503, {}] : 'none';
}

/** Handles a call to the store. */
async function handleStoreCall(
	view: platform.RecordStore,
	method: string,
	url: URL,
	body: Body,
): Promise<Answer> {
	const id = url.pathname.split('/').at(-1) ?? '';
	switch (url.pathname) {
		case '/api/kv-key':
			return answerGet(view, url.searchParams);
		case '/api/kv-range':
			return answerList(view, url.searchParams);
		case '/api/kv-watch':
			return answerWatch(view, url.searchParams);
		case '/api/kv-txn':
			return answerTxn(view, body);
		case '/api/kv-lease':
			return answerGrant(view, body);
		default:
			return method === 'DELETE' ? answerEndLease(view, id) : answerKeepLease(view, id);
	}
}

async function answerGet(view: platform.RecordStore, query: URLSearchParams): Promise<Answer> {
	const res = await view.get(query.get('tls_key') ?? '');
	if (!res.ok) return toFailureAnswer(res.err);
	return res.value === undefined ? [404, {}] : [200, toWireItem(res.value)];
}

async function answerList(view: platform.RecordStore, query: URLSearchParams): Promise<Answer> {
	const res = await view.list(query.get('path_prefix') ?? '');
	if (!res.ok) return toFailureAnswer(res.err);
	const items = res.value.items.map(toWireItem);
	return [200, { items, has_more: false, current_rev: res.value.revision }];
}

async function answerWatch(view: platform.RecordStore, query: URLSearchParams): Promise<Answer> {
	const after = Number(query.get('after'));
	const waitMs = Number(query.get('wait_ms'));
	const res = await view.follow(query.get('path_prefix') ?? '', after, waitMs);
	if (!res.ok) return toFailureAnswer(res.err);
	if (res.value.type === 'compacted') return [410, {}];
	return [200, { events: res.value.changes.map(toWireChange), current_rev: res.value.revision }];
}

async function answerGrant(view: platform.RecordStore, body: Body): Promise<Answer> {
	const res = await view.grantLease(Number(body.ttl_ms));
	return res.ok ? [200, { lease: Number(res.value), ttl_ms: body.ttl_ms }] : toFailureAnswer(res.err);
}

async function answerEndLease(view: platform.RecordStore, lease: string): Promise<Answer> {
	const res = await view.endLease(lease);
	return res.ok ? [200, {}] : toFailureAnswer(res.err);
}

async function answerKeepLease(view: platform.RecordStore, lease: string): Promise<Answer> {
	const res = await view.keepLease(lease);
	if (!res.ok) return toFailureAnswer(res.err);
	return res.value ? [200, { ttl_ms: 0 }] : [404, {}];
}

async function answerTxn(view: platform.RecordStore, body: Body): Promise<Answer> {
	const rows = body.expected_rev as { tls_key: string; revision: number }[];
	const writes = body.writes as { tls_key: string; value: string; lease?: number }[];
	const res = await view.commit({
		expected: rows.map((row) => ({ key: row.tls_key, version: row.revision })),
		writes: writes.map((row) => ({
			key: row.tls_key,
			value: Buffer.from(row.value, 'base64'),
			lease: row.lease === undefined ? undefined : String(row.lease),
		})),
		removes: body.remove as string[],
	});
	if (!res.ok) return toFailureAnswer(res.err);
	if (res.value.type === 'lease-gone') return [404, {}];
	if (res.value.type === 'conflict') return [412, { items: res.value.current.map(toWireItem) }];
	return [200, { revision: res.value.version }];
}

function toWireItem(item: platform.Stored): object {
	const value = Buffer.from(item.value).toString('base64');
	return { tls_key: item.key, value, revision: item.version, created: item.version, lease: 0 };
}

function toWireChange(change: platform.StoreChange): object {
	if (change.value === undefined) return { tls_key: change.key, revision: change.version, removed: true };
	return toWireItem({ key: change.key, value: change.value, version: change.version });
}
