/**
 * The store as one box sees it where each box has a way of its own to everyone else: addresses that are kept in the store
 * are written as they are, and read as the box reaches them.
 */
import * as results from '../../src/core/result.js';
import type * as platform from '../../src/core/platform/types.js';

/** Addresses on loopback with ports of the kernel's choice; one as long as another, so that values keep their lengths. */
const addressPattern = /127\.0\.0\.1:\d{5}/g;

/** What a box calls whom. */
export interface AddressMap {
	/** How the box reaches who listens at `address`. */
	seen: (address: string) => string;
	/** Where the one listens that the box reaches at `seen`; an address that is not known yet is the box's own. */
	real: (boxAddress: string) => Promise<string>;
}

/** A store whose values hold the box's own addresses. */
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

/** A write with the real addresses in it. */
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
