/**
 * A link with limited bandwidth that sends one chunk after another, regardless of the connection that a chunk belongs to.
 */

/** One direction of a link. */
export class NarrowLink {
	/** Time at which all queued chunks will have been sent, by the monotonic clock of the process, in milliseconds. */
	private freeAt = 0;
	private waitingBytes = 0;
	private readonly queue: (() => void)[] = [];
	/** Paused senders, to be resumed when the link is not full any more. */
	private pausedSenders: (() => void)[] = [];

	private constructor(
		private readonly bytesPerS: number,
		private readonly maxWaitingBytes: number,
	) {}

	/** `maxWaitingBytes`: bytes that may wait to be sent; beyond it the link is full and senders have to pause. */
	static create(bytesPerS: number, maxWaitingBytes = Infinity): NarrowLink {
		return new NarrowLink(bytesPerS, maxWaitingBytes);
	}

	/** Whether more bytes wait than may. */
	get isFull(): boolean {
		return this.waitingBytes > this.maxWaitingBytes;
	}

	/** Calls `resume` once the link is not full any more. */
	whenNotFull(resume: () => void): void {
		this.pausedSenders.push(resume);
	}

	/** Calls `deliver` once these bytes and all earlier ones have been sent. */
	send(bytes: number, deliver: () => void): void {
		const now = performance.now();
		this.freeAt = Math.max(this.freeAt, now) + (bytes * 1_000) / this.bytesPerS;
		this.waitingBytes += bytes;
		this.queue.push(() => {
			this.waitingBytes -= bytes;
			deliver();
			this.resumeAll();
		});
		// Timers may fire out of order within a millisecond, but chunks must stay in order.
		setTimeout(() => this.queue.shift()?.(), this.freeAt - now);
	}

	private resumeAll(): void {
		if (this.isFull) return;
		const { pausedSenders } = this;
		this.pausedSenders = [];
		for (const resume of pausedSenders) resume();
	}
}
