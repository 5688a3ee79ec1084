/**
 * Progress that is not stored delays the exits that workers list: progress of a refused job, and of a flood of ended jobs.
 */
import test from 'ava';
import * as fixtures from './fixtures/progress.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as world from './fixtures/dispatching.js';
import type * as jobs from '../src/core/jobs/index.js';
import type * as saver from '../src/core/dispatch/progress-saver.js';
import type * as ledger from '../src/core/ledger/index.js';

/**
 * Time within which exits are stored if nothing is wrong with the store, in milliseconds: half of the shortest time that
 * operators allow.
 */
const boundMs = 2_000;

/** Delay before a refused job is tried again, in milliseconds. */
const asideMs = 5_000;

const reportGapMs = 50;

/** Creates a saver whose writes take `writeMs`. `outcomeOf`: the outcome of a batch's write. */
function createSaver(
	clock: time.VirtualClock,
	writeMs: number,
	outcomeOf: (ids: string[]) => ledger.WriteOutcome = () => 'committed',
): saver.ProgressSaver {
	return fixtures.createSaver(clock, async (batch) => {
		await new Promise<void>((resolve) => clock.after(writeMs, resolve));
		return outcomeOf([...batch.keys()]);
	});
}

test('a refused job that workers go on reporting costs one write per retry', async (t) => {
	const clock = time.VirtualClock.create();
	const lengthMs = 20_000;
	const refusedAt: number[] = [];
	const sizes: number[] = [];
	const progress = createSaver(clock, 20, (ids) => {
		if (ids.includes('refused')) {
			refusedAt.push(clock.now());
			return 'refused';
		}
		sizes.push(ids.length);
		return 'committed';
	});
	const refused = fixtures.createJob('refused', clock.now());
	const sound = fixtures.createJobs(60, clock.now());
	for (let at = 0; at < lengthMs; at += reportGapMs) {
		for (const job of [refused, ...sound]) progress.mark(job);
		await clock.pass(reportGapMs);
	}
	// At first the job is in a full batch, which is halved until the job is alone.
	const findingIt = Math.ceil(Math.log2(15)) + 1;
	t.true(refusedAt.length <= findingIt + lengthMs / asideMs, `${String(refusedAt.length)} refused writes`);
	const mean = sizes.reduce((sum, one) => sum + one, 0) / sizes.length;
	t.true(mean >= 10, `${mean.toFixed(1)} records in the mean write`);
	progress.close();
});

test('exits of a refused job do not count as stored while it is postponed', async (t) => {
	const clock = time.VirtualClock.create();
	let isRefused = true;
	const progress = createSaver(clock, 20, () => (isRefused ? 'refused' : 'committed'));
	const job = fixtures.createJob('job1', clock.now());
	progress.mark(job);
	await clock.pass(200);
	let isStored = false;
	void progress.whenStored([job]).then(() => (isStored = true));
	await clock.pass(asideMs / 2);
	t.false(isStored);
	isRefused = false;
	await clock.pass(asideMs);
	t.true(isStored);
	progress.close();
});

for (const { perS, writeMs } of [
	{ perS: 130, writeMs: 360 },
	{ perS: 1_000, writeMs: 50 },
])
	test(`a job with exited tasks is stored in time while ${String(perS)} jobs a second end and a write takes ${String(writeMs)} ms`, async (t) => {
		const clock = time.VirtualClock.create();
		const progress = createSaver(clock, writeMs);
		const gapMs = 1_000 / perS;
		let ended = 0;
		const endJobs = async (forMs: number): Promise<void> => {
			for (let at = 0; at < forMs; at += gapMs) {
				const job = fixtures.createJob(`ended${String((ended += 1))}`, clock.now());
				job.state = 'completed';
				progress.mark(job);
				await clock.pass(gapMs);
			}
		};
		await endJobs(1_000);
		const running = fixtures.createJob('running', clock.now());
		const markedAt = clock.now();
		progress.mark(running);
		let storedAt = Infinity;
		void progress.whenStored([running]).then(() => (storedAt = clock.now()));
		await endJobs(10_000);
		const tookMs = storedAt - markedAt;
		t.true(tookMs <= boundMs, `${String(tookMs)} ms`);
		progress.close();
	});

test('exits of hundreds of jobs that go on changing are stored in time where a write takes 300 ms', async (t) => {
	const clock = time.VirtualClock.create();
	const progress = createSaver(clock, 300);
	const running = fixtures.createJobs(500, clock.now());
	let longestMs = 0;
	const mark = async (job: jobs.ActiveJob): Promise<void> => {
		const markedAt = clock.now();
		progress.mark(job);
		await progress.whenStored([job]);
		longestMs = Math.max(longestMs, clock.now() - markedAt);
	};
	for (let round = 0; round < 20; round += 1) {
		for (const job of running) void mark(job);
		await clock.pass(500);
	}
	await clock.pass(5_000);
	t.true(longestMs <= boundMs, `${String(longestMs)} ms`);
	progress.close();
});

test('an exit that several reports list while it is being stored is stored once', async (t) => {
	const { clock, store, fleet, takeOver, submit } = world.createWorld(() => ({ ms: 300, how: 'done' }));
	fleet.add('w1', {}, 1);
	const owner = await takeOver();
	await submit(owner, world.job('job1', [world.step()]));
	await clock.pass(200);
	store.writeMs = 2_000;
	const before = store.writes;
	// The job's task exits, and about five reports list the exit before it is stored.
	await clock.pass(250);
	store.writeMs = 4;
	await clock.pass(4_000);
	t.is(store.writes - before, 1);
	owner.dispatcher.close();
});
