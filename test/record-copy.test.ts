/** A successor's takeover from a copy of the records that it read before, in memory and on a virtual clock. */
import test from 'ava';
import * as dispatching from './fixtures/dispatching.js';
import * as ledger from '../src/core/ledger/index.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import type * as jobs from '../src/core/jobs/index.js';

const progress: jobs.ProgressRecord = {
	state: 'running',
	finished: {},
	failures: {},
	checkpoints: {},
	endedAt: 0,
};

/** A store whose first owner has stored two jobs, and a copy from before it stored and deleted more. */
async function setUp(): Promise<{
	resolve: <T>(call: Promise<T>) => Promise<T>;
	store: memory.MemoryStore;
	first: ledger.OwnerLedger;
	epoch: { key: string; value: Uint8Array; version: number };
	copy: ledger.RecordCopy;
	newOwner: ledger.NewOwner;
	now: () => number;
}> {
	const clock = time.VirtualClock.create();
	const store = memory.MemoryStore.create(clock);
	const view = store.view();
	const now = (): number => clock.now();
	const resolve = async <T>(call: Promise<T>): Promise<T> => {
		await clock.advance(3_000);
		return call;
	};
	const lease = await resolve(view.grantLease(600_000));
	const leaseOf = lease.ok ? lease.value : '';
	const owner = { box: 'a', peer: 'a:1', lease: leaseOf, strongest: 1 };
	const first = await resolve(ledger.OwnerLedger.acquire(view, now, owner, undefined));
	if (!first.ok) throw new Error(first.err);
	for (const id of ['kept', 'deleted'])
		await resolve(ledger.accept(view, dispatching.job(id, [dispatching.step()])));
	const copy = await resolve(ledger.RecordCopy.read(view));
	if (!copy.ok) throw new Error(copy.err);
	const epoch = copy.value.get(ledger.keys.epochKey);
	if (epoch === undefined) throw new Error('no epoch record');
	await resolve(first.value.saveProgress(new Map([['kept', progress]])));
	await resolve(first.value.saveRoster([{ id: 'w1', address: 'w1:1' }]));
	await resolve(first.value.deleteJobs(['deleted']));
	await resolve(ledger.accept(view, dispatching.job('new', [dispatching.step()])));
	const newOwner = { ...owner, box: 'b', peer: 'b:1' };
	return { resolve, store, first: first.value, epoch, copy: copy.value, newOwner, now };
}

// Guards against a successor that starts finished tasks again, as its copy is older than their stored ends.
for (const isHistoryKept of [true, false])
	test(`a takeover from a copy has all that was stored since, with the history ${isHistoryKept ? 'kept' : 'dropped'}`, async (t) => {
		const { resolve, store, epoch, copy, newOwner, now } = await setUp();
		const owned = await resolve(ledger.OwnerLedger.replace(store.view(), now, newOwner, epoch));
		if (!owned.ok) throw new Error(owned.err.reason);
		if (!isHistoryKept) store.forget();
		const fromCopy = await resolve(owned.value.loadFrom(copy));
		const version = owned.value.rosterVersion;
		const fromStore = await resolve(owned.value.load());
		t.deepEqual(fromCopy, fromStore);
		t.is(owned.value.rosterVersion, version);
		t.deepEqual(fromCopy.ok && [...fromCopy.value.jobs.keys()], ['kept', 'new']);
		t.is(await resolve(owned.value.saveProgress(new Map([['kept', progress]]))), 'committed');
	});

test('a replaced owner writes nothing, and the same generation is replaced only once', async (t) => {
	const { resolve, store, first, epoch, newOwner, now } = await setUp();
	await resolve(ledger.OwnerLedger.replace(store.view(), now, newOwner, epoch));
	t.is(await resolve(first.saveProgress(new Map([['kept', progress]]))), 'superseded');
	const other = { ...newOwner, box: 'c', peer: 'c:1' };
	const second = await resolve(ledger.OwnerLedger.replace(store.view(), now, other, epoch));
	t.true(!second.ok && second.err.isFinal);
});

// Guards against a gap until the lease ends: the successor gave up a takeover that had taken effect.
test('a takeover whose answer is lost is found out by the next try', async (t) => {
	const { resolve, store, epoch, newOwner, now } = await setUp();
	let fault: memory.StoreFault = 'lost';
	const view = store.view(() => fault);
	const unanswered = await resolve(ledger.OwnerLedger.replace(view, now, newOwner, epoch));
	t.true(!unanswered.ok && !unanswered.err.isFinal);
	fault = 'none';
	const repeated = await resolve(ledger.OwnerLedger.replace(view, now, newOwner, epoch));
	t.is(repeated.ok && (await resolve(repeated.value.confirmEpoch())), 'committed');
});
