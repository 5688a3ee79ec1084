/** Random numbers that a seed repeats. */

/** Numbers from 0 up to 1, by the minimal standard generator. */
export function seededRandom(seed: number): () => number {
	let state = seed * 7919 + 1;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** A whole number from `least` to `most`. */
export function randomInteger(random: () => number, min: number, max: number): number {
	return min + Math.floor(random() * (max - min + 1));
}

/** One of several. */
export function pick<T>(random: () => number, items: readonly T[]): T {
	const item = items[Math.floor(random() * items.length)];
	if (item === undefined) throw new Error('nothing to pick from');
	return item;
}

/** A number for a text, the same every time. */
export function hash(text: string): number {
	let value = 7;
	for (const char of text) value = (value * 31 + char.charCodeAt(0)) % 65_521;
	return value;
}
