/** The owner record in the store, which goes away with the owner's lease. */
import * as ledger from '../ledger/index.js';
import * as results from '../result.js';
import * as settings from './settings.js';
import type * as platform from '../platform/types.js';

/** The owner record as it was read. */
export interface OwnerRead {
	/** Undefined: there is no owner record. */
	owner: ledger.OwnerRecord | undefined;
	/** The store's revision at which it was read: a watch from this revision misses nothing. */
	revision: number;
}

/**
 * Reads the owner record, and the revision to watch from. The record's own version does not serve for that: an owner
 * outlasts the store's history, and a watch from an older revision brings nothing, so that the loss of the record would be
 * noticed half a second late.
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

/**
 * Waits for a change of the owner record for as long as for an answer to a ping; true as soon as it has changed since
 * `revision`.
 */
export async function changes(store: platform.RecordStore, revision: number): Promise<boolean> {
	const seen = await store.follow(ledger.keys.ownerKey, revision, settings.pingTimeoutMs);
	return seen.ok && seen.value.type === 'changes' && seen.value.changes.length > 0;
}
