/** Keeps a dispatcher up to date with the platform's list of workers. */
import * as dispatch from '../dispatch/index.js';
import * as followers from '../platform/record-follower.js';
import * as limits from '../platform/limits.js';
import type * as adapters from './platform-adapter.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as fleet from '../fleet/types.js';
import type * as stores from '../platform/types.js';

/** Options of `followWorkers`. */
export interface WorkerListOptions {
	adapter: Pick<adapters.PlatformAdapter, 'workerPrefix' | 'decodeWorker'>;
	store: stores.RecordStore;
	clock: clocks.Clock;
	events: events.EventLog;
	/** Called with what the list says, in part or whole. */
	setWorkers: dispatch.Dispatcher['setWorkers'];
	/** Called with each answer of the store: the list is known as of the clock time `asOf`. */
	onRead: (asOf: number) => void;
}

/** What the list says of a worker. */
type ListedWorker = { type: 'listed'; entry: fleet.WorkerEntry } | { type: 'absent'; name: string };

/**
 * Follows the list until the follower is closed. Others write it too: an entry that can't be read names no usable worker,
 * just like an absent one. Like that one, it proves nothing about what runs there.
 */
export function followWorkers(opts: WorkerListOptions): followers.RecordFollower {
	const { workerPrefix, decodeWorker } = opts.adapter;
	/** Keys of the entries that can't be read. Each is logged once until it can be read, however often it is written. */
	const unreadableKeys = new Set<string>();
	const decodeEntry = (key: string, value: Uint8Array | undefined, version: number): ListedWorker => {
		const entry = value && decodeWorker(key, value);
		if (value === undefined || entry !== undefined) unreadableKeys.delete(key);
		if (entry !== undefined) return { type: 'listed', entry };
		if (value !== undefined && !unreadableKeys.has(key)) {
			unreadableKeys.add(key);
			opts.events.emit('worker.entry-unusable', { worker: key.slice(workerPrefix.length), version });
		}
		return { type: 'absent', name: key.slice(workerPrefix.length) };
	};
	const notify = (found: ListedWorker[], isFullList: boolean): void => {
		opts.setWorkers(
			found.flatMap((one) => (one.type === 'listed' ? [one.entry] : [])),
			found.flatMap((one) => (one.type === 'absent' ? [one.name] : [])),
			isFullList,
		);
	};
	return followers.RecordFollower.create({
		store: opts.store,
		clock: opts.clock,
		prefix: workerPrefix,
		waitMs: limits.ownerLongPollMs,
		pauseMs: dispatch.settings.listReadIntervalMs,
		isListShort: false,
		onAnswered: opts.onRead,
		onList: (items) => {
			notify(
				items.map((item) => decodeEntry(item.key, item.value, item.version)),
				true,
			);
		},
		onChanges: (changes) => {
			notify(
				changes.map((one) => decodeEntry(one.key, one.value, one.version)),
				false,
			);
		},
	});
}
