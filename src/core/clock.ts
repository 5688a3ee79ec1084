/** Time as a parameter, so that tests and measurements can pass their own. */

/** A pending timer. */
export interface Timer {
	cancel(): void;
}

/** What the programs know of time. */
export interface Clock {
	/** Monotonic milliseconds since an arbitrary start; differences only. */
	now(): number;
	/** Wall-clock milliseconds since 1970; for people and logs, never for safety. */
	wall(): number;
	/** Calls `fn` once after `ms` milliseconds. */
	after(ms: number, fn: () => void): Timer;
}

/** The machine's own clock. */
export const systemClock: Clock = {
	now: () => performance.now(),
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
	const turn = async (): Promise<void> => {
		await fn();
		if (!stopped) timer = clock.after(ms, () => void turn());
	};
	timer = clock.after(ms, () => void turn());
	return {
		cancel: () => {
			stopped = true;
			timer?.cancel();
		},
	};
}
