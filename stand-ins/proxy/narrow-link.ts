/** A link that sends so many bytes a second, one piece after another, whatever connections they belong to. */

/** One direction of a link. */
export class NarrowLink {
	/** Time at which all that was given is sent, on the machine's clock. */
	private freeAt = 0;
	private readonly queue: (() => void)[] = [];

	private constructor(private readonly bytesPerS: number) {}

	static create(bytesPerS: number): NarrowLink {
		return new NarrowLink(bytesPerS);
	}

	/** Calls `deliver` once so many bytes have been sent behind those given before. */
	send(bytes: number, deliver: () => void): void {
		const now = performance.now();
		this.freeAt = Math.max(this.freeAt, now) + (bytes * 1_000) / this.bytesPerS;
		this.queue.push(deliver);
		// Timers may fire out of order within a millisecond; the pieces must not.
		setTimeout(() => this.queue.shift()?.(), this.freeAt - now);
	}
}
