/**
 * A view of the store for one box that reaches every other process at an address of its own. Values hold real addresses in
 * the store; the view translates them into the box's addresses on reads, and back on writes.
 */
import * as results from '../../src/core/result.js';
import type * as platform from '../../src/core/platform/types.js';

/** Addresses on loopback. Five-digit ports make all of them equally long, so that values keep their lengths. */
const addresses = /127\.0\.0\.1:\d{5}/g;

/** Translation between real addresses and those of one box. */
export interface AddressBook {
	/** Address at which the box reaches the process that listens at `address`. */
	seen: (address: string) => string;
	/** Real address behind one of the box's addresses. An address that is not known yet belongs to the box itself. */
	real: (seen: string) => Promise<string>;
}

/** A view of the store with the box's addresses in its values. */
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

/** The write with real addresses in its value. */
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
