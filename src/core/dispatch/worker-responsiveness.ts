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

/**
 * A call that fails this long after its answer was due shows that the worker had ceased to answer before, not when, in
 * milliseconds. A broken connection shows at once.
 */
const overdueAfterMs = 200;

/** How responsive one worker is. */
export class WorkerResponsiveness {
	/** Clock time of the last answer; `-Infinity`: there was none. */
	lastAnsweredAt = -Infinity;
	/** Clock time of the first failed call since the last answer; undefined: none has failed. */
	private failure: number | undefined;
	/** Clock time by which it had ceased to answer; undefined: no call has failed since the last answer. */
	private silentBy: number | undefined;
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

	/** Clock time by which it had ceased to answer; undefined: no call has failed since the last answer. */
	get silentSince(): number | undefined {
		return this.silentBy;
	}

	/** Whether it ceased to answer at the moment of the first failed call, rather than some time before. */
	get isFailureTimeKnown(): boolean {
		return this.failure === this.silentBy;
	}

	/** Whether it has accepted a connection since its last answer and left the poll on it unanswered. */
	get isHanging(): boolean {
		return this.hasHung || this.isPollHanging;
	}

	private get isPollHanging(): boolean {
		return this.connectedAt !== undefined && this.clock.now() - this.connectedAt > hungAfterMs;
	}

	/** Notes a failed call, whose answer was due at `dueAt`. Returns whether it is the first since the last answer. */
	noteFailure(dueAt: number): boolean {
		if (this.failure !== undefined) return false;
		const now = this.clock.now();
		this.failure = now;
		this.silentBy = now - dueAt >= overdueAfterMs ? Math.max(dueAt, this.lastAnsweredAt) : now;
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

	/**
	 * Notes that another incarnation answered in its place. The connection of the pending poll was accepted by that one, and
	 * a late answer on it shows a delay of this box or of the link.
	 */
	noteReplaced(): void {
		this.connectedAt = undefined;
	}

	/** Notes an answer. */
	noteAnswer(): void {
		this.lastAnsweredAt = this.clock.now();
		this.failure = undefined;
		this.silentBy = undefined;
		this.connectedAt = undefined;
		this.hasHung = false;
	}
}
