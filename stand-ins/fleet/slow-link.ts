/** A box's own link in memory: one byte after another, whatever they are for. */
import * as queues from './serial-queue.js';
import type * as clocks from '../../src/core/clock.js';
import type * as fleet from '../../src/core/fleet/types.js';
import type * as platform from '../../src/core/platform/types.js';

/** What an order to a worker takes beside the text of a job, in bytes: request line, headers and the other fields. */
const commandBytes = 400;

/** What a call to the store takes, in bytes. */
const storeCallBytes = 400;

/** A link that sends so many bytes a second. */
export class SlowLink {
	/** The longest that a call to the store waited for the link so far, in milliseconds. */
	longestStoreWaitMs = 0;
	private readonly queue: queues.SerialQueue;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly bytesPerS: number,
	) {
		this.queue = queues.SerialQueue.create(clock);
	}

	static create(clock: clocks.Clock, bytesPerS: number): SlowLink {
		return new SlowLink(clock, bytesPerS);
	}

	/** Calls to workers that go over this link. */
	workers(calls: fleet.WorkerCalls): fleet.WorkerCalls {
		return {
			...calls,
			start: (at, command) => this.after(commandBytes + command.text.length, () => calls.start(at, command)),
			stop: (at, task, run, token) => this.after(commandBytes, () => calls.stop(at, task, run, token)),
			requestReport: (at, request) => this.after(commandBytes, () => calls.requestReport(at, request)),
		};
	}

	/** The store, over this link. */
	store(store: platform.RecordStore): platform.RecordStore {
		const timed = async <T>(call: () => Promise<T>): Promise<T> => {
			const sentAt = this.clock.now();
			return this.after(storeCallBytes, () => {
				this.longestStoreWaitMs = Math.max(this.longestStoreWaitMs, this.clock.now() - sentAt);
				return call();
			});
		};
		return {
			...store,
			get: (key) => timed(() => store.get(key)),
			commit: (txn) => timed(() => store.commit(txn)),
			keepLease: (lease) => timed(() => store.keepLease(lease)),
		};
	}

	/** Does `call` once so many bytes have passed behind all that was sent before. */
	private after<T>(bytes: number, call: () => Promise<T>): Promise<T> {
		const waitMs = this.queue.enqueue((bytes * 1_000) / this.bytesPerS);
		return new Promise((resolve) => {
			this.clock.after(waitMs, () => {
				resolve(call());
			});
		});
	}
}
