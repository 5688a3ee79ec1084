/** Entries that workers keep of themselves in the store, with their heartbeats. */
import * as clocks from '../../src/core/clock.js';
import type * as memory from '../fleet/memory-store.js';

/** An entry goes after so many heartbeats of silence. */
const maxMissedHeartbeats = 3;

/** One worker's entry. */
interface ListedWorker {
	fields: object;
	/** Counts what the worker has written. */
	seq: number;
	/** The next heartbeat, or the time at which a silent one's entry goes. */
	timer: clocks.Timer | undefined;
	/** Clock time of the newest heartbeat. */
	heartbeatAt: number;
}

/** What stands under `servers/`. */
export class WorkerListing {
	private readonly entries = new Map<string, ListedWorker>();

	private constructor(
		private readonly store: memory.MemoryStore,
		private readonly heartbeatMs: number | undefined,
	) {}

	/** `heartbeatMs`: entries are written anew so often; undefined: once only, and they go only by `drop`. */
	static create(store: memory.MemoryStore, heartbeatMs: number | undefined): WorkerListing {
		return new WorkerListing(store, heartbeatMs);
	}

	/** A worker writes its first entry. */
	add(id: string, fields: object): void {
		this.entries.get(id)?.timer?.cancel();
		const listed: ListedWorker = { fields, seq: 0, timer: undefined, heartbeatAt: 0 };
		this.entries.set(id, listed);
		this.beat(id, listed);
	}

	/** A worker writes an entry with other fields from now on. */
	update(id: string, fields: object): void {
		const listed = this.entries.get(id);
		if (listed === undefined) return;
		listed.timer?.cancel();
		listed.fields = fields;
		this.beat(id, listed);
	}

	/** A worker writes no more; its entry goes by and by. */
	stopHeartbeats(id: string): void {
		const listed = this.entries.get(id);
		if (listed === undefined || this.heartbeatMs === undefined) return;
		listed.timer?.cancel();
		const lapsesAt = listed.heartbeatAt + maxMissedHeartbeats * this.heartbeatMs;
		listed.timer = clocks.systemClock.after(lapsesAt - clocks.systemClock.now(), () => {
			this.remove(id);
		});
	}

	/** An entry goes now. */
	remove(id: string): void {
		this.entries.get(id)?.timer?.cancel();
		this.entries.delete(id);
		this.store.remove(`servers/${id}`);
	}

	/** Ends all heartbeats. */
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
