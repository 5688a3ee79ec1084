/**
 * Keeps a local copy of the keys with a prefix: lists them, watches for changes, and lists them again at intervals, because
 * a watch may stall without an error.
 */
import * as clocks from '../clock.js';
import type * as types from './types.js';

/** Options of a follower. */
export interface FollowOptions {
	prefix: string;
	/** Interval between full lists, in milliseconds; bounds how long a stalled watch goes unnoticed. */
	relistMs: number;
	/** Gets the whole copy after every change. Not called while the service gives no answer. */
	onView: (view: ReadonlyMap<string, types.Stored>) => void;
	/** Whether the latest list was answered. */
	onReachable?: (reachable: boolean, reason: string) => void;
}

/** Wait before listing again after a failed list or the end of a watch, in milliseconds. */
const retryMs = 500;

/** A local copy of the keys with a prefix. */
export class Follower {
	private view = new Map<string, types.Stored>();
	private watch: types.Watch | undefined;
	private timer: clocks.Timer | undefined;
	private stopped = false;

	private constructor(
		private readonly store: types.Store,
		private readonly clock: clocks.Clock,
		private readonly opts: FollowOptions,
	) {}

	/** Starts following. `onView` is first called when the first list is answered. */
	static create(store: types.Store, clock: clocks.Clock, opts: FollowOptions): Follower {
		const self = new Follower(store, clock, opts);
		void self.relist();
		return self;
	}

	stop(): void {
		this.stopped = true;
		this.timer?.cancel();
		this.watch?.close();
	}

	private async relist(): Promise<void> {
		this.timer?.cancel();
		const res = await this.store.list(this.opts.prefix);
		if (this.stopped) return;
		this.opts.onReachable?.(res.ok, res.ok ? '' : res.err.reason);
		if (!res.ok) {
			this.schedule(retryMs);
			return;
		}
		this.view = new Map(res.value.items.map((item) => [item.key, item]));
		this.opts.onView(this.view);
		this.open(res.value.revision);
		this.schedule(this.opts.relistMs);
	}

	private schedule(ms: number): void {
		this.timer?.cancel();
		this.timer = this.clock.after(ms, () => void this.relist());
	}

	private open(revision: number): void {
		this.watch?.close();
		this.watch = this.store.watch(this.opts.prefix, revision, {
			onChanges: (changes) => {
				this.apply(changes);
			},
			onEnd: () => {
				if (!this.stopped) this.schedule(retryMs);
			},
		});
	}

	private apply(changes: types.StoreChange[]): void {
		for (const change of changes) {
			const known = this.view.get(change.key)?.version ?? 0;
			if (change.version <= known) continue;
			if (change.value === undefined) this.view.delete(change.key);
			else this.view.set(change.key, { key: change.key, value: change.value, version: change.version });
		}
		this.opts.onView(this.view);
	}
}
