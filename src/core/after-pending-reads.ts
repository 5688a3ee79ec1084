/**
 * Calls `fn` once all that has arrived by now was read: the event loop reads between any two immediates. A process that
 * stood still, or was busy, finds its time limits passed while answers and requests wait in its sockets.
 */
export function afterPendingReads(fn: () => void): void {
	setImmediate(() => setImmediate(fn));
}
