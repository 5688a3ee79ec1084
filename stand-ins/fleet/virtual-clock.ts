/**
 * A clock that tests advance explicitly. Timers fire in order, and all work that follows from one is done before the next
 * fires.
 */
import type * as clocks from '../../src/core/clock.js';

interface Pending {
	at: number;
	order: number;
	fn: () => void;
	cancelled: boolean;
}

/** Turns of the event loop after each timer; enough for the longest chain of promises between two timers. */
const settleRounds = 4;

/** A clock under a test's control. */
export class VirtualClock implements clocks.Clock {
	private time = 1_000;
	private order = 0;
	private resumed = -Infinity;
	/** A binary heap, the earliest first. Some tests keep thousands of timers. */
	private readonly heap: Pending[] = [];

	private constructor() {
		// Instances are built by `create`, as in all classes here.
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

	resumedAt(): number {
		return this.resumed;
	}

	/** Notes that the machine was suspended until the present time. */
	resume(): void {
		this.resumed = this.time;
	}

	after(ms: number, fn: () => void): clocks.Timer {
		const one = { at: this.time + Math.max(0, ms), order: (this.order += 1), fn, cancelled: false };
		this.push(one);
		return {
			cancel: () => {
				one.cancelled = true;
			},
		};
	}

	/** Advances the time by `ms` milliseconds and fires the timers that become due. */
	async pass(ms: number): Promise<void> {
		const end = this.time + ms;
		await settle();
		for (let next = this.pop(end); next !== undefined; next = this.pop(end)) {
			if (next.cancelled) continue;
			this.time = Math.max(this.time, next.at);
			next.fn();
			await settle();
		}
		this.time = Math.max(this.time, end);
	}

	/** Simulates a computation of `ms` milliseconds: time passes, and no timer fires meanwhile. */
	spend(ms: number): void {
		this.time += ms;
	}

	private push(one: Pending): void {
		const { heap } = this;
		let at = heap.length;
		heap.push(one);
		while (at > 0) {
			const parent = (at - 1) >> 1;
			if (!this.isEarlier(at, parent)) return;
			this.swap(at, parent);
			at = parent;
		}
	}

	/** Removes and returns the earliest timer; undefined: none is due by `end`. */
	private pop(end: number): Pending | undefined {
		const { heap } = this;
		const first = heap[0];
		if (first === undefined || first.at > end) return undefined;
		const last = heap.pop();
		if (last !== undefined && heap.length > 0) {
			heap[0] = last;
			this.sink();
		}
		return first;
	}

	private sink(): void {
		for (let at = 0; ;) {
			let earliest = at;
			for (const child of [2 * at + 1, 2 * at + 2])
				if (child < this.heap.length && this.isEarlier(child, earliest)) earliest = child;
			if (earliest === at) return;
			this.swap(at, earliest);
			at = earliest;
		}
	}

	private isEarlier(a: number, b: number): boolean {
		const [one, other] = [this.heap[a], this.heap[b]];
		if (one === undefined || other === undefined) return false;
		return one.at < other.at || (one.at === other.at && one.order < other.order);
	}

	private swap(a: number, b: number): void {
		const [one, other] = [this.heap[a], this.heap[b]];
		if (one === undefined || other === undefined) return;
		this.heap[a] = other;
		this.heap[b] = one;
	}
}

async function settle(): Promise<void> {
	for (let round = 0; round < settleRounds; round += 1)
		await new Promise<void>((resolve) => {
			setImmediate(resolve);
		});
}
