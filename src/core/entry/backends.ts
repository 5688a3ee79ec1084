/** Backend servers known to an entry box, with their connections, slot shares, recent latencies and failures. */
import * as undici from 'undici';
import * as shares from './shares.js';
import type * as boxes from '../boxes/index.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';

/** A backend server as this entry box sees it. */
export interface Backend {
	box: boxes.BackendBox;
	zone: string;
	pool: undici.Pool;
	/** Slots this entry box may use now. */
	share: shares.SteadyShare;
	inFlight: number;
	/** Moving average of answer times, in milliseconds. */
	latencyMs: number;
	/** Consecutive failures. */
	failures: number;
	/** No request is sent to it before this time, on the monotonic clock; `-Infinity`: at once. */
	backoffUntil: number;
	/** Whether it is known to be leaving, from the list, from its own answers or from a peer. */
	leaving: boolean;
	/** Whether it is missing from its zone's newest list; it is closed once no request is in flight. */
	unlisted: boolean;
}

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 1_000;

/** Weight of the newest answer time in the moving average. */
const latencyWeight = 0.1;

/** Backoff after a failure, in milliseconds: doubles with each consecutive failure, up to `maxBackoffMs`. */
const initialBackoffMs = 100;
const maxBackoffMs = 5_000;

/** The known backend servers, by id. */
export class Backends {
	private readonly byId = new Map<string, Backend>();

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly log: events.EventLog,
	) {}

	static create(clock: clocks.Clock, log: events.EventLog): Backends {
		return new Backends(clock, log);
	}

	get all(): Backend[] {
		return [...this.byId.values()];
	}

	/**
	 * Applies a zone's newest list. The list lags, so a backend server known to be leaving stays marked until it is gone
	 * from it.
	 */
	applyZoneList(zone: string, listed: readonly boxes.BackendBox[]): void {
		const ids = new Set(listed.map((box) => box.id));
		for (const backend of this.byId.values()) {
			if (backend.zone === zone && !ids.has(backend.box.id)) this.unlist(backend);
		}
		for (const box of listed) this.set(zone, box);
	}

	/** Marks a backend server as leaving; false if it is unknown or already marked. */
	markLeaving(id: string): boolean {
		const backend = this.byId.get(id);
		if (backend === undefined || backend.leaving) return false;
		backend.leaving = true;
		this.log.emit('backend.leaving', { backend: id });
		return true;
	}

	/** Whether a request may be sent to it now. */
	open(backend: Backend): boolean {
		const free = backend.inFlight < backend.share.value;
		return free && !backend.leaving && !backend.unlisted && backend.backoffUntil <= this.clock.now();
	}

	/** Records the outcome of a request that was sent to it. */
	noteOutcome(backend: Backend, outcome: 'answered' | 'refused' | 'failed', tookMs: number): void {
		backend.inFlight -= 1;
		if (outcome === 'answered') {
			backend.failures = 0;
			backend.latencyMs += (tookMs - backend.latencyMs) * latencyWeight;
		}
		if (outcome === 'failed') {
			backend.failures += 1;
			const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** Math.min(10, backend.failures - 1));
			backend.backoffUntil = this.clock.now() + backoffMs;
		}
		// Other entry boxes use its slots: skip it until one is likely to be free, for half its average latency.
		if (outcome === 'refused') backend.backoffUntil = this.clock.now() + Math.max(1, backend.latencyMs / 2);
		if (backend.unlisted && backend.inFlight === 0) this.removeAndClose(backend);
	}

	async close(): Promise<void> {
		await Promise.all(this.all.map((backend) => backend.pool.destroy()));
	}

	private set(zone: string, box: boxes.BackendBox): void {
		const existing = this.byId.get(box.id);
		if (existing?.box.address === box.address) {
			existing.box = box;
			existing.unlisted = false;
			if (box.state === 'leaving') this.markLeaving(box.id);
			return;
		}
		if (existing !== undefined) this.removeAndClose(existing);
		this.byId.set(box.id, this.build(zone, box));
		this.log.emit('backend.added', { backend: box.id });
		if (box.state === 'leaving') this.markLeaving(box.id);
	}

	private build(zone: string, box: boxes.BackendBox): Backend {
		const pool = new undici.Pool(`http://${box.address}`, {
			connections: Math.max(1, Math.min(box.slots, box.connections)),
			pipelining: 1,
			connect: { timeout: connectTimeoutMs },
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		return {
			box,
			zone,
			pool,
			share: shares.SteadyShare.create(),
			inFlight: 0,
			latencyMs: 0,
			failures: 0,
			backoffUntil: -Infinity,
			leaving: false,
			unlisted: false,
		};
	}

	private unlist(backend: Backend): void {
		backend.unlisted = true;
		if (backend.inFlight === 0) this.removeAndClose(backend);
	}

	private removeAndClose(backend: Backend): void {
		if (this.byId.get(backend.box.id) === backend) this.byId.delete(backend.box.id);
		this.log.emit('backend.removed', { backend: backend.box.id });
		void backend.pool.close();
	}
}
