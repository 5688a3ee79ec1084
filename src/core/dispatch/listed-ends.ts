/** Exits that a worker lists until they are acknowledged to it: how long each waits to be stored, and to be acknowledged. */
import type * as fleet from '../fleet/types.js';

/** Measured times of an exit, both from when its worker was first seen to list it. */
export type EndTime = 'end_stored' | 'end_forgotten';

/** Records a time, in milliseconds. */
export type RecordTime = (name: EndTime, ms: number) => void;

interface ListedEnd {
	seq: number;
	/** Clock time of the first report that lists it. */
	listedAt: number;
}

/** The unacknowledged exits of one incarnation of a worker. */
export class ListedEnds {
	/** Oldest first. */
	private open: ListedEnd[] = [];
	private newest = 0;
	/** Exits up to this sequence number are stored. */
	storedUpTo = 0;
	/** The pending poll acknowledges exits up to this sequence number. */
	private askedUpTo = 0;

	private constructor(private readonly record: RecordTime) {}

	static create(record: RecordTime): ListedEnds {
		return new ListedEnds(record);
	}

	/** Number of listed exits that the pending poll does not acknowledge. */
	get count(): number {
		return this.waiting.length;
	}

	/** Clock time at which the oldest of these was first listed; undefined: there is none. */
	get oldestAt(): number | undefined {
		return this.waiting[0]?.listedAt;
	}

	private get waiting(): readonly ListedEnd[] {
		return this.open.filter(({ seq }) => seq > this.askedUpTo);
	}

	/** Notes the exits that a report lists. */
	list(ends: readonly fleet.RunEnd[], now: number): void {
		for (const { seq } of ends) {
			if (seq <= this.newest) continue;
			this.newest = seq;
			this.open.push({ seq, listedAt: now });
		}
	}

	/** Notes that exits up to `upTo` are stored. */
	noteStored(upTo: number, now: number): void {
		for (const { seq, listedAt } of this.open)
			if (seq > this.storedUpTo && seq <= upTo) this.record('end_stored', now - listedAt);
		this.storedUpTo = Math.max(this.storedUpTo, upTo);
	}

	/** Notes that a poll is sent which acknowledges exits up to `upTo`. */
	noteAsked(upTo: number): void {
		this.askedUpTo = upTo;
	}

	/** Notes that the poll which was sent at `sentAt`, and acknowledged exits up to `upTo`, was answered. */
	noteForgotten(upTo: number, sentAt: number): void {
		const kept = this.open.findIndex(({ seq }) => seq > upTo);
		const forgotten = this.open.splice(0, kept === -1 ? this.open.length : kept);
		for (const { listedAt } of forgotten) this.record('end_forgotten', sentAt - listedAt);
	}
}
