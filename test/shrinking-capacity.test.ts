/**
 * A worker's capacity may shrink while it runs, and its entry in the platform's list shows it. A placement is checked
 * against the capacity when it is made. Its start may be sent much later, after it has waited for the store or an earlier
 * attempt was not answered. A list that is not read any more shows no change at all.
 */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import type * as fleet from '../src/core/fleet/types.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';

const longRun = { ms: 60_000, how: 'done' as const };

/** CPU demand of a task that takes most of a worker, in thousandths of a core, and the capacity that a worker shrinks to. */
const milliCores = 20_000;
const reducedCapacity: fleet.Capacity = { milliCores: 16_000, memoryMb: 128_000, accelerators: 0 };

/** Applies a list in which a worker's capacity has shrunk. */
function reduceCapacity(owner: fixtures.TestOwner, entry: fleet.WorkerEntry): void {
	owner.dispatcher.setWorkers([{ ...entry, capacity: reducedCapacity }], [], false);
}

test('a start that waited for the store is not sent to a worker whose capacity has shrunk meanwhile', async (t) => {
	const environment = fixtures.createEnvironment(() => longRun);
	const { clock, fleet } = environment;
	const w1 = fleet.add('w1');
	let fault: memory.StoreFault = 'none';
	const owner = await environment.takeOver(undefined, () => fault);
	await clock.advance(1_200);
	fault = 'down';
	const record = fixtures.job('job1', [fixtures.step({ milliCores, lasting: true })]);
	owner.dispatcher.addJob({ ...record, acceptedUnder: 1 });
	await clock.advance(500);
	t.is(fleet.starts.length, 0);
	reduceCapacity(owner, w1.entry);
	const w2 = fleet.add('w2');
	owner.dispatcher.setWorkers([w2.entry], [], false);
	fault = 'none';
	await clock.advance(4_000);
	t.deepEqual(
		fleet.starts.map((one) => one.worker),
		['w2'],
	);
	owner.dispatcher.close();
});

test('an unanswered start is not repeated at a worker whose capacity has shrunk meanwhile', async (t) => {
	const { environment, owner, w1 } = await fixtures.leaveStartUnanswered(fixtures.step({ milliCores }));
	const { clock, fleet } = environment;
	reduceCapacity(owner, w1.entry);
	w1.fault = 'none';
	await clock.advance(5_000);
	t.is(w1.running.size, 0);
	t.is(fleet.starts.length, 0);
	owner.dispatcher.close();
});

test('no start is sent by a list of workers that was read too long ago', async (t) => {
	const environment = fixtures.createEnvironment(() => longRun);
	const { clock, fleet } = environment;
	fleet.add('w1');
	const owner = await environment.takeOver();
	owner.dispatcher.noteListRead(clock.now());
	await clock.advance(1_200);
	await environment.submit(owner, fixtures.job('job1', [fixtures.step({ milliCores: 1_000 })]));
	await clock.advance(3_500);
	t.is(fleet.starts.length, 1);
	await environment.submit(owner, fixtures.job('job2', [fixtures.step({ milliCores: 1_000 })]));
	await clock.advance(3_000);
	t.is(fleet.starts.length, 1);
	owner.dispatcher.noteListRead(clock.now());
	await clock.advance(500);
	t.is(fleet.starts.length, 2);
	owner.dispatcher.close();
});

test('a worker over its capacity gets nothing more, and its runs go on', async (t) => {
	const environment = fixtures.createEnvironment(() => longRun);
	const { clock, fleet } = environment;
	const w1 = fleet.add('w1');
	const owner = await environment.takeOver();
	await clock.advance(1_200);
	await environment.submit(owner, fixtures.job('job1', [fixtures.step({ milliCores })]));
	await clock.advance(500);
	reduceCapacity(owner, w1.entry);
	await environment.submit(owner, fixtures.job('job2', [fixtures.step({ milliCores: 1_000 })]));
	await clock.advance(3_000);
	t.deepEqual([...w1.running.keys()], ['job1.0.0.0']);
	owner.dispatcher.setWorkers([w1.entry], [], false);
	await clock.advance(500);
	t.is(w1.running.size, 2);
	owner.dispatcher.close();
});
