/**
 * A shard's log in the platform's service: a ring of slots and one snapshot.
 *
 * Entry n lives in slot n mod ringSlots. It is written by compare-and-swap on the version that the slot had with
 * entry n - ringSlots (or absence), which only a process that has read the log up to there knows. Nothing is ever
 * deleted: with deleted entries a paused owner could create one of them anew and take it for a commit.
 * An entry is only overwritten after a snapshot that includes it.
 */
import * as crypto from 'node:crypto';
import * as clocks from '../clock.js';
import * as results from '../result.js';
import * as wire from '../wire/index.js';
import * as states from './state.js';
import type * as events from '../events/index.js';
import type * as platform from '../platform/index.js';
import type * as types from './types.js';

/** Slots of the ring. */
export const ringSlots = 64;

/** Entries between snapshots. */
export const entriesPerSnapshot = 32;

/** Wait before an unanswered append is sent again, in milliseconds. */
const retryMs = 250;

/** What became of an append. `superseded`: another owner's entry stands in the slot. */
export type AppendOutcome = 'committed' | 'superseded' | 'abandoned';

/** Key prefix of a shard. */
export function shardPrefix(shard: string): string {
	return `woodcross/shard/${shard}/`;
}

function slotKey(shard: string, n: number): string {
	return `${shardPrefix(shard)}log/${String(n % ringSlots).padStart(3, '0')}`;
}

function snapshotKey(shard: string): string {
	return `${shardPrefix(shard)}snapshot`;
}

/** State as kept in a snapshot. */
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

/** State from a snapshot. */
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
	/** The process that writes: box and boot. */
	owner: string;
	store: platform.Store;
	clock: clocks.Clock;
	events: events.EventLog;
	/** Bytes written to the platform, for the metrics. */
	onWrite?: (bytes: number) => void;
}

/** One process's hold on a shard's log. */
export class ShardLog {
	/** Clock time at which the newest committed entry was first sent; the renewal horizon counts from here. */
	lastCommitSentAt = -Infinity;
	private readonly versions = new Map<number, number>();
	private snapshotVersion = 0;
	private snapshotN = 0;
	private abandoned = false;

	private constructor(
		private readonly opts: LogOptions,
		readonly state: types.ShardState,
	) {}

	/** Reads a shard's log whole: one call to the platform. */
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
			: results.fail({ effect: 'none', reason: 'the log was read with a gap' });
	}

	/** Stops the retries of an append under way; its outcome then counts as unknown. */
	abandon(): void {
		this.abandoned = true;
	}

	/**
	 * Stores the next entry. Unanswered tries are repeated until the slot shows what became of them:
	 * the swap that fails brings back the slot's content, which tells our entry from another owner's.
	 * The changes are not applied to the state here: the owner already has.
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

	/** Whether a snapshot is due. */
	get isSnapshotDue(): boolean {
		return this.state.n - this.snapshotN >= entriesPerSnapshot;
	}

	/** Whether the ring has no slot left that the snapshot covers; no append may follow before a snapshot. */
	get isFull(): boolean {
		return this.state.n - this.snapshotN >= ringSlots;
	}

	/** Stores the state; the caller makes sure that it holds only committed entries. */
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

	/** A snapshot of ours whose answer was lost stands there: take over its version, and store again when next due. */
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

	/** False if entries are missing: the service did not read the prefix at one revision. */
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
