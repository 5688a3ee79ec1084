/** Owners that go on dispatching until their successor has taken over, in memory and on a virtual clock. */
import test from 'ava';
import * as boxes from './fixtures/handover-boxes.js';
import * as ownership from '../src/core/owner/index.js';

/** Number of tasks: more than the workers carry out in the time of a test. */
const manyTasks = 200;

/** Longest time without any start between two clock times, in milliseconds. */
function longestPauseMs(all: boxes.HandoverBoxes, from: number, to: number): number {
	const times = all.fleet.starts.map((one) => one.at).filter((at) => at >= from && at <= to);
	const ends = [...times, to];
	return Math.max(...ends.map((at, index) => at - (ends[index - 1] ?? from)));
}

// Guards against a gap of 9.7 s: the owner released ownership, and the store stopped answering before another box had read
// the stored jobs.
test('work starts in every second where the store stops answering 400 ms after the begin of a planned stop', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	await all.submit(manyTasks);
	const from = all.clock.now();
	const stopped = all.stop('a');
	await all.run(400);
	for (const box of all.boxes.values()) box.storeFault = 'down';
	await all.run(2_000);
	t.true(longestPauseMs(all, from, all.clock.now()) < 1_000);
	t.deepEqual(all.owners(), ['b']);
	await stopped;
	t.is(all.logged('a', 'handover.completed')[0]?.gapMs, 0);
});

test('the next box is named at once where the successor begins to stop while it prepares', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	all.get('b').storeDelayMs = 300;
	void all.stop('a');
	await all.run(100);
	t.is(all.logged('a', 'handover.started')[0]?.box, 'b');
	void all.stop('b');
	await all.run(1_000);
	t.deepEqual(all.owners(), ['c']);
	t.is(all.logged('a', 'handover.failed')[0]?.reason, 'stops');
});

test('the next box takes over where the successor dies while it prepares', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	await all.submit(manyTasks);
	all.get('b').storeDelayMs = 300;
	const from = all.clock.now();
	void all.stop('a');
	await all.run(100);
	all.kill('b');
	await all.run(3_000);
	t.deepEqual(all.owners(), ['c']);
	t.true(longestPauseMs(all, from, all.clock.now()) < 1_000);
});

test('the next box takes over where the permission of the first one is lost', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	all.get('b').losesPermission = true;
	void all.stop('a');
	await all.run(3_500);
	t.deepEqual(all.owners(), ['c']);
	t.is(all.logged('a', 'handover.failed')[0]?.reason, 'not-taken-in-time');
});

test('an owner that nobody can replace dispatches until its grace period is nearly over', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	for (const name of ['b', 'c']) all.kill(name);
	void all.stop('a');
	await all.run(boxes.graceMs - ownership.settings.releaseBeforeKillMs - 50);
	t.deepEqual(all.owners(), ['a']);
	await all.run(200);
	t.deepEqual(all.owners(), []);
	t.is(all.logged('a', 'owner.released').length, 1);
});

test('boxes reach the new owner within 500 ms of its takeover without reading the store', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	const generation = all.get('a').election.currentLedger?.generation ?? 0;
	all.get('c').storeDelayMs = 2_000;
	void all.stop('a');
	await all.run(1_000);
	const takenAt = all.get('b').ownedAt.get(generation + 1) ?? 0;
	t.is(all.get('c').election.owner?.box, 'b');
	t.true(all.get('c').foundAt - takenAt <= 500);
});

test('a former owner that its successor can not tell finds out from the store, and sends the boxes on', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	await all.submit(manyTasks);
	all.get('b').losesTaken = true;
	void all.stop('a');
	await all.run(2_500);
	t.deepEqual(all.owners(), ['b']);
	t.is(all.get('c').election.owner?.box, 'b');
	t.is(all.logged('a', 'handover.completed').length, 1);
});

test('an owner that is cut off from the store hands over to a box that reaches it', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	await all.submit(manyTasks);
	const from = all.clock.now();
	all.get('a').storeFault = 'down';
	await all.run(3_000);
	t.deepEqual(all.owners(), ['b']);
	t.true(longestPauseMs(all, from, all.clock.now()) < 1_000);
});

