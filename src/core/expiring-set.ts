/** A set of texts that are kept for a while, and whose number is bounded. */
import type * as clocks from './clock.js';

/** Limits of a set. */
export interface ExpiringSetLimits {
	/** Time for which an entry is kept, in milliseconds. */
	keepMs: number;
	/** Maximum number of entries; the oldest are dropped first. */
	maxSize: number;
}

export class ExpiringSet {
	/** Clock time at which each entry expires, the oldest entry first. */
	private readonly expiresAt = new Map<string, number>();

	private constructor(
		private readonly clock: Pick<clocks.Clock, 'now'>,
		private readonly limits: ExpiringSetLimits,
	) {}

	static create(clock: Pick<clocks.Clock, 'now'>, limits: ExpiringSetLimits): ExpiringSet {
		return new ExpiringSet(clock, limits);
	}

	get size(): number {
		this.dropOld();
		return this.expiresAt.size;
	}

	has(entry: string): boolean {
		return (this.expiresAt.get(entry) ?? -Infinity) > this.clock.now();
	}

	/** Adds an entry, or keeps it for the whole time again. */
	add(entry: string): void {
		this.expiresAt.delete(entry);
		this.expiresAt.set(entry, this.clock.now() + this.limits.keepMs);
		this.dropOld();
	}

	private dropOld(): void {
		const now = this.clock.now();
		for (const [entry, at] of this.expiresAt) {
			if (at > now && this.expiresAt.size <= this.limits.maxSize) return;
			this.expiresAt.delete(entry);
		}
	}
}
