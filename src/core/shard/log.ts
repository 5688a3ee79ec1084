/**
 * A shard's log in the platform's store: a ring of slots and one snapshot.
 *
 * Entry n is stored in slot n mod ringSlots by compare-and-swap. The expected version is the one that the slot had with
 * entry n - ringSlots, or 0 if the slot is empty: only a process that has read the log up to there knows it. Entries are
 * never deleted: a paused owner could otherwise create a deleted entry again and take that for a commit. An entry is
 * overwritten only after a snapshot that includes it.
 */
import * as crypto from 'node:crypto';
import * as clocks from '../clock.js';
import * as results from '../result.js';
import * as wire from '../wire/index.js';
import * as states from './state.js';
import type * as events from '../events/index.js';
import type * as platform from '../platform/index.js';
import type * as types from './types.js';

/** Number of slots in the ring. */
export const ringSlots = 64;

/** Number of entries after which a snapshot is due. */
export const entriesPerSnapshot = 32;

/** Delay before an append without an answer is sent again, in milliseconds. */
const retryMs = 250;

/**
 * Outcome of an append or a snapshot. `superseded`: the key holds another owner's value. `abandoned`: an append was given up
 * and may or may not be stored; a snapshot was not stored or its outcome is unknown, and it is stored again later.
 */
export type AppendOutcome = 'committed' | 'superseded' | 'abandoned';

/** Prefix of a shard's keys in the store. */
export function shardPrefix(shard: string): string {
	return `woodcross/shard/${shard}/`;
}

function slotKey(shard: string, n: number): string {
	return `${shardPrefix(shard)}log/${String(n % ringSlots).padStart(3, '0')}`;
}

function snapshotKey(shard: string): string {
	return `${shardPrefix(shard)}snapshot`;
}

/** Encodes the state for a snapshot. */
export function encodeState(state: types.ShardState): Buffer {
	return wire.encodeValue({
		n: state.n,
		epoch: state.epoch,
		owner: state.owner,
		released: state.released,
		jobs: [...state.jobs],
		forwarded: [...state.forwarded],
		tasks: [...state.tasks],
		quarantined: [...state.quarantined],
		claims: [...state.claims],
	});
}

/** Decodes the state of a snapshot. */
export function decodeState(bytes: Uint8Array): types.ShardState {
	const raw = wire.decodeValue(bytes);
	results.invariant(raw.ok, 'a stored snapshot decodes');
	const value = raw.value as Record<string, unknown>;
	return {
		n: value.n as number,
		epoch: value.epoch as number,
		owner: value.owner as string,
		released: value.released as boolean,
		jobs: new Map(value.jobs as [string, types.JobRecord][]),
		forwarded: new Map(value.forwarded as [string, string][]),
		tasks: new Map(value.tasks as [string, types.TaskRecord][]),
		quarantined: new Map(value.quarantined as [string, types.Quarantine][]),
		claims: new Map(value.claims as [string, types.ClaimRecord][]),
	};
}

function decodeEntry(bytes: Uint8Array): types.LogEntry {
	const raw = wire.decodeValue(bytes);
	results.invariant(raw.ok, 'a stored entry decodes');
	return raw.value as types.LogEntry;
}

/** Settings of a log. */
export interface LogOptions {
	shard: string;
	/** The process that writes, identified by its box and boot. */
	owner: string;
	store: platform.Store;
	clock: clocks.Clock;
	events: events.EventLog;
	/** Called with the number of bytes of each write to the store, for the metrics. */
	onWrite?: (bytes: number) => void;
}

/** A shard's log as one process reads and writes it. */
export class ShardLog {
	/** Clock time at which the newest committed entry was first sent; the renewal horizon starts here. */
	lastCommitSentAt = -Infinity;
	private readonly versions = new Map<number, number>();
	private snapshotVersion = 0;
	private snapshotN = 0;
	private abandoned = false;

	private constructor(
		private readonly opts: LogOptions,
		readonly state: types.ShardState,
	) {}

	/** Reads a shard's whole log in one call to the store. */
	static async read(opts: LogOptions): Promise<results.Result<ShardLog, platform.StoreFailure>> {
		const list = await opts.store.list(shardPrefix(opts.shard));
		if (!list.ok) return list;
		const items = new Map(list.value.items.map((item) => [item.key, item]));
		const snapshot = items.get(snapshotKey(opts.shard));
		const log = new ShardLog(opts, snapshot ? decodeState(snapshot.value) : states.emptyState());
		log.snapshotVersion = snapshot?.version ?? 0;
		log.snapshotN = log.state.n;
		const isComplete = log.replay(list.value.items.filter((item) => item.key !== snapshotKey(opts.shard)));
		return isComplete
			? results.ok(log)
			: results.fail({ effect: 'none', reason: 'entries of the log are missing' });
	}

