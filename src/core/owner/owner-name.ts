/** The owner's name as the store holds it: it goes away with the owner's lease. */
import * as ledger from '../ledger/index.js';
import * as results from '../result.js';
import * as settings from './settings.js';
import type * as platform from '../platform/types.js';

/** The name as it was read. */
export interface OwnerName {
	/** Undefined: nobody is named. */
	owner: ledger.OwnerRecord | undefined;
	/** Version of the name; 0: nobody is named. */
	version: number;
}

/** Reads who is named. */
export async function read(
	store: platform.RecordStore,
): Promise<results.Result<OwnerName, platform.StoreFailure>> {
	const found = await store.get(ledger.keys.ownerKey);
	if (!found.ok) return found;
	const owner = found.value && ledger.decodeOwner(found.value.value);
	return results.ok({ owner, version: found.value?.version ?? 0 });
}

/** Waits as long as for the owner's answer; true as soon as the name has changed since `version`. */
export async function changes(store: platform.RecordStore, version: number): Promise<boolean> {
	const seen = await store.follow(ledger.keys.ownerKey, version, settings.pingTimeoutMs);
	return seen.ok && seen.value.type === 'changes' && seen.value.changes.length > 0;
}
