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
