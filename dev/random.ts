/** Pseudorandom numbers that are the same for the same seed. */

/** Numbers from 0 up to but not including 1, from the minimal standard generator (Lehmer). */
export function seeded(seed: number): () => number {
	let state = seed * 7919 + 1;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** A random integer from `min` to `max`, both included. */
export function between(random: () => number, least: number, most: number): number {
	return least + Math.floor(random() * (most - least + 1));
}

/** A random item of a list; throws if the list is empty. */
export function pick<T>(random: () => number, from: readonly T[]): T {
	const one = from[Math.floor(random() * from.length)];
	if (one === undefined) throw new Error('cannot pick an item from an empty list');
	return one;
}

/** A hash of a text, from 0 to 65,520. */
export function hash(text: string): number {
	let value = 7;
	for (const char of text) value = (value * 31 + char.charCodeAt(0)) % 65_521;
	return value;
}
