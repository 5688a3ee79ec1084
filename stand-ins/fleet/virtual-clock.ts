/** A clock that tests move by hand: timers fire in order, and everything that follows from one runs before the next. */
import type * as clocks from '../../src/core/clock.js';

interface Pending {
	at: number;
	order: number;
	fn: () => void;
}

/** Rounds of the event loop after each timer; enough for the longest chain of promises between two timers. */
const settleRounds = 4;

/** Time under a test's control. */
export class VirtualClock implements clocks.Clock {
	private time = 1_000;
	private order = 0;
	private pending: Pending[] = [];

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): VirtualClock {
		return new VirtualClock();
	}

	now(): number {
		return this.time;
	}

	wall(): number {
		return this.time;
	}

	after(ms: number, fn: () => void): clocks.Timer {
		const one = { at: this.time + Math.max(0, ms), order: (this.order += 1), fn };
		this.pending.push(one);
		return {
			cancel: () => {
				this.pending = this.pending.filter((other) => other !== one);
			},
		};
	}

	/** Lets `ms` milliseconds pass. */
	async pass(ms: number): Promise<void> {
		const end = this.time + ms;
		await settle();
		for (let next = this.next(end); next !== undefined; next = this.next(end)) {
			this.time = Math.max(this.time, next.at);
			this.pending = this.pending.filter((one) => one !== next);
			next.fn();
			await settle();
		}
		this.time = Math.max(this.time, end);
	}

	/** A computation takes `ms` milliseconds: time passes, and nothing else happens meanwhile. */
	spend(ms: number): void {
		this.time += ms;
	}

	private next(end: number): Pending | undefined {
		const due = this.pending.filter((one) => one.at <= end);
		due.sort((a, b) => a.at - b.at || a.order - b.order);
		return due[0];
	}
}

async function settle(): Promise<void> {
	for (let round = 0; round < settleRounds; round += 1)
		await new Promise<void>((resolve) => {
			setImmediate(resolve);
		});
}
