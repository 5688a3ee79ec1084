/**
 * The owner's side of the ledger. Every write depends on the version of the epoch record, so the writes of a replaced owner
 * fail, including those that arrive late. It also depends on the version of each key it replaces, so an older write of the
 * same owner can't overwrite a newer one.
 */
import * as keys from './keys.js';
import * as records from './records.js';
import * as results from '../result.js';
import * as wire from '../wire/frame.js';
import type * as jobs from '../jobs/types.js';
import type * as platform from '../platform/types.js';
import type * as recordCopies from './record-copy.js';
import type * as types from './types.js';

/**
 * Progress records in one write: the store takes 32 rows in a transaction; each record is two rows, and the epoch is one.
 */
export const maxProgressPerWrite = 15;

/**
 * How long one read of the changes since a copy waits, in milliseconds. The takeover is a change itself, so it is answered
 * at once unless the store's answer is out of date.
 */
const changesWaitMs = 500;

/**
 * Outcome of a write of the owner. `conflict`: a key had another version than expected. `failed`: it is not known whether
 * the write took effect, or it did not. `refused`: the store rejects the content, also on a retry. `superseded`: another box
 * has taken over.
 */
export type WriteOutcome = 'committed' | 'conflict' | 'failed' | 'refused' | 'superseded';

/** Everything that an owner reads at its takeover. */
export interface LedgerContents {
	jobs: Map<string, types.StoredJob>;
	/** Jobs that can't be read; they are not in `jobs`. */
	unreadable: types.UnreadableJob[];
	roster: types.RosterEntry[];
	/** Models of earlier owners as they were stored; undefined: there are none, or they can't be read. */
	learnedModels: unknown;
	/** Every owner of this or a later generation has stored the workers of its long-running tasks. */
	workersStoredSince: number;
	/**
	 * The last heartbeat of earlier owners; undefined: there is none, or an owner of an older version, which stores none,
	 * followed.
	 */
	lastHeartbeat: types.HeartbeatRecord | undefined;
	/** Store revision from which to follow the requests. */
	revision: number;
}

/** The owner as it is advertised to its peers. */
export interface AdvertisedOwner {
	box: string;
	/** Address at which its peers connect, `host:port`. */
	peer: string;
	/** Lease that the owner's key is bound to. */
	lease: string;
}

/** The box that takes over. */
export interface NewOwner extends AdvertisedOwner {
	/** The strongest processor (in cores) among all boxes that it knows of. */
	strongest: number;
}

/** Why a takeover failed; `isFinal`: another try would fail too. */
export interface TakeoverFailure {
	isFinal: boolean;
	reason: string;
}

/** The stored records that a new owner needs. */
interface ReadRecords {
	jobItems: platform.Stored[];
	roster: platform.Stored | undefined;
	learned: platform.Stored | undefined;
	heartbeat: platform.Stored | undefined;
	/** Store revision from which to follow the requests. */
	revision: number;
}

/**
 * Outcome of storing a heartbeat. `stored`: the heartbeat that the store holds, also after a conflict; undefined: it is not
 * known.
 */
export interface HeartbeatOutcome {
	outcome: WriteOutcome;
	stored: types.HeartbeatRecord | undefined;
}

/** Outcome of an owner's write, and what the store holds after it. */
interface CommitResult {
	outcome: WriteOutcome;
	/** Version of what was written; 0: nothing was written. */
	version: number;
	/** After a conflict: the expected keys as they are stored. */
	current: platform.Stored[];
}

/** The ledger under one epoch. */
export class OwnerLedger {
	/** Clock time at which the latest call was sent that showed this epoch to be in force. */
	epochConfirmedAt: number;
	/** Clock time by which the takeover had taken effect. */
	readonly takenOverAt: number;
	/** Versions of the records that this owner writes, by key, as it last wrote or read them. */
	private readonly recordVersions = new Map<string, number>();

	private constructor(
		private readonly store: platform.RecordStore,
		private readonly now: () => number,
		private readonly epochVersion: number,
		readonly generation: number,
		private readonly workersStoredSince: number,
		private readonly heartbeatsSince: number,
		sentAt: number,
	) {
		this.epochConfirmedAt = sentAt;
		this.takenOverAt = now();
	}

	/** Version of the stored roster as this owner last wrote or read it. */
	get rosterVersion(): number {
		return this.recordVersions.get(keys.rosterKey) ?? 0;
	}

