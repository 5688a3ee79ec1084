/** Interfaces to the platform's key-value service. */
import type * as results from '../result.js';

/** A stored record. `version` rises with every change of the key; 0 means that the key is absent. */
export interface Stored {
	key: string;
	value: Uint8Array;
	version: number;
}

/** A call without a usable answer. `unknown`: it may have taken effect. */
export interface StoreFailure {
	effect: 'none' | 'unknown';
	reason: string;
	/** The store rejects the call because of its content, also on a retry. */
	refused?: boolean;
}

/** Outcome of a compare-and-swap. */
export type SwapOutcome =
	{ swapped: true; version: number } | { swapped: false; current: Stored | undefined };

/** A change seen by a watch. `value` is undefined if the key was deleted. */
export interface StoreChange {
	key: string;
	value: Uint8Array | undefined;
	version: number;
}

/** An open watch. */
export interface Watch {
	close(): void;
}

/** Callbacks of a watch. */
export interface WatchHandlers {
	onChanges: (changes: StoreChange[]) => void;
	/** The watch ended for another reason than `close`. The caller lists again and opens a new one. */
	onEnd: (reason: string) => void;
}

/** The key-value service. Every method makes one call that counts against the service's rate limits. */
export interface Store {
	get(key: string): Promise<results.Result<Stored | undefined, StoreFailure>>;
	/** All keys with the prefix, read at one revision. */
	list(prefix: string): Promise<results.Result<{ items: Stored[]; revision: number }, StoreFailure>>;
	/** Writes `value` if the key's version is still `expected` (0: absent), bound to a lease if one is given. */
	swap(
		key: string,
		value: Uint8Array,
		expected: number,
		lease?: string,
	): Promise<results.Result<SwapOutcome, StoreFailure>>;
	/** Grants a lease of `ttlS` seconds. Its keys are deleted when it expires. */
	grantLease(ttlS: number): Promise<results.Result<string, StoreFailure>>;
	/** Renews a lease; false: it had expired. */
	keepLease(lease: string): Promise<results.Result<boolean, StoreFailure>>;
	/** Ends a lease at once; its keys are deleted. */
	endLease(lease: string): Promise<results.Result<true, StoreFailure>>;
	/** Reports the changes after `revision` of the keys with the prefix. */
	watch(prefix: string, revision: number, handlers: WatchHandlers): Watch;
	close(): Promise<void>;
}

/** A write of several keys, applied as a whole or not at all. */
export interface Transaction {
	/** Versions that the keys must still have; 0: the key is absent. */
	expected: { key: string; version: number }[];
	writes: { key: string; value: Uint8Array; lease?: string }[];
	removes: string[];
}

/** Outcome of a transaction. `current`: the expected keys as they are stored. `lease-gone`: nothing was written. */
export type CommitOutcome =
	{ type: 'committed'; version: number } | { type: 'conflict'; current: Stored[] } | { type: 'lease-gone' };

/** Changes since a revision. `compacted`: the history is gone, and the keys must be listed again. */
export type FollowOutcome =
	{ type: 'changes'; changes: StoreChange[]; revision: number } | { type: 'compacted' };

/**
 * The platform's store with transactions. Every method makes one call (`list`: one a page) that counts against the store's
 * rate limits.
 */
export interface RecordStore {
	get(key: string): Promise<results.Result<Stored | undefined, StoreFailure>>;
	/** All keys with the prefix, and a revision to follow them from. The pages are not read at one revision. */
	list(prefix: string): Promise<results.Result<{ items: Stored[]; revision: number }, StoreFailure>>;
	commit(txn: Transaction): Promise<results.Result<CommitOutcome, StoreFailure>>;
	/** Waits up to `waitMs` for changes after `revision` of the keys with the prefix. Times out `longPollGraceMs` later. */
	follow(
		prefix: string,
		revision: number,
		waitMs: number,
	): Promise<results.Result<FollowOutcome, StoreFailure>>;
	/** Grants a lease of `ttlMs` milliseconds. Its keys are deleted when it expires. */
	grantLease(ttlMs: number): Promise<results.Result<string, StoreFailure>>;
	/** Renews a lease; false: it had expired. */
	keepLease(lease: string): Promise<results.Result<boolean, StoreFailure>>;
	/** Ends a lease at once; its keys are deleted. */
	endLease(lease: string): Promise<results.Result<true, StoreFailure>>;
}
