/**
 * Which jobs are accepted while more work is outstanding than can be done in time, and after how long callers of refused
 * jobs are to retry.
 */
import test from 'ava';
import * as admission from '../src/core/admission/index.js';
import * as contacts from '../src/core/platform/contact.js';
import * as events from '../src/core/events/index.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as results from '../src/core/result.js';
import * as service from '../src/core/box/job-service.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as jobs from '../src/core/jobs/index.js';

const urgentQueue: jobs.QueuePolicy = {
	...fixtures.queue,
	name: 'urgent',
	priority: 0,
	stretch: 1.5,
	objectiveMs: 250,
};
const wideQueue: jobs.QueuePolicy = {
	...fixtures.queue,
	name: 'wide',
	priority: 2,
	stretch: 2,
	objectiveMs: 1_000,
};

/** Two steps of 1.7 s, one after the other. */
const wideSteps = [
	fixtures.step({ count: 40, estimateMs: 1_700 }),
	fixtures.step({ count: 40, estimateMs: 1_700, after: [0] }),
];

/** A box that knows of this backlog. */
function createBox(
	store: memory.MemoryStore,
	clock: time.VirtualClock,
	backlog: () => admission.Backlog,
): { box: service.JobService; log: events.EventLog } {
	const log = events.EventLog.create('entry-1', clock);
	const box = service.JobService.create({
		...contacts.monitorContact(store.view(), log, () => clock.now()),
		clock,
		events: log,
		dispatcher: () => undefined,
		callOwner: () => Promise.resolve(results.fail({ sent: false, reason: 'no owner is known' })),
		ownerGeneration: () => 1,
		backlog,
		random: () => 0,
		ownerReachesStore: () => false,
	});
	return { box, log };
}

test('a job waits behind jobs of its own and higher priorities, for at most as long as its result has value', (t) => {
	const backlog = admission.estimateBacklog(
		new Map([
			[2, 3_000],
			[0, 400],
		]),
		200,
	);
	t.deepEqual(backlog, [
		{ priority: 0, waitMs: 2_000 },
		{ priority: 2, waitMs: 17_000 },
	]);
	const short = [fixtures.step({ estimateMs: 600 })];
	t.deepEqual(admission.decide({ queue: urgentQueue, steps: short }, backlog), { type: 'admit' });
	t.deepEqual(admission.decide({ queue: wideQueue, steps: wideSteps }, backlog), {
		type: 'refuse',
		waitMs: 17_000,
		limitMs: admission.maxWaitMs,
	});
	// The job has no value left 3 x (1.5 x 600 + 250) ms after its acceptance, and it takes 600 ms.
	t.is(admission.waitLimitMs({ queue: urgentQueue, steps: short }), 2_850);
});

test('without a finish rate the backlog is not estimated, and every job is accepted', (t) => {
	const rate = admission.FinishRate.create();
	t.is(rate.tasksPerS, undefined);
	// The first seconds of a burst: many tasks wait, and few have finished yet.
	for (const finished of [0, 20, 90]) rate.addSecond(finished, 2_000);
	t.is(rate.tasksPerS, undefined);
	rate.addSecond(90, 2_000);
	t.is(rate.tasksPerS, 90);
	// A second in which little waits measures how much work there was, not how much can be done.
	rate.addSecond(5, 3);
	t.is(rate.tasksPerS, 90);
	rate.addSecond(5, 0);
	t.is(rate.tasksPerS, undefined);
	t.deepEqual(admission.estimateBacklog(new Map([[0, 10_000]]), rate.tasksPerS), []);
});

test('under a lasting overload the backlog stays bounded, and urgent jobs are never refused', (t) => {
	const rate = admission.FinishRate.create();
	const finishedPerS = 110;
	const outstanding = new Map<number, number>([
		[0, 0],
		[2, 0],
	]);
	const refused = { urgent: 0, wide: 0 };
	let longestBacklogS = 0;
	for (let second = 0; second < 60; second += 1) {
		const backlog = admission.estimateBacklog(outstanding, rate.tasksPerS);
		// Each second brings 24 urgent tasks and four wide jobs of 80 tasks: three times what is finished.
		const isAdmitted = (queue: jobs.QueuePolicy, steps: jobs.StepSpec[]): boolean =>
			admission.decide({ queue, steps }, backlog).type === 'admit';
		if (isAdmitted(urgentQueue, [fixtures.step({ estimateMs: 600 })]))
			outstanding.set(0, (outstanding.get(0) ?? 0) + 24);
		else refused.urgent += 1;
		for (let job = 0; job < 4; job += 1)
			if (isAdmitted(wideQueue, wideSteps)) outstanding.set(2, (outstanding.get(2) ?? 0) + 80);
			else refused.wide += 1;
		const urgentFinished = Math.min(finishedPerS, outstanding.get(0) ?? 0);
		outstanding.set(0, (outstanding.get(0) ?? 0) - urgentFinished);
		outstanding.set(2, Math.max(0, (outstanding.get(2) ?? 0) - (finishedPerS - urgentFinished)));
		rate.addSecond(finishedPerS, (outstanding.get(0) ?? 0) + (outstanding.get(2) ?? 0));
		longestBacklogS = Math.max(longestBacklogS, (outstanding.get(2) ?? 0) / finishedPerS);
	}
	t.is(refused.urgent, 0);
	t.true(refused.wide > 100);
	// Without a limit 14,000 tasks, more than two minutes' work, would be outstanding at the end.
	t.true(longestBacklogS < 16, `the backlog came to ${longestBacklogS.toFixed(1)} s`);
});

test('the time to retry follows the cause of the refusal, is spread, and is shorter for urgent queues', (t) => {
	const { retryAfterS } = admission;
	t.is(retryAfterS({ type: 'outage', ageMs: 0 }, 2, 0), 1);
	t.is(retryAfterS({ type: 'outage', ageMs: 4_000 }, 0, 1), 1);
	t.is(retryAfterS({ type: 'outage', ageMs: 12_000 }, 0, 1), 6);
	t.is(retryAfterS({ type: 'backlog', excessMs: 200 }, 2, 0), 1);
	t.is(retryAfterS({ type: 'backlog', excessMs: 7_000 }, 2, 0), 7);
	t.is(retryAfterS({ type: 'backlog', excessMs: 7_000 }, 2, 0.99), 11);
	t.is(retryAfterS({ type: 'backlog', excessMs: 7_000 }, 0, 0.99), 7);
	t.is(retryAfterS({ type: 'backlog', excessMs: 600_000 }, 2, 0), 30);
});

test('a refused job is not stored; one that was stored before is never reported as refused', async (t) => {
	const clock = time.VirtualClock.create();
	const store = memory.MemoryStore.create(clock);
	let backlog: admission.Backlog = [];
	const { box, log } = createBox(store, clock, () => backlog);
	const submit = async (id: string): Promise<service.Answer<'accepted'>> => {
		const answer = box.submit(wideQueue, id, { text: '', steps: wideSteps });
		await clock.advance(50);
		return answer;
	};
	t.like(await submit('00000000000000a1'), { type: 'ok' });
	backlog = [{ priority: 2, waitMs: 25_000 }];
	t.like(await submit('00000000000000a2'), { type: 'overloaded', retryAfterS: 15 });
	t.false(store.keys().some((key) => key.endsWith('a2')));
	t.like(await submit('00000000000000a1'), { type: 'ok' });
	backlog = [];
	t.like(await submit('00000000000000a2'), { type: 'ok' });
	t.deepEqual(
		log.select((event) => event.name === 'job.turned-away').map((event) => event.fields.job),
		['00000000000000a2'],
	);
});
