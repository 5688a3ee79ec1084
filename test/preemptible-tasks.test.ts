/** Preemptible tasks: none waits for ever because of the interference that it would cause. */
import test from 'ava';
import * as events from '../src/core/events/index.js';
import * as fencing from '../src/core/dispatch/fencing-tokens.js';
import * as firstReportTurns from '../src/core/dispatch/first-report-turns.js';
import * as exemptions from '../src/core/dispatch/interference-exemptions.js';
import * as jobs from '../src/core/jobs/index.js';
import * as sessions from '../src/core/dispatch/worker-session.js';
import * as settings from '../src/core/dispatch/settings.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as fixtures from './fixtures/dispatching.js';
import * as workers from '../stand-ins/fleet/workers.js';
import type * as dispatchTypes from '../src/core/dispatch/types.js';

/**
 * Latency target of the serving tasks, and the tail latency that they report: close to the target whatever runs beside them.
 */
const targetMs = 150;
const tailMs = 140;

function plan(task: string): workers.RunPlan {
	if (task.startsWith('serving')) return { ms: 'endless', how: 'done', reading: tailMs };
	return { ms: 1_000, how: 'done', reading: 3_400 };
}

/**
 * Two workers on which any preemptible task would interfere with the serving tasks; less than half of their cores are
 * reserved.
 */
async function createServingEnvironment(): Promise<fixtures.TestEnvironment & { owner: fixtures.TestOwner }> {
	const environment = fixtures.createEnvironment(plan);
	environment.fleet.add('w1');
	environment.fleet.add('w2');
	const owner = await environment.takeOver();
	const serving = { count: 8, milliCores: 3_200, lasting: true, image: 'serving', targetMs, maxPerWorker: 4 };
	await environment.submit(owner, fixtures.job('serving', [fixtures.step(serving)]));
	await environment.clock.advance(5_000);
	if (environment.fleet.starts.length !== 8) throw new Error('the serving tasks do not run');
	return { ...environment, owner };
}

/** A session with a worker that never answers. */
function createSession(clock: time.VirtualClock, id: string): sessions.WorkerSession {
	const fleet = workers.FakeFleet.create({ clock, maxLeaseMs: fixtures.maxLeaseMs, plan });
	const deps = {
		clock,
		events: events.EventLog.create('test', clock),
		calls: fleet.calls(),
		maxLeaseMs: fixtures.maxLeaseMs,
		epoch: 1,
		mayAct: () => true,
		leasesEndBy: () => Infinity,
		epochConfirmedAt: () => clock.now(),
		confirmEpoch: () => Promise.resolve(),
		onFenced: () => undefined,
		tokens: fencing.FencingTokens.create(1, () => undefined),
		isEvacuated: () => false,
		firstReportTurns: firstReportTurns.FirstReportTurns.create(clock),
	};
	const handlers: dispatchTypes.SessionHandlers = {
		onReport: () => ({ type: 'put-off' }),
		onUnanswered: () => undefined,
		onLost: () => undefined,
		otherIncarnations: () => [],
		onSuperseded: () => undefined,
	};
	return sessions.WorkerSession.create({ id, address: `${id}:1` }, undefined, deps, handlers, -Infinity);
}

test('a preemptible step that would interfere with serving tasks on every worker completes in the end', async (t) => {
	const { clock, submit, owner } = await createServingEnvironment();
	const preemptible = { count: 9, milliCores: 3_400, fills: true, image: 'filling', checkpoints: true };
	await submit(owner, fixtures.job('filling', [fixtures.step(preemptible)]));
	await clock.advance(40_000);
	t.is(owner.dispatcher.stateOf('filling'), 'completed');
	owner.dispatcher.close();
});

