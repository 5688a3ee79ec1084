/** Keys of several numbers by which tasks and steps are sorted. */

/** Compares number by number, the most significant first. */
export function compare(a: readonly number[], b: readonly number[]): number {
	for (const [index, value] of a.entries()) {
		const difference = value - (b[index] ?? 0);
		if (difference !== 0) return difference;
	}
	return 0;
}
