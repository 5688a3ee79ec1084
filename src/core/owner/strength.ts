/** Compares boxes by the processor that they may use. */
import * as ledger from '../ledger/index.js';
import * as settings from './settings.js';
import type * as platform from '../platform/types.js';

/** Whether a box that may use `own` cores is clearly weaker than one that may use `other`. */
export function isWeaker(own: number, other: number): boolean {
	return own < other * settings.weakerFraction;
}

/**
 * The highest processor of all boxes, in cores, as the newest owner knew it when it took over; 0: not stored, or not read.
 */
export async function readHighestProcessor(store: platform.RecordStore): Promise<number> {
	const epoch = await store.get(ledger.keys.epochKey);
	if (!epoch.ok || epoch.value === undefined) return 0;
	return ledger.decodeEpoch(epoch.value.value).strongest ?? 0;
}
