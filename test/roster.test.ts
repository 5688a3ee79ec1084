/** What the roster records about a worker that gets no new work. */
import test from 'ava';
import * as events from '../src/core/events/index.js';
import * as fencing from '../src/core/dispatch/fencing-tokens.js';
import * as reportTurns from '../src/core/dispatch/first-report-turns.js';
import * as fixtures from './fixtures/dispatching.js';
import * as jobs from '../src/core/jobs/index.js';
import * as ledgers from '../src/core/ledger/index.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as workerPool from '../src/core/dispatch/worker-pool.js';
import * as wire from '../src/core/wire/frame.js';
import * as workers from '../stand-ins/fleet/workers.js';
import type * as ledger from '../src/core/ledger/index.js';
import type * as types from '../src/core/dispatch/types.js';

/** Creates the pool of a fleet's workers under an owner. Returns it with the rosters that it wrote. */
function createPool(
	clock: time.VirtualClock,
	fleet: workers.FakeFleet,
	handlers: Partial<types.ReportHandlers>,
): { pool: workerPool.WorkerPool; writtenRosters: ledger.RosterEntry[][] } {
	const writtenRosters: ledger.RosterEntry[][] = [];
	const pool = workerPool.WorkerPool.create(
		{
			clock,
			events: events.EventLog.create('test', clock),
			calls: fleet.calls(),
			maxLeaseMs: fixtures.maxLeaseMs,
			epoch: 1,
			mayAct: () => true,
			leasesEndBy: () => Infinity,
			inheritedLeases: {
				endsAt: clock.now() + 10_000,
				longestEndAt: clock.now() + 10_000,
				basis: 'takeover',
			},
			epochConfirmedAt: () => clock.now(),
			confirmEpoch: () => Promise.resolve(),
			onFenced: () => undefined,
			tokens: fencing.FencingTokens.create(1, () => undefined),
			isEvacuated: () => false,
			firstReportTurns: reportTurns.FirstReportTurns.create(clock),
			onWorkersAvailable: () => undefined,
			leaseEnds: new Map(),
			saveRoster: (roster) => {
				writtenRosters.push(roster);
				return Promise.resolve('committed');
			},
			handlers: {
				onReport: () => ({ type: 'taken', stored: Promise.resolve() }),
				onUnanswered: () => undefined,
				onLost: () => undefined,
				...handlers,
			},
		},
		[],
	);
	return { pool, writtenRosters };
}

test('a closed entry names tasks until their exits are stored', async (t) => {
	const clock = time.VirtualClock.create();
	const fleet = workers.FakeFleet.create({
		clock,
		maxLeaseMs: fixtures.maxLeaseMs,
		plan: () => ({ ms: 500, how: 'done' }),
	});
	const worker = fleet.add('w1');
	let storeExits = (): void => undefined;
	const { pool, writtenRosters } = createPool(clock, fleet, {
		onReport: (session) => {
			const stored = new Promise<void>((resolve) => {
				storeExits = () => {
					session.noteStored(1);
					resolve();
				};
			});
			return { type: 'taken', stored };
		},
	});
	pool.setWorkers(fleet.entries(), [], true);
	await clock.advance(50);
	const token = fixtures.firstToken(1);
	const command = { task: 'job1.0.0.0', run: 1, text: '', token, checkpoint: '', ticket: '' };
	worker.start({ ...command, leaseUntil: worker.clockMs() + 5_000 });
	await clock.advance(1_000);
	pool.setWorkers([{ ...worker.entry, draining: true }], [], false);
	pool.tick();
	await clock.advance(10);
	storeExits();
	pool.tick();
	await clock.advance(10);
	t.deepEqual(
		writtenRosters.map(([entry]) => entry?.tasks),
		[undefined, ['job1.0.0.0'], []],
	);
	pool.close();
});

test('a crashed worker stays on the roster with the tasks that crashed there until they are stored', async (t) => {
	const clock = time.VirtualClock.create();
	const fleet = workers.FakeFleet.create({
		clock,
		maxLeaseMs: fixtures.maxLeaseMs,
		plan: () => ({ ms: 'endless', how: 'done' }),
	});
	const worker = fleet.add('w1');
	const { pool, writtenRosters } = createPool(clock, fleet, {});
	pool.setWorkers(fleet.entries(), [], true);
	await clock.advance(50);
	const options = { cancelled: false, inherited: false, workersStored: true, now: 0, age: 0 };
	const job = jobs.ActiveJob.create(fixtures.job('job1', [fixtures.step()]), undefined, options);
	const [task] = job.openNextOccurrence(clock.now());
	const session = pool.get('w1');
	if (task === undefined || session === undefined) throw new Error('no task or no session');
	session.place(task, 1, 'running');
	fleet.crashAndRecover(worker, { downMs: 500, unresponsive: false });
	await clock.advance(1_500);
	t.true(session.hasEnded);
	// Another worker joins, so the roster is written.
	pool.setWorkers([fleet.add('w2').entry], [], false);
	await clock.advance(10);
	t.deepEqual(writtenRosters.at(-1), [
		{ id: 'w1', address: 'w1:1', tasks: ['job1.0.0.0'] },
		{ id: 'w2', address: 'w2:1' },
	]);
	pool.forget(session);
	pool.tick();
	await clock.advance(10);
	t.deepEqual(writtenRosters.at(-1), [{ id: 'w2', address: 'w2:1' }]);
	pool.close();
});

test('after an owner of the previous version, stored workers of long-running tasks are unreliable for all jobs until then', async (t) => {
	const { clock, store, takeOver } = fixtures.createEnvironment(() => ({ ms: 500, how: 'done' }));
	const first = await takeOver();
	first.dispatcher.close();
	const olderOwnerRecord = (generation: number): Uint8Array =>
		wire.encodeValue({ generation, box: 'entry-1' });
	store.put(ledgers.keys.epochKey, olderOwnerRecord(2));
	const third = await takeOver();
	third.dispatcher.close();
	const fourth = await takeOver();
	fourth.dispatcher.close();
	const contents = await Promise.all([clock.advance(50), fourth.ledger.load()]);
	const storedSince = contents[1].ok ? contents[1].value.workersStoredSince : 0;
	t.is(storedSince, 3);
	const progress: jobs.ProgressRecord = {
		state: 'running',
		finished: {},
		failures: {},
		checkpoints: {},
		endedAt: 0,
		workers: {},
	};
	const record = fixtures.job('job1', [fixtures.step({ lasting: true })], { acceptedUnder: 1 });
	const options = {
		cancelled: false,
		inherited: true,
		workersStored: record.acceptedUnder >= storedSince,
		now: 0,
		age: 0,
	};
	// An owner of the previous version may have started it without storing where.
	t.false(jobs.ActiveJob.create(record, progress, options).workersStored);
	t.true(jobs.ActiveJob.create(record, progress, { ...options, workersStored: true }).workersStored);
});
