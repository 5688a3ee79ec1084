/**
 * A view of the store for one box that reaches every other process at an address of its own. Values hold real addresses in
 * the store; the view translates them into the box's addresses on reads, and back on writes.
 */
import * as results from '../../src/core/result.js';
import type * as platform from '../../src/core/platform/types.js';

/** Addresses on loopback. Five-digit ports make all of them equally long, so that values keep their lengths. */
const addressPattern = /127\.0\.0\.1:\d{5}/g;

/** Translation between real addresses and those of one box. */
export interface AddressMap {
	/** Address at which the box reaches the process that listens at `address`. */
	seen: (address: string) => string;
	/** Real address behind one of the box's addresses. An address that is not known yet belongs to the box itself. */
	real: (boxAddress: string) => Promise<string>;
}

/** A view of the store with the box's addresses in its values. */
export function withTranslatedAddresses(
	store: platform.RecordStore,
	addressMap: AddressMap,
): platform.RecordStore {
	const translateValue = (value: Uint8Array): Uint8Array =>
		replaceAddresses(value, (address) => addressMap.seen(address));
	const translateItem = (item: platform.Stored): platform.Stored => ({
		...item,
		value: translateValue(item.value),
	});
	return {
		...store,
		get: async (key) => mapResult(await store.get(key), (item) => item && translateItem(item)),
		list: async (prefix) =>
			mapResult(await store.list(prefix), (listed) => ({
				...listed,
				items: listed.items.map(translateItem),
			})),
		commit: async (txn) => {
			const writes = await Promise.all(txn.writes.map((write) => restoreAddresses(write, addressMap)));
			return mapResult(await store.commit({ ...txn, writes }), (outcome) =>
				outcome.type === 'conflict' ? { ...outcome, current: outcome.current.map(translateItem) } : outcome,
			);
		},
		follow: async (prefix, after, waitMs) =>
			mapResult(await store.follow(prefix, after, waitMs), (outcome) => {
				if (outcome.type === 'compacted') return outcome;
				const changes = outcome.changes.map(({ value, ...change }) => ({
					...change,
					value: value && translateValue(value),
				}));
				return { ...outcome, changes };
			}),
	};
}

/** The write with real addresses in its value. */
async function restoreAddresses<T extends { value: Uint8Array }>(
	write: T,
	addressMap: AddressMap,
): Promise<T> {
	const found = new Set(toText(write.value).match(addressPattern));
	const realAddresses = new Map<string, string>();
	for (const address of found) realAddresses.set(address, await addressMap.real(address));
	return {
		...write,
		value: replaceAddresses(write.value, (address) => realAddresses.get(address) ?? address),
	};
}

function replaceAddresses(value: Uint8Array, replacementOf: (address: string) => string): Uint8Array {
	return Buffer.from(toText(value).replace(addressPattern, replacementOf), 'latin1');
}

function toText(value: Uint8Array): string {
	return Buffer.from(value).toString('latin1');
}

function mapResult<T, E, U>(res: results.Result<T, E>, fn: (value: T) => U): results.Result<U, E> {
	return res.ok ? results.ok(fn(res.value)) : res;
}
