/** What an owner with prioritized takeover starts, and when, while workers or the store do not answer. */
import test from 'ava';
import * as features from '../src/core/features/index.js';
import * as fixtures from './fixtures/dispatching.js';
import * as takeoverPolicy from '../src/core/dispatch/takeover-policy.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as turns from '../src/core/dispatch/prioritized-turns.js';
import type * as ledger from '../src/core/ledger/index.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';

/** Interval at which an owner answers the pings of the other boxes, in milliseconds. */
const pingIntervalMs = 500;

const workerCount = 100;

function createFleet(
	takeover: features.Features['takeover'],
	runMs: number | 'endless' = 500,
): fixtures.TestEnvironment {
	const environment = fixtures.createEnvironment(() => ({ ms: runMs, how: 'done' }));
	environment.features = { ...features.defaultFeatures, takeover };
	for (let index = 0; index < workerCount; index += 1) environment.fleet.add(`w${String(index)}`);
	return environment;
}

/** Lets time pass in which the owner answers pings and is given a step of 20 tasks ten times a second. */
async function runLoad(env: fixtures.TestEnvironment, owner: fixtures.TestOwner, ms: number): Promise<void> {
	const acceptedUnder = owner.ledger.generation;
	for (let passed = 0; passed < ms; passed += 100) {
		if (passed % pingIntervalMs === 0) owner.dispatcher.unresponsiveLeases();
		const id = `load-${String(env.clock.now())}`;
		owner.dispatcher.addJob(fixtures.job(id, [fixtures.step({ count: 20 })], { acceptedUnder }));
		await env.clock.advance(100);
	}
}

/** Number of starts that failed as too late. */
function tooLateStarts(owner: fixtures.TestOwner): number {
	const refused = owner.events.select((event) => event.name === 'start.refused');
	return refused.filter((event) => event.fields.reason === 'too-late').length;
}

/** Reasons of the starts that were withdrawn. */
function withdrawnStarts(owner: fixtures.TestOwner): (string | undefined)[] {
	return owner.events.select((event) => event.name === 'start.withdrawn').map((event) => event.fields.reason);
}

/** Takes over from an owner that used all workers. The store then fails with `fault` for nine seconds. */
async function takeOverWithoutStore(
	env: fixtures.TestEnvironment,
	fault: memory.StoreFault,
): Promise<fixtures.TestOwner> {
	const first = await env.takeOver();
	await env.clock.advance(1_000);
	first.dispatcher.close();
	// The first ping is answered before the first reports, so that the lease of every worker is withheld.
	env.fleet.reportDelayMs = 80;
	let current: memory.StoreFault = 'none';
	const second = await env.takeOver(undefined, () => current);
	current = fault;
	await runLoad(env, second, 9_000);
	current = 'none';
	await runLoad(env, second, 3_000);
	return second;
}

for (const fault of ['down', 'late', 'lost'] as const)
	test(`no start fails for want of a lease after a takeover with a store that is ${fault}`, async (t) => {
		const env = createFleet('prioritized');
		const owner = await takeOverWithoutStore(env, fault);
		t.is(tooLateStarts(owner), 0);
		t.is(withdrawnStarts(owner).length, 0);
		t.is(env.fleet.starts.length, 120 * 20);
		t.deepEqual(env.fleet.tasksRunningTwice(), []);
		owner.dispatcher.close();
	});

test('the same takeover without the feature fails more than a thousand starts', async (t) => {
	const owner = await takeOverWithoutStore(createFleet('roster-order'), 'down');
	t.true(tooLateStarts(owner) > 1_000, String(tooLateStarts(owner)));
	owner.dispatcher.close();
});

