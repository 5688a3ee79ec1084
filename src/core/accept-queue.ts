/** Empties a listener's queue of connections that the kernel has established, before the listener is closed. */
import type * as net from 'node:net';

/**
 * Connections that arrive after the event loop has asked the kernel for events stay unseen until the end of that turn. A
 * turn counts as brief up to this many milliseconds, or up to this fraction of the time spent so far waiting for a brief
 * one.
 */
const maxBriefTurnMs = 0.2;
const maxBriefTurnFraction = 0.02;

/** What was found in the queue. */
export interface AcceptedConnections {
	accepted: number;
	/** Whether the queue was found empty in time. */
	emptied: boolean;
	tookMs: number;
}

/**
 * Accepts what is queued, one connection a turn of the event loop, and resolves in the turn that finds the queue empty,
 * after `timeoutMs` milliseconds at the latest. Close the server in that same turn: on close the kernel resets the
 * connections in a listener's queue, with the requests that callers have written to them.
 */
export function acceptQueued(server: net.Server, timeoutMs: number): Promise<AcceptedConnections> {
	return new Promise((resolve) => {
		const startedAt = performance.now();
		let accepted = 0;
		const count = (): void => {
			accepted += 1;
		};
		server.on('connection', count);
		const check = (turnStartedAt: number, acceptedBefore: number): void => {
			const now = performance.now();
			const waitedMs = now - startedAt;
			const isBrief = now - turnStartedAt <= Math.max(maxBriefTurnMs, waitedMs * maxBriefTurnFraction);
			const emptied = isBrief && accepted === acceptedBefore;
			if (!emptied && waitedMs < timeoutMs) {
				setImmediate(check, now, accepted);
				return;
			}
			server.off('connection', count);
			resolve({ accepted, emptied, tookMs: Math.round(waitedMs) });
		};
		// The first check begins a turn; connections queued before it are accepted from then on.
		setImmediate(check, -Infinity, accepted);
	});
}
