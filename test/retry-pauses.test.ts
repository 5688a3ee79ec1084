/** Pauses between attempts to place waiting preemptible steps. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import * as jobs from '../src/core/jobs/index.js';
import * as retries from '../src/core/dispatch/retry-pauses.js';

function preemptibleStep(id: string): jobs.StepInstance {
	const record = fixtures.job(id, [fixtures.step({ fills: true })]);
	const options = { cancelled: false, inherited: false, workersStored: true, now: 0, age: 0 };
	const job = jobs.ActiveJob.create(record, undefined, options);
	job.openNextOccurrence(0);
	const [step] = job.steps;
	if (step === undefined) throw new Error('the job has no step');
	return step;
}

/** A round over steps in their order, of which `placed` find workers; the steps that it tried. */
function runRound(
	pauses: retries.RetryPauses,
	steps: jobs.StepInstance[],
	now: number,
	placed: ReadonlySet<jobs.StepInstance>,
): jobs.StepInstance[] {
	const due = steps.filter((step) => pauses.isDue(step, now));
	pauses.beginRound(now);
	const tried: jobs.StepInstance[] = [];
	for (const step of due) {
		if (pauses.isSkipped(step)) continue;
		tried.push(step);
		if (placed.has(step)) pauses.notePlaced(step);
		// Of the others, and of those with more tasks than were placed, a task found no worker.
		pauses.pause(step, now);
	}
	return tried;
}

// Four steps that fitted nowhere came first, and held all others to one attempt per 100 ms for as long as they waited.
test('steps that fit on no worker do not hold up later ones that do', (t) => {
	const pauses = retries.CommonPauses.create();
	const unfit = Array.from({ length: 6 }, (_, index) => preemptibleStep(`unfit-${String(index)}`));
	const others = Array.from({ length: 20 }, (_, index) => preemptibleStep(`other-${String(index)}`));
	const steps = [...unfit, ...others];
	const [first] = others;
	const placed = new Set(others.slice(0, 1));
	t.is(runRound(pauses, steps, 0, placed).length, steps.length);
	for (const now of [30, 60, 90]) {
		const tried = runRound(pauses, steps, now, placed);
		t.true(first !== undefined && tried.includes(first), `at ${String(now)} ms`);
		t.is(tried.length, unfit.length + 4, 'the attempt ends after four other steps');
	}
	// What is known of them lasts over a round in which there is no capacity for any step.
	t.is(runRound(pauses, steps, 120, new Set()).length, steps.length);
	t.is(runRound(pauses, steps, 150, placed).length, unfit.length + 4);
});

// An attempt costs a scan of the workers for each step: with all of the steps every 30 ms it would bind the processor.
test('while there is no capacity for any step, an attempt ends after four of them', (t) => {
	const pauses = retries.CommonPauses.create();
	const steps = Array.from({ length: 20 }, (_, index) => preemptibleStep(`step-${String(index)}`));
	t.is(runRound(pauses, steps, 0, new Set()).length, steps.length);
	t.is(runRound(pauses, steps, 30, new Set()).length, 4);
	// Those before a step that was placed fit again later: they count as soon as something of them is placed.
	t.is(runRound(pauses, steps, 100, new Set(steps)).length, steps.length);
	t.is(runRound(pauses, steps, 130, new Set()).length, 4);
});

/** Time until a job of 200 tasks of 20 ms, eight at a time, has completed after `unfitCount` jobs that fit on no worker, in ms. */
async function timeToComplete(unfitCount: number): Promise<number> {
	const environment = fixtures.createEnvironment(() => ({ ms: 20, how: 'done' }));
	environment.features = { ...fixtures.noFeatures, waitingOrder: 'overload' };
	const { clock, fleet, takeOver, submit } = environment;
	fleet.add('w1', { capacity: { milliCores: 16_000, memoryMb: 64_000, accelerators: 0 } });
	const owner = await takeOver();
	await clock.advance(1_200);
	const submitStep = (id: string, spec: Partial<jobs.StepSpec>): Promise<unknown> =>
		submit(owner, fixtures.job(id, [fixtures.step({ fills: true, estimateMs: 20, ...spec })]));
	for (let number = 0; number < unfitCount; number += 1)
		await submitStep(`unfit-${String(number)}`, { milliCores: 200_000 });
	await submitStep('fits', { count: 200 });
	const from = clock.now();
	while (owner.dispatcher.stateOf('fits') !== 'completed' && clock.now() - from < 10_000)
		await clock.advance(10);
	owner.dispatcher.close();
	return clock.now() - from;
}

test('a job is done nearly as fast behind jobs that fit on no worker', async (t) => {
	const [alone, behind] = [await timeToComplete(0), await timeToComplete(6)];
	t.log(`${String(alone)} ms alone, ${String(behind)} ms behind others`);
	t.true(alone < 10_000);
	// Up to 100 ms pass until the first round over all steps, which finds that the others fit nowhere.
	t.true(behind <= 1.1 * alone + 100);
});