	/**
	 * Takes over: increments the epoch and names the new owner. Fails if another box was first, or if an owner other than
	 * that of generation `replaces` is named.
	 */
	static async acquire(
		store: platform.RecordStore,
		now: () => number,
		owner: NewOwner,
		replaces: number | undefined,
	): Promise<results.Result<OwnerLedger, string>> {
		const previous = await readEpochAndOwner(store);
		if (!previous.ok) return previous;
		const { epoch, holder } = previous.value;
		const currentOwner = holder && records.decodeOwner(holder.value);
		if (currentOwner !== undefined && currentOwner.generation !== replaces)
			return results.fail(`generation ${currentOwner.generation} took over first`);
		const expected = [
			{ key: keys.epochKey, version: epoch?.version ?? 0 },
			{ key: keys.ownerKey, version: holder?.version ?? 0 },
		];
		const taken = await OwnerLedger.increment(store, now, owner, epoch, { expected, isRepeated: false });
		return taken.ok ? taken : results.fail(taken.err.reason);
	}

	/**
	 * Takes over from the owner that wrote this epoch record and allowed it, whether or not its owner record is still there.
	 * Fails if another box was first. A repeated call finds out whether an unanswered earlier one took effect.
	 */
	static async replace(
		store: platform.RecordStore,
		now: () => number,
		owner: NewOwner,
		epoch: platform.Stored,
	): Promise<results.Result<OwnerLedger, TakeoverFailure>> {
		const { version } = epoch;
		const expected = [{ key: keys.epochKey, version }];
		return OwnerLedger.increment(store, now, owner, epoch, { expected, isRepeated: true });
	}

	/** `isRepeated`: an earlier try of the same takeover may have taken effect. */
	private static async increment(
		store: platform.RecordStore,
		now: () => number,
		owner: NewOwner,
		epoch: platform.Stored | undefined,
		{ expected, isRepeated }: { expected: platform.Transaction['expected']; isRepeated: boolean },
	): Promise<results.Result<OwnerLedger, TakeoverFailure>> {
		const lastEpoch = epoch && records.decodeEpoch(epoch.value);
		const generation = (lastEpoch?.generation ?? 0) + 1;
		const workersStoredSince = lastEpoch?.workersStoredSince ?? generation;
		const heartbeatsSince = lastEpoch?.heartbeatsSince ?? generation;
		const { box, lease, strongest } = owner;
		const sentAt = now();
		const epochValue = wire.encodeValue({
			generation,
			box,
			strongest,
			workersStoredSince,
			heartbeatsSince,
		});
		const res = await store.commit({
			expected,
			writes: [
				{ key: keys.epochKey, value: epochValue },
				{ key: keys.ownerKey, value: encodeOwner(generation, owner), lease },
			],
			removes: [],
		});
		if (!res.ok) return results.fail({ isFinal: false, reason: res.err.reason });
		const outcome = res.value;
		const version = isRepeated ? versionOfTakeover(outcome, epochValue) : versionOfCommit(outcome);
		if (version === undefined)
			return results.fail({ isFinal: true, reason: `another box took over first (${outcome.type})` });
		return results.ok(
			new OwnerLedger(store, now, version, generation, workersStoredSince, heartbeatsSince, sentAt),
		);
	}

	/** Reads everything. Writes of a predecessor fail from the takeover on. */
	async load(): Promise<results.Result<LedgerContents, string>> {
		const [list, roster, learnt, heartbeat] = await Promise.all([
			this.store.list(keys.jobsPrefix),
			this.store.get(keys.rosterKey),
			this.store.get(keys.learnedModelsKey),
			this.store.get(keys.heartbeatKey),
		]);
		if (!list.ok) return results.fail(list.err.reason);
		if (!roster.ok) return results.fail(roster.err.reason);
		if (!heartbeat.ok) return results.fail(heartbeat.err.reason);
		return results.ok(
			this.adopt({
				jobItems: list.value.items,
				roster: roster.value,
				// Without the models the owner learns anew, so a failed read does not fail the takeover.
				learned: learnt.ok ? learnt.value : undefined,
				heartbeat: heartbeat.value,
				revision: list.value.revision,
			}),
		);
	}

	/**
	 * Takes the contents from a copy that was read before this takeover, after reading what has changed since. The error says
	 * why the changes could not be read; the call may be repeated.
	 */
	async loadFrom(copy: recordCopies.RecordCopy): Promise<results.Result<LedgerContents, string>> {
		// The copy is complete once it contains this takeover: no write of a predecessor succeeds after it.
		while ((copy.get(keys.epochKey)?.version ?? 0) < this.epochVersion) {
			const read = await copy.readChanges(this.store, changesWaitMs);
			if (!read.ok) return read;
			if (read.value === 'compacted') return this.load();
		}
		return results.ok(
			this.adopt({
				jobItems: copy.list(keys.jobsPrefix),
				roster: copy.get(keys.rosterKey),
				learned: copy.get(keys.learnedModelsKey),
				heartbeat: copy.get(keys.heartbeatKey),
				revision: copy.revision,
			}),
		);
	}

