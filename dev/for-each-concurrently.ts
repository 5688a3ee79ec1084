/** Works a list off from its start, so many items at a time. */
export async function forEachConcurrently<T>(
	items: Iterable<T>,
	concurrency: number,
	handle: (item: T) => Promise<void>,
): Promise<void> {
	// One iterator for all: each takes what the others have not begun.
	const remaining = items[Symbol.iterator]();
	const drain = async (): Promise<void> => {
		for (let next = remaining.next(); next.done !== true; next = remaining.next()) await handle(next.value);
	};
	await Promise.all(Array.from({ length: concurrency }, drain));
}
