/**
 * Zones whose workers are to be sent nothing more. A list that was last known to hold too long ago says nothing: a zone
 * may have been added since.
 */
import * as clocks from '../clock.js';

/** The evacuated zones as an owner knows them. */
export class ZoneEvacuations {
	private zones: ReadonlySet<string> = new Set();
	private confirmedAt = -Infinity;
	/** Evacuated zones in which something may run. */
	private readonly occupied = new Set<string>();

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly maxAgeMs: number | undefined,
	) {}

	/** `maxAgeMs`: starts may go by a list that was known to hold so lately; undefined: zones are not evacuated here. */
	static create(clock: clocks.Clock, maxAgeMs: number | undefined): ZoneEvacuations {
		return new ZoneEvacuations(clock, maxAgeMs);
	}

	/** Whether it is known which zones are evacuated. */
	get isKnown(): boolean {
		return this.maxAgeMs === undefined || clocks.isFresh(this.clock, this.confirmedAt, this.maxAgeMs);
	}

	/** Whether a zone's workers get nothing more. */
	has(zone: string): boolean {
		return this.zones.has(zone);
	}

	/** These zones were evacuated, and no others, at that clock time; returns those that are added and taken back. */
	note(zones: ReadonlySet<string>, confirmedAt: number): { added: string[]; removed: string[] } {
		// Answers pass each other: an older one may come later.
		if (confirmedAt < this.confirmedAt) return { added: [], removed: [] };
		const before = this.zones;
		this.zones = zones;
		this.confirmedAt = confirmedAt;
		const added = [...zones].filter((zone) => !before.has(zone));
		const removed = [...before].filter((zone) => !zones.has(zone));
		for (const zone of added) this.occupied.add(zone);
		for (const zone of removed) this.occupied.delete(zone);
		return { added, removed };
	}

	/** Evacuated zones that have become empty since this was last asked. */
	takeEmptied(isEmpty: (zone: string) => boolean): string[] {
		const emptied = [...this.occupied].filter(isEmpty);
		for (const zone of emptied) this.occupied.delete(zone);
		return emptied;
	}
}
