/** Random numbers that a seed repeats. */

/** Numbers from 0 up to 1, by the minimal standard generator. */
export function seeded(seed: number): () => number {
	let state = seed * 7919 + 1;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** A whole number from `least` to `most`. */
export function between(random: () => number, least: number, most: number): number {
	return least + Math.floor(random() * (most - least + 1));
}

/** One of several. */
export function pick<T>(random: () => number, from: readonly T[]): T {
	const one = from[Math.floor(random() * from.length)];
	if (one === undefined) throw new Error('nothing to pick from');
	return one;
}

/** A number for a text, the same every time. */
export function hash(text: string): number {
	let value = 7;
	for (const char of text) value = (value * 31 + char.charCodeAt(0)) % 65_521;
	return value;
}
