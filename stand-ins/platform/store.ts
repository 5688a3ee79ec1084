/** Keys, leases and watches of the simulated key-value service, in memory. */

/** A key with its value. `version` is etcd's `mod_revision`. */
export interface Entry {
	key: string;
	value: string;
	version: number;
	lease: string;
}

/** A change of a key, as watches report it. */
export interface Change {
	type: 'PUT' | 'DELETE';
	entry: Entry;
}

interface Watcher {
	from: string;
	to: string;
	notify: (changes: Change[]) => void;
}

interface Lease {
	ttlS: number;
	/** Wall-clock milliseconds. */
	expiresAt: number;
}

/** Number of changes kept for watches that start at an earlier revision. */
const maxHistoryChanges = 50_000;

/** The store. Keys are compared as base64-decoded strings. A range includes `from` and excludes `to`. */
export class MemoryStore {
	revision = 1;
	private readonly entries = new Map<string, Entry>();
	private readonly leases = new Map<string, Lease>();
	private readonly watchers = new Set<Watcher>();
	private readonly history: Change[] = [];
	private nextLease = 1;

	private constructor(private readonly wall: () => number) {}

	static create(wall: () => number): MemoryStore {
		return new MemoryStore(wall);
	}

	/** Entries of the range from `from` to `to`; without `to`, the entry of the key `from` alone. */
	range(from: string, to?: string): Entry[] {
		if (to === undefined) {
			const entry = this.entries.get(from);
			return entry ? [entry] : [];
		}
		return [...this.entries.values()]
			.filter((entry) => entry.key >= from && entry.key < to)
			.sort((a, b) => (a.key < b.key ? -1 : 1));
	}

	versionOf(key: string): number {
		return this.entries.get(key)?.version ?? 0;
	}

	put(key: string, value: string, lease: string): void {
		this.revision += 1;
		const entry = { key, value, version: this.revision, lease };
		this.entries.set(key, entry);
		this.notifyWatchers([{ type: 'PUT', entry }]);
	}

	grantLease(ttlS: number): string {
		const id = String(this.nextLease);
		this.nextLease += 1;
		this.leases.set(id, { ttlS, expiresAt: this.wall() + ttlS * 1000 });
		return id;
	}

	/** Renews a lease. Returns its TTL in seconds; 0: the lease has ended. */
	keep(id: string): number {
		this.expireLeases();
		const lease = this.leases.get(id);
		if (lease === undefined) return 0;
		lease.expiresAt = this.wall() + lease.ttlS * 1000;
		return lease.ttlS;
	}

	revokeLease(id: string): void {
		this.leases.delete(id);
		const removed = [...this.entries.values()].filter((entry) => entry.lease === id);
		if (removed.length === 0) return;
		this.revision += 1;
		for (const entry of removed) this.entries.delete(entry.key);
		this.notifyWatchers(
			removed.map((entry) => ({ type: 'DELETE', entry: { ...entry, value: '', version: this.revision } })),
		);
	}

	/** Ends all expired leases. */
	expireLeases(): void {
		const now = this.wall();
		for (const [id, lease] of [...this.leases]) {
			if (lease.expiresAt <= now) this.revokeLease(id);
		}
	}

	/**
	 * Calls `notify` with the known changes since `startRevision`, then with each new one. Returns a function that ends the
	 * watch.
	 */
	watch(from: string, to: string, startRevision: number, notify: (changes: Change[]) => void): () => void {
		const watcher = { from, to, notify };
		const pastChanges = this.history.filter(
			(change) => change.entry.version >= startRevision && isWatched(watcher, change),
		);
		if (pastChanges.length > 0) notify(pastChanges);
		this.watchers.add(watcher);
		return () => this.watchers.delete(watcher);
	}

	get watcherCount(): number {
		return this.watchers.size;
	}

	private notifyWatchers(changes: Change[]): void {
		this.history.push(...changes);
		if (this.history.length > maxHistoryChanges)
			this.history.splice(0, this.history.length - maxHistoryChanges);
		for (const watcher of this.watchers) {
			const matching = changes.filter((change) => isWatched(watcher, change));
			if (matching.length > 0) watcher.notify(matching);
		}
	}
}

function isWatched(watcher: Watcher, change: Change): boolean {
	return change.entry.key >= watcher.from && change.entry.key < watcher.to;
}
