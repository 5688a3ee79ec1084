/** Ends that a worker lists until it is let forget them: how long each waits to be stored, and to be forgotten. */
import type * as fleet from '../fleet/types.js';

/** Times of an end since its worker was first seen to list it. */
export type ExitTime = 'end_stored' | 'end_forgotten';

/** Takes a time, in milliseconds. */
export type RecordTime = (name: ExitTime, ms: number) => void;

interface UnacknowledgedExit {
	seq: number;
	/** Clock time of the first report that lists it. */
	listedAt: number;
}

/** The ends of one life of a worker. */
export class UnacknowledgedExits {
	/** The oldest first. */
	private open: UnacknowledgedExit[] = [];
	private newest = 0;
	/** Those up to here are stored. */
	storedUpTo = 0;
	/** The question under way lets the worker forget those up to here. */
	private acknowledgingUpTo = 0;

	private constructor(private readonly record: RecordTime) {}

	static create(record: RecordTime): UnacknowledgedExits {
		return new UnacknowledgedExits(record);
	}

	/** How many are listed and wait for a question that lets the worker forget them. */
	get count(): number {
		return this.waiting.length;
	}

	/** Clock time at which the oldest of them was first listed; undefined: there is none. */
	get oldestAt(): number | undefined {
		return this.waiting[0]?.listedAt;
	}

	private get waiting(): readonly UnacknowledgedExit[] {
		return this.open.filter(({ seq }) => seq > this.acknowledgingUpTo);
	}

	/** A report lists these. */
	noteReported(exits: readonly fleet.RunExit[], now: number): void {
		for (const { seq } of exits) {
			if (seq <= this.newest) continue;
			this.newest = seq;
			this.open.push({ seq, listedAt: now });
		}
	}

	/** Those up to `upTo` are stored. */
	noteStored(upTo: number, now: number): void {
		for (const { seq, listedAt } of this.open)
			if (seq > this.storedUpTo && seq <= upTo) this.record('end_stored', now - listedAt);
		this.storedUpTo = Math.max(this.storedUpTo, upTo);
	}

	/** A question that lets the worker forget those up to `upTo` is sent. */
	noteAcknowledging(upTo: number): void {
		this.acknowledgingUpTo = upTo;
	}

	/** That question, sent at `sentAt`, was answered. */
	noteAcknowledged(upTo: number, sentAt: number): void {
		const firstKept = this.open.findIndex(({ seq }) => seq > upTo);
		const acknowledged = this.open.splice(0, firstKept === -1 ? this.open.length : firstKept);
		for (const { listedAt } of acknowledged) this.record('end_forgotten', sentAt - listedAt);
	}
}