	/** Decodes the contents and notes the versions on which this owner's writes depend. */
	private adopt(read: ReadRecords): LedgerContents {
		this.recordVersions.set(keys.rosterKey, read.roster?.version ?? 0);
		this.recordVersions.set(keys.heartbeatKey, read.heartbeat?.version ?? 0);
		const entries = read.roster && records.decodeRoster(read.roster.value);
		const heartbeat = read.heartbeat && records.decodeHeartbeat(read.heartbeat.value);
		const isLatest = heartbeat !== undefined && heartbeat.generation >= this.heartbeatsSince;
		const { jobsById, unreadable } = collectJobs(read.jobItems);
		for (const [id, job] of jobsById) this.recordVersions.set(keys.progressKey(id), job.progressVersion);
		return {
			jobs: jobsById,
			unreadable,
			roster: entries ?? [],
			learnedModels: read.learned && records.decodeLearnedModels(read.learned.value),
			workersStoredSince: this.workersStoredSince,
			lastHeartbeat: isLatest ? heartbeat : undefined,
			revision: read.revision,
		};
	}

	/** Stores the progress of up to `maxProgressPerWrite` jobs in one write. */
	async saveProgress(batch: Map<string, jobs.ProgressRecord>): Promise<WriteOutcome> {
		const writes = [...batch].map(([id, progress]) => ({
			key: keys.progressKey(id),
			value: wire.encodeValue(progress),
		}));
		return this.replace(writes);
	}

	/** Stores the workers that may hold runs. Must be done before the first start on a new worker. */
	async saveRoster(roster: types.RosterEntry[]): Promise<WriteOutcome> {
		return this.replace([{ key: keys.rosterKey, value: wire.encodeValue(roster) }]);
	}

	/**
	 * Replaces the stored heartbeat. An earlier one whose write is carried out late can't replace it. Must be called only after
	 * the contents were read, as this overwrites the heartbeat of an earlier owner.
	 */
	async storeHeartbeat(heartbeat: types.HeartbeatRecord): Promise<HeartbeatOutcome> {
		const res = await this.replaceRecords([{ key: keys.heartbeatKey, value: wire.encodeValue(heartbeat) }]);
		if (res.outcome === 'committed') return { outcome: 'committed', stored: heartbeat };
		const current =
			res.outcome === 'failed'
				? await this.readHeartbeat()
				: res.current.find((item) => item.key === keys.heartbeatKey);
		return { outcome: res.outcome, stored: current && records.decodeHeartbeat(current.value) };
	}

	/** Reads the stored heartbeat, which may be one whose write was not answered; undefined: it can't be read. */
	private async readHeartbeat(): Promise<platform.Stored | undefined> {
		const read = await this.store.get(keys.heartbeatKey);
		const current = read.ok ? read.value : undefined;
		if (current !== undefined) this.recordVersions.set(keys.heartbeatKey, current.version);
		return current;
	}

	/**
	 * Writes a record for others to read, if this epoch is in force. An earlier write of this owner that had no answer, and is
	 * carried out late, can't overwrite it.
	 */
	async publish(key: string, value: Uint8Array): Promise<WriteOutcome> {
		if (!this.recordVersions.has(key)) {
			const stored = await this.store.get(key);
			if (!stored.ok) return 'failed';
			this.recordVersions.set(key, stored.value?.version ?? 0);
		}
		return this.replace([{ key, value }]);
	}

	/** Writes records if they still have the versions that this owner last wrote or read. */
	private async replace(writes: { key: string; value: Uint8Array }[]): Promise<WriteOutcome> {
		return (await this.replaceRecords(writes)).outcome;
	}

	/** Like `replace`; also returns what is stored. */
	private async replaceRecords(writes: { key: string; value: Uint8Array }[]): Promise<CommitResult> {
		const expected = writes.map(({ key }) => ({ key, version: this.recordVersions.get(key) ?? 0 }));
		const res = await this.commit(expected, writes, []);
		for (const { key } of writes) {
			if (res.outcome === 'committed') this.recordVersions.set(key, res.version);
			// An earlier write of this owner that had no answer took effect after all: go on from its version.
			if (res.outcome === 'conflict') this.recordVersions.set(key, versionIn(res.current, key));
		}
		return res;
	}

	/** Deletes all records of jobs that ended long ago. */
	async deleteJobs(ids: string[]): Promise<WriteOutcome> {
		const removes = ids.flatMap((id) => [keys.jobKey(id), keys.cancelKey(id), keys.progressKey(id)]);
		const res = await this.commit([], [], removes);
		if (res.outcome === 'committed') for (const id of ids) this.recordVersions.delete(keys.progressKey(id));
		return res.outcome;
	}

