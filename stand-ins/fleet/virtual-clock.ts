/**
 * A clock that tests advance explicitly. Timers fire in order, and all work that follows from one is done before the next
 * fires.
 */
import type * as clocks from '../../src/core/clock.js';

interface PendingTimer {
	at: number;
	sequence: number;
	fn: () => void;
	cancelled: boolean;
}

/** Turns of the event loop after each timer; enough for the longest chain of promises between two timers. */
const eventLoopRounds = 4;

/** A clock under a test's control. */
export class VirtualClock implements clocks.Clock {
	private timeMs = 1_000;
	private lastSequence = 0;
	private lastResumedAt = -Infinity;
	/** A binary heap, the earliest first. Some tests keep thousands of timers. */
	private readonly heap: PendingTimer[] = [];

	private constructor() {
		// Instances are built by `create`, as in all classes here.
	}

	static create(): VirtualClock {
		return new VirtualClock();
	}

	now(): number {
		return this.timeMs;
	}

	wall(): number {
		return this.timeMs;
	}

	resumedAt(): number {
		return this.lastResumedAt;
	}

	/** Notes that the machine was suspended until the present time. */
	noteResume(): void {
		this.lastResumedAt = this.timeMs;
	}

	after(ms: number, fn: () => void): clocks.Timer {
		const timer = {
			at: this.timeMs + Math.max(0, ms),
			sequence: (this.lastSequence += 1),
			fn,
			cancelled: false,
		};
		this.push(timer);
		return {
			cancel: () => {
				timer.cancelled = true;
			},
		};
	}

	/** Advances the time by `ms` milliseconds and fires the timers that become due. */
	async advance(ms: number): Promise<void> {
		const end = this.timeMs + ms;
		await runEventLoop();
		for (let next = this.pop(end); next !== undefined; next = this.pop(end)) {
			if (next.cancelled) continue;
			this.timeMs = Math.max(this.timeMs, next.at);
			next.fn();
			await runEventLoop();
		}
		this.timeMs = Math.max(this.timeMs, end);
	}

	/** Simulates a computation of `ms` milliseconds: time passes, and no timer fires meanwhile. */
	blockFor(ms: number): void {
		this.timeMs += ms;
	}

	private push(timer: PendingTimer): void {
		const { heap } = this;
		let index = heap.length;
		heap.push(timer);
		while (index > 0) {
			const parent = (index - 1) >> 1;
			if (!this.isEarlier(index, parent)) return;
			this.swap(index, parent);
			index = parent;
		}
	}

	/** Removes and returns the earliest timer; undefined: none is due by `end`. */
	private pop(end: number): PendingTimer | undefined {
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
		for (let index = 0; ;) {
			let earliest = index;
			for (const child of [2 * index + 1, 2 * index + 2])
				if (child < this.heap.length && this.isEarlier(child, earliest)) earliest = child;
			if (earliest === index) return;
			this.swap(index, earliest);
			index = earliest;
		}
	}

	private isEarlier(a: number, b: number): boolean {
		const [one, other] = [this.heap[a], this.heap[b]];
		if (one === undefined || other === undefined) return false;
		return one.at < other.at || (one.at === other.at && one.sequence < other.sequence);
	}

	private swap(a: number, b: number): void {
		const [one, other] = [this.heap[a], this.heap[b]];
		if (one === undefined || other === undefined) return;
		this.heap[a] = other;
		this.heap[b] = one;
	}
}

async function runEventLoop(): Promise<void> {
	for (let round = 0; round < eventLoopRounds; round += 1)
		await new Promise<void>((resolve) => {
			setImmediate(resolve);
		});
}
