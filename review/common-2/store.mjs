/** Stand-in for the platform's store: HTTP/1.1 with JSON bodies, as PROTOCOL.md describes it. */
import * as http from 'node:http';
import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** Items in one page of a list. */
const pageItems = 500;

/** Time in which the store answers, in milliseconds. */
const answerMs = 4;

/**
 * @typedef {{ value: string, revision: number, created: number, lease: number }} Item
 * @typedef {{ expected_rev?: { tls_key: string, revision: number }[], writes?: { tls_key: string, value: string, lease?: number }[], remove?: string[] }} Txn
 * @typedef {{ status: number, body: object }} Answer
 */

/** The store. Answers are linearizable; it keeps all its history. */
export class Store {
	revision = 1;
	/** @type {Map<string, Item>} */
	items = new Map();
	/** @type {object[]} */
	history = [];
	/** @type {Map<number, { ttlMs: number, timer: ReturnType<typeof setTimeout> }>} */
	leases = new Map();
	/** @type {Set<() => void>} */
	waiting = new Set();
	/**
	 * Decides what becomes of a writing call: undefined: it is done and answered; otherwise its connection says nothing
	 * further, and it is done after that many milliseconds if its condition still holds.
	 * @type {(txn: Txn) => number | undefined}
	 */
	lateAfterMs = () => undefined;
	lastLease = 0;
	/** Connections that have lost an answer. */
	silent = new WeakSet();
	/** @type {http.Server | undefined} */
	server;

	/** Serves the store on a free port of `host`; returns its address. */
	async listen(host) {
		this.server = http.createServer((req, res) => this.serve(req, res));
		await new Promise((resolve) => this.server.listen(0, host, resolve));
		return `${host}:${this.server.address().port}`;
	}

	close() {
		for (const { timer } of this.leases.values()) clearTimeout(timer);
		this.server?.closeAllConnections();
		this.server?.close();
	}

	/** Writes a key on behalf of the operator or a runner. */
	put(key, value) {
		const text = typeof value === 'string' ? value : JSON.stringify(value);
		this.commit({ writes: [{ tls_key: key, value: Buffer.from(text).toString('base64') }] });
	}

	/** Removes a key on behalf of the operator or a runner. */
	remove(key) {
		this.commit({ remove: [key] });
	}

	/** The value of a key as text; undefined: it is absent. */
	read(key) {
		const item = this.items.get(key);
		return item && Buffer.from(item.value, 'base64').toString('utf8');
	}

	serve(req, res) {
		const chunks = [];
		req.on('error', () => undefined);
		req.on('data', (chunk) => chunks.push(chunk));
		req.on('end', () => {
			const text = Buffer.concat(chunks).toString('utf8');
			const url = new URL(req.url, 'http://store');
			const body = text === '' ? {} : JSON.parse(text);
			setTimeout(() => void this.answer(req, res, url, body), answerMs);
		});
	}

	async answer(req, res, url, body) {
		if (this.silent.has(req.socket)) return;
		const lateMs = url.pathname === '/api/kv-txn' ? this.lateAfterMs(body) : undefined;
		if (lateMs !== undefined) {
			this.silent.add(req.socket);
			setTimeout(() => this.commit(body), lateMs);
			return;
		}
		const { status, body: answer } = await this.handle(req.method, url, body);
		res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(answer));
	}

	/** @returns {Promise<Answer> | Answer} */
	handle(method, url, body) {
		const id = Number(url.pathname.split('/').at(-1));
		const { pathname, searchParams } = url;
		if (pathname === '/api/kv-key') return this.get(searchParams.get('tls_key'));
		if (pathname === '/api/kv-range') return this.list(searchParams);
		if (pathname === '/api/kv-watch') return this.watch(searchParams);
		if (pathname === '/api/kv-txn') return this.commit(body);
		if (pathname === '/api/kv-lease') return this.grant(body.ttl_ms);
		if (pathname.startsWith('/api/kv-keep/') && method === 'POST') return this.keep(id);
		if (pathname.startsWith('/api/kv-lease-end/') && method === 'DELETE') return this.endLease(id);
		return { status: 400, body: {} };
	}

	get(key) {
		const item = this.items.get(key);
		const current_rev = this.revision;
		if (item === undefined) return { status: 404, body: { current_rev } };
		return { status: 200, body: { tls_key: key, ...item, current_rev } };
	}

	list(query) {
		const prefix = query.get('path_prefix') ?? '';
		const after = query.get('after') ?? '';
		const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
		const items = keys.slice(0, pageItems).map((key) => ({ tls_key: key, ...this.items.get(key) }));
		return { status: 200, body: { items, has_more: keys.length > pageItems, current_rev: this.revision } };
	}

	async watch(query) {
		const prefix = query.get('path_prefix') ?? '';
		const after = Number(query.get('after'));
		const changes = () =>
			this.history.filter((event) => event.revision > after && event.tls_key.startsWith(prefix));
		if (changes().length === 0) await this.changed(prefix, Number(query.get('wait_ms')), changes);
		return { status: 200, body: { events: changes(), current_rev: this.revision } };
	}

	/** Resolves with the first change of a key with the prefix, after `waitMs` at the latest. */
	changed(prefix, waitMs, changes) {
		return new Promise((resolve) => {
			const done = () => {
				clearTimeout(timer);
				this.waiting.delete(check);
				resolve();
			};
			const check = () => {
				if (changes().length > 0) done();
			};
			const timer = setTimeout(done, waitMs);
			this.waiting.add(check);
		});
	}

	/**
	 * @param {Txn} txn
	 * @returns {Answer}
	 */
	commit({ expected_rev = [], writes = [], remove = [] }) {
		const isMet = expected_rev.every((row) => (this.items.get(row.tls_key)?.revision ?? 0) === row.revision);
		if (!isMet) {
			const found = expected_rev.filter((row) => this.items.has(row.tls_key));
			const items = found.map((row) => ({ tls_key: row.tls_key, ...this.items.get(row.tls_key) }));
			return { status: 412, body: { items } };
		}
		if (writes.some((row) => row.lease && !this.leases.has(row.lease))) return { status: 404, body: {} };
		this.revision += 1;
		const { revision } = this;
		for (const { tls_key, value, lease = 0 } of writes) {
			const created = this.items.get(tls_key)?.created ?? revision;
			const item = { value, revision, created, lease };
			this.items.set(tls_key, item);
			this.history.push({ tls_key, ...item });
		}
		for (const tls_key of remove)
			if (this.items.delete(tls_key)) this.history.push({ tls_key, revision, removed: true });
		for (const check of [...this.waiting]) check();
		return { status: 200, body: { revision } };
	}

	grant(ttlMs) {
		this.lastLease += 1;
		const lease = this.lastLease;
		this.leases.set(lease, { ttlMs, timer: setTimeout(() => this.endLease(lease), ttlMs) });
		return { status: 200, body: { lease, ttl_ms: ttlMs } };
	}

	keep(lease) {
		const found = this.leases.get(lease);
		if (found === undefined) return { status: 404, body: {} };
		clearTimeout(found.timer);
		found.timer = setTimeout(() => this.endLease(lease), found.ttlMs);
		return { status: 200, body: { ttl_ms: found.ttlMs } };
	}

	endLease(lease) {
		const found = this.leases.get(lease);
		if (found === undefined) return { status: 404, body: {} };
		clearTimeout(found.timer);
		this.leases.delete(lease);
		const keys = [...this.items].filter(([, item]) => item.lease === lease).map(([key]) => key);
		if (keys.length > 0) this.commit({ remove: keys });
		return { status: 200, body: {} };
	}
}