	/** Names this box as the owner again after its lease lapsed while the store was unreachable. */
	async republishOwner(owner: AdvertisedOwner): Promise<WriteOutcome> {
		const value = encodeOwner(this.generation, owner);
		const writes = [{ key: keys.ownerKey, value, lease: owner.lease }];
		const res = await this.commit([{ key: keys.ownerKey, version: 0 }], writes, []);
		return res.outcome;
	}

	/** Checks whether this epoch is still in force. */
	async confirmEpoch(): Promise<WriteOutcome> {
		const sentAt = this.now();
		const res = await this.store.get(keys.epochKey);
		if (!res.ok) return 'failed';
		if (res.value?.version !== this.epochVersion) return 'superseded';
		this.epochConfirmedAt = sentAt;
		return 'committed';
	}

	private async commit(
		expected: platform.Transaction['expected'],
		writes: platform.Transaction['writes'],
		removes: string[],
	): Promise<CommitResult> {
		const fence = { key: keys.epochKey, version: this.epochVersion };
		const sentAt = this.now();
		const res = await this.store.commit({ expected: [fence, ...expected], writes, removes });
		const nothingWritten = { version: 0, current: [] };
		if (!res.ok) return { outcome: res.err.refused === true ? 'refused' : 'failed', ...nothingWritten };
		if (res.value.type === 'lease-gone') return { outcome: 'failed', ...nothingWritten };
		if (res.value.type === 'committed') {
			this.epochConfirmedAt = sentAt;
			return { outcome: 'committed', version: res.value.version, current: [] };
		}
		const epoch = res.value.current.find((item) => item.key === keys.epochKey);
		if (epoch?.version !== this.epochVersion) return { outcome: 'superseded', ...nothingWritten };
		return { outcome: 'conflict', version: 0, current: res.value.current };
	}
}

/**
 * Version of the epoch record that a takeover wrote; undefined: another box was first. The record is found as written if an
 * earlier try took effect without an answer.
 */
function versionOfTakeover(outcome: platform.CommitOutcome, epochValue: Uint8Array): number | undefined {
	if (outcome.type !== 'conflict') return versionOfCommit(outcome);
	const epoch = outcome.current.find((item) => item.key === keys.epochKey);
	return epoch && Buffer.compare(epoch.value, epochValue) === 0 ? epoch.version : undefined;
}

function versionOfCommit(outcome: platform.CommitOutcome): number | undefined {
	return outcome.type === 'committed' ? outcome.version : undefined;
}

/** Reads the epoch record and the owner's record. */
async function readEpochAndOwner(
	store: platform.RecordStore,
): Promise<results.Result<Record<'epoch' | 'holder', platform.Stored | undefined>, string>> {
	const [epoch, holder] = await Promise.all([store.get(keys.epochKey), store.get(keys.ownerKey)]);
	if (!epoch.ok) return results.fail(epoch.err.reason);
	if (!holder.ok) return results.fail(holder.err.reason);
	return results.ok({ epoch: epoch.value, holder: holder.value });
}

function encodeOwner(generation: number, owner: AdvertisedOwner): Uint8Array {
	return wire.encodeValue({ generation, box: owner.box, peer: owner.peer });
}

/** Version of a key among these items; 0: it is absent. */
function versionIn(items: platform.Stored[], key: string): number {
	return items.find((item) => item.key === key)?.version ?? 0;
}

/** Groups records by job. Progress and cancellations without a job record are skipped. */
function collectJobs(items: platform.Stored[]): {
	jobsById: Map<string, types.StoredJob>;
	unreadable: types.UnreadableJob[];
} {
	const found = new Map<string, types.StoredJob>();
	const unreadable: types.UnreadableJob[] = [];
	const skip = (id: string, reason: string): void => {
		found.delete(id);
		unreadable.push({ id, reason });
	};
	const parsed = items.flatMap((item) => {
		const key = keys.parseKey(item.key);
		return key === undefined ? [] : [{ item, ...key }];
	});
	for (const { item, kind, id } of parsed) {
		if (kind !== 'job') continue;
		const record = records.decodeJob(item.value);
		if (record.ok) found.set(id, { record: record.value, progressVersion: 0, cancelled: false });
		else skip(id, record.err);
	}
	for (const { item, kind, id } of parsed) {
		const job = found.get(id);
		if (job === undefined || kind === 'job') continue;
		if (kind === 'cancel') job.cancelled = true;
		else {
			const progress = records.decodeProgress(item.value);
			if (!progress.ok) {
				skip(id, progress.err);
				continue;
			}
			job.progress = progress.value;
			job.progressVersion = item.version;
		}
	}
	return { jobsById: found, unreadable };
}
