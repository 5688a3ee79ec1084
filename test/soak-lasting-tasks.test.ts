/**
 * The soak's check of long-running tasks: how long each is without a run, when that breaks the users' rule, and when it
 * breaks the bound of nine seconds.
 */
import test from 'ava';
import * as checkers from '../dev/soak/invariant-checker.js';
import * as faultTimes from '../dev/soak/fault-times.js';
import * as lastingTasks from '../dev/soak/lasting-tasks.js';
import * as random from '../dev/random.js';

const jobId = '0123456789abcdef';
const task = `${jobId}.0.0.0`;
const milliCores = 4_000;

interface TestSetup {
	checker: checkers.InvariantChecker;
	faults: faultTimes.FaultTimes;
	tasks: lastingTasks.LastingTasks;
	/** Sets the time, in seconds. */
	at: (seconds: number) => void;
	start: (run: number, worker: string) => void;
	end: (run: number, how: 'lapsed' | 'failed') => void;
	/** The promises broken at the end. */
	broken: () => string[];
}

/** A long-running job of one task, which is accepted at 0 s. */
function makeSetup(): TestSetup {
	let now = 0;
	const checker = checkers.InvariantChecker.create(() => now, false);
	const faults = faultTimes.FaultTimes.create(() => now);
	const tasks = lastingTasks.LastingTasks.create({ checker, faults });
	checker.lastingTasks = tasks;
	checker.noteSubmission({
		id: jobId,
		steps: [{ tasks: 1, milliCores, after: [] }],
		accepted: true,
		mayBeAccepted: false,
		cancelled: false,
		completed: false,
		failed: false,
		lasting: true,
		sentAt: 0,
		acceptedAt: 0,
		lastProgressAt: 0,
	});
	tasks.add(task, milliCores);
	tasks.accepted([task]);
	return {
		checker,
		faults,
		tasks,
		at(seconds) {
			now = seconds;
		},
		start(run, worker) {
			checker.started({ at: now, task, run, worker, checkpoint: '', epoch: 1 });
		},
		end(run, how) {
			checker.ended({ seq: 1, task, run, how, checkpoint: '' });
		},
		broken() {
			checker.checkAtEnd();
			return checker.violations.map(({ promise }) => promise);
		},
	};
}

/** A task that runs from 0 s on, whose worker crashes at 20 s. */
function makeCrashed(): TestSetup {
	const setup = makeSetup();
	setup.start(1, 'w1');
	setup.at(20);
	setup.faults.noteMoment();
	setup.checker.crashed('w1', [task]);
	return setup;
}

test('a task that runs again after nine seconds keeps both promises, one that takes longer breaks both', (t) => {
	const inTime = makeCrashed();
	inTime.at(28.99);
	inTime.start(2, 'w2');
	t.deepEqual(inTime.broken(), []);
	const late = makeCrashed();
	late.at(29.01);
	late.start(2, 'w2');
	t.deepEqual(late.broken(), ['lasting', 'lasting-bound']);
	const [gap] = late.tasks.judgedGaps();
	t.like(gap, { task, from: 20, to: 29.01, cause: 'w1 crashed', next: { run: 2, worker: 'w2', epoch: 1 } });
});

test('the rule asks for seven calm seconds, the bound does not', (t) => {
	const { faults, at, start, broken } = makeCrashed();
	// The four seconds before the first three idle ones, and then these themselves, are not calm.
	at(25.5);
	faults.noteMoment();
	at(32);
	const end = faults.begin();
	at(33);
	end();
	at(39.9);
	start(2, 'w2');
	t.deepEqual(broken(), ['lasting-bound']);
});

test('a task without a run for seven calm seconds after a later fault breaks the rule', (t) => {
	const { faults, at, start, broken } = makeCrashed();
	const end = faults.begin();
	at(24);
	end();
	at(31);
	start(2, 'w2');
	t.deepEqual(broken(), ['lasting', 'lasting-bound']);
});

test('a fault that is still under way leaves no calm', (t) => {
	const { faults, at, broken } = makeCrashed();
	at(21);
	faults.begin();
	at(60);
	t.deepEqual(broken(), ['lasting-bound']);
});

test('a store that answers no box excuses the bound only if it is back less than 3.5 s before it', (t) => {
	for (const { back, expected } of [
		{ back: 25.4, expected: ['lasting-bound'] },
		{ back: 25.6, expected: [] },
	]) {
		const { faults, tasks, at, start, broken } = makeCrashed();
		at(22);
		const end = faults.beginStoreOutage();
		at(back);
		end();
		at(30);
		start(2, 'w2');
		t.deepEqual(broken(), expected);
		t.is(tasks.judgedGaps()[0]?.excused, expected.length === 0);
	}
});

