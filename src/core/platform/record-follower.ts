/**
 * Follows the records with a prefix of the store: lists them, then waits for changes. Lists them again when the history has
 * been compacted, or when waits for changes have no answer.
 */
import * as clocks from '../clock.js';
import * as limits from './limits.js';
import type * as types from './types.js';

/**
 * Least time between the starts of a failed call and the next one, in milliseconds. A call that took longer is repeated at
 * once.
 */
const retryMs = 250;

/** Consecutive waits without an answer after which a long list is read again. */
const maxUnansweredPolls = 3;

/** What to follow, and the callbacks. */
export interface FollowerOptions {
	store: types.RecordStore;
	clock: clocks.Clock;
	prefix: string;
	/** How long one call waits for a change, in milliseconds. */
	waitMs: number;
	/** Pause after changes, in milliseconds, which limits the calls for a prefix that changes often. */
	pauseMs: number;
	/**
	 * Whether the list is short. A short list is read again after each wait whose answer is late or missing, a long one
	 * after several consecutive waits without an answer. The answer to a repeated wait only grows, and over a slow link it
	 * may never be complete in time; a list contains each key once.
	 */
	isListShort: boolean;
	/** Starts from this revision instead of a list. */
	fromRevision?: number;
	/** Gets all records and the store's revision. */
	onList: (items: types.Stored[], revision: number) => void;
	onChanges: (changes: types.StoreChange[], revision: number) => void;
	/**
	 * Called for each answered call, before its content is delivered. `validAt`: clock time at which the content was valid.
	 * The answer may have lain unread while this process was stalled.
	 */
	onAnswered?: (validAt: number) => void;
}

/** Follows a prefix until it is closed. */
export class RecordFollower {
	private closed = false;
	private revision: number | undefined;
	/** Consecutive waits without an answer. */
	private unansweredPolls = 0;

	private constructor(private readonly opts: FollowerOptions) {
		this.revision = opts.fromRevision;
		void this.run();
	}

	static create(opts: FollowerOptions): RecordFollower {
		return new RecordFollower(opts);
	}

	close(): void {
		this.closed = true;
	}

	/**
	 * Reads the list at once, in parallel with the current wait, for a caller that knows of a change that the wait did not
	 * bring.
	 */
	listNow(): void {
		void this.list();
	}

	private async run(): Promise<void> {
		while (!this.isClosed()) {
			const { clock } = this.opts;
			const startedAt = clock.now();
			const outcome = this.revision === undefined ? await this.list() : await this.follow(this.revision);
			const wait = outcome === 'failed' ? startedAt + retryMs - clock.now() : outcome;
			if (wait > 0) await clocks.sleep(clock, wait);
		}
	}

	/** Reads the list once; returns how long to wait before the next call, in milliseconds. */
	private async list(): Promise<number | 'failed'> {
		const startedAt = this.opts.clock.now();
		const res = await this.opts.store.list(this.opts.prefix);
		if (this.isClosed()) return 0;
		if (!res.ok) return 'failed';
		this.opts.onAnswered?.(startedAt);
		const { items, revision } = res.value;
		this.revision = revision;
		this.opts.onList(items, revision);
		return 0;
	}

	/** Waits for changes once; returns how long to wait before the next call, in milliseconds. */
	private async follow(after: number): Promise<number | 'failed'> {
		const { store, prefix, waitMs, clock, isListShort } = this.opts;
		const startedAt = clock.now();
		const res = await store.follow(prefix, after, waitMs);
		if (this.isClosed()) return 0;
		if (!res.ok) {
			this.unansweredPolls += res.err.effect === 'unknown' ? 1 : 0;
			if (this.unansweredPolls >= (isListShort ? 1 : maxUnansweredPolls)) this.listNext();
			return 'failed';
		}
		if (res.value.type === 'compacted') {
			this.listNext();
			return 0;
		}
		this.unansweredPolls = 0;
		this.opts.onAnswered?.(this.earliestAnswerAt(startedAt));
		const { changes, revision } = res.value;
		this.revision = revision;
		if (changes.length === 0) return 0;
		// The answer took long, or this process was stalled: more may have been written since.
		if (isListShort && clock.now() - startedAt > waitMs) this.listNext();
		this.opts.onChanges(changes, revision);
		return this.opts.pauseMs;
	}

	/** The earliest time at which the answer to a wait that began at `startedAt` may have been given. */
	private earliestAnswerAt(startedAt: number): number {
		const { clock, waitMs } = this.opts;
		if (clock.resumedAt() >= startedAt) return startedAt;
		return Math.min(clock.now(), startedAt + waitMs + limits.longPollGraceMs);
	}

	private listNext(): void {
		this.revision = undefined;
		this.unansweredPolls = 0;
	}

	/** A method, because after an `await` the compiler assumes that the field has not changed. */
	private isClosed(): boolean {
		return this.closed;
	}
}
