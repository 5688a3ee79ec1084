/** Entries of workers in the store, kept up by heartbeats. */
import * as clocks from '../../src/core/clock.js';
import type * as memory from '../fleet/memory-store.js';

/** Number of missed heartbeats after which an entry is removed. */
const maxMissedHeartbeats = 3;

interface ListedWorker {
	fields: object;
	/** Number of times that the worker has written its entry. */
	seq: number;
	/** Timer of the next heartbeat, or of the removal of the entry once heartbeats have stopped. */
	timer: clocks.Timer | undefined;
	/** Clock time of the newest heartbeat, in milliseconds. */
	heartbeatAt: number;
}

/** The entries under `servers/`. */
export class WorkerListing {
	private readonly entries = new Map<string, ListedWorker>();

	private constructor(
		private readonly store: memory.MemoryStore,
		private readonly heartbeatMs: number | undefined,
	) {}

	/**
	 * `heartbeatMs`: interval at which each entry is rewritten. Undefined: an entry is written once and removed by `remove`
	 * alone.
	 */
	static create(store: memory.MemoryStore, heartbeatMs: number | undefined): WorkerListing {
		return new WorkerListing(store, heartbeatMs);
	}

	/** Adds a worker and writes its first entry. */
	add(id: string, fields: object): void {
		this.entries.get(id)?.timer?.cancel();
		const listed: ListedWorker = { fields, seq: 0, timer: undefined, heartbeatAt: 0 };
		this.entries.set(id, listed);
		this.beat(id, listed);
	}

	/** Replaces a worker's fields and writes its entry. An unknown worker is ignored. */
	update(id: string, fields: object): void {
		const listed = this.entries.get(id);
		if (listed === undefined) return;
		listed.timer?.cancel();
		listed.fields = fields;
		this.beat(id, listed);
	}

	/** Stops a worker's heartbeats. Its entry is removed when it lapses; without heartbeats it stays. */
	stopHeartbeats(id: string): void {
		const listed = this.entries.get(id);
		if (listed === undefined || this.heartbeatMs === undefined) return;
		listed.timer?.cancel();
		const lapsesAt = listed.heartbeatAt + maxMissedHeartbeats * this.heartbeatMs;
		listed.timer = clocks.systemClock.after(lapsesAt - clocks.systemClock.now(), () => {
			this.remove(id);
		});
	}

	/** Removes an entry immediately. */
	remove(id: string): void {
		this.entries.get(id)?.timer?.cancel();
		this.entries.delete(id);
		this.store.remove(`servers/${id}`);
	}

	/** Stops all heartbeats. */
	close(): void {
		for (const listed of this.entries.values()) listed.timer?.cancel();
	}

	private beat(id: string, listed: ListedWorker): void {
		listed.seq += 1;
		listed.heartbeatAt = clocks.systemClock.now();
		const entry = { ...listed.fields, seq_no: listed.seq };
		this.store.put(`servers/${id}`, Buffer.from(JSON.stringify(entry)));
		if (this.heartbeatMs === undefined) return;
		listed.timer = clocks.systemClock.after(this.heartbeatMs, () => {
			this.beat(id, listed);
		});
	}
}
