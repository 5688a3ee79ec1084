/** The adaptive limit on preemptible work: how it follows reports, what it allows, and what users get under load. */
import test from 'ava';
import * as limit from '../src/core/dispatch/preemptible-limit.js';
import * as outlooks from '../src/core/dispatch/serving-outlook.js';
import * as preemptibleLoad from './fixtures/preemptible-load.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as events from '../src/core/events/index.js';
import type * as limitTypes from '../src/core/dispatch/limit-types.js';

/** The results that are summed over seeds. */
const noWork = { overShare: 0, starts: 0, slowed: 0, done: 0, doneAtBurstEnd: 0, inTime: 0 };

/** A worker with one serving task whose load takes these values at the points. */
function outlookOf(loads: number[], more: Partial<outlooks.ServingOutlook> = {}): outlooks.WorkerOutlook {
	const task = {
		image: 'web',
		loads,
		interference: loads.map(() => 0),
		contentionSlope: 0.5,
		busyLimit: 0.83,
	};
	return { revision: 0, at: 0, tasks: [{ ...task, ...more }], use: loads.map((load) => load * 0.8) };
}

function allows(outlook: outlooks.WorkerOutlook, load: limit.Load, slope: number): boolean {
	const { use, excess } = limit.effectOf(outlook, load, () => slope);
	return use <= limit.initialLimit.maxUse && excess <= -limit.initialLimit.margin;
}

test('a task is turned away for a load peak within its expected run, and not for one after it', (t) => {
	const outlook = outlookOf([0.3, 0.35, 0.5, 0.55, 0.75]);
	const load = { image: 'batch', share: 0.1 };
	t.is(outlooks.pointsWithin(2_200), 4);
	t.true(allows(outlook, { ...load, points: outlooks.pointsWithin(2_200) }, 1.5));
	t.false(allows(outlook, { ...load, points: outlooks.pointsWithin(4_000) }, 1.5));
});

test('a run counts as one second at least, and six seconds at most are examined', (t) => {
	t.is(outlooks.pointsWithin(0), outlooks.pointsWithin(1_000));
	t.is(outlooks.pointsWithin(Infinity), outlooks.pointsWithin(6_000));
	t.is(outlooks.pointsWithin(6_000), 5);
});

test('a serving task near its target keeps interfering images away, and tolerates the others', (t) => {
	const atPeak = outlookOf([0.76, 0.76]);
	t.false(allows(atPeak, { image: 'batch', share: 0.1, points: 2 }, 1));
	t.true(allows(atPeak, { image: 'batch', share: 0.1, points: 2 }, 0.05));
});

test('what is there already counts: the sum is limited, not what each task adds', (t) => {
	const load = { image: 'batch', share: 0.1, points: 2 };
	t.true(allows(outlookOf([0.5, 0.5]), load, 1));
	t.false(allows(outlookOf([0.5, 0.5], { interference: [0.5, 0.5] }), load, 1));
});

test('cores in use are limited at every point of the run', (t) => {
	const outlook = { ...outlookOf([0.2, 0.2, 0.2]), use: [0.5, 0.85, 0.5] };
	t.true(allows(outlook, { image: 'batch', share: 0.1, points: 1 }, 0));
	t.false(allows(outlook, { image: 'batch', share: 0.1, points: 2 }, 0));
});

test('the limit rises stepwise, is cut at once, and keeps its bounds', (t) => {
	let current = limit.initialLimit;
	for (let i = 0; i < 1_000; i += 1) current = limit.raise(current);
	t.deepEqual(current, { maxUse: 1.3, margin: 0 });
	const cut = limit.cut(current, 1.1);
	t.true(cut.maxUse < 1.1 && cut.maxUse >= 0.9);
	t.true(cut.margin > current.margin);
	for (let i = 0; i < 100; i += 1) current = limit.cut(current, 1.3);
	t.true(current.maxUse >= 0.9 && current.margin <= 0.3);
	// A cut at a low use is not blamed on the cores in use.
	t.is(limit.cut(limit.initialLimit, 0.4).maxUse, 0.9);
});

test('a stored limit that is none is skipped, one out of bounds is bounded', (t) => {
	for (const value of [
		undefined,
		null,
		3,
		'x',
		{},
		{ maxUse: NaN, margin: 0 },
		{ maxUse: 1, margin: Infinity },
	])
		t.is(limit.parse(value), undefined);
	t.deepEqual(limit.parse({ maxUse: 50, margin: -2 }), { maxUse: 1.3, margin: 0 });
});

/** An owner with the adaptive limit, and one worker with three serving tasks whose tail latency is `reading()`. */
async function createServing(reading: () => number): Promise<{
	environment: fixtures.TestEnvironment;
	owner: fixtures.TestOwner;
	cuts: events.LoggedEvent[];
}> {
	const environment = fixtures.createEnvironment((task) =>
		task.startsWith('serving')
			? { ms: 'endless', how: 'done', reading }
			: { ms: 2_000, how: 'done', reading: 3_000 },
	);
	environment.features = { ...fixtures.noFeatures, preemptibleLimit: 'adaptive' };
	environment.fleet.add('w1');
	const owner = await environment.takeOver();
	const cuts: events.LoggedEvent[] = [];
	owner.events.observe((event) => {
		if (event.name === 'limit.changed') cuts.push(event);
	});
	const serving = { count: 3, milliCores: 5_000, lasting: true, image: 'web', targetMs: 100 };
	await environment.submit(owner, fixtures.job('serving', [fixtures.step(serving)]));
	await environment.clock.advance(3_000);
	return { environment, owner, cuts };
}