	/** Stops retrying the append in flight; its outcome is then unknown. */
	abandon(): void {
		this.abandoned = true;
	}

	/**
	 * Stores the next entry. Repeats an append without an answer until the slot shows the outcome: a failed swap returns the
	 * slot's content, and its nonce tells this entry from another owner's. Does not apply the changes to the state; the
	 * owner has done so already.
	 */
	async append(epoch: number, changes: types.Change[]): Promise<AppendOutcome> {
		const entry: types.LogEntry = {
			n: this.state.n + 1,
			epoch,
			owner: this.opts.owner,
			nonce: crypto.randomUUID(),
			at: this.opts.clock.wall(),
			changes,
		};
		const bytes = wire.encodeValue(entry);
		const sentAt = this.opts.clock.now();
		const outcome = await this.store(entry, bytes);
		if (outcome !== 'committed') return outcome;
		this.opts.onWrite?.(bytes.length);
		this.lastCommitSentAt = sentAt;
		this.state.n = entry.n;
		return outcome;
	}

	get isSnapshotDue(): boolean {
		return this.state.n - this.snapshotN >= entriesPerSnapshot;
	}

	/** Whether the snapshot covers no slot of the ring any more; the next append has to wait for a snapshot. */
	get isFull(): boolean {
		return this.state.n - this.snapshotN >= ringSlots;
	}

	/** Stores the state as a snapshot. The caller ensures that the state holds committed entries only. */
	async snapshot(): Promise<AppendOutcome> {
		const bytes = encodeState(this.state);
		const n = this.state.n;
		const res = await this.opts.store.swap(snapshotKey(this.opts.shard), bytes, this.snapshotVersion);
		if (!res.ok) return 'abandoned';
		if (!res.value.swapped) return this.adoptStoredSnapshot(res.value.current);
		this.snapshotVersion = res.value.version;
		this.snapshotN = n;
		this.opts.onWrite?.(bytes.length);
		this.opts.events.emit('shard.snapshot', { shard: this.opts.shard, n, bytes: bytes.length });
		return 'committed';
	}

	/**
	 * Handles a failed swap of the snapshot. If the stored snapshot is this owner's own (its answer was lost), adopts its
	 * version, so that the next snapshot can be stored when it is due.
	 */
	private adoptStoredSnapshot(current: platform.Stored | undefined): AppendOutcome {
		if (current === undefined) return 'superseded';
		const stored = decodeState(current.value);
		const isOwn = stored.owner === this.state.owner && stored.epoch === this.state.epoch;
		if (!isOwn) return 'superseded';
		this.snapshotVersion = current.version;
		this.snapshotN = stored.n;
		return 'abandoned';
	}

	private async store(entry: types.LogEntry, bytes: Buffer): Promise<AppendOutcome> {
		const slot = entry.n % ringSlots;
		const expected = this.versions.get(slot) ?? 0;
		let hadNoAnswer = false;
		while (!this.abandoned) {
			const res = await this.opts.store.swap(slotKey(this.opts.shard, entry.n), bytes, expected);
			if (!res.ok) {
				hadNoAnswer = true;
				await clocks.sleep(this.opts.clock, retryMs);
				continue;
			}
			if (res.value.swapped) {
				this.versions.set(slot, res.value.version);
				return 'committed';
			}
			const current = res.value.current;
			const mine = current !== undefined && decodeEntry(current.value).nonce === entry.nonce;
			if (hadNoAnswer)
				this.opts.events.emit('shard.readback', { shard: this.opts.shard, n: entry.n, mine: String(mine) });
			if (!mine) return 'superseded';
			this.versions.set(slot, current.version);
			return 'committed';
		}
		return 'abandoned';
	}

	/**
	 * Replays the entries that follow the snapshot. Returns false if entries are missing, which happens if the store has not
	 * read the prefix at a single revision.
	 */
	private replay(slots: platform.Stored[]): boolean {
		const entries: types.LogEntry[] = [];
		for (const item of slots) {
			const entry = decodeEntry(item.value);
			this.versions.set(entry.n % ringSlots, item.version);
			if (entry.n > this.snapshotN) entries.push(entry);
		}
		entries.sort((a, b) => a.n - b.n);
		if (entries.some((entry, index) => entry.n !== this.snapshotN + index + 1)) return false;
		for (const entry of entries) states.applyEntry(this.state, entry);
		return true;
	}
}
