/** The backend servers an entry box knows, with their connections, shares and recent behaviour. */
import * as undici from 'undici';
import * as shares from './shares.js';
import type * as boxes from '../boxes/index.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';

/** One backend server. */
export interface Backend {
	box: boxes.BackendBox;
	zone: string;
	pool: undici.Pool;
	/** Slots this entry box may use now. */
	share: shares.SteadyShare;
	inFlight: number;
	/** Moving average of answer times, in milliseconds. */
	latencyMs: number;
	/** Failures in a row. */
	failures: number;
	/** Not tried before this time, on the monotonic clock. */
	backoffUntil: number;
	/** Known to be leaving, from the list, from its own answers, or from a peer. */
	leaving: boolean;
	/** Gone from the list; closed once idle. */
	unlisted: boolean;
}

/** Milliseconds a connection may take to stand. */
const connectTimeoutMs = 1_000;

/** Weight of the newest answer time in the moving average. */
const latencyWeight = 0.1;

/** Pause after a failure in milliseconds: doubles with each in a row up to the largest. */
const initialBackoffMs = 100;
const maxBackoffMs = 5_000;

/** The set of backend servers. */
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

	/** Takes over a zone's newest list. The list lags: what is known to be leaving stays so until it is gone. */
	applyZoneList(zone: string, listed: readonly boxes.BackendBox[]): void {
		const ids = new Set(listed.map((box) => box.id));
		for (const backend of this.byId.values()) {
			if (backend.zone === zone && !ids.has(backend.box.id)) this.unlist(backend);
		}
		for (const box of listed) this.set(zone, box);
	}

	/** Marks a backend server as leaving; true if that is news. */
	markLeaving(id: string): boolean {
		const backend = this.byId.get(id);
		if (backend === undefined || backend.leaving) return false;
		backend.leaving = true;
		this.log.emit('backend.leaving', { backend: id });
		return true;
	}

	/** Whether it may get a request now. */
	open(backend: Backend): boolean {
		const free = backend.inFlight < backend.share.value;
		return free && !backend.leaving && !backend.unlisted && backend.backoffUntil <= this.clock.now();
	}

	/** Notes how a request ended. */
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
		// Its slots are taken by others: leave it alone for about as long as one answer takes.
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
