/** Tracks whether the store answers this box, and logs each time that contact is lost or regained. */
import type * as events from '../events/index.js';
import type * as results from '../result.js';
import type * as types from './types.js';

/** Interval at which lost contact is logged again while no call is answered, in milliseconds. */
const reminderMs = 5_000;

/** Whether the store answers. */
export interface StoreContact {
	readonly reachable: boolean;
	/** Time since contact was lost, in milliseconds; 0: the store answers. */
	readonly lostForMs: number;
}

/** A store whose calls are tracked. */
export interface WatchedStore {
	store: types.RecordStore;
	contact: StoreContact;
}

/**
 * Wraps a store so that its calls are tracked. One call without an answer counts as lost contact, one answer as regained.
 */
export function watchContact(
	store: types.RecordStore,
	log: events.EventLog,
	now: () => number,
): WatchedStore {
	const contact = ContactWatch.create(log, now);
	const watched = <T>(call: string, answer: CallAnswer<T>): CallAnswer<T> => contact.watch(call, answer);
	return {
		contact,
		store: {
			get: (key) => watched(`get ${key}`, store.get(key)),
			list: (prefix) => watched(`list ${prefix}`, store.list(prefix)),
			commit: (txn) => watched('commit', store.commit(txn)),
			follow: (prefix, revision, waitMs) =>
				watched(`follow ${prefix}`, store.follow(prefix, revision, waitMs)),
			grantLease: (ttlMs) => watched('grant lease', store.grantLease(ttlMs)),
			keepLease: (lease) => watched('keep lease', store.keepLease(lease)),
			endLease: (lease) => watched('end lease', store.endLease(lease)),
		},
	};
}

type CallAnswer<T> = Promise<results.Result<T, types.StoreFailure>>;

/** Contact as shown by the calls so far. */
class ContactWatch implements StoreContact {
	reachable = true;
	private lostAt = 0;
	/** Clock time of the latest log line for the lost contact. */
	private toldAt = 0;
	private calls = 0;

	private constructor(
		private readonly log: events.EventLog,
		private readonly now: () => number,
	) {}

	static create(log: events.EventLog, now: () => number): ContactWatch {
		return new ContactWatch(log, now);
	}

	get lostForMs(): number {
		return this.reachable ? 0 : this.now() - this.lostAt;
	}

	async watch<T>(call: string, answer: CallAnswer<T>): CallAnswer<T> {
		this.calls += 1;
		const sentAt = this.now();
		const res = await answer;
		if (res.ok) this.answered(call);
		else this.failed({ call, reason: res.err.reason, tookMs: Math.round(this.now() - sentAt) });
		return res;
	}

	private answered(call: string): void {
		if (this.reachable) return;
		const lostForMs = Math.round(this.lostForMs);
		this.reachable = true;
		this.log.emit('store.regained', { call, lostForMs, calls: this.calls });
	}

	private failed(failure: { call: string; reason: string; tookMs: number }): void {
		const now = this.now();
		if (this.reachable) this.lostAt = now;
		// Repeated, because a short part of the log may not reach back to the start of the outage.
		else if (now - this.toldAt < reminderMs) return;
		this.reachable = false;
		this.toldAt = now;
		this.log.emit('store.lost', { ...failure, lostForMs: Math.round(this.lostForMs), calls: this.calls });
	}
}
