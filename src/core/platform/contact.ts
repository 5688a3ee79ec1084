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
export interface MonitoredStore {
	store: types.RecordStore;
	contact: StoreContact;
}

/**
 * Wraps a store so that its calls are tracked. One call without an answer counts as lost contact, one answer as regained.
 */
export function monitorContact(
	store: types.RecordStore,
	log: events.EventLog,
	now: () => number,
): MonitoredStore {
	const contact = ContactMonitor.create(log, now);
	const tracked = <T>(call: string, answer: CallResult<T>): CallResult<T> => contact.track(call, answer);
	return {
		contact,
		store: {
			get: (key) => tracked(`get ${key}`, store.get(key)),
			list: (prefix) => tracked(`list ${prefix}`, store.list(prefix)),
			commit: (txn) => tracked('commit', store.commit(txn)),
			follow: (prefix, revision, waitMs) =>
				tracked(`follow ${prefix}`, store.follow(prefix, revision, waitMs)),
			grantLease: (ttlMs) => tracked('grant lease', store.grantLease(ttlMs)),
			keepLease: (lease) => tracked('keep lease', store.keepLease(lease)),
			endLease: (lease) => tracked('end lease', store.endLease(lease)),
		},
	};
}

type CallResult<T> = Promise<results.Result<T, types.StoreFailure>>;

/** Contact as shown by the calls so far. */
class ContactMonitor implements StoreContact {
	reachable = true;
	private lostAt = 0;
	/** Clock time of the latest log line for the lost contact. */
	private loggedAt = 0;
	private calls = 0;

	private constructor(
		private readonly log: events.EventLog,
		private readonly now: () => number,
	) {}

	static create(log: events.EventLog, now: () => number): ContactMonitor {
		return new ContactMonitor(log, now);
	}

	get lostForMs(): number {
		return this.reachable ? 0 : this.now() - this.lostAt;
	}

	async track<T>(call: string, answer: CallResult<T>): CallResult<T> {
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
		else if (now - this.loggedAt < reminderMs) return;
		this.reachable = false;
		this.loggedAt = now;
		this.log.emit('store.lost', { ...failure, lostForMs: Math.round(this.lostForMs), calls: this.calls });
	}
}
