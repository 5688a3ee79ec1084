/** Time as a parameter, so that tests and measurements can pass their own. */

/** A pending timer. */
export interface Timer {
	cancel(): void;
}

/** Source of time and timers. */
export interface Clock {
	/** Monotonic milliseconds since an arbitrary start; differences only. Time in which the machine is suspended does not count. */
	now(): number;
	/**
	 * Clock time until which the machine may last have been suspended; `-Infinity`: it was not. What was known before that
	 * may be out of date.
	 */
	resumedAt(): number;
	/** Wall-clock milliseconds since 1970; for people and logs, never for safety. */
	wall(): number;
	/** Calls `fn` once after `ms` milliseconds. */
	after(ms: number, fn: () => void): Timer;
}

/**
 * The wall clock is presumed to have jumped if it gains more than this on the monotonic one between two checks, in
 * milliseconds.
 */
const minJumpMs = 100;

/** Detects when a machine may have been suspended. */
export class SuspensionDetector {
	private offset: number;
	private resumedAt = -Infinity;

	private constructor(
		private readonly now: () => number,
		private readonly wall: () => number,
	) {
		this.offset = wall() - now();
	}

	static create(now: () => number, wall: () => number): SuspensionDetector {
		return new SuspensionDetector(now, wall);
	}

	/**
	 * Compares both clocks; returns when the machine may last have resumed. A wall clock that was set forward looks the
	 * same: then what is known is requested once more, and nothing is lost. Waiting for others' leases to expire does not
	 * depend on this, as a jump proves no time to have passed.
	 */
	lastResumedAt(): number {
		const now = this.now();
		const offset = this.wall() - now;
		if (offset - this.offset > minJumpMs) this.resumedAt = now;
		this.offset = offset;
		return this.resumedAt;
	}
}

/** Whether what was known at the clock time `at` is younger than `maxAgeMs`, and the machine was not suspended since. */
export function isFresh(clock: Clock, at: number, maxAgeMs: number): boolean {
	return clock.now() - at < maxAgeMs && at > clock.resumedAt();
}

const suspensions = SuspensionDetector.create(
	() => performance.now(),
	() => Date.now(),
);

/** The machine's own clock. */
export const systemClock: Clock = {
	now: () => performance.now(),
	resumedAt: () => suspensions.lastResumedAt(),
	wall: () => Date.now(),
	after(ms, fn) {
		const handle = setTimeout(fn, ms);
		return {
			cancel: () => {
				clearTimeout(handle);
			},
		};
	},
};

/** Resolves after `ms` milliseconds of the clock. */
export function sleep(clock: Clock, ms: number): Promise<void> {
	return new Promise((resolve) => {
		clock.after(ms, resolve);
	});
}

/** Calls `fn` every `ms` milliseconds until cancelled; a call still running is never overlapped. */
export function every(clock: Clock, ms: number, fn: () => void | Promise<void>): Timer {
	let stopped = false;
	let timer: Timer | undefined;
	const tick = async (): Promise<void> => {
		await fn();
		if (!stopped) timer = clock.after(ms, () => void tick());
	};
	timer = clock.after(ms, () => void tick());
	return {
		cancel: () => {
			stopped = true;
			timer?.cancel();
		},
	};
}
