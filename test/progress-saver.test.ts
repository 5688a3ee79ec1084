/** What of many jobs' progress is stored first, where each write takes long. */
import test from 'ava';
import * as jobs from '../src/core/jobs/index.js';
import * as saver from '../src/core/dispatch/progress-saver.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as world from './fixtures/dispatching.js';

/** A write takes so long, in milliseconds: a store in a slow hour. */
const writeMs = 360;

function createJob(id: string, now: number): jobs.ActiveJob {
	const start = { cancelled: false, inherited: false, workersStored: true, now, age: 0 };
	const job = jobs.ActiveJob.create(world.job(id, [world.step({ count: 50 })]), undefined, start);
	job.openNextTime(now);
	return job;
}

test('the end of a job is stored with the next write, however many others have changed before', async (t) => {
	const clock = time.VirtualClock.create();
	const storedAt = new Map<string, number>();
	const progress = saver.ProgressSaver.create({
		clock,
		save: async (batch) => {
			await new Promise<void>((resolve) => clock.after(writeMs, resolve));
			for (const id of batch.keys()) storedAt.set(id, clock.now());
			return 'committed';
		},
		onSaved: () => undefined,
		onSuperseded: () => undefined,
		onRefused: () => undefined,
		onFailure: () => undefined,
	});
	const running = Array.from({ length: 120 }, (_, number) => createJob(`job${String(number)}`, clock.now()));
	for (const job of running) progress.mark(job);
	await clock.pass(100);
	const ending = createJob('ending', clock.now());
	ending.state = 'completed';
	const endedAt = clock.now();
	progress.mark(ending);
	await clock.pass(10_000);
	const waitedMs = (storedAt.get('ending') ?? Infinity) - endedAt;
	t.true(waitedMs <= 2 * (writeMs + 25), `it was stored after ${String(waitedMs)} ms`);
	t.is(storedAt.size, 121);
	progress.close();
});

test('a batch holds what is waited for first, then what has been changed for longest', (t) => {
	const dirty = new Set(Array.from({ length: 20 }, (_, number) => number));
	t.deepEqual(saver.chooseBatch(dirty, new Set([19, 7])).slice(0, 5), [19, 7, 0, 1, 2]);
});

test('a job whose progress the store refuses holds up no other', async (t) => {
	const clock = time.VirtualClock.create();
	const stored = new Set<string>();
	const refused: string[] = [];
	const progress = saver.ProgressSaver.create({
		clock,
		save: async (batch) => {
			await new Promise<void>((resolve) => clock.after(4, resolve));
			if (batch.has('job7')) return 'refused';
			for (const id of batch.keys()) stored.add(id);
			return 'committed';
		},
		onSaved: () => undefined,
		onSuperseded: () => undefined,
		onRefused: (job) => refused.push(job.id),
		onFailure: () => undefined,
	});
	for (let number = 0; number < 40; number += 1)
		progress.mark(createJob(`job${String(number)}`, clock.now()), number % 3 === 1);
	await clock.pass(1_000);
	t.is(stored.size, 39);
	t.deepEqual(refused, ['job7']);
	await clock.pass(5_000);
	t.deepEqual(refused, ['job7', 'job7']);
	progress.close();
});
