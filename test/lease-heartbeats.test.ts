/** Courses in which leases that are based on heartbeats outlast what owners assume, or their owners. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import * as clocks from '../src/core/clock.js';
import * as heartbeats from '../src/core/heartbeats/index.js';
import * as results from '../src/core/result.js';
import * as workers from '../stand-ins/fleet/workers.js';
import type * as ledger from '../src/core/ledger/index.js';
import type * as platform from '../src/core/platform/types.js';

/** Longest lease that the workers grant, in milliseconds: longer than the span of the owner's leases. */
const longestLeaseMs = 10_000;

/**
 * A worker restarts under its old name while a start is under way. Its clock begins anew, so the expiry in the start is far
 * ahead of it, and it grants itself its longest lease.
 */
async function startAtLaterIncarnation(): Promise<{
	env: fixtures.TestEnvironment;
	owner: fixtures.TestOwner;
	later: workers.FakeWorker;
}> {
	const env = fixtures.createEnvironment(
		() => ({ ms: 'endless', how: 'done' }),
		undefined,
		undefined,
		longestLeaseMs,
	);
	const { clock, fleet, takeOver, submit } = env;
	const first = fleet.add('w1', {}, workers.initialBornMs);
	const owner = await takeOver();
	await clock.advance(60_000);
	fleet.fateOf = (worker, call) =>
		worker === 'w1' && call === 'start'
			? { arrivesAfterMs: 100, answersAfterMs: 0, isRefused: false }
			: undefined;
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(40);
	// The worker restarts at once; its reports don't get through any more, and the start does.
	fleet.fateOf = (worker, call) =>
		worker === 'w1' && call !== 'start'
			? { arrivesAfterMs: 1_000_000, answersAfterMs: 0, isRefused: false }
			: undefined;
	fleet.takeDown(first);
	const later = fleet.add('w1', {}, workers.initialBornMs + 1);
	await clock.advance(200);
	later.fault = 'silent';
	return { env, owner, later };
}

async function twiceWithin(env: fixtures.TestEnvironment, ms: number): Promise<string[]> {
	const twice: string[] = [];
	for (let passed = 0; passed < ms; passed += 50) {
		await env.clock.advance(50);
		twice.push(...env.fleet.tasksRunningTwice());
	}
	return twice;
}

test('a later incarnation takes a lease for the earlier one: the owner stays', async (t) => {
	const { env, owner, later } = await startAtLaterIncarnation();
	t.is(later.running.size, 1);
	env.fleet.add('w2');
	owner.dispatcher.setWorkers(env.fleet.entries(), [], true);
	t.deepEqual([...new Set(await twiceWithin(env, 12_000))], []);
	owner.dispatcher.close();
});

test('a later incarnation takes a lease for the earlier one: a successor follows', async (t) => {
	const { env, owner, later } = await startAtLaterIncarnation();
	t.is(later.running.size, 1);
	owner.die();
	env.fleet.add('w2');
	const second = await env.takeOver();
	t.deepEqual([...new Set(await twiceWithin(env, 12_000))], []);
	second.dispatcher.close();
});

test('an answer to a heartbeat of a former role does not end the role that the box has by then', async (t) => {
	const { clock } = fixtures.createEnvironment(() => ({ ms: 'endless', how: 'done' }));
	let answer: (outcome: ledger.HeartbeatOutcome) => void = () => undefined;
	let fenced = 0;
	const beating = heartbeats.OwnerHeartbeats.create({
		clock,
		generation: 3,
		inheritedLeasesEndAt: -Infinity,
		store: () =>
			new Promise((resolve) => {
				answer = resolve;
			}),
		onSent: () => undefined,
		onFenced: () => {
			fenced += 1;
		},
	});
	beating.close();
	answer({ outcome: 'superseded', stored: undefined });
	await clock.advance(10);
	t.is(fenced, 0);
});

/** An environment whose store treats commits as `around` says. */
function withCommits(
	around: (
		env: fixtures.TestEnvironment,
		commit: () => ReturnType<platform.RecordStore['commit']>,
	) => ReturnType<platform.RecordStore['commit']>,
): fixtures.TestEnvironment {
	const env = fixtures.createEnvironment(
		() => ({ ms: 'endless', how: 'done' }),
		undefined,
		undefined,
		longestLeaseMs,
	);
	const plainView = env.store.view.bind(env.store);
	env.store.view = (fault) => {
		const view = plainView(fault);
		return { ...view, commit: (txn) => around(env, () => view.commit(txn)) };
	};
	return env;
}

for (const slowMs of [1_700, 2_400])
	test(`leases go on while the store answers writes after ${slowMs} ms and reads at once`, async (t) => {
		let delayMs = 0;
		const env = withCommits(async ({ clock }, commit) => {
			await clocks.sleep(clock, delayMs / 2);
			const res = await commit();
			await clocks.sleep(clock, delayMs / 2);
			return res;
		});
		const w1 = env.fleet.add('w1');
		const owner = await env.takeOver();
		await env.submit(owner, fixtures.job('job1', [fixtures.step({ lasting: true })]));
		await env.clock.advance(3_000);
		delayMs = slowMs;
		await env.clock.advance(30_000);
		t.deepEqual(
			w1.ended.map((one) => one.how),
			[],
		);
		t.is(env.fleet.starts.length, 1);
		owner.dispatcher.close();
	});

test('leases go on while the store refuses writes for eight seconds and its reads confirm the epoch', async (t) => {
	let isRefusing = false;
	const env = withCommits((_env, commit) =>
		isRefusing
			? Promise.resolve(results.fail({ effect: 'none' as const, reason: 'too many writes' }))
			: commit(),
	);
	env.fleet.add('w1');
	const owner = await env.takeOver();
	await env.submit(owner, fixtures.job('job1', [fixtures.step({ lasting: true })]));
	await env.clock.advance(3_000);
	isRefusing = true;
	await env.clock.advance(8_000);
	isRefusing = false;
	await env.clock.advance(2_000);
	t.is(env.fleet.starts.length, 1);
	owner.dispatcher.close();
});