// Guards against a successor that reads all records each time a single call of the owner has no answer.
test('an owner that loses the store for 200 ms names nobody', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	for (let flaps = 0; flaps < 10; flaps += 1) {
		all.get('a').storeFault = 'down';
		await all.run(200);
		all.get('a').storeFault = 'none';
		await all.run(700);
	}
	t.deepEqual(all.logged('a', 'handover.started'), []);
	t.deepEqual(all.owners(), ['a']);
});

test('a store that is slow for all boxes changes no owner', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	for (const box of all.boxes.values()) box.storeDelayMs = 700;
	await all.run(10_000);
	t.deepEqual(all.owners(), ['a']);
});

test('a store that answers nobody changes no owner while its leases allow', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	for (const box of all.boxes.values()) box.storeFault = 'down';
	void all.stop('a');
	await all.run(1_500);
	t.deepEqual(all.owners(), ['a']);
});

// Guards against 9.4 s without an owner: the box that had won the election gave up when it could not read the stored jobs.
test('a box that won an election keeps ownership until it can read the stored jobs', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	for (const name of ['a', 'c']) all.kill(name);
	await all.clock.advance(0);
	while (!(await all.isOwnerRecorded('b'))) await all.clock.advance(1);
	all.get('b').storeFault = 'down';
	await all.run(1_000);
	all.get('b').storeFault = 'none';
	await all.run(300);
	t.deepEqual(all.owners(), ['b']);
	t.is(all.logged('b', 'owner.not-taken').length, 0);
});

test('a box that begins to stop while it takes over completes the takeover and hands over itself', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	all.get('b').storeDelayMs = 100;
	void all.stop('a');
	while (!(await all.isOwnerRecorded('b'))) await all.clock.advance(1);
	const stopped = all.stop('b');
	await all.run(4_000);
	await stopped;
	t.deepEqual(all.owners(), ['c']);
	t.is(all.logged('b', 'handover.completed').length, 1);
});

test('a box that begins to stop while it takes over gives up in time where it can not read the changes', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	const b = all.get('b');
	b.storeDelayMs = 50;
	void all.stop('a');
	while (b.election.prepared === undefined) await all.clock.advance(1);
	b.losesReads = true;
	while (!(await all.isOwnerRecorded('b'))) await all.clock.advance(1);
	const stopped = all.stop('b');
	await all.run(boxes.graceMs - 200);
	await stopped;
	t.is(all.logged('b', 'owner.taken').length, 0);
	t.is(all.logged('b', 'owner.not-taken').length, 1);
	t.deepEqual(all.owners(), ['c']);
});

test('a successor that can not read the changes since its copy reads all records', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	const b = all.get('b');
	b.storeDelayMs = 50;
	void all.stop('a');
	while (b.election.prepared === undefined) await all.clock.advance(1);
	b.losesReads = true;
	while (!(await all.isOwnerRecorded('b'))) await all.clock.advance(1);
	await all.run(300);
	b.losesReads = false;
	await all.run(1_000);
	t.deepEqual(all.owners(), ['b']);
});

test('boxes that stop one after the other hand over each time, and no task runs twice', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	await all.submit(manyTasks);
	const from = all.clock.now();
	for (const name of ['a', 'b']) {
		void all.stop(name);
		await all.run(2_000);
	}
	t.deepEqual(all.owners(), ['c']);
	t.true(longestPauseMs(all, from, all.clock.now()) < 1_000);
	// At each worker, nothing of a replaced owner starts after the new owner's first command.
	for (const worker of ['w1', 'w2']) {
		const epochs = all.fleet.starts.filter((one) => one.worker === worker).map((one) => one.epoch);
		t.deepEqual(
			epochs,
			[...epochs].sort((a, b) => a - b),
		);
		t.is(new Set(epochs).size, 3);
	}
});

test('a box of an older release is not named, and finds the new owner in the store', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	all.start('old', { processor: 1.3, isOld: true });
	await all.run(2_000);
	void all.stop('a');
	await all.run(1_000);
	t.is(all.logged('a', 'handover.started')[0]?.box, 'b');
	t.is(all.get('old').election.owner?.box, 'b');
});

test('the successor is the strongest box, and of two as strong the one in another zone', async (t) => {
	const all = await boxes.HandoverBoxes.create();
	all.start('weak', { zone: 'z2', processor: 0.3 });
	all.start('other', { zone: 'z2', processor: 0.95 });
	await all.run(2_000);
	void all.stop('a');
	await all.run(500);
	t.deepEqual(all.owners(), ['other']);
});
