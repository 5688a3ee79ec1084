/** Exits that a worker lists until they are acknowledged to it: how long each waits to be stored, and to be acknowledged. */
import type * as fleet from '../fleet/types.js';

/** Measured times of an exit, both from when its worker was first seen to list it. */
export type ExitTime = 'end_stored' | 'end_forgotten';

/** Records the time of an exit, in milliseconds. */
export type RecordExitTime = (name: ExitTime, ms: number) => void;

interface UnacknowledgedExit {
	seq: number;
	/** Clock time of the first report that lists it. */
	listedAt: number;
}

/** The unacknowledged exits of one incarnation of a worker. */
export class UnacknowledgedExits {
	/** Oldest first. */
	private open: UnacknowledgedExit[] = [];
	private newest = 0;
	/** Exits up to this sequence number are stored. */
	storedUpTo = 0;
	/** The pending poll acknowledges exits up to this sequence number. */
	private acknowledgingUpTo = 0;

	private constructor(private readonly record: RecordExitTime) {}

	static create(record: RecordExitTime): UnacknowledgedExits {
		return new UnacknowledgedExits(record);
	}

	/** Number of listed exits that the pending poll does not acknowledge. */
	get count(): number {
		return this.waiting.length;
	}

	/** Clock time at which the oldest of these was first listed; undefined: there is none. */
	get oldestAt(): number | undefined {
		return this.waiting[0]?.listedAt;
	}

	private get waiting(): readonly UnacknowledgedExit[] {
		return this.open.filter(({ seq }) => seq > this.acknowledgingUpTo);
	}

	/** Notes the exits that a report lists. */
	noteReported(exits: readonly fleet.RunExit[], now: number): void {
		for (const { seq } of exits) {
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
	noteAcknowledging(upTo: number): void {
		this.acknowledgingUpTo = upTo;
	}

	/** Notes that the poll which was sent at `sentAt`, and acknowledged exits up to `upTo`, was answered. */
	noteAcknowledged(upTo: number, sentAt: number): void {
		const firstKept = this.open.findIndex(({ seq }) => seq > upTo);
		const acknowledged = this.open.splice(0, firstKept === -1 ? this.open.length : firstKept);
		for (const { listedAt } of acknowledged) this.record('end_forgotten', sentAt - listedAt);
	}
}
