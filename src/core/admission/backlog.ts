/**
 * How fast an owner's work is finished while there is more of it than can be started, and how long what is owed takes at
 * that rate. Seconds in which nothing waits tell how much there was to do, not how much could be done.
 */
import type * as types from './types.js';

/** Busy seconds that count, the newest: a fleet changes within half a minute. */
const maxSamples = 15;

/** So many busy seconds have to be seen before anything is told: the first ones still fill the workers. */
const minSamples = 4;

/** A second in which fewer tasks wait than finish in so many seconds is not busy. */
const busyThresholdS = 1;

/** Tasks that are owed, by priority. */
export type OutstandingTasks = ReadonlyMap<number, number>;

/** The rate at which an owner's work is finished. */
export class FinishRate {
	private readonly samples: number[] = [];

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): FinishRate {
		return new FinishRate();
	}

	/** A second has passed. */
	addSecond(finished: number, waiting: number): void {
		if (waiting <= finished * busyThresholdS) {
			// What waited has found its place: the next backlog is another one.
			if (waiting === 0) this.samples.length = 0;
			return;
		}
		this.samples.push(finished);
		if (this.samples.length > maxSamples) this.samples.shift();
	}

	/**
	 * Tasks a second, of the better half of the seconds; undefined: not known. The others, in which workers fill up, an
	 * owner has just started or the store is slow, tell less than what can be done, and jobs would be turned away for it.
	 */
	get tasksPerS(): number | undefined {
		if (this.samples.length < minSamples) return undefined;
		const best = [...this.samples].sort((a, b) => b - a).slice(0, Math.ceil(this.samples.length / 2));
		return best.reduce((sum, one) => sum + one, 0) / best.length;
	}
}

/** How long what is owed takes; nothing is told without a rate. */
export function estimateBacklog(outstanding: OutstandingTasks, tasksPerS: number | undefined): types.Backlog {
	if (tasksPerS === undefined) return [];
	const rate = Math.max(1, tasksPerS);
	let tasks = 0;
	return [...outstanding]
		.sort(([a], [b]) => a - b)
		.map(([priority, count]) => {
			tasks += count;
			return { priority, waitMs: Math.round((tasks * 1_000) / rate) };
		});
}
