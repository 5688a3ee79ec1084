/** How many starts a task has left after workers crashed under it. */
import * as fc from 'fast-check';
import test from 'ava';
import * as jobs from '../src/core/jobs/index.js';

/** Crashes after which the number of further starts is limited, and that limit (both stated by the users). */
const crashesBeforeBound = 3;
const startsAfterBound = 2;

/** What may happen to a run. */
const runOutcome = fc.constantFrom('crashed', 'ended', 'never started', 'unheard under an earlier owner');

/** Starts a task repeatedly with these outcomes until it is abandoned; returns its starts after the third crash. */
function startsAfterThirdCrash(outcomes: readonly string[]): number {
	let history = jobs.CrashHistory.create();
	let crashes = 0;
	let starts = 0;
	for (const [index, how] of outcomes.entries()) {
		const run = index + 1;
		history.resolveTries(() => 'crashed');
		if (history.abandonReason !== undefined) return starts;
		history.noteTry(run, 'w1');
		if (crashes >= crashesBeforeBound && how !== 'never started') starts += 1;
		if (how === 'crashed') history.noteCrash(run, false);
		if (how === 'ended') history.noteExit(run);
		if (how === 'never started') history.noteNotStarted(run);
		if (how === 'unheard under an earlier owner') history = jobs.CrashHistory.create(history.toStored());
		if (how === 'crashed' || how === 'unheard under an earlier owner') crashes += 1;
	}
	return starts;
}

test('one start fewer than the limit allows is left, as one crash may not have been counted', (t) => {
	const history = jobs.CrashHistory.create();
	for (const run of [1, 2, 3]) {
		history.noteTry(run, 'w1');
		history.noteCrash(run, false);
		t.is(history.abandonReason, undefined);
	}
	history.noteTry(4, 'w1');
	history.noteCrash(4, false);
	t.is(history.abandonReason, 'too many to go on, whatever the cause');
});

test('two runs that may have exited before their workers crashed count as one crash', (t) => {
	const history = jobs.CrashHistory.create();
	for (const run of [1, 2, 3, 4, 5, 6, 7]) {
		history.noteTry(run, 'w1');
		history.notePossibleCrash(run);
		t.is(history.crashed, Math.floor(run / 2));
	}
	const { crashed, lost } = jobs.CrashHistory.create(history.toStored());
	t.deepEqual({ crashed, lost }, { crashed: 3, lost: 7 });
	history.noteExit(7);
	history.noteExit(6);
	t.is(history.crashed, 2);
});

test('a stored start whose run is nowhere counts by what happened to the worker that it names', (t) => {
	const stored = {
		crashed: [1],
		blamed: [],
		tries: [2, 3, 4, 5],
		triedOn: { 2: 'lost', 3: 'hung', 4: 'living' },
	};
	const history = jobs.CrashHistory.create(stored);
	history.resolveTries((worker) => {
		if (worker === 'lost') return 'crashed';
		if (worker === 'hung') return 'in-doubt';
		return worker === 'living' ? 'not-started' : undefined;
	});
	const { crashed, tries, doubtful = [] } = history.toStored();
	t.deepEqual({ crashed, tries, doubtful }, { crashed: [1, 2], tries: [4, 5], doubtful: [3] });
});

test('whatever the outcomes of the runs, at most two starts follow the third crash', (t) => {
	const run = fc.property(fc.array(runOutcome, { maxLength: 20 }), (outcomes) => {
		return startsAfterThirdCrash(outcomes) <= startsAfterBound;
	});
	t.notThrows(() => {
		fc.assert(run, { seed: 1, numRuns: 2_000 });
	});
});
