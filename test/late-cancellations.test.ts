/** Cancellations that the store carries out late, in memory and on a virtual clock. */
import test from 'ava';
import * as dispatching from './fixtures/dispatching.js';
import * as ledger from '../src/core/ledger/index.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';

const id = 'job1';

/** A store that holds one job. */
async function setUp(): Promise<{
	clock: time.VirtualClock;
	store: memory.MemoryStore;
	resolve: <T>(call: Promise<T>, ms?: number) => Promise<T>;
	submit: () => Promise<ledger.AcceptOutcome>;
}> {
	const clock = time.VirtualClock.create();
	const store = memory.MemoryStore.create(clock);
	const resolve = async <T>(call: Promise<T>, ms = 50): Promise<T> => {
		await clock.advance(ms);
		return call;
	};
	const submit = (): Promise<ledger.AcceptOutcome> =>
		resolve(ledger.accept(store.view(), dispatching.job(id, [dispatching.step()])));
	await submit();
	return { clock, store, resolve, submit };
}

// Guards against a job that is shown as cancelled because of a request to cancel an earlier job of its id.
test('a cancellation that is carried out late does not cancel a later job of the same id', async (t) => {
	const { clock, store, resolve, submit } = await setUp();
	const late = await resolve(
		ledger.cancel(
			store.view(() => 'late'),
			id,
		),
		1_100,
	);
	t.is(late.type, 'unknown');
	store.remove(ledger.keys.jobKey(id));
	t.is((await submit()).type, 'accepted');
	await clock.advance(10_000);
	const stored = await resolve(ledger.readJob(store.view(), id));
	t.deepEqual(stored.ok && stored.value && ledger.toJobView(stored.value), { state: 'pending' });
});

test('a cancellation finds that its job was cancelled before, deleted or replaced meanwhile', async (t) => {
	const { clock, store, resolve, submit } = await setUp();
	t.is((await resolve(ledger.cancel(store.view(), id))).type, 'cancelled');
	t.is((await resolve(ledger.cancel(store.view(), id))).type, 'cancelled');
	store.remove(ledger.keys.cancelKey(id));
	/** Cancels the job, which changes between the read and the write. */
	const cancelDuring = async (change: () => void): Promise<string> => {
		const cancelling = ledger.cancel(store.view(), id);
		await clock.advance(store.readMs);
		change();
		return (await resolve(cancelling)).type;
	};
	t.is(
		await cancelDuring(() => {
			store.remove(ledger.keys.jobKey(id));
		}),
		'no-such-job',
	);
	await submit();
	t.is(
		await cancelDuring(() => {
			store.put(ledger.keys.jobKey(id), new Uint8Array(0));
		}),
		'not-stored',
	);
});
