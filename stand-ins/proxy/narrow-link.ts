/** A link that sends so many bytes a second, one piece after another, whatever connections they belong to. */

/** One direction of a link. */
export class NarrowLink {
	/** Time at which all that was given is sent, on the machine's clock. */
	private freeAt = 0;
	private waitingBytes = 0;
	private readonly queue: (() => void)[] = [];
	/** Senders that wait until the link has room. */
	private pausedSenders: (() => void)[] = [];

	private constructor(
		private readonly bytesPerS: number,
		private readonly maxWaitingBytes: number,
	) {}

	/** `windowBytes`: so many wait to be sent at most; senders are told to pause beyond. */
	static create(bytesPerS: number, maxWaitingBytes = Infinity): NarrowLink {
		return new NarrowLink(bytesPerS, maxWaitingBytes);
	}

	/** Whether more has been given than may wait. */
	get isFull(): boolean {
		return this.waitingBytes > this.maxWaitingBytes;
	}

	/** Calls `resume` once no more waits than may, whoever's pieces made room. */
	whenNotFull(resume: () => void): void {
		this.pausedSenders.push(resume);
	}

	/** Calls `deliver` once so many bytes have been sent behind those given before. */
	send(bytes: number, deliver: () => void): void {
		const now = performance.now();
		this.freeAt = Math.max(this.freeAt, now) + (bytes * 1_000) / this.bytesPerS;
		this.waitingBytes += bytes;
		this.queue.push(() => {
			this.waitingBytes -= bytes;
			deliver();
			this.resumeAll();
		});
		// Timers may fire out of order within a millisecond; the pieces must not.
		setTimeout(() => this.queue.shift()?.(), this.freeAt - now);
	}

	private resumeAll(): void {
		if (this.isFull) return;
		const { pausedSenders } = this;
		this.pausedSenders = [];
		for (const resume of pausedSenders) resume();
	}
}
