/**
 * A store that shows each box its own addresses: an address that one box writes is read by another as the one at which that
 * box reaches the same worker.
 */
import test from 'ava';
import * as addressViews from '../stand-ins/users-platform/address-view.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as virtual from '../stand-ins/fleet/virtual-clock.js';
import type * as platform from '../src/core/platform/types.js';

const worker = '127.0.0.1:40001';

/** A box that reaches the worker at `ownAddress`, and records in `unknown` the addresses that it does not know. */
function createAddressBook(ownAddress: string, unknown: string[]): addressViews.AddressMap {
	return {
		seen: (address) => (address === worker ? ownAddress : address),
		real: (seen) => {
			if (seen === ownAddress) return Promise.resolve(worker);
			unknown.push(seen);
			return Promise.resolve(seen);
		},
	};
}

function textOf(item: platform.Stored | undefined): string {
	return Buffer.from(item?.value ?? []).toString('utf8');
}

test('addresses are stored as they are, and read as each box reaches them', async (t) => {
	const clock = virtual.VirtualClock.create();
	const store = memory.MemoryStore.create(clock);
	const unknown: string[] = [];
	const firstView = addressViews.withTranslatedAddresses(
		store.view(),
		createAddressBook('127.0.0.1:50001', unknown),
	);
	const secondView = addressViews.withTranslatedAddresses(
		store.view(),
		createAddressBook('127.0.0.1:50002', unknown),
	);
	const value = Buffer.from('é 127.0.0.1:50001 and 127.0.0.1:41111');
	const write = { key: 'k', value };
	const awaitAfterDelay = async <T>(call: Promise<T>): Promise<T> => {
		await clock.advance(100);
		return call;
	};
	await awaitAfterDelay(firstView.commit({ expected: [], writes: [write], removes: [] }));
	t.deepEqual(unknown, ['127.0.0.1:41111']);
	const rawItem = await awaitAfterDelay(store.view().get('k'));
	t.is(rawItem.ok ? textOf(rawItem.value) : '', 'é 127.0.0.1:40001 and 127.0.0.1:41111');
	const got = await awaitAfterDelay(secondView.get('k'));
	t.is(got.ok ? textOf(got.value) : '', 'é 127.0.0.1:50002 and 127.0.0.1:41111');
	const listed = await awaitAfterDelay(firstView.list(''));
	t.deepEqual(listed.ok ? listed.value.items.map(textOf) : [], [value.toString('utf8')]);
	const refused = await awaitAfterDelay(
		secondView.commit({ expected: [{ key: 'k', version: 0 }], writes: [], removes: [] }),
	);
	const current = refused.ok && refused.value.type === 'conflict' ? refused.value.current : [];
	t.deepEqual(current.map(textOf), ['é 127.0.0.1:50002 and 127.0.0.1:41111']);
	const followed = await awaitAfterDelay(secondView.follow('', 0, 0));
	const changes = followed.ok && followed.value.type === 'changes' ? followed.value.changes : [];
	t.deepEqual(
		changes.map((one) => Buffer.from(one.value ?? []).toString('utf8')),
		['é 127.0.0.1:50002 and 127.0.0.1:41111'],
	);
});
