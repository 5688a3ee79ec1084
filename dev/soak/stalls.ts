/** Notices when the soak's own process, with all stand-ins, does not get to run. */
import * as clocks from '../../src/core/clock.js';

/** Interval at which the process has to run, and the delay from which on it counts as stalled, in milliseconds. */
const tickMs = 50;
const minStallMs = 250;

/** A time for which nothing ran in this process, in milliseconds, and the processor time that it used meanwhile. */
export interface Stall {
	stalledMs: number;
	processorMs: number;
}

/** Calls `onStall` after each stall. */
export function watch(onStall: (stall: Stall) => void): clocks.Timer {
	let lastAt = clocks.systemClock.now();
	let lastUsage = process.cpuUsage();
	return clocks.every(clocks.systemClock, tickMs, () => {
		const now = clocks.systemClock.now();
		const usage = process.cpuUsage(lastUsage);
		if (now - lastAt - tickMs >= minStallMs)
			onStall({
				stalledMs: Math.round(now - lastAt),
				processorMs: Math.round((usage.user + usage.system) / 1_000),
			});
		lastAt = now;
		lastUsage = process.cpuUsage();
	});
}
