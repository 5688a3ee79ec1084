/** A box's own processor in memory: sending an order and taking in an answer take their time, one after the other. */
import * as queues from './serial-queue.js';
import type * as clocks from '../../src/core/clock.js';
import type * as fleet from '../../src/core/fleet/types.js';
import type * as platform from '../../src/core/platform/types.js';

/** What calls take of the processor, in milliseconds. */
export interface CallCosts {
	send: number;
	answer: number;
}

/** A processor that does one thing at a time, in the order in which it was asked. */
export class BusyProcessor {
	/** How long it was in use so far, in milliseconds. */
	busyMs = 0;
	/** How much longer everything waits, in milliseconds: other work comes before it. */
	extraDelayMs = 0;
	private readonly queue: queues.SerialQueue;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly costs: CallCosts,
	) {
		this.queue = queues.SerialQueue.create(clock);
	}

	static create(clock: clocks.Clock, costs: CallCosts): BusyProcessor {
		return new BusyProcessor(clock, costs);
	}

	/** How long what is asked for now has to wait, in milliseconds. */
	get queueWaitMs(): number {
		return this.queue.waitMs;
	}

	/** Calls to workers that this processor makes. */
	workers(calls: fleet.WorkerCalls): fleet.WorkerCalls {
		return {
			...calls,
			start: (at, command) => this.call(() => calls.start(at, command)),
			stop: (at, task, run, token) => this.call(() => calls.stop(at, task, run, token)),
			pace: (at, task, run, percent, token) => this.call(() => calls.pace(at, task, run, percent, token)),
			requestReport: (at, request) => this.call(() => calls.requestReport(at, request)),
		};
	}

	/** The store, called by this processor. */
	store(store: platform.RecordStore): platform.RecordStore {
		return {
			...store,
			get: (key) => this.call(() => store.get(key)),
			commit: (txn) => this.call(() => store.commit(txn)),
			keepLease: (lease) => this.call(() => store.keepLease(lease)),
		};
	}

	/** The clock as the process sees it: what a timer does waits for the processor. */
	delayedClock(): clocks.Clock {
		const { clock } = this;
		return {
			now: () => clock.now(),
			wall: () => clock.wall(),
			resumedAt: () => clock.resumedAt(),
			after: (ms, fn) => {
				let timer = clock.after(ms, () => {
					timer = clock.after(this.queueWaitMs, fn);
				});
				return {
					cancel: () => {
						timer.cancel();
					},
				};
			},
		};
	}

	private async call<T>(send: () => Promise<T>): Promise<T> {
		await this.occupy(this.costs.send);
		const res = await send();
		await this.occupy(this.costs.answer);
		return res;
	}

	/** Resolves once so much has been done behind all that was asked for before. */
	private occupy(ms: number): Promise<void> {
		this.busyMs += ms;
		const waitMs = this.queue.enqueue(ms) + this.extraDelayMs;
		return new Promise((resolve) => {
			this.clock.after(waitMs, resolve);
		});
	}
}
