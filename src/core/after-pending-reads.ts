/**
 * Calls `fn` once everything that has arrived so far is read: the event loop reads between any two immediates. A process
 * that was stalled or busy finds its time limits passed while answers and requests wait in its sockets.
 */
export function afterPendingReads(fn: () => void): void {
	setImmediate(() => setImmediate(fn));
}
