/** Which jobs' progress is stored first if many have changed and each write takes long. */
import test from 'ava';
import * as fixtures from './fixtures/progress.js';
import * as saver from '../src/core/dispatch/progress-saver.js';
import * as settings from '../src/core/dispatch/settings.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';

/** Duration of a write to a slow store, in milliseconds. */
const writeMs = 360;

test('the end of a job is stored with the next write, however many others have changed before', async (t) => {
	const clock = time.VirtualClock.create();
	const storedAt = new Map<string, number>();
	const progressSaver = fixtures.createSaver(clock, async (batch) => {
		await new Promise<void>((resolve) => clock.after(writeMs, resolve));
		for (const id of batch.keys()) storedAt.set(id, clock.now());
		return 'committed';
	});
	const running = fixtures.createJobs(120, clock.now());
	for (const job of running) progressSaver.mark(job);
	await clock.advance(100);
	const ending = fixtures.createJob('ending', clock.now());
	ending.state = 'completed';
	const endedAt = clock.now();
	progressSaver.mark(ending);
	await clock.advance(10_000);
	const waitedMs = (storedAt.get('ending') ?? Infinity) - endedAt;
	t.true(waitedMs <= 2 * (writeMs + 25), `it was stored after ${String(waitedMs)} ms`);
	t.is(storedAt.size, 121);
	progressSaver.close();
});

test('a batch takes awaited jobs first, then those that changed longest ago', (t) => {
	const dirty = new Map(Array.from({ length: 20 }, (_, number) => [number, number]));
	t.deepEqual(saver.chooseBatch(dirty, new Set([19, 7])).slice(0, 5), [7, 19, 0, 1, 2]);
});

test('a job that nobody waits for is passed over for a second at most', (t) => {
	const dirty = new Map([
		['old', 0],
		['ended', 999],
		['ended later', 1_001],
		['new', 1_002],
	]);
	const awaited = new Set(['ended later', 'ended']);
	t.deepEqual(saver.chooseBatch(dirty, awaited), ['ended', 'old', 'ended later', 'new']);
});

test('a job whose progress the store refuses does not delay others', async (t) => {
	const clock = time.VirtualClock.create();
	const stored = new Set<string>();
	const refused: string[] = [];
	const progressSaver = fixtures.createSaver(
		clock,
		async (batch) => {
			await new Promise<void>((resolve) => clock.after(4, resolve));
			if (batch.has('job7')) return 'refused';
			for (const id of batch.keys()) stored.add(id);
			return 'committed';
		},
		(job) => refused.push(job.id),
	);
	for (let number = 0; number < 40; number += 1)
		progressSaver.mark(fixtures.createJob(`job${String(number)}`, clock.now()), number % 3 === 1);
	await clock.advance(1_000);
	t.is(stored.size, 39);
	t.deepEqual(refused, ['job7']);
	await clock.advance(5_000);
	t.deepEqual(refused, ['job7', 'job7']);
	progressSaver.close();
});

test('a hundred changed jobs are stored while the report that listed them is recent', async (t) => {
	const clock = time.VirtualClock.create();
	let writesInFlight = 0;
	const jobsBeingWritten = new Set<string>();
	const progressSaver = fixtures.createSaver(clock, async (batch) => {
		writesInFlight += 1;
		t.true(writesInFlight <= 3);
		for (const id of batch.keys()) {
			t.false(jobsBeingWritten.has(id));
			jobsBeingWritten.add(id);
		}
		await new Promise<void>((resolve) => clock.after(40, resolve));
		for (const id of batch.keys()) jobsBeingWritten.delete(id);
		writesInFlight -= 1;
		return 'committed';
	});
	const changed = fixtures.createJobs(100, clock.now());
	for (const job of changed) progressSaver.mark(job);
	const beganAt = clock.now();
	let storedAt = Infinity;
	void progressSaver.whenStored(changed).then(() => (storedAt = clock.now()));
	for (let round = 0; round < 100; round += 1) {
		progressSaver.mark(changed[round] ?? fixtures.createJob('none', 0));
		await clock.advance(10);
	}
	t.true(storedAt - beganAt <= settings.acknowledgeWithinMs, `${String(storedAt - beganAt)} ms`);
	progressSaver.close();
});

test('a change made while its job is written is stored by a later write', async (t) => {
	const clock = time.VirtualClock.create();
	const saved: string[] = [];
	const progressSaver = fixtures.createSaver(clock, async (batch) => {
		await new Promise<void>((resolve) => clock.after(100, resolve));
		saved.push(...[...batch].map(([id, { state }]) => `${id} ${state}`));
		return 'committed';
	});
	const job = fixtures.createJob('job1', clock.now());
	progressSaver.mark(job);
	await clock.advance(60);
	job.state = 'completed';
	progressSaver.mark(job);
	let isStored = false;
	void progressSaver.whenStored([job]).then(() => (isStored = true));
	await clock.advance(100);
	t.deepEqual([saved, isStored], [['job1 pending'], false]);
	await clock.advance(150);
	t.deepEqual([saved, isStored], [['job1 pending', 'job1 completed'], true]);
	progressSaver.close();
});
