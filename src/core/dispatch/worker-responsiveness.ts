/**
 * Tracks when a worker ceased to answer, and whether its machine was up after that. A crash breaks connections and refuses
 * new ones, and a machine without power accepts none. A worker that accepts a connection and leaves the poll on it
 * unanswered has not crashed yet, so its runs may still exit, unreported, before it does.
 */
import type * as clocks from '../clock.js';

/**
 * A worker counts as hung once it has left a poll unanswered for this time on a connection that it accepted, in
 * milliseconds.
 */
const hungAfterMs = 200;

/** How responsive one worker is. */
export class WorkerResponsiveness {
	/** Clock time of the first failed call since the last answer; undefined: none has failed. */
	private failure: number | undefined;
	/** Clock time at which the worker accepted a connection for the pending poll; undefined: it has not. */
	private connectedAt: number | undefined;
	/** Whether an earlier poll since the last answer was left unanswered on a connection that the worker had accepted. */
	private hasHung = false;

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): WorkerResponsiveness {
		return new WorkerResponsiveness(clock);
	}

	/** Clock time of the first failed call since the last answer; undefined: none has failed. */
	get firstFailureAt(): number | undefined {
		return this.failure;
	}

	/** Whether it has accepted a connection since its last answer and left the poll on it unanswered. */
	get isHanging(): boolean {
		return this.hasHung || this.isPollHanging;
	}

	private get isPollHanging(): boolean {
		return this.connectedAt !== undefined && this.clock.now() - this.connectedAt > hungAfterMs;
	}

	/** Notes a failed call. Returns whether it is the first since the last answer. */
	noteFailure(): boolean {
		if (this.failure !== undefined) return false;
		this.failure = this.clock.now();
		return true;
	}

	/** Notes that a connection was opened for the pending poll. */
	noteConnected(): void {
		if (this.failure !== undefined) this.connectedAt = this.clock.now();
	}

	/** Notes that the pending poll failed: its connection broke at once, or it timed out. */
	notePollFailed(): void {
		this.hasHung ||= this.isPollHanging;
		this.connectedAt = undefined;
	}

	/** Notes an answer. */
	noteAnswer(): void {
		this.failure = undefined;
		this.connectedAt = undefined;
		this.hasHung = false;
	}
}
