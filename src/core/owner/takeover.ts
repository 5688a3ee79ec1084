/** Takes ownership in the store and reads what an owner needs: after an election, or with an owner's permission. */
import * as clocks from '../clock.js';
import * as ledger from '../ledger/index.js';
import * as results from '../result.js';
import * as settings from './settings.js';
import type * as platform from '../platform/types.js';
import type * as preparations from './preparation.js';

/** A takeover that succeeded. */
export interface Takeover {
	owned: ledger.OwnerLedger;
	contents: ledger.LedgerContents;
}

/** What a takeover works with. */
export interface TakeoverContext {
	store: platform.RecordStore;
	clock: clocks.Clock;
	owner: ledger.NewOwner;
	/** Whether to read the ledger again after a read that failed. */
	mayRetryRead: () => boolean;
}

/**
 * Writes this box into the owner record and reads the ledger; fails if another box was first. `replacedGeneration`:
 * generation of an owner whose process is gone though its record is still there.
 */
export async function acquireAndLoad(
	context: TakeoverContext,
	replacedGeneration: number | undefined,
): Promise<results.Result<Takeover, string>> {
	const { store, clock, owner } = context;
	const owned = await ledger.OwnerLedger.acquire(store, () => clock.now(), owner, replacedGeneration);
	if (!owned.ok) return owned;
	return load(context, owned.value, () => owned.value.load());
}

/** Replaces the owner that permits it and completes the prepared copy; fails if another box was first. */
export async function replaceAndLoad(
	context: TakeoverContext,
	prepared: preparations.PreparedTakeover,
): Promise<results.Result<Takeover, string>> {
	const { store, clock, owner } = context;
	const startedAt = clock.now();
	const swap = (): ReturnType<typeof ledger.OwnerLedger.replace> =>
		ledger.OwnerLedger.replace(store, () => clock.now(), owner, prepared.epoch);
	let owned = await swap();
	while (!owned.ok && !owned.err.isFinal && clock.now() - startedAt < settings.handoverConfirmMs) {
		await clocks.sleep(clock, settings.successorRetryMs);
		owned = await swap();
	}
	if (!owned.ok) return results.fail(owned.err.reason);
	return load(context, owned.value, () => owned.value.loadFrom(prepared.copy));
}

/**
 * Reads the ledger, again if the store gave no answer: otherwise another box would have to take over first and then read the
 * same. Then it reads all records, as the changes since a copy only grow, and may never arrive in time over a slow link.
 */
async function load(
	{ clock, mayRetryRead }: TakeoverContext,
	owned: ledger.OwnerLedger,
	firstRead: () => Promise<results.Result<ledger.LedgerContents, string>>,
): Promise<results.Result<Takeover, string>> {
	let contents = await firstRead();
	while (!contents.ok && mayRetryRead()) {
		await clocks.sleep(clock, settings.findRetryMs);
		const outcome = await owned.confirmEpoch();
		if (outcome === 'superseded') return results.fail('the store names a newer generation');
		if (outcome === 'committed') contents = await owned.load();
	}
	return contents.ok ? results.ok({ owned, contents: contents.value }) : contents;
}