test('a start that waited for the store is withdrawn if the lease is withheld meanwhile', async (t) => {
	const env = fixtures.createEnvironment(() => ({ ms: 'endless', how: 'done' }));
	env.features = { ...features.defaultFeatures, takeover: 'prioritized' };
	const w1 = env.fleet.add('w1');
	const owner = await env.takeOver();
	await env.clock.advance(1_200);
	w1.fault = 'silent';
	// Placed while the worker still counts as responsive. Its worker has to be stored before the start, which takes long.
	env.store.writeMs = 3_500;
	const steps = [fixtures.step({ lasting: true })];
	owner.dispatcher.addJob(fixtures.job('job1', steps, { acceptedUnder: owner.ledger.generation }));
	await env.clock.advance(3_200);
	t.deepEqual(Object.keys(owner.dispatcher.unresponsiveLeases()), ['w1']);
	w1.fault = 'none';
	await env.clock.advance(500);
	t.deepEqual(withdrawnStarts(owner), ['lease-withheld']);
	env.store.writeMs = 4;
	await env.clock.advance(5_000);
	t.is(tooLateStarts(owner), 0);
	t.is(env.fleet.starts.length, 1);
	owner.dispatcher.close();
});

test('the roster is written as soon as a worker without a lease answers', async (t) => {
	const env = fixtures.createEnvironment(() => ({ ms: 'endless', how: 'done' }));
	env.features = { ...features.defaultFeatures, takeover: 'prioritized' };
	const w1 = env.fleet.add('w1');
	const first = await env.takeOver();
	await env.clock.advance(1_000);
	first.dispatcher.close();
	w1.fault = 'silent';
	const second = await env.takeOver();
	await env.clock.advance(1_000);
	t.deepEqual(Object.keys(second.dispatcher.unresponsiveLeases()), ['w1']);
	w1.fault = 'none';
	const { rosterVersion } = second.ledger;
	const hasAnswered = (): boolean => second.events.select(({ name }) => name === 'worker.reached').length > 0;
	while (!hasAnswered()) await env.clock.advance(1);
	await env.clock.advance(env.store.writeMs + 1);
	t.true(second.ledger.rosterVersion > rosterVersion);
	second.dispatcher.close();
});

/**
 * Time from a takeover until every worker that answers has got work, in milliseconds, and the writes to the store in that
 * time. `isSilent`: whether a worker does not answer the new owner.
 */
async function timeToWork(
	takeover: features.Features['takeover'],
	isSilent: (worker: string) => boolean = () => false,
): Promise<{ ms: number; writes: number }> {
	const env = createFleet(takeover, 'endless');
	const first = await env.takeOver();
	await env.clock.advance(1_000);
	first.dispatcher.close();
	for (const worker of env.fleet.workers.values()) if (isSilent(worker.name)) worker.fault = 'silent';
	env.fleet.reportDelayMs = 20;
	const startedAt = env.clock.now();
	const second = await env.takeOver();
	const writesBefore = env.store.writes;
	second.dispatcher.unresponsiveLeases();
	const steps = [fixtures.step({ count: workerCount, milliCores: 20_000 })];
	second.dispatcher.addJob(fixtures.job('job1', steps, { acceptedUnder: second.ledger.generation }));
	const answering = [...env.fleet.workers.keys()].filter((worker) => !isSilent(worker)).length;
	while (env.fleet.starts.length < answering) {
		if (env.clock.now() % pingIntervalMs < 10) second.dispatcher.unresponsiveLeases();
		await env.clock.advance(10);
	}
	second.dispatcher.close();
	return { ms: env.clock.now() - startedAt, writes: env.store.writes - writesBefore };
}

const everyThird = (worker: string): boolean => Number(worker.slice(1)) % 3 === 0;

test('workers get work sooner after a takeover, with at most one write more', async (t) => {
	for (const isSilent of [undefined, everyThird]) {
		const before = await timeToWork('roster-order', isSilent);
		const after = await timeToWork('prioritized', isSilent);
		t.log(before, after);
		t.true(after.ms < before.ms);
		t.true(after.writes <= before.writes + 1);
	}
});

/** Writes to the store in the first three seconds of an owner whose workers answer late, so that leases are withheld. */
async function writesAfterTakeover(takeover: features.Features['takeover']): Promise<number> {
	const env = createFleet(takeover);
	const first = await env.takeOver();
	await env.clock.advance(1_000);
	first.dispatcher.close();
	env.fleet.reportDelayMs = 80;
	const writesBefore = env.store.writes;
	const second = await env.takeOver();
	await runLoad(env, second, 3_000);
	second.dispatcher.close();
	return env.store.writes - writesBefore;
}

