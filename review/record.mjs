/** The record of a case: what was sent, answered and run, with times from the start of the script. */
import * as fs from 'node:fs';
import { performance } from 'node:perf_hooks';

export class Record {
	/** @type {string[]} */
	#lines = [];
	#startedAt = performance.now();

	/** @param {string} text */
	add(text) {
		const seconds = (performance.now() - this.#startedAt) / 1_000;
		this.#lines.push(`${seconds.toFixed(3)} ${text}`);
	}

	/** @param {string} file */
	write(file) {
		fs.writeFileSync(file, `${this.#lines.join('\n')}\n`);
	}
}

/** Seeded numbers from 0 to 1, so that a run can be repeated. */
export function seededRandom(/** @type {number} */ seed) {
	let state = seed >>> 0;
	return () => {
		state = (state + 0x6d2b79f5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
		mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
	};
}