test('a preemptible gang that would interfere with serving tasks on every worker completes in the end', async (t) => {
	const { clock, submit, owner } = await createServingEnvironment();
	const preemptibleGang = { count: 2, milliCores: 3_400, fills: true, gang: true, image: 'filling' };
	await submit(owner, fixtures.job('filling', [fixtures.step(preemptibleGang)]));
	await clock.advance(20_000);
	t.is(owner.dispatcher.stateOf('filling'), 'completed');
	owner.dispatcher.close();
});

test('few tasks are exempt at once: one of a step, one on a worker, on a tenth of the workers, on more after a longer wait', (t) => {
	const clock = time.VirtualClock.create();
	const exemptionTracker = exemptions.InterferenceExemptions.create();
	const steps = [1, 2, 3].map((number) => {
		const record = fixtures.job(`job${number}`, [fixtures.step({ fills: true, count: 2 })]);
		const start = { cancelled: false, inherited: false, workersStored: true, now: clock.now(), age: 0 };
		const job = jobs.ActiveJob.create(record, undefined, start);
		return job.openNextOccurrence(clock.now());
	});
	const [one, two, three] = steps.map(([task]) => task);
	if (one === undefined || two === undefined || three === undefined) throw new Error('no tasks');
	const workerCount = 10;
	const waitedMs = settings.starvedAfterMs;
	const session = createSession(clock, 'w1');
	t.true(exemptionTracker.mayGrant(one.step, waitedMs, workerCount));
	const placement = session.place(one, 1, 'running');
	exemptionTracker.grant(session, placement);
	t.true(placement.exempt);
	t.true(exemptionTracker.hasExemption(session));
	// The exemptions for a tenth of ten workers are in use; after twice the wait one more is allowed, but not to the same
	// step.
	t.false(exemptionTracker.mayGrant(two.step, waitedMs, workerCount));
	t.true(exemptionTracker.mayGrant(two.step, 2 * waitedMs, workerCount));
	t.false(exemptionTracker.mayGrant(one.step, 2 * waitedMs, workerCount));
	// A paused task interferes with nobody.
	placement.pace = 0;
	t.true(exemptionTracker.mayGrant(two.step, waitedMs, workerCount));
	session.free(placement);
	t.true(exemptionTracker.mayGrant(one.step, waitedMs, workerCount));
	session.close();
});

/**
 * Workers on which a preemptible task that takes a quarter of the cores is expected to cause a third of an SLO violation:
 * one serving task over its target for a third of the time.
 */
async function createLoadedEnvironment(): Promise<fixtures.TestEnvironment & { owner: fixtures.TestOwner }> {
	const loadedTailMs = 100;
	const environment = fixtures.createEnvironment((task) =>
		task.startsWith('serving')
			? { ms: 'endless', how: 'done', reading: loadedTailMs }
			: { ms: 1_000, how: 'done', reading: 1_000 },
	);
	for (let number = 0; number < 4; number += 1) environment.fleet.add(`w${String(number)}`);
	const owner = await environment.takeOver();
	const serving = { count: 4, milliCores: 4_000, lasting: true, image: 'serving', targetMs, maxPerWorker: 1 };
	await environment.submit(owner, fixtures.job('serving', [fixtures.step(serving)]));
	await environment.clock.advance(30_000);
	return { ...environment, owner };
}

/** At the initial estimate of its slope, it raises the load of a serving task beside it by a sixth. */
const interferingStep = { milliCores: 8_000, fills: true, image: 'filling' };

for (const count of [1, 20])
	test(`of ${String(count)} waiting preemptible tasks, the first is placed after a few seconds, once its interference is tolerated`, async (t) => {
		const { clock, fleet, owner, submit } = await createLoadedEnvironment();
		const before = fleet.starts.length;
		await submit(owner, fixtures.job('filling', [fixtures.step({ ...interferingStep, count })]));
		await clock.advance(2_000);
		t.is(fleet.starts.length, before);
		await clock.advance(4_000);
		t.true(fleet.starts.length > before);
		await clock.advance(30_000);
		t.is(owner.dispatcher.stateOf('filling'), 'completed');
		owner.dispatcher.close();
	});
