/** A copy of all records of the ledger, kept current by their changes, from which a successor takes over. */
import * as keys from './keys.js';
import * as results from '../result.js';
import type * as platform from '../platform/types.js';

interface CopiedRecord {
	/** Undefined: the key was deleted. Kept, as an older change of the key may be read after the deletion. */
	value: Uint8Array | undefined;
	version: number;
}

/** The records as of one revision of the store. */
export class RecordCopy {
	private readonly records = new Map<string, CopiedRecord>();

	private constructor(
		items: platform.Stored[],
		/** The store's revision up to which all changes are applied. */
		public revision: number,
	) {
		this.apply(items, revision);
	}

	/** Reads all records; the error says why they could not be read. */
	static async read(store: platform.RecordStore): Promise<results.Result<RecordCopy, string>> {
		const list = await store.list(keys.rootPrefix);
		if (!list.ok) return results.fail(list.err.reason);
		return results.ok(new RecordCopy(list.value.items, list.value.revision));
	}

	/** Applies changes up to `revision`. Changes that are known already have no effect. */
	apply(changes: platform.StoreChange[], revision: number): void {
		for (const { key, value, version } of changes)
			if (version > (this.records.get(key)?.version ?? 0)) this.records.set(key, { value, version });
		this.revision = Math.max(this.revision, revision);
	}

	/** A record; undefined: it is absent. */
	get(key: string): platform.Stored | undefined {
		const found = this.records.get(key);
		return found?.value && { key, value: found.value, version: found.version };
	}

	/** All records with the prefix. */
	list(prefix: string): platform.Stored[] {
		const matching = [...this.records.keys()].filter((key) => key.startsWith(prefix));
		return matching.flatMap((key) => this.get(key) ?? []);
	}

	/**
	 * Waits up to `waitMs` for changes and applies them. The error says why they could not be read; `compacted`: the records
	 * have to be read again.
	 */
	async readChanges(
		store: platform.RecordStore,
		waitMs: number,
	): Promise<results.Result<'current' | 'compacted', string>> {
		const res = await store.follow(keys.rootPrefix, this.revision, waitMs);
		if (!res.ok) return results.fail(res.err.reason);
		if (res.value.type === 'compacted') return results.ok('compacted');
		this.apply(res.value.changes, res.value.revision);
		return results.ok('current');
	}
}
