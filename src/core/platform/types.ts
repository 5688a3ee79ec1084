/** What woodcross needs of the platform's key-value service. */
import type * as results from '../result.js';

/** A stored value. `version` rises with every change of the key; 0 stands for "absent". */
export interface Stored {
	key: string;
	value: Uint8Array;
	version: number;
}

/** No usable answer came. `unknown`: the call may have taken effect. */
export interface StoreFailure {
	effect: 'none' | 'unknown';
	reason: string;
	/** The store turns the call away for what it holds, also when it is repeated. */
	refused?: boolean;
}

/** What a compare-and-swap came to. */
export type SwapOutcome =
	{ swapped: true; version: number } | { swapped: false; current: Stored | undefined };

/** A change seen by a watch; `value` is undefined when the key went away. */
export interface StoreChange {
	key: string;
	value: Uint8Array | undefined;
	version: number;
}

/** A running watch. */
export interface Watch {
	close(): void;
}

/** Callbacks of a watch. */
export interface WatchHandlers {
	onChanges: (changes: StoreChange[]) => void;
	/** The watch ended, for whatever reason but `close`; the caller lists again and re-opens. */
	onEnd: (reason: string) => void;
}

/** The key-value service. Every method is one call against its rates. */
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
	/** Grants a lease of `ttlS` seconds; its keys go away when it lapses. */
	grantLease(ttlS: number): Promise<results.Result<string, StoreFailure>>;
	/** Renews a lease; false if it had lapsed. */
	keepLease(lease: string): Promise<results.Result<boolean, StoreFailure>>;
	/** Ends a lease now. */
	endLease(lease: string): Promise<results.Result<true, StoreFailure>>;
	/** Follows changes after `revision` of the keys with the prefix. */
	watch(prefix: string, revision: number, handlers: WatchHandlers): Watch;
	close(): Promise<void>;
}

/** A write of several keys that happens whole or not at all. */
export interface Transaction {
	/** Versions that the keys must still have; 0: the key is absent. */
	expected: { key: string; version: number }[];
	writes: { key: string; value: Uint8Array; lease?: string }[];
	removes: string[];
}

/** What a transaction came to. `current`: the expected keys as they are. `lease-gone`: nothing was written. */
export type CommitOutcome =
	{ type: 'committed'; version: number } | { type: 'conflict'; current: Stored[] } | { type: 'lease-gone' };

/** Changes since a revision; `compacted`: the history is gone and the keys must be listed again. */
export type FollowOutcome =
	{ type: 'changes'; changes: StoreChange[]; revision: number } | { type: 'compacted' };

/** The platform's store with transactions. Every method is one call (a list: one a page) against its rates. */
export interface RecordStore {
	get(key: string): Promise<results.Result<Stored | undefined, StoreFailure>>;
	/** All keys with the prefix, and a revision to follow them from. Pages are no snapshot. */
	list(prefix: string): Promise<results.Result<{ items: Stored[]; revision: number }, StoreFailure>>;
	commit(txn: Transaction): Promise<results.Result<CommitOutcome, StoreFailure>>;
	/** Waits up to `waitMs` for changes after `revision` of the keys with the prefix; given up `lateAnswerMs` later. */
	follow(
		prefix: string,
		revision: number,
		waitMs: number,
	): Promise<results.Result<FollowOutcome, StoreFailure>>;
	/** Grants a lease of `ttlMs` milliseconds; its keys go away when it lapses. */
	grantLease(ttlMs: number): Promise<results.Result<string, StoreFailure>>;
	/** Renews a lease; false if it had lapsed. */
	keepLease(lease: string): Promise<results.Result<boolean, StoreFailure>>;
	/** Ends a lease now. */
	endLease(lease: string): Promise<results.Result<true, StoreFailure>>;
}
