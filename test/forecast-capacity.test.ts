/**
 * The capacity that an owner forecasts for preemptible work. Guards against refusals in an idle fleet: tasks that wait for
 * something other than cores must not make the cores in use at that moment the capacity.
 */
import test from 'ava';
import * as admission from '../src/core/admission/index.js';
import * as features from '../src/core/features/index.js';
import * as recentUse from '../src/core/dispatch/recent-use.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as forecasts from '../src/core/forecast/index.js';
import type * as jobs from '../src/core/jobs/index.js';

const workerCount = 40;
const wideQueue = { ...fixtures.queue, name: 'wide', priority: 2, stretch: 2, objectiveMs: 1_000 };
const wideStep = fixtures.step({
	count: 20,
	milliCores: 7_000,
	memoryMb: 500,
	estimateMs: 2_200,
	fills: true,
	checkpoints: true,
});

/** Forty workers with 10 cores; only the first has the label `press-1`. */
function createEnvironment(): fixtures.TestEnvironment {
	const environment = fixtures.createEnvironment(() => ({ ms: 20_000, how: 'done', reading: 1_000 }));
	environment.features = { ...features.defaultFeatures, admission: 'forecast' };
	const capacity = { milliCores: 10_000, memoryMb: 256_000, accelerators: 0 };
	for (let number = 1; number <= workerCount; number += 1)
		environment.fleet.add(`w${String(number)}`, { capacity, labels: [`press-${String(number)}`] });
	return environment;
}

function wideJob(id: string, steps: jobs.StepSpec[]): jobs.JobRecord {
	return fixtures.job(id, steps, { queue: wideQueue });
}

/** Decides on one more wide job as a box would. */
function decide({ dispatcher }: fixtures.TestOwner): admission.Verdict {
	dispatcher.forecaster.update();
	const forecast = dispatcher.forecaster.message();
	if (forecast === undefined) throw new Error('no forecast');
	return admission.decideByForecast(wideJob('next', [wideStep]), { forecast, ageMs: 0 });
}

function longestWaitMs({ dispatcher }: fixtures.TestOwner): number {
	const { classes } = dispatcher.forecaster.update();
	return Math.max(0, ...classes.map((one: forecasts.ClassForecast) => one.lateWaitMs));
}

const heldBack: [string, Partial<jobs.StepSpec>][] = [
	['a label that one worker has', { requiredLabel: 'press-1', milliCores: 1_000, count: 60 }],
	['more memory than any worker has', { memoryMb: 300_000, count: 4 }],
	['a gang that no workers can hold', { gang: true, count: 50, memoryMb: 250_000 }],
	['a limit of one task per worker', { maxPerWorker: 1, milliCores: 100, count: 60 }],
];

for (const [reason, more] of heldBack)
	test(`a job is accepted by an idle fleet while a step waits for: ${reason}`, async (t) => {
		const { clock, takeOver, submit } = createEnvironment();
		const owner = await takeOver();
		await clock.advance(500);
		const small = { ...wideStep, count: 1, milliCores: 1_000 };
		await submit(owner, wideJob('running', [small]));
		await submit(owner, wideJob('held-back', [{ ...wideStep, ...more }]));
		await clock.advance(3_000);
		t.true(owner.dispatcher.load().waitingPreemptible > 0, 'tasks wait');
		t.is(decide(owner).type, 'admit');
		owner.dispatcher.close();
	});

test('tasks that wait for memory leave at least a quarter of the spare cores as capacity', async (t) => {
	const { clock, takeOver, submit } = createEnvironment();
	const owner = await takeOver();
	await clock.advance(500);
	const large = { ...wideStep, count: 42, milliCores: 100, memoryMb: 200_000, estimateMs: 200 };
	await submit(owner, wideJob('large', [large]));
	await clock.advance(3_000);
	t.is(owner.dispatcher.load().waitingPreemptible, 2);
	await submit(owner, wideJob('wide', [{ ...wideStep, memoryMb: 250_000, count: 60 }]));
	const { classes } = owner.dispatcher.forecaster.update();
	const [found] = classes;
	t.true((found?.cores ?? 0) >= workerCount * 10 * 0.9 * 0.25, `${String(found?.cores)} cores`);
	owner.dispatcher.close();
});

test('a new owner refuses nothing for runs that most workers have not reported', async (t) => {
	const { clock, takeOver, submit } = createEnvironment();
	const first = await takeOver();
	await clock.advance(500);
	const steps = [{ ...wideStep, count: 6 }];
	for (let index = 0; index < 6; index += 1) await submit(first, wideJob(`job${String(index)}`, steps));
	await clock.advance(1_000);
	first.dispatcher.close();
	// Four of forty workers answer.
	const second = await takeOver((worker) => !/^w[1-4](:|$)/.test(worker));
	for (let elapsedMs = 50; elapsedMs < 1_000; elapsedMs += 50) {
		await clock.advance(50);
		t.is(decide(second).type, 'admit', `after ${String(elapsedMs)} ms`);
		t.true(longestWaitMs(second) < 10_000, `after ${String(elapsedMs)} ms`);
	}
	second.dispatcher.close();
});

test('the highest use of the last seconds counts for its own pool until it is too old', (t) => {
	const use = recentUse.RecentUse.create();
	use.note(new Map([['press', 50]]), 0);
	use.note(new Map([['press', 10]]), 1_000);
	t.is(use.highest('press', 1_000), 50);
	t.is(use.highest('other', 1_000), 0);
	t.is(use.highest('press', 3_500), 10);
	t.is(use.highest('press', 4_000), 0);
});