test('a stall of the soak itself counts as a fault under which the store answered no box', (t) => {
	const { faults, at, start, broken } = makeCrashed();
	at(28);
	faults.noteStall(1.5);
	t.deepEqual(faultTimes.calmStretches(faults.all), [
		{ from: 0, to: 20 },
		{ from: 20, to: 26.5 },
		{ from: 28, to: Infinity },
	]);
	at(34.9);
	start(2, 'w2');
	t.deepEqual(broken(), []);
});

test('a store that went away after the nine seconds, or before the crash alone, excuses nothing', (t) => {
	for (const [from, to] of [
		[10, 20],
		[29, 32],
	] as const)
		t.false(lastingTasks.isStoreAwayTooLong({ from: 20 }, [{ from, to }]));
	t.true(lastingTasks.isStoreAwayTooLong({ from: 20 }, [{ from: 10, to: Infinity }]));
});

test('a task that has not begun again counts with the time so far, until its job is cancelled', (t) => {
	const open = makeCrashed();
	open.at(31);
	t.false(open.tasks.areAllRunning());
	t.like(open.tasks.judgedGaps()[0], { from: 20, to: 31, next: undefined });
	t.deepEqual(open.broken(), ['lasting', 'lasting-bound']);
	const cancelled = makeCrashed();
	cancelled.at(28);
	cancelled.tasks.cancelled([task]);
	cancelled.at(60);
	t.true(cancelled.tasks.areAllRunning());
	t.like(cancelled.tasks.judgedGaps()[0], { from: 20, to: 28, next: undefined });
	t.deepEqual(cancelled.broken(), []);
});

test('the end of a run of a cancelled job begins no time without a run', (t) => {
	const { tasks, at, start, end, broken } = makeSetup();
	start(1, 'w1');
	tasks.cancelled([task]);
	end(1, 'failed');
	at(60);
	t.deepEqual(broken(), []);
	t.true(tasks.areAllRunning());
});

test('a task that never begins counts from its acceptance', (t) => {
	const { at, broken } = makeSetup();
	at(10);
	t.deepEqual(broken(), ['lasting', 'lasting-bound']);
});

test('the time without a run begins with the end of the last of several runs', (t) => {
	const { checker, tasks, at, start, end } = makeSetup();
	start(1, 'w1');
	at(10);
	start(2, 'w2');
	at(12);
	end(1, 'lapsed');
	t.true(tasks.areAllRunning());
	at(15);
	checker.crashed('w2', [task]);
	at(16);
	start(3, 'w1');
	t.like(tasks.judgedGaps()[0], { from: 15, to: 16, cause: 'w2 crashed' });
});

test('a crash of another worker, and the end of an unknown run, change nothing', (t) => {
	const { checker, tasks, at, start, end } = makeSetup();
	start(1, 'w1');
	at(5);
	checker.crashed('w2', [task]);
	end(7, 'lapsed');
	t.true(tasks.areAllRunning());
	t.true(tasks.hasRunOn('w1'));
	t.false(tasks.hasRunOn('w2'));
});

test('waiting tasks need capacity twice over', (t) => {
	const { checker, tasks } = makeCrashed();
	tasks.checkCapacity([
		{ id: 'w2', freeMilliCores: 7_999 },
		{ id: 'w3', freeMilliCores: 4_000 },
	]);
	t.deepEqual(checker.violations, []);
	tasks.checkCapacity([{ id: 'w2', freeMilliCores: 7_999 }]);
	t.deepEqual(
		checker.violations.map(({ promise }) => promise),
		['lasting-room'],
	);
});

test('the rule is judged as by a look at every moment', (t) => {
	const nextRandom = random.seededRandom(11);
	const seconds = (max: number): number => random.randomInteger(nextRandom, 0, max * 10) / 10;
	/** Whether the seven seconds up to a moment are calm and the last three are idle and late enough. */
	const breaksAt = (to: number, gap: { from: number; to: number }, faults: faultTimes.FaultTime[]): boolean =>
		to <= gap.to + 1e-9 &&
		to - 3 >= gap.from + 6 - 1e-9 &&
		faults.every((fault) => fault.to <= to - 7 + 1e-9 || fault.from >= to - 1e-9);
	let broken = 0;
	for (let round = 0; round < 500; round += 1) {
		const from = seconds(20);
		const gap = { from, to: from + seconds(25) };
		const faults = Array.from({ length: random.randomInteger(nextRandom, 0, 4) }, () => {
			const begin = seconds(50);
			return { from: begin, to: begin + seconds(5) };
		});
		// The soak begins at 0 s with a calm stretch, and all times are multiples of 0.1 s.
		const moments = Array.from({ length: 451 }, (_, index) => index / 10).filter((moment) => moment >= 7);
		const expected = moments.some((moment) => breaksAt(moment, gap, faults));
		t.is(lastingTasks.breaksRule(gap, faults), expected, JSON.stringify({ gap, faults }));
		broken += expected ? 1 : 0;
	}
	t.true(broken > 50 && broken < 450);
});
