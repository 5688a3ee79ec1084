/**
 * Progress that is not stored delays the exits that workers list: progress of a refused job, and of a flood of ended jobs.
 */
import test from 'ava';
import * as fixtures from './fixtures/progress.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as dispatching from './fixtures/dispatching.js';
import type * as jobs from '../src/core/jobs/index.js';
import type * as saver from '../src/core/dispatch/progress-saver.js';
import * as ledger from '../src/core/ledger/index.js';

/**
 * Time within which exits are stored if nothing is wrong with the store, in milliseconds: half of the shortest time that
 * operators allow.
 */
const maxStoreMs = 2_000;

/** Delay before a refused job is tried again, in milliseconds. */
const retryIntervalMs = 5_000;

const reportIntervalMs = 50;

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
	const durationMs = 20_000;
	const refusedAt: number[] = [];
	const batchSizes: number[] = [];
	const progressSaver = createSaver(clock, 20, (ids) => {
		if (ids.includes('refused')) {
			refusedAt.push(clock.now());
			return 'refused';
		}
		batchSizes.push(ids.length);
		return 'committed';
	});
	const refused = fixtures.createJob('refused', clock.now());
	const healthy = fixtures.createJobs(60, clock.now());
	for (let at = 0; at < durationMs; at += reportIntervalMs) {
		for (const job of [refused, ...healthy]) progressSaver.mark(job);
		await clock.advance(reportIntervalMs);
	}
	// At first the job is in a full batch, which is halved until the job is alone.
	const isolatingWrites = Math.ceil(Math.log2(15)) + 1;
	t.true(
		refusedAt.length <= isolatingWrites + durationMs / retryIntervalMs,
		`${String(refusedAt.length)} refused writes`,
	);
	const mean = batchSizes.reduce((sum, one) => sum + one, 0) / batchSizes.length;
	t.true(mean >= 10, `${mean.toFixed(1)} records in the mean write`);
	progressSaver.close();
});

test('exits of a refused job do not count as stored while it is postponed', async (t) => {
	const clock = time.VirtualClock.create();
	let isRefused = true;
	const progressSaver = createSaver(clock, 20, () => (isRefused ? 'refused' : 'committed'));
	const job = fixtures.createJob('job1', clock.now());
	progressSaver.mark(job);
	await clock.advance(200);
	let isStored = false;
	void progressSaver.whenStored([job]).then(() => (isStored = true));
	await clock.advance(retryIntervalMs / 2);
	t.false(isStored);
	isRefused = false;
	await clock.advance(retryIntervalMs);
	t.true(isStored);
	progressSaver.close();
});

for (const { perS, writeMs } of [
	{ perS: 130, writeMs: 360 },
	{ perS: 1_000, writeMs: 50 },
])
	test(`a job with exited tasks is stored in time while ${String(perS)} jobs a second end and a write takes ${String(writeMs)} ms`, async (t) => {
		const clock = time.VirtualClock.create();
		const progressSaver = createSaver(clock, writeMs);
		const exitIntervalMs = 1_000 / perS;
		let ended = 0;
		const endJobs = async (forMs: number): Promise<void> => {
			for (let at = 0; at < forMs; at += exitIntervalMs) {
				const job = fixtures.createJob(`ended${String((ended += 1))}`, clock.now());
				job.state = 'completed';
				progressSaver.mark(job);
				await clock.advance(exitIntervalMs);
			}
		};
		await endJobs(1_000);
		const running = fixtures.createJob('running', clock.now());
		const markedAt = clock.now();
		progressSaver.mark(running);
		let storedAt = Infinity;
		void progressSaver.whenStored([running]).then(() => (storedAt = clock.now()));
		await endJobs(10_000);
		const tookMs = storedAt - markedAt;
		t.true(tookMs <= maxStoreMs, `${String(tookMs)} ms`);
		progressSaver.close();
	});

test('exits of hundreds of jobs that go on changing are stored in time where a write takes 300 ms', async (t) => {
	const clock = time.VirtualClock.create();
	const progressSaver = createSaver(clock, 300);
	const running = fixtures.createJobs(500, clock.now());
	let longestMs = 0;
	const mark = async (job: jobs.ActiveJob): Promise<void> => {
		const markedAt = clock.now();
		progressSaver.mark(job);
		await progressSaver.whenStored([job]);
		longestMs = Math.max(longestMs, clock.now() - markedAt);
	};
	for (let round = 0; round < 20; round += 1) {
		for (const job of running) void mark(job);
		await clock.advance(500);
	}
	await clock.advance(5_000);
	t.true(longestMs <= maxStoreMs, `${String(longestMs)} ms`);
	progressSaver.close();
});

test('an exit that several reports list while it is being stored is stored once', async (t) => {
	const { clock, store, fleet, takeOver, submit } = dispatching.createEnvironment(() => ({
		ms: 300,
		how: 'done',
	}));
	fleet.add('w1', {}, 1);
	const owner = await takeOver();
	await submit(owner, dispatching.job('job1', [dispatching.step()]));
	await clock.advance(200);
	store.writeMs = 2_000;
	const before = store.changesOf(ledger.keys.progressPrefix);
	// The job's task exits, and about five reports list the exit before it is stored.
	await clock.advance(250);
	store.writeMs = 4;
	await clock.advance(4_000);
	t.is(store.changesOf(ledger.keys.progressPrefix) - before, 1);
	owner.dispatcher.close();
});
