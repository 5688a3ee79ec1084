/**
 * A worker's capacity may shrink while it runs, and its entry in the platform's list shows it. A placement is checked
 * against the capacity when it is made. Its start may be sent much later, after it has waited for the store or an earlier
 * attempt was not answered. A list that is not read any more shows no change at all.
 */
import test from 'ava';
import * as world from './fixtures/dispatching.js';
import type * as fleet from '../src/core/fleet/types.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';

const long = { ms: 60_000, how: 'done' as const };

/** CPU demand of a task that takes most of a worker, in thousandths of a core, and the capacity that a worker shrinks to. */
const milliCores = 20_000;
const shrunk: fleet.Capacity = { milliCores: 16_000, memoryMb: 128_000, accelerators: 0 };

/** Applies a list in which a worker's capacity has shrunk. */
function shrink(owner: world.TestOwner, entry: fleet.WorkerEntry): void {
	owner.dispatcher.setWorkers([{ ...entry, capacity: shrunk }], [], false);
}

test('a start that waited for the store is not sent to a worker whose capacity has shrunk meanwhile', async (t) => {
	const made = world.createWorld(() => long);
	const { clock, fleet: all } = made;
	const w1 = all.add('w1');
	let fault: memory.StoreFault = 'none';
	const owner = await made.takeOver(undefined, () => fault);
	await clock.pass(1_200);
	fault = 'down';
	const record = world.job('job1', [world.step({ milliCores, lasting: true })]);
	owner.dispatcher.addJob({ ...record, acceptedUnder: 1 });
	await clock.pass(500);
	t.is(all.starts.length, 0);
	shrink(owner, w1.entry);
	const w2 = all.add('w2');
	owner.dispatcher.setWorkers([w2.entry], [], false);
	fault = 'none';
	await clock.pass(4_000);
	t.deepEqual(
		all.starts.map((one) => one.worker),
		['w2'],
	);
	owner.dispatcher.close();
});

test('an unanswered start is not repeated at a worker whose capacity has shrunk meanwhile', async (t) => {
	const { made, owner, w1 } = await world.leaveUnanswered(world.step({ milliCores }));
	const { clock, fleet: all } = made;
	shrink(owner, w1.entry);
	w1.fault = 'none';
	await clock.pass(5_000);
	t.is(w1.running.size, 0);
	t.is(all.starts.length, 0);
	owner.dispatcher.close();
});

test('no start is sent by a list of workers that was read too long ago', async (t) => {
	const made = world.createWorld(() => long);
	const { clock, fleet: all } = made;
	all.add('w1');
	const owner = await made.takeOver();
	owner.dispatcher.noteListRead(clock.now());
	await clock.pass(1_200);
	await made.submit(owner, world.job('job1', [world.step({ milliCores: 1_000 })]));
	await clock.pass(3_500);
	t.is(all.starts.length, 1);
	await made.submit(owner, world.job('job2', [world.step({ milliCores: 1_000 })]));
	await clock.pass(3_000);
	t.is(all.starts.length, 1);
	owner.dispatcher.noteListRead(clock.now());
	await clock.pass(500);
	t.is(all.starts.length, 2);
	owner.dispatcher.close();
});

test('a worker over its capacity gets nothing more, and its runs go on', async (t) => {
	const made = world.createWorld(() => long);
	const { clock, fleet: all } = made;
	const w1 = all.add('w1');
	const owner = await made.takeOver();
	await clock.pass(1_200);
	await made.submit(owner, world.job('job1', [world.step({ milliCores })]));
	await clock.pass(500);
	shrink(owner, w1.entry);
	await made.submit(owner, world.job('job2', [world.step({ milliCores: 1_000 })]));
	await clock.pass(3_000);
	t.deepEqual([...w1.running.keys()], ['job1.0.0.0']);
	owner.dispatcher.setWorkers([w1.entry], [], false);
	await clock.pass(500);
	t.is(w1.running.size, 2);
	owner.dispatcher.close();
});
