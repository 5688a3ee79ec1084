/**
 * The store as one box sees it where each box has a way of its own to everyone else: addresses that are kept in the store
 * are written as they are, and read as the box reaches them.
 */
import * as results from '../../src/core/result.js';
import type * as platform from '../../src/core/platform/types.js';

/** Addresses on loopback with ports of the kernel's choice; one as long as another, so that values keep their lengths. */
const addresses = /127\.0\.0\.1:\d{5}/g;

/** What a box calls whom. */
export interface AddressBook {
	/** How the box reaches who listens at `address`. */
	seen: (address: string) => string;
	/** Where the one listens that the box reaches at `seen`; an address that is not known yet is the box's own. */
	real: (seen: string) => Promise<string>;
}

/** A store whose values hold the box's own addresses. */
export function withAddresses(store: platform.RecordStore, book: AddressBook): platform.RecordStore {
	const seen = (value: Uint8Array): Uint8Array => replaceAll(value, (address) => book.seen(address));
	const show = (item: platform.Stored): platform.Stored => ({ ...item, value: seen(item.value) });
	return {
		...store,
		get: async (key) => mapResult(await store.get(key), (item) => item && show(item)),
		list: async (prefix) =>
			mapResult(await store.list(prefix), (listed) => ({ ...listed, items: listed.items.map(show) })),
		commit: async (txn) => {
			const writes = await Promise.all(txn.writes.map((write) => unshow(write, book)));
			return mapResult(await store.commit({ ...txn, writes }), (outcome) =>
				outcome.type === 'conflict' ? { ...outcome, current: outcome.current.map(show) } : outcome,
			);
		},
		follow: async (prefix, after, waitMs) =>
			mapResult(await store.follow(prefix, after, waitMs), (outcome) => {
				if (outcome.type === 'compacted') return outcome;
				const changes = outcome.changes.map(({ value, ...change }) => ({
					...change,
					value: value && seen(value),
				}));
				return { ...outcome, changes };
			}),
	};
}

/** A write with the real addresses in it. */
async function unshow<T extends { value: Uint8Array }>(write: T, book: AddressBook): Promise<T> {
	const found = new Set(toText(write.value).match(addresses));
	const real = new Map<string, string>();
	for (const address of found) real.set(address, await book.real(address));
	return { ...write, value: replaceAll(write.value, (address) => real.get(address) ?? address) };
}

function replaceAll(value: Uint8Array, by: (address: string) => string): Uint8Array {
	return Buffer.from(toText(value).replace(addresses, by), 'latin1');
}

function toText(value: Uint8Array): string {
	return Buffer.from(value).toString('latin1');
}

function mapResult<T, E, U>(res: results.Result<T, E>, fn: (value: T) => U): results.Result<U, E> {
	return res.ok ? results.ok(fn(res.value)) : res;
}