test('a takeover takes at most a tenth more writes', async (t) => {
	const before = await writesAfterTakeover('roster-order');
	const after = await writesAfterTakeover('prioritized');
	t.log(before, after);
	t.true(after <= before * 1.1, `${String(after)} against ${String(before)}`);
});

test('an unresponsive worker of which the previous owner knew holds up no turn', async (t) => {
	const clock = time.VirtualClock.create();
	const reportTurns = turns.PrioritizedTurns.create(clock, (worker) => worker.startsWith('silent'));
	const granted: string[] = [];
	const poll = async (worker: string): Promise<void> => {
		const endTurn = await reportTurns.acquire(worker);
		granted.push(worker);
		// A silent worker never answers. The others do after 10 ms.
		if (!worker.startsWith('silent'))
			clock.after(10, () => {
				endTurn(true);
			});
	};
	for (let index = 0; index < 64; index += 1) void poll(`silent${String(index)}`);
	for (let index = 0; index < 64; index += 1) void poll(`w${String(index)}`);
	await clock.advance(19);
	t.is(granted.filter((worker) => worker.startsWith('w')).length, 64);
	await clock.advance(200);
	t.is(granted.length, 128);
});

test('turns last longer while answers take longer, so that no more workers are polled at a time', async (t) => {
	const clock = time.VirtualClock.create();
	const reportTurns = turns.PrioritizedTurns.create(clock, () => false);
	let granted = 0;
	const poll = async (worker: string): Promise<void> => {
		const endTurn = await reportTurns.acquire(worker);
		granted += 1;
		clock.after(90, () => {
			endTurn(true);
		});
	};
	for (let index = 0; index < 320; index += 1) void poll(`w${String(index)}`);
	const grantedBy: number[] = [];
	for (let passed = 0; passed < 600; passed += 100) {
		await clock.advance(100);
		grantedBy.push(granted);
	}
	t.log(grantedBy);
	// From the time at which the usual answer time is known, no turn ends before its answer.
	const [, , third = 0, , fifth = 0] = grantedBy;
	t.true(fifth - third <= 3 * 32, grantedBy.join(' '));
});

/** A stored job of one step. */
function storedJob(
	id: string,
	priority: number,
	lasting: boolean,
	workers?: Record<string, string>,
): [string, ledger.StoredJob] {
	const record = fixtures.job(id, [fixtures.step({ lasting })], { queue: { ...fixtures.queue, priority } });
	const progress = {
		state: 'running' as const,
		finished: {},
		failures: {},
		checkpoints: {},
		endedAt: 0,
		workers,
	};
	return [id, { record, progress, progressVersion: 1, cancelled: false }];
}

test('workers are polled by whether they answered, then by the urgency of the work there, then by their leases', (t) => {
	const address = 'any:1';
	const roster: ledger.RosterEntry[] = [
		{ id: 'closed-without-work', address, tasks: ['gone.0.0.0'] },
		{ id: 'silent-late', address },
		{ id: 'silent-soon', address },
		{ id: 'closed-batch', address, tasks: ['batch.0.0.0'] },
		{ id: 'silent-serving', address },
		{ id: 'answers', address },
		{ id: 'answers-serving', address },
	];
	const jobs = new Map([
		storedJob('batch', 2, false),
		storedJob('serving1', 0, true, { '0.0.0': 'silent-serving' }),
		storedJob('serving2', 0, true, { '0.0.0': 'answers-serving' }),
	]);
	const opts = {
		clock: time.VirtualClock.create(),
		features: { ...features.defaultFeatures, takeover: 'prioritized' as const },
		table: () => undefined,
		leaseEnds: new Map([
			['silent-late', 9_000],
			['silent-soon', 4_000],
		]),
		unresponsiveWorkers: new Set(['silent-late', 'silent-soon', 'silent-serving']),
	};
	const policy = takeoverPolicy.choose(opts, { jobs, roster });
	t.deepEqual(
		policy.sortRoster(roster).map((entry) => entry.id),
		[
			'answers-serving',
			'answers',
			'silent-serving',
			'silent-soon',
			'silent-late',
			'closed-batch',
			'closed-without-work',
		],
	);
});
