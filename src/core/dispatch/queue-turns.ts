/**
 * Turns of the queues under overload: which queue is served next, and when it is the turn of a large job.
 *
 * Load pattern: for seconds only part of the work can be done in time. If the smallest jobs go first, most jobs are on time, but
 * the callers with the largest ones are never served; they wait for the same objective.
 */

/** A job is large if it is among the largest tenth of its queue's newest jobs. */
const largeFraction = 0.1;

/** Number of newest jobs that count, and how many are needed to call one large. */
const maxSizes = 200;
const minSizes = 10;

/**
 * One of this many jobs that begin is a large one while any waits. A tenth of the jobs is large, so one of twenty would serve
 * them half as often as all; the rest covers that large jobs miss their due time more often once they have begun.
 */
const largeEvery = 12;

/** What a queue was given counts for about two seconds: the part that is left of it after one second. */
const servedKeptPerS = 0.6;

/** Items that wait for their turn, the first one at the front. */
export interface Line<T> {
	/** Name under which it is noted what the line was given. */
	name: string;
	items: readonly T[];
}

/** One queue. */
class QueueTurns {
	private readonly sizes: number[] = [];
	private nextSize = 0;
	/** Size from which a job is large; undefined: to be computed. */
	private largeFrom: number | undefined = Infinity;
	/** Jobs that began since the last large one. */
	private begunSinceLarge = 0;
	private servedCoreMs = 0;
	private servedAt = 0;

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): QueueTurns {
		return new QueueTurns();
	}

	/** Adds the size of a job, in core-milliseconds. */
	addSize(coreMs: number): void {
		this.sizes[this.nextSize] = coreMs;
		this.nextSize = (this.nextSize + 1) % maxSizes;
		if (this.sizes.length >= minSizes) this.largeFrom = undefined;
	}

	isLarge(coreMs: number): boolean {
		this.largeFrom ??= this.computeLargeFrom();
		return coreMs >= this.largeFrom;
	}

	noteBegun(coreMs: number): void {
		this.begunSinceLarge = this.isLarge(coreMs) ? 0 : this.begunSinceLarge + 1;
	}

	/** Number of other jobs that may begin before it is the turn of a large one. */
	get untilLarge(): number {
		return Math.max(0, largeEvery - 1 - this.begunSinceLarge);
	}

	addServed(coreMs: number, now: number): void {
		this.servedCoreMs = this.served(now) + coreMs;
		this.servedAt = now;
	}

	/** What the queue was given lately, in core-milliseconds. */
	served(now: number): number {
		return this.servedCoreMs * servedKeptPerS ** ((now - this.servedAt) / 1_000);
	}

	private computeLargeFrom(): number {
		const sorted = [...this.sizes].sort((a, b) => b - a);
		return sorted[Math.ceil(sorted.length * largeFraction) - 1] ?? Infinity;
	}
}

/** The queues, by name. */
export class Turns {
	private readonly queues = new Map<string, QueueTurns>();

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): Turns {
		return new Turns();
	}

	/** Adds a job that was not seen before, of this size in core-milliseconds. */
	addJob(queue: string, coreMs: number): void {
		this.of(queue).addSize(coreMs);
	}

	/** Notes that the first task of a job was placed. */
	noteBegun(queue: string, coreMs: number): void {
		this.of(queue).noteBegun(coreMs);
	}

	/** Notes that work of a queue was placed, in core-milliseconds. */
	noteServed(queue: string, coreMs: number, now: number): void {
		this.of(queue).addServed(coreMs, now);
	}

	/** Moves large jobs to the places where it is their turn. `items`: jobs of one queue, none of which has begun. */
	giveLargeTurns<T>(queue: string, items: readonly T[], coreMsOf: (item: T) => number): T[] {
		const turns = this.of(queue);
		const large = items.filter((item) => turns.isLarge(coreMsOf(item)));
		if (large.length === 0) return [...items];
		const others = items.filter((item) => !turns.isLarge(coreMsOf(item)));
		const arranged: T[] = [];
		let untilLarge = turns.untilLarge;
		while (others.length > 0 && large.length > 0) {
			arranged.push(...others.splice(0, untilLarge), ...large.splice(0, 1));
			untilLarge = largeEvery - 1;
		}
		return [...arranged, ...others, ...large];
	}

	/**
	 * Merges lines of items, each in its order, so that every line gets the same share of what is placed. `coreMsOf`: work of an
	 * item, in core-milliseconds.
	 */
	alternate<T>(lines: readonly Line<T>[], coreMsOf: (item: T) => number, now: number): T[] {
		const open = lines
			.filter(({ items }) => items.length > 0)
			.map((line) => ({ ...line, next: 0, served: this.of(line.name).served(now) }));
		const merged: T[] = [];
		while (open.length > 1) {
			const first = open.reduce((best, line) => (line.served < best.served ? line : best));
			const items = first.items.slice(first.next, first.next + 1);
			merged.push(...items);
			first.next += 1;
			for (const item of items) first.served += coreMsOf(item);
			if (first.next >= first.items.length) open.splice(open.indexOf(first), 1);
		}
		return [...merged, ...open.flatMap(({ items, next }) => items.slice(next))];
	}

	private of(queue: string): QueueTurns {
		const known = this.queues.get(queue);
		if (known !== undefined) return known;
		const created = QueueTurns.create();
		this.queues.set(queue, created);
		return created;
	}
}
