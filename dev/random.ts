/** Pseudorandom numbers that are the same for the same seed. */

/** Numbers from 0 up to but not including 1, from the minimal standard generator (Lehmer). */
export function seededRandom(seed: number): () => number {
	let state = seed * 7919 + 1;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** A random integer from `min` to `max`, both included. */
export function randomInteger(random: () => number, min: number, max: number): number {
	return min + Math.floor(random() * (max - min + 1));
}

/** A random item of a list; throws if the list is empty. */
export function pick<T>(random: () => number, items: readonly T[]): T {
	const item = items[Math.floor(random() * items.length)];
	if (item === undefined) throw new Error('cannot pick an item from an empty list');
	return item;
}

/** A hash of a text, from 0 to 65,520. */
export function hash(text: string): number {
	let value = 7;
	for (const char of text) value = (value * 31 + char.charCodeAt(0)) % 65_521;
	return value;
}
