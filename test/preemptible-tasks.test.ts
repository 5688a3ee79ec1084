/** Tasks that fill: none waits for ever because of what it would disturb. */
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

/** Users' latency target of the serving tasks, and what they report: close to it whatever stands beside them. */
const targetMs = 150;
const tailMs = 140;

function plan(task: string): workers.RunPlan {
	if (task.startsWith('serving')) return { ms: 'endless', how: 'done', reading: tailMs };
	return { ms: 1_000, how: 'done', reading: 3_400 };
}

/** Two workers whose serving tasks any filling one would disturb; under half of the cores are reserved. */
async function createServingEnvironment(): Promise<fixtures.TestEnvironment & { owner: fixtures.TestOwner }> {
	const environment = fixtures.createEnvironment(plan);
	environment.fleet.add('w1');
	environment.fleet.add('w2');
	const owner = await environment.takeOver();
	const serving = { count: 8, milliCores: 3_200, lasting: true, image: 'serving', targetMs, maxPerWorker: 4 };
	await environment.submit(owner, fixtures.job('serving', [fixtures.step(serving)]));
	await environment.clock.pass(5_000);
	if (environment.fleet.starts.length !== 8) throw new Error('the serving tasks do not run');
	return { ...environment, owner };
}

/** A session with a worker that does not answer. */
function createSession(clock: time.VirtualClock, id: string): sessions.WorkerSession {
	const fleet = workers.FakeFleet.create({ clock, maxLeaseMs: fixtures.maxLeaseMs, plan });
	const deps = {
		clock,
		events: events.EventLog.create('test', clock),
		calls: fleet.calls(),
		maxLeaseMs: fixtures.maxLeaseMs,
		epoch: 1,
		mayAct: () => true,
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

test('a filling step that would disturb serving tasks on every worker is done in the end', async (t) => {
	const { clock, submit, owner } = await createServingEnvironment();
	const preemptible = { count: 9, milliCores: 3_400, fills: true, image: 'filling', checkpoints: true };
	await submit(owner, fixtures.job('filling', [fixtures.step(preemptible)]));
	await clock.pass(40_000);
	t.is(owner.dispatcher.stateOf('filling'), 'completed');
	owner.dispatcher.close();
});

test('so is a gang that fills', async (t) => {
	const { clock, submit, owner } = await createServingEnvironment();
	const preemptibleGang = { count: 2, milliCores: 3_400, fills: true, gang: true, image: 'filling' };
	await submit(owner, fixtures.job('filling', [fixtures.step(preemptibleGang)]));
	await clock.pass(20_000);
	t.is(owner.dispatcher.stateOf('filling'), 'completed');
	owner.dispatcher.close();
});

test('few tasks are exempt at once: one of a step, one on a worker, a tenth of the workers, more with the wait', (t) => {
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
	// A tenth of ten workers is taken; after twice the wait there is one more, but not for the same step.
	t.false(exemptionTracker.mayGrant(two.step, waitedMs, workerCount));
	t.true(exemptionTracker.mayGrant(two.step, 2 * waitedMs, workerCount));
	t.false(exemptionTracker.mayGrant(one.step, 2 * waitedMs, workerCount));
	// One that stands still harms nobody.
	placement.pace = 0;
	t.true(exemptionTracker.mayGrant(two.step, waitedMs, workerCount));
	session.free(placement);
	t.true(exemptionTracker.mayGrant(one.step, waitedMs, workerCount));
	session.close();
});

/** Workers on which a filling task of a quarter of one keeps a third of a serving task over its target. */
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
	await environment.clock.pass(30_000);
	return { ...environment, owner };
}

/** By the first guess of its slope it raises what is busy there by a sixth. */
const interferingStep = { milliCores: 8_000, fills: true, image: 'filling' };

for (const count of [1, 20])
	test(`of ${String(count)} filling tasks that wait, the first is placed after a few seconds of harm that is put up with`, async (t) => {
		const { clock, fleet, owner, submit } = await createLoadedEnvironment();
		const before = fleet.starts.length;
		await submit(owner, fixtures.job('filling', [fixtures.step({ ...interferingStep, count })]));
		await clock.pass(2_000);
		t.is(fleet.starts.length, before);
		await clock.pass(4_000);
		t.true(fleet.starts.length > before);
		await clock.pass(30_000);
		t.is(owner.dispatcher.stateOf('filling'), 'completed');
		owner.dispatcher.close();
	});
