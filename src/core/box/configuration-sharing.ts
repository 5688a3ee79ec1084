/** What an owner gives of the configuration to boxes that the store does not answer. */

/**
 * So many bytes a second are given at most: a tenth of what the slowest stated link of a box carries (7 Mbit/s), so that an
 * owner whom many boxes ask for a large configuration at once goes on renewing its lease and sending orders.
 */
const maxBytesPerS = 87_500;

/** The configuration as an owner tells of it with each answer to another box. */
export interface AdvertisedConfiguration {
	version: number;
	/** How long ago the store last confirmed it to the owner, in milliseconds. */
	ageMs: number;
}

/** Paces what is given. */
export class SharingRateLimit {
	/** Clock time before which nothing more is given. */
	private nextAllowedAt = -Infinity;

	private constructor(private readonly now: () => number) {}

	/** `now`: clock time. */
	static create(now: () => number): SharingRateLimit {
		return new SharingRateLimit(now);
	}

	/** The value, if it is its turn; undefined: asked again with the next question to the owner. */
	tryShare(value: Uint8Array): Uint8Array | undefined {
		const now = this.now();
		if (now < this.nextAllowedAt) return undefined;
		this.nextAllowedAt = now + (value.length * 1_000) / maxBytesPerS;
		return value;
	}
}
