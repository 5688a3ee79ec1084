/** Which runs the crash of a worker is attributed to. */
import test from 'ava';
import * as attribution from '../src/core/dispatch/crash-attribution.js';
import * as fixtures from './fixtures/dispatching.js';
import * as crashes from './fixtures/crashes.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import type * as jobs from '../src/core/jobs/index.js';
import type * as sessions from '../src/core/dispatch/worker-session.js';
import type * as types from '../src/core/dispatch/types.js';

const now = 100_000;

/** A run of a job of its own, started and answered at these clock times. */
function runOf(job: string, startSentAt: number, confirmedAt: number): types.Placement {
	const task = { name: `${job}.0.0.0`, step: { job } } as unknown as jobs.Task;
	return { task, run: 1, startSentAt, confirmedAt } as types.Placement;
}

/** A worker whose connections broke at this clock time. */
function brokenAt(
	id: string,
	firstFailureAt: number,
	runs: types.Placement[],
	runOnProbation?: types.Placement,
): sessions.WorkerSession {
	const placements = new Map(runs.map((run) => [run.task.name, run]));
	const session = { id, firstFailureAt, isFailureTimeKnown: true, placements, runOnProbation };
	return session as unknown as sessions.WorkerSession;
}

/** Names of the tasks that are blamed, by worker. */
function blamedBy(losses: sessions.WorkerSession[], startDelayMs = 0): Record<string, string[]> {
	const attributed = attribution.CrashAttribution.create(time.VirtualClock.create());
	for (let sample = 0; sample < 50; sample += 1)
		attributed.noteStartAnswered(runOf('answered', now - startDelayMs, now));
	for (const session of losses) attributed.noteContactLost(session);
	return Object.fromEntries(
		losses.map(({ id }) => [id, [...attributed.blamed(id)].map(({ task }) => task.name)]),
	);
}

// Guards against tasks that go on crashing workers, as their runs on probation excuse each other: those that are placed in
// one round crash their workers at one moment.
test('runs on probation that crash their workers at the same moment are each blamed', (t) => {
	const [first, second] = [runOf('a', now - 20, now - 10), runOf('b', now - 20, now - 10)];
	const losses = [brokenAt('w1', now, [first], first), brokenAt('w2', now + 5, [second], second)];
	t.deepEqual(blamedBy(losses), { w1: ['a.0.0.0'], w2: ['b.0.0.0'] });
});

test('workers that crash at the same moment have a common cause, also if one has a run on probation', (t) => {
	const [first, second] = [runOf('a', now - 20, now - 10), runOf('b', now - 20, now - 10)];
	const losses = [brokenAt('w1', now, [first], first), brokenAt('w2', now + 5, [second])];
	t.deepEqual(blamedBy(losses), { w1: [], w2: ['b.0.0.0'] });
	t.deepEqual(blamedBy([brokenAt('w1', now, [first]), brokenAt('w2', now + 5, [second])]), {
		w1: [],
		w2: [],
	});
});

// Guards against tasks that go on crashing workers, as an owner short of processor time sends their starts late.
test('a run counts as begun when its start was answered, however long that took', (t) => {
	const slowDelayMs = 700;
	const slow = runOf('a', now - slowDelayMs, now - 15);
	t.deepEqual(blamedBy([brokenAt('w1', now, [slow])], slowDelayMs), { w1: ['a.0.0.0'] });
	t.deepEqual(
		blamedBy([brokenAt('w1', now, [slow])]),
		{ w1: [] },
		'its first copies may have arrived before',
	);
	const unanswered = runOf('a', now - slowDelayMs - 20, 0);
	t.deepEqual(blamedBy([brokenAt('w1', now, [unanswered])], slowDelayMs), { w1: ['a.0.0.0'] });
	const earlier = runOf('a', now - slowDelayMs - 200, now - 200);
	t.deepEqual(blamedBy([brokenAt('w1', now, [earlier])], slowDelayMs), { w1: [] });
	const adopted = runOf('a', -Infinity, now - 15);
	t.deepEqual(blamedBy([brokenAt('w1', now, [adopted])], slowDelayMs), { w1: [] });
});

/** Time until a start arrives at its worker, until it crashes it, and until it would be answered, in milliseconds. */
const transitMs = 300;
const crashAfterMs = 10;
const answerMs = 30;

// Guards against tasks that are started without limit, as their crashes don't count: starts arrive late at their workers, and
// the answer of each is lost in the crash.
test('crashes under starts that arrive late and are never answered count', async (t) => {
	const environment = fixtures.createEnvironment((task) =>
		task.startsWith('bad') ? { ms: 'endless', how: 'done', crashAfterMs } : { ms: 300, how: 'done' },
	);
	const { clock, fleet } = environment;
	for (let index = 0; index < 4; index += 1) fleet.add(`w${String(index)}`);
	fleet.onCrash = (worker) => {
		fleet.crashAndRecover(worker, { downMs: 500, unresponsive: false });
	};
	let answersAfterMs: number | 'lost' = answerMs;
	fleet.fateOf = (_worker, call) =>
		call === 'start' ? { arrivesAfterMs: transitMs, answersAfterMs, isRefused: false } : undefined;
	const owner = await environment.takeOver();
	fixtures.followEntries(fleet, () => owner);
	await clock.advance(1_500);
	await environment.submit(owner, fixtures.job('sound', [fixtures.step({ count: 20 })]));
	await clock.advance(2_000);
	answersAfterMs = 'lost';
	await environment.submit(owner, fixtures.job('bad', [fixtures.step()]));
	await clock.advance(60_000);
	t.is(owner.dispatcher.stateOf('bad'), 'failed');
	t.true(crashes.crashCountsOf(environment, 'bad.0.0.0').crashes <= 4);
	owner.die();
});
