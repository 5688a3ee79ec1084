/**
 * When a worker ceased to answer, and whether its machine was up after that. A crash breaks connections and refuses new
 * ones, and a machine without power accepts none. A worker that accepts a connection and leaves the question there without
 * an answer has not gone down yet, so what it runs may end unheard before it does.
 */
import type * as clocks from '../clock.js';

/** A worker hangs that has left a question without an answer for so long on a connection that it accepted, in milliseconds. */
const hungAfterMs = 200;

/** What is known of one worker's silence. */
export class WorkerResponsiveness {
	/** Clock time of the first call since the last answer that failed; undefined: none has. */
	private failure: number | undefined;
	/** Clock time at which the worker accepted a connection for the question under way; undefined: it has not. */
	private connectedAt: number | undefined;
	/** A question since then was left without an answer on a connection that the worker had accepted. */
	private hasHung = false;

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): WorkerResponsiveness {
		return new WorkerResponsiveness(clock);
	}

	/** Clock time of the first call since the last answer that failed; undefined: none has. */
	get firstFailureAt(): number | undefined {
		return this.failure;
	}

	/** Whether it has accepted a connection and left the question there without an answer. */
	get isHanging(): boolean {
		return this.hasHung || this.isPollHanging;
	}

	private get isPollHanging(): boolean {
		return this.connectedAt !== undefined && this.clock.now() - this.connectedAt > hungAfterMs;
	}

	/** A call failed; true: the first since the last answer. */
	noteFailure(): boolean {
		if (this.failure !== undefined) return false;
		this.failure = this.clock.now();
		return true;
	}

	/** A connection was opened for the question under way. */
	noteConnected(): void {
		if (this.failure !== undefined) this.connectedAt = this.clock.now();
	}

	/** The question under way failed: its connection broke at once, or it was given up. */
	notePollFailed(): void {
		this.hasHung ||= this.isPollHanging;
		this.connectedAt = undefined;
	}

	/** The worker answered. */
	noteAnswer(): void {
		this.failure = undefined;
		this.connectedAt = undefined;
		this.hasHung = false;
	}
}
