/**
 * Zones whose workers get no new work, as an owner knows them. A list of them that was last known to be current too long ago
 * proves nothing, as a zone may have been added since.
 */
import * as clocks from '../clock.js';

/** The evacuated zones that an owner knows. */
export class ZoneEvacuations {
	private zones: ReadonlySet<string> = new Set();
	private confirmedAt = -Infinity;
	/** Evacuated zones in which something may still run. */
	private readonly occupied = new Set<string>();

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly maxAgeMs: number | undefined,
	) {}

	/**
	 * `maxAgeMs`: starts may rely on a list that was known to be current within this time, in milliseconds; undefined: zones
	 * are never evacuated.
	 */
	static create(clock: clocks.Clock, maxAgeMs: number | undefined): ZoneEvacuations {
		return new ZoneEvacuations(clock, maxAgeMs);
	}

	/** Whether it is known which zones are evacuated. */
	get isKnown(): boolean {
		return this.maxAgeMs === undefined || clocks.isFresh(this.clock, this.confirmedAt, this.maxAgeMs);
	}

	/** Whether a zone is evacuated. */
	has(zone: string): boolean {
		return this.zones.has(zone);
	}

	/**
	 * Notes that exactly these zones were evacuated at that clock time. Returns the zones that were added and those that
	 * were removed.
	 */
	note(zones: ReadonlySet<string>, confirmedAt: number): { added: string[]; removed: string[] } {
		// Answers may arrive out of order: an older one is ignored.
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

	/** Returns the evacuated zones that have become empty since the last call. */
	takeEmptied(isEmpty: (zone: string) => boolean): string[] {
		const emptied = [...this.occupied].filter(isEmpty);
		for (const zone of emptied) this.occupied.delete(zone);
		return emptied;
	}
}