function batch(count: number): ReturnType<typeof fixtures.step> {
	return fixtures.step({ count, milliCores: 4_000, fills: true, image: 'batch', estimateMs: 2_000 });
}

test('an excess beside preemptible work cuts the limit once, and the next owner starts from it', async (t) => {
	let reading = 30;
	const { environment, owner, cuts } = await createServing(() => reading);
	await environment.submit(owner, fixtures.job('batch', [batch(2)]));
	await environment.clock.advance(1_000);
	reading = 140;
	await environment.clock.advance(900);
	t.is(cuts.length, 1);
	t.is(owner.dispatcher.load().limitCuts, 1);
	const exported = owner.dispatcher.limit.exportLimits();
	t.true((exported.web?.margin ?? 0) > limit.initialLimit.margin);
	owner.dispatcher.close();
	const next = await environment.takeOver();
	t.is(next.dispatcher.limit.restore({ ...exported, broken: { maxUse: 'x' } }), 1);
	t.deepEqual(next.dispatcher.limit.exportLimits(), exported);
	next.dispatcher.close();
});

test('an excess without preemptible work cuts nothing', async (t) => {
	let reading = 30;
	const { environment, owner, cuts } = await createServing(() => reading);
	reading = 140;
	await environment.clock.advance(3_000);
	t.is(cuts.length, 0);
	owner.dispatcher.close();
});

test('the limit of a worker that does not report stays', async (t) => {
	const { environment, owner } = await createServing(() => 30);
	await environment.submit(owner, fixtures.job('batch', [batch(40)]));
	await environment.clock.advance(1_000);
	const w1 = environment.fleet.workers.get('w1');
	if (w1 === undefined) throw new Error('no worker');
	const coresBefore = owner.dispatcher.load().limitCores;
	t.true(owner.dispatcher.load().waitingPreemptible > 0);
	w1.fault = 'silent';
	await environment.clock.advance(1_500);
	t.is(owner.dispatcher.load().limitCores, coresBefore);
	w1.fault = 'none';
	await environment.clock.advance(3_000);
	t.true(owner.dispatcher.load().limitCores > coresBefore);
	owner.dispatcher.close();
});

test('without the feature, nothing is cut, exported or adopted', async (t) => {
	const environment = fixtures.createEnvironment(() => ({ ms: 1_000, how: 'done' }));
	const owner = await environment.takeOver();
	const { limit: fixed }: { limit: limitTypes.PreemptibleLimit } = owner.dispatcher;
	t.is(fixed.restore({ web: limit.initialLimit }), 0);
	t.deepEqual(fixed.exportLimits(), {});
	t.is(owner.dispatcher.load().limitCuts, 0);
	owner.dispatcher.close();
});

test('a worker without serving tasks takes preemptible tasks for all of its cores', async (t) => {
	const environment = fixtures.createEnvironment(() => ({ ms: 2_000, how: 'done' }));
	environment.features = { ...fixtures.noFeatures, preemptibleLimit: 'adaptive' };
	environment.fleet.add('w1', { capacity: { milliCores: 32_000, memoryMb: 128_000, accelerators: 0 } });
	const owner = await environment.takeOver();
	await environment.clock.advance(500);
	await environment.submit(owner, fixtures.job('batch', [batch(8)]));
	await environment.clock.advance(1_000);
	// With the first limit of a worker that serves, one of them waited for an exemption, also in an idle fleet.
	t.is(owner.dispatcher.load().waitingPreemptible, 0);
	owner.dispatcher.close();
});

/** Sums over three bursts with each limit; both tests below read them. */
let burstSums: Promise<Record<'fixed' | 'adaptive', typeof noWork>> | undefined;

async function sumBursts(): Promise<Record<'fixed' | 'adaptive', typeof noWork>> {
	const sum = { fixed: { ...noWork }, adaptive: { ...noWork } };
	for (const seed of [1, 2, 3])
		for (const limitName of ['fixed', 'adaptive'] as const) {
			const load = { workers: 120, seed, arrivalsMs: 40_000, restMs: 5_000, limit: limitName };
			const result = await preemptibleLoad.runLoad(load);
			for (const key of Object.keys(noWork) as (keyof typeof noWork)[]) sum[limitName][key] += result[key];
		}
	return sum;
}

test('over a burst with varying loads, serving tasks keep their targets and no work is lost to the limit', async (t) => {
	t.timeout(180_000);
	burstSums ??= sumBursts();
	const { fixed, adaptive } = await burstSums;
	t.log(fixed, adaptive);
	// Mean over the seeds: serving tasks are under target for 97% of their time.
	t.true(adaptive.overShare / 3 < 0.03);
	t.true(adaptive.slowed < 0.02 * adaptive.starts);
	t.true(adaptive.done >= fixed.done);
	t.true(adaptive.inTime > fixed.inTime);
});

test('by the end of a burst the adaptive limit has let as many preemptible tasks finish as the fixed one', async (t) => {
	t.timeout(180_000);
	burstSums ??= sumBursts();
	const { fixed, adaptive } = await burstSums;
	t.true(adaptive.doneAtBurstEnd >= fixed.doneAtBurstEnd);
});
