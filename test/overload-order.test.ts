/** Order of the waiting steps under overload, compared with that by due time. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import * as replays from './fixtures/burst-replay.js';
import * as overload from '../src/core/dispatch/overload-order.js';
import * as dueTime from '../src/core/dispatch/due-time-order.js';
import * as jobs from '../src/core/jobs/index.js';
import type * as waitingOrder from '../src/core/dispatch/waiting-order.js';

/** Share of jobs completed within their objectives. */
function shareOnTime(outcomes: replays.JobOutcome[]): number {
	return outcomes.filter((one) => one.tookMs <= one.dueMs).length / outcomes.length;
}

function largestTenth(outcomes: replays.JobOutcome[]): replays.JobOutcome[] {
	const bySize = [...outcomes].sort((a, b) => b.coreMs - a.coreMs);
	return bySize.slice(0, Math.ceil(bySize.length / 10));
}

function p99(values: number[]): number {
	const sorted = [...values].sort((a, b) => a - b);
	return sorted[Math.floor(sorted.length * 0.99)] ?? 0;
}

const byQueue = (result: replays.ReplayResult, queue: string): replays.JobOutcome[] =>
	result.outcomes.filter((one) => one.queue === queue);

test('in a burst large jobs are served, nothing is passed over for long, and urgent jobs wait no longer', async (t) => {
	const before = await replays.replayBurst('due-time', 1);
	const after = await replays.replayBurst('overload', 1);
	const [wideBefore, wide] = [byQueue(before, 'wide'), byQueue(after, 'wide')];
	t.true(
		after.outcomes.every((one) => one.tookMs < Infinity),
		'everything accepted is completed',
	);
	t.true(shareOnTime(largestTenth(wide)) >= shareOnTime(wide) / 2);
	t.true(shareOnTime(largestTenth(wide)) >= 1.5 * shareOnTime(largestTenth(wideBefore)));
	t.true(shareOnTime(wide) >= shareOnTime(wideBefore) - 0.02);
	// A step goes first after 8 s, and the placements of its last tasks take up to a second.
	t.true(after.longestWaitMs < overload.maxPassedOverMs + 1_000, String(after.longestWaitMs));
	t.true(before.longestWaitMs > 15_000);
	const urgentWaits = (result: replays.ReplayResult): number[] =>
		byQueue(result, 'urgent').map((one) => one.waitMs);
	t.true(p99(urgentWaits(after)) <= p99(urgentWaits(before)) + 5);
});

/** Two orders over the same waiting steps, of which the first is in force without overload. */
function createOrders(
	waiting: waitingOrder.WaitingStep[],
	expectedRunMs = ({ spec }: jobs.StepInstance): number => spec.estimateMs,
): {
	usual: waitingOrder.WaitingOrder;
	order: waitingOrder.WaitingOrder;
} {
	const priorityOf = (one: jobs.ActiveJob): number => one.record.queue.priority;
	const usual = dueTime.DueTimeOrder.create(priorityOf);
	const order = overload.OverloadOrder.create({
		priorityOf,
		expectedRunMs,
		waiting: () => waiting.map(({ step, tasks }) => [step, tasks.length] as const),
		usual,
	});
	return { usual, order };
}

function waitingStep(
	id: string,
	spec: Partial<jobs.StepSpec>,
	age = 0,
	queue = fixtures.queue,
): waitingOrder.WaitingStep {
	const record = fixtures.job(id, [fixtures.step({ fills: true, ...spec })], { queue });
	const options = { cancelled: false, inherited: false, workersStored: true, now: 0, age };
	const job = jobs.ActiveJob.create(record, undefined, options);
	const tasks = job.openNextOccurrence(0);
	const [step] = job.steps;
	if (step === undefined) throw new Error('the job has no step');
	for (const task of tasks) task.waitingSince = -age;
	return { step, tasks };
}

const idsOf = (steps: waitingOrder.WaitingStep[]): string[] => steps.map(({ step }) => step.job.id);

/** The order of steps after overload has lasted for a second. */
function orderUnderOverload(steps: waitingOrder.WaitingStep[]): string[] {
	const { order } = createOrders(steps);
	for (let now = 0; now < 1_000; now += 100) order.sort([...steps], now);
	return idsOf(order.sort([...steps], 1_000));
}

test('without overload the order is that of due times', (t) => {
	const steps = [
		waitingStep('later', { count: 3, estimateMs: 9_000 }),
		waitingStep('sooner', { count: 30, estimateMs: 5_000 }),
	];
	const { usual, order } = createOrders(steps);
	t.deepEqual(idsOf(order.sort([...steps], 0)), idsOf(usual.sort([...steps], 0)));
	t.deepEqual(orderUnderOverload(steps), ['later', 'sooner']);
});

test('under overload a job that can no longer be on time comes after those that can', (t) => {
	// 500 + 2 × 2,000 ms after its acceptance, 3,000 ms ago, the small one is due: too soon for a run of 2,000 ms.
	const late = waitingStep('late', { count: 1, estimateMs: 2_000 }, 3_000);
	t.deepEqual(orderUnderOverload([late, waitingStep('large', { count: 30, estimateMs: 4_000 })]), [
		'large',
		'late',
	]);
});

test('under overload a job that has begun comes before smaller ones, and one passed over comes first', (t) => {
	const begun = waitingStep('begun', { count: 20, estimateMs: 4_000 });
	begun.step.job.state = 'running';
	const passedOver = waitingStep('passed over', { count: 40, estimateMs: 4_000 }, 8_000);
	const small = waitingStep('small', { count: 1, estimateMs: 4_000 });
	t.deepEqual(orderUnderOverload([small, begun, passedOver]), ['passed over', 'begun', 'small']);
});

test('under overload a queue with many small jobs leaves its share to another queue', (t) => {
	const other = { ...fixtures.queue, name: 'other' };
	const steps = Array.from({ length: 6 }, (_, i) => waitingStep(`small-${String(i)}`, { estimateMs: 4_000 }));
	const large = waitingStep('large', { count: 4, estimateMs: 4_000 }, 0, other);
	t.true(orderUnderOverload([...steps, large]).indexOf('large') <= 1);
});

// The ranks of a burst's steps expired together every 100 ms: with 800 steps these rounds took twenty times the median.
test('under overload no round computes the ranks of most steps anew, and each is at most 100 ms old', (t) => {
	const steps = Array.from({ length: 400 }, (_, i) =>
		waitingStep(`step-${String(i)}`, { estimateMs: 4_000 }),
	);
	const lastRankedAt = new Map<jobs.StepInstance, number>();
	let now = 0;
	const { order } = createOrders(steps, (step) => {
		lastRankedAt.set(step, now);
		return step.spec.estimateMs;
	});
	for (; now <= 1_000; now += 100) order.sort([...steps], now);
	for (now = 1_120; now < 2_000; now += 20) {
		order.sort([...steps], now);
		const rankedAt = [...lastRankedAt.values()];
		const ranked = rankedAt.filter((at) => at === now).length;
		// In the first of these rounds all are too old.
		t.true(now === 1_120 || ranked <= 150, `${String(ranked)} at ${String(now)} ms`);
		t.true(rankedAt.every((at) => now - at < 100));
	}
});
