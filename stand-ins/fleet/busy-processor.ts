/** Simulates a box's processor. Sending a command and processing an answer take processor time, one after the other. */
import * as queues from './serial-queue.js';
import type * as clocks from '../../src/core/clock.js';
import type * as fleet from '../../src/core/fleet/types.js';
import type * as platform from '../../src/core/platform/types.js';

/** Processor time of a call, in milliseconds. */
export interface CallCosts {
	send: number;
	answer: number;
}

/** A processor that does one thing at a time, in the order of the requests. */
export class BusyProcessor {
	/** Total processor time used, in milliseconds. */
	busyMs = 0;
	/** Additional wait of every use, in milliseconds, as when other work takes precedence. */
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

	/** Queueing delay of a use that is requested at present, in milliseconds. */
	get queueWaitMs(): number {
		return this.queue.waitMs;
	}

	/** Calls to workers, slowed down by this processor. */
	workers(calls: fleet.WorkerCalls): fleet.WorkerCalls {
		return {
			...calls,
			start: (at, command) => this.call(() => calls.start(at, command)),
			stop: (at, task, run, token) => this.call(() => calls.stop(at, task, run, token)),
			pace: (at, task, run, percent, token) => this.call(() => calls.pace(at, task, run, percent, token)),
			requestReport: (at, request) => this.call(() => calls.requestReport(at, request)),
		};
	}

	/** Calls to the store, slowed down by this processor. */
	store(store: platform.RecordStore): platform.RecordStore {
		return {
			...store,
			get: (key) => this.call(() => store.get(key)),
			commit: (txn) => this.call(() => store.commit(txn)),
			keepLease: (lease) => this.call(() => store.keepLease(lease)),
		};
	}

	/** The clock as the process sees it. The callback of a timer waits for the processor. */
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

	/** Resolves once this use and all earlier ones are done. */
	private occupy(ms: number): Promise<void> {
		this.busyMs += ms;
		const waitMs = this.queue.enqueue(ms) + this.extraDelayMs;
		return new Promise((resolve) => {
			this.clock.after(waitMs, resolve);
		});
	}
}
