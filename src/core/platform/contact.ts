/** Watches over the calls to the store: whether it answers this box, and a log line at each turn. */
import type * as events from '../events/index.js';
import type * as results from '../result.js';
import type * as types from './types.js';

/** Whether the store answers. */
export interface StoreContact {
	readonly reachable: boolean;
	/** How long it has not answered, in milliseconds; 0: it does. */
	readonly lostForMs: number;
}

/** A store whose calls are watched. */
export interface WatchedStore {
	store: types.RecordStore;
	contact: StoreContact;
}

/** Wraps a store. One unanswered call counts as lost contact, one answer as regained. */
export function watchContact(
	store: types.RecordStore,
	log: events.EventLog,
	now: () => number,
): WatchedStore {
	let lostAt = 0;
	const contact = {
		reachable: true,
		get lostForMs(): number {
			return this.reachable ? 0 : now() - lostAt;
		},
	};
	let calls = 0;
	const watched = async <T>(
		call: Promise<results.Result<T, types.StoreFailure>>,
	): Promise<results.Result<T, types.StoreFailure>> => {
		calls += 1;
		const res = await call;
		if (res.ok === contact.reachable) return res;
		contact.reachable = res.ok;
		lostAt = now();
		if (res.ok) log.emit('store.regained', { calls });
		else log.emit('store.lost', { reason: res.err.reason, calls });
		return res;
	};
	return {
		contact,
		store: {
			get: (key) => watched(store.get(key)),
			list: (prefix) => watched(store.list(prefix)),
			commit: (txn) => watched(store.commit(txn)),
			follow: (prefix, revision, waitMs) => watched(store.follow(prefix, revision, waitMs)),
			grantLease: (ttlMs) => watched(store.grantLease(ttlMs)),
			keepLease: (lease) => watched(store.keepLease(lease)),
			endLease: (lease) => watched(store.endLease(lease)),
		},
	};
}
