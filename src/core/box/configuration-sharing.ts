/** Limits the rate at which an owner sends its configuration to boxes that the store does not answer. */

/**
 * Rate limit, in bytes a second: a tenth of the slowest stated link of a box (7 Mbit/s). An owner that many boxes ask for a
 * large configuration at once can still renew its lease and send commands.
 */
const maxBytesPerS = 87_500;

/** The configuration as an owner advertises it in each answer to another box. */
export interface AdvertisedConfiguration {
	version: number;
	/** How long ago the store last confirmed it to the owner, in milliseconds. */
	ageMs: number;
}

/** A rate limit over all boxes that ask. */
export class SharingRateLimit {
	/** Clock time before which nothing more is sent. */
	private nextAllowedAt = -Infinity;

	private constructor(private readonly now: () => number) {}

	/** `now`: clock time. */
	static create(now: () => number): SharingRateLimit {
		return new SharingRateLimit(now);
	}

	/** The value if the rate limit allows it now; undefined: not yet, and the box asks again after its next ping. */
	tryShare(value: Uint8Array): Uint8Array | undefined {
		const now = this.now();
		if (now < this.nextAllowedAt) return undefined;
		this.nextAllowedAt = now + (value.length * 1_000) / maxBytesPerS;
		return value;
	}
}
