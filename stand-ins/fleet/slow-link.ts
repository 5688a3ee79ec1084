/** Simulates a box's network link, which sends one byte after another for all calls. */
import * as queues from './serial-queue.js';
import type * as clocks from '../../src/core/clock.js';
import type * as fleet from '../../src/core/fleet/types.js';
import type * as platform from '../../src/core/platform/types.js';

/** Size of a command to a worker without the text of a job, in bytes: request line, headers and the other fields. */
const commandBytes = 400;

/** Size of a call to the store, in bytes. */
const storeCallBytes = 400;

/** A link with a limited bandwidth. */
export class SlowLink {
	/** Longest time that a call to the store has waited for the link, in milliseconds. */
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

	/** Calls to workers over this link. */
	workers(calls: fleet.WorkerCalls): fleet.WorkerCalls {
		return {
			...calls,
			start: (at, command) => this.after(commandBytes + command.text.length, () => calls.start(at, command)),
			stop: (at, task, run, token) => this.after(commandBytes, () => calls.stop(at, task, run, token)),
			requestReport: (at, request) => this.after(commandBytes, () => calls.requestReport(at, request)),
		};
	}

	/** Calls to the store over this link. */
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

	/** Makes a call once its bytes and all earlier ones have been sent. */
	private after<T>(bytes: number, call: () => Promise<T>): Promise<T> {
		const waitMs = this.queue.enqueue((bytes * 1_000) / this.bytesPerS);
		return new Promise((resolve) => {
			this.clock.after(waitMs, () => {
				resolve(call());
			});
		});
	}
}
