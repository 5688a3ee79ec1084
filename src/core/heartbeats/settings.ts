/** Settings of the owner's heartbeats, times in milliseconds. */
import * as dispatch from '../dispatch/settings.js';

/** Interval between two heartbeats. */
export const intervalMs = 500;

/**
 * Converts the time from the sending of a heartbeat to the end of a lease from the worker's clock to another box's, at most:
 * the worker's clock may be slower than the owner's, and the owner's slower than the other box's.
 */
export function longestSpanMs(spanMs: number): number {
	const { maxClockDrift, leaseMarginMs } = dispatch;
	return (spanMs * (1 + maxClockDrift)) / (1 - maxClockDrift) + leaseMarginMs;
}

/**
 * Time after a takeover by which all leases have ended, whether or not earlier owners sent heartbeats: without, they grant
 * leases of up to `maxLeaseMs` within the horizon of their last confirmed call to the store.
 */
export function longestWaitMs(maxLeaseMs: number): number {
	const { renewalHorizonMs, maxClockDrift, leaseMarginMs, leaseSpanMs } = dispatch;
	const waitMs = renewalHorizonMs + maxLeaseMs / (1 - maxClockDrift) + leaseMarginMs;
	return Math.max(waitMs, longestSpanMs(leaseSpanMs));
}
