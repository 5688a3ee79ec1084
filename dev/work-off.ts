/** Handles the items in order, with at most `concurrency` of them in progress at a time. */
export async function workOff<T>(
	items: Iterable<T>,
	atOnce: number,
	work: (item: T) => Promise<void>,
): Promise<void> {
	// All loops share one iterator, so each item is handled once.
	const rest = items[Symbol.iterator]();
	const workOne = async (): Promise<void> => {
		for (let next = rest.next(); next.done !== true; next = rest.next()) await work(next.value);
	};
	await Promise.all(Array.from({ length: atOnce }, workOne));
}
