/** Simulates the platform's store in memory, with faults like those of the real one. */
import * as results from '../../src/core/result.js';
import type * as platform from '../../src/core/platform/types.js';
import type * as clocks from '../../src/core/clock.js';

/**
 * What happens to calls. `down`: they are refused. `lost`: writes are carried out and not answered. `late`: writes are
 * carried out a while after the caller has timed out, and not answered. Reads work as usual under `lost` and `late`.
 */
export type StoreFault = 'none' | 'down' | 'lost' | 'late';

/** Timeout of a caller, in milliseconds. */
const callTimeoutMs = 1_000;

/** How long after the caller's timeout a late write is carried out, in milliseconds. */
const lateDelayMs = 3_000;

interface Entry {
	value: Uint8Array;
	version: number;
	lease?: string;
}

interface Waiter {
	prefix: string;
	after: number;
	resolve: (outcome: results.Result<platform.FollowOutcome, platform.StoreFailure>) => void;
}

type StoreResult<T> = Promise<results.Result<T, platform.StoreFailure>>;

const unanswered = results.fail({ effect: 'unknown' as const, reason: 'no answer' });
const refused = results.fail({ effect: 'none' as const, reason: 'the store is unavailable' });

/** One store. `view` gives each box its own faults. */
export class MemoryStore {
	/** Number of changes so far; the version of the latest change. */
	private revision = 0;
	/** Number of transactions that were committed. */
	writes = 0;
	/** Time until a read is answered, and a write, in milliseconds. */
	readMs = 4;
	writeMs = 4;
	private readonly entries = new Map<string, Entry>();
	private history: platform.StoreChange[] = [];
	/** Changes up to this revision have been dropped from the history. */
	private compactedUpTo = 0;
	private readonly leases = new Map<string, { ttlMs: number; timer: clocks.Timer }>();
	private waiters: Waiter[] = [];
	private nextLease = 1;

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): MemoryStore {
		return new MemoryStore(clock);
	}

	/** The store as one box sees it. `fault` is called for each call. */
	view(fault: () => StoreFault = () => 'none'): platform.RecordStore {
		const read = <T>(fn: () => T): StoreResult<T> => this.read(fault, fn);
		const write = <T>(fn: () => T): StoreResult<T> => this.write(fault, fn);
		return {
			get: (key) => read(() => this.stored(key)),
			list: (prefix) => read(() => ({ items: this.list(prefix), revision: this.revision })),
			commit: (txn) => write(() => this.commit(txn)),
			follow: (prefix, after, waitMs) => this.follow(prefix, after, waitMs, fault),
			grantLease: (ttlMs) => write(() => this.grantLease(ttlMs)),
			keepLease: (lease) => read(() => this.keep(lease)),
			endLease: (lease) => write(() => this.endLease(lease)),
		};
	}

	/** Writes a key regardless of its version, as operators and workers do. */
	put(key: string, value: Uint8Array): void {
		this.applyChange(key, value);
	}

	/** Removes a key, as the platform may do at any time. */
	remove(key: string): void {
		if (this.entries.has(key)) this.applyChange(key, undefined);
	}

	/** Number of changes of keys with a prefix, as far as the history reaches back. */
	changesOf(prefix: string): number {
		return this.history.filter((one) => one.key.startsWith(prefix)).length;
	}

	/** Drops the history of changes. Callers that follow from an earlier revision must read the list again. */
	forget(): void {
		this.history = [];
		this.compactedUpTo = this.revision;
		for (const waiter of [...this.waiters]) if (waiter.after < this.compactedUpTo) this.answer(waiter);
	}

	/** All keys, sorted. */
	keys(): string[] {
		return [...this.entries.keys()].sort();
	}

	private async read<T>(fault: () => StoreFault, fn: () => T): StoreResult<T> {
		await this.sleep(this.readMs);
		return fault() === 'down' ? refused : results.ok(fn());
	}

	private async write<T>(fault: () => StoreFault, fn: () => T): StoreResult<T> {
		await this.sleep(this.writeMs);
		const currentFault = fault();
		if (currentFault === 'down') return refused;
		if (currentFault === 'none') return results.ok(fn());
		if (currentFault === 'lost') fn();
		else this.clock.after(callTimeoutMs + lateDelayMs, () => void fn());
		await this.sleep(callTimeoutMs);
		return unanswered;
	}

	private list(prefix: string): platform.Stored[] {
		return this.keys().flatMap((key) => (key.startsWith(prefix) ? (this.stored(key) ?? []) : []));
	}

	private stored(key: string): platform.Stored | undefined {
		const entry = this.entries.get(key);
		return entry && { key, value: entry.value, version: entry.version };
	}

	private commit(txn: platform.Transaction): platform.CommitOutcome {
		const versionsMatch = txn.expected.every(
			(one) => (this.entries.get(one.key)?.version ?? 0) === one.version,
		);
		if (!versionsMatch)
			return { type: 'conflict', current: txn.expected.flatMap((one) => this.stored(one.key) ?? []) };
		if (txn.writes.some((one) => one.lease !== undefined && !this.leases.has(one.lease)))
			return { type: 'lease-gone' };
		this.writes += 1;
		this.revision += 1;
		for (const one of txn.writes) this.set(one.key, one.value, one.lease);
		for (const key of txn.removes) this.set(key, undefined);
		this.answerMatchingWaiters();
		return { type: 'committed', version: this.revision };
	}

	private applyChange(key: string, value: Uint8Array | undefined): void {
		this.revision += 1;
		this.set(key, value);
		this.answerMatchingWaiters();
	}

	private set(key: string, value: Uint8Array | undefined, lease?: string): void {
		if (value === undefined) this.entries.delete(key);
		else this.entries.set(key, { value, version: this.revision, lease });
		this.history.push({ key, value, version: this.revision });
	}

	private follow(
		prefix: string,
		after: number,
		waitMs: number,
		fault: () => StoreFault,
	): StoreResult<platform.FollowOutcome> {
		return new Promise((resolve) => {
			this.clock.after(this.readMs, () => {
				if (fault() === 'down') {
					resolve(refused);
					return;
				}
				const waiter: Waiter = { prefix, after, resolve };
				this.waiters.push(waiter);
				this.clock.after(waitMs, () => {
					this.answer(waiter);
				});
				if (after < this.compactedUpTo) this.answer(waiter);
				else this.answerMatchingWaiters();
			});
		});
	}

	private answerMatchingWaiters(): void {
		for (const waiter of [...this.waiters]) if (this.changesFor(waiter).length > 0) this.answer(waiter);
	}

	private answer(waiter: Waiter): void {
		if (!this.waiters.includes(waiter)) return;
		this.waiters = this.waiters.filter((one) => one !== waiter);
		if (waiter.after < this.compactedUpTo) {
			waiter.resolve(results.ok({ type: 'compacted' }));
			return;
		}
		const changes = this.changesFor(waiter);
		waiter.resolve(results.ok({ type: 'changes', changes, revision: this.revision }));
	}

	private changesFor(waiter: Waiter): platform.StoreChange[] {
		return this.history.filter((one) => one.version > waiter.after && one.key.startsWith(waiter.prefix));
	}

	private grantLease(ttlMs: number): string {
		const lease = String(this.nextLease);
		this.nextLease += 1;
		this.leases.set(lease, { ttlMs, timer: this.lapseTimer(lease, ttlMs) });
		return lease;
	}

	private keep(lease: string): boolean {
		const held = this.leases.get(lease);
		if (held === undefined) return false;
		held.timer.cancel();
		held.timer = this.lapseTimer(lease, held.ttlMs);
		return true;
	}

	private lapseTimer(lease: string, ttlMs: number): clocks.Timer {
		return this.clock.after(ttlMs, () => {
			this.endLease(lease);
		});
	}

	/** Ends a lease, and removes its keys. */
	private endLease(lease: string): true {
		this.leases.get(lease)?.timer.cancel();
		this.leases.delete(lease);
		for (const [key, entry] of this.entries) if (entry.lease === lease) this.applyChange(key, undefined);
		return true;
	}

	private sleep(ms: number): Promise<void> {
		return new Promise((resolve) => {
			this.clock.after(ms, resolve);
		});
	}
}
