/** Handles the items in order, with at most `concurrency` of them in progress at a time. */
export async function forEachConcurrently<T>(
	items: Iterable<T>,
	concurrency: number,
	handle: (item: T) => Promise<void>,
): Promise<void> {
	// All loops share one iterator, so each item is handled once.
	const remaining = items[Symbol.iterator]();
	const drain = async (): Promise<void> => {
		for (let next = remaining.next(); next.done !== true; next = remaining.next()) await handle(next.value);
	};
	await Promise.all(Array.from({ length: concurrency }, drain));
}
