/**
 * Keeps up with a prefix of the store: a list, then its changes; lists again when the history is gone, or when waits for
 * changes bring no answer.
 */
import * as clocks from '../clock.js';
import * as limits from './limits.js';
import type * as types from './types.js';

/** Calls that fail follow each other at this distance in milliseconds; one that took longer is repeated at once. */
const retryMs = 250;

/** So many waits in a row without an answer are repeated as they were, where the list is long. */
const maxUnansweredPolls = 3;

/** What to follow, and whom to tell. */
export interface FollowerOptions {
	store: types.RecordStore;
	clock: clocks.Clock;
	prefix: string;
	/** How long one call waits for a change, in milliseconds. */
	waitMs: number;
	/** Pause after changes, so that a busy prefix costs few calls; in milliseconds. */
	pauseMs: number;
	/**
	 * Whether the list is short: then it is read after each wait whose answer came late or not at all, else after some in a
	 * row that brought none. The answer to a repeated wait only grows: over a slow link it may never be complete in time,
	 * where a list holds each key once.
	 */
	isListShort: boolean;
	/** Go on from this revision instead of listing first. */
	fromRevision?: number;
	/** All there is, and the store's revision. */
	onList: (items: types.Stored[], revision: number) => void;
	onChanges: (changes: types.StoreChange[], revision: number) => void;
	/**
	 * Told of each call that was answered, before what it brought; `heldAt`: clock time at which that held. An answer may
	 * have lain here unread while this process stood still.
	 */
	onAnswered?: (validAt: number) => void;
}

/** A prefix that is followed until it is closed. */
export class RecordFollower {
	private closed = false;
	private revision: number | undefined;
	/** Waits in a row that brought no answer. */
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

	/** Reads the list now, beside the wait that is under way: somebody knows of a change that it did not bring. */
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

	/** One list; returns how long to wait before the next call. */
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

	/** One wait for changes; returns how long to wait before the next call. */
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
		// It was long on its way, or this process stood still: more may have been written since.
		if (isListShort && clock.now() - startedAt > waitMs) this.listNext();
		this.opts.onChanges(changes, revision);
		return this.opts.pauseMs;
	}

	/** When the answer to a wait that began at `startedAt` was given, at the earliest. */
	private earliestAnswerAt(startedAt: number): number {
		const { clock, waitMs } = this.opts;
		if (clock.resumedAt() >= startedAt) return startedAt;
		return Math.min(clock.now(), startedAt + waitMs + limits.longPollGraceMs);
	}

	private listNext(): void {
		this.revision = undefined;
		this.unansweredPolls = 0;
	}

	/** Read after an `await`, where the compiler thinks the field can't have changed. */
	private isClosed(): boolean {
		return this.closed;
	}
}
