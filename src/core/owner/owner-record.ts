/** The owner's name as the store holds it: it goes away with the owner's lease. */
import * as ledger from '../ledger/index.js';
import * as results from '../result.js';
import * as settings from './settings.js';
import type * as platform from '../platform/types.js';

/** The name as it was read. */
export interface OwnerRead {
	/** Undefined: nobody is named. */
	owner: ledger.OwnerRecord | undefined;
	/** The store's revision at which it was read: watching from here on misses nothing. */
	revision: number;
}

/**
 * Reads who is named, and the revision to watch from. Not the version of the name: an owner outlasts the store's history,
 * and a watch from before it tells nothing, so that the loss of the name was noticed half a second late.
 */
export async function readOwner(
	store: platform.RecordStore,
): Promise<results.Result<OwnerRead, platform.StoreFailure>> {
	const found = await store.list(ledger.keys.ownerKey);
	if (!found.ok) return found;
	const { items, revision } = found.value;
	const [item] = items;
	return results.ok({ owner: item && ledger.decodeOwner(item.value), revision });
}

/** Waits as long as for the owner's answer; true as soon as the name has changed since `revision`. */
export async function changes(store: platform.RecordStore, revision: number): Promise<boolean> {
	const seen = await store.follow(ledger.keys.ownerKey, revision, settings.pingTimeoutMs);
	return seen.ok && seen.value.type === 'changes' && seen.value.changes.length > 0;
}
