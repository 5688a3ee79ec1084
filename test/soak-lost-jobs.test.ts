/**
 * The soak's time limits: a backlog that is processed in turn is not lost, a job that makes no progress or is overtaken is.
 */
import test from 'ava';
import * as checkers from '../dev/soak/invariant-checker.js';
import * as lostJobs from '../dev/soak/lost-jobs.js';

const workerMilliCores = 32_000;
const runMs = 1_000;

/** Longer than any job may go without progress, in seconds. */
const beyondTimeoutSeconds = 25;

interface TestSetup {
	checker: checkers.InvariantChecker;
	detector: lostJobs.LostJobDetector;
	/** Advances the time by a number of seconds, with a check after each. */
	advance: (seconds: number, each?: (second: number) => void) => void;
	/** Submits a job of one task, which is accepted. */
	accept: (id: string, milliCores?: number) => checkers.SoakJob;
	/** Starts a job's task and ends it as done; callers learn that the job has completed. */
	complete: (job: checkers.SoakJob) => void;
}

function makeSetup(): TestSetup {
	let now = 0;
	const checker = checkers.InvariantChecker.create(() => now, false);
	checker.capacityOf = () => workerMilliCores;
	const runningByTask = new Map<string, { worker: string; task: string }>();
	checker.running = () => [...runningByTask.values()];
	const detector = lostJobs.LostJobDetector.create({
		checker,
		milliCores: workerMilliCores,
		workMs: () => runMs,
	});
	const taskOf = (job: checkers.SoakJob): string => `${job.id}.0.0.0`;
	return {
		checker,
		detector,
		advance(seconds, each) {
			for (let second = 1; second <= seconds; second += 1) {
				now += 1;
				each?.(second);
				detector.check();
			}
		},
		accept(id, milliCores = 1_000) {
			const steps = [{ tasks: 1, milliCores, after: [] }];
			const times = { sentAt: 0, acceptedAt: 0, lastProgressAt: 0 };
			const job = {
				id,
				steps,
				accepted: false,
				mayBeAccepted: false,
				cancelled: false,
				completed: false,
				failed: false,
				...times,
			};
			checker.noteSubmission(job);
			now += 0.01;
			checker.accepted(job);
			now += 0.01;
			return job;
		},
		complete(job) {
			const task = taskOf(job);
			checker.started({ at: now, task, run: 1, worker: 'w1', checkpoint: '', epoch: 1 });
			checker.ended({ seq: 1, task, run: 1, how: 'done', checkpoint: '' });
			checker.noteReportedCompleted(job);
		},
	};
}

/** The id of a job: 16 hex digits. */
function idOf(number: number): string {
	return number.toString(16).padStart(16, '0');
}

function lost(checker: checkers.InvariantChecker): string[] {
	return checker.violations.map(({ promise, detail }) => `${promise} ${detail.split(' ')[0] ?? ''}`);
}

test('a backlog that is processed in turn with the workers full is not lost, however long it takes', (t) => {
	const { checker, detector, advance, accept, complete } = makeSetup();
	const backlog = Array.from({ length: 100 }, (_, number) => accept(idOf(number), workerMilliCores));
	detector.noteFaultsOver();
	checker.running = () =>
		checker
			.open()
			.slice(0, 1)
			.map((job) => ({ worker: 'w1', task: `${job.id}.0.0.0` }));
	advance(100, (second) => {
		const next = backlog[second - 1];
		if (next !== undefined) complete(next);
	});
	t.deepEqual(lost(checker), []);
	t.false(detector.isWaitOver);
});

test('a job without progress while workers are free is lost, though others go on', (t) => {
	const { checker, detector, advance, accept, complete } = makeSetup();
	const stalled = accept(idOf(0), 2_000);
	detector.noteFaultsOver();
	advance(beyondTimeoutSeconds, (second) => {
		complete(accept(idOf(second), 1_000));
	});
	t.deepEqual(lost(checker), [`lost ${stalled.id}`]);
	t.true(detector.isWaitOver);
});

test('a job that later jobs of the same size keep overtaking is lost, though the workers are full', (t) => {
	const { checker, detector, advance, accept, complete } = makeSetup();
	const overtaken = accept(idOf(0), workerMilliCores);
	detector.noteFaultsOver();
	advance(beyondTimeoutSeconds, (second) => {
		const later = accept(idOf(second), workerMilliCores);
		checker.running = () => [{ worker: 'w1', task: `${later.id}.0.0.0` }];
		complete(later);
	});
	t.deepEqual(lost(checker), [`lost ${overtaken.id}`]);
	t.regex(checker.violations[0]?.detail ?? '', /passed over/);
});

test('a job that waits for its turn is not lost if a few others find free capacity', (t) => {
	const { checker, detector, advance, accept, complete } = makeSetup();
	const backlog = Array.from({ length: 60 }, (_, number) => accept(idOf(number), workerMilliCores));
	const waiting = accept(idOf(60), workerMilliCores);
	detector.noteFaultsOver();
	advance(60, (second) => {
		const next = backlog[second - 1];
		checker.running = () => [{ worker: 'w1', task: `${next?.id ?? ''}.0.0.0` }];
		if (next !== undefined) complete(next);
		if (second % 5 === 2) complete(accept(idOf(100 + second), workerMilliCores));
	});
	t.deepEqual(lost(checker), []);
	t.deepEqual(checker.open(), [waiting]);
});

test('all open jobs are lost once no run starts or exits any more, or the time limit is over', (t) => {
	const idle = makeSetup();
	const hung = idle.accept(idOf(0));
	idle.checker.running = () => [{ worker: 'w1', task: `${hung.id}.0.0.0` }];
	idle.detector.noteFaultsOver();
	idle.advance(beyondTimeoutSeconds);
	t.deepEqual(lost(idle.checker), [`lost ${hung.id}`]);
	const busy = makeSetup();
	const retried = busy.accept(idOf(0));
	busy.detector.noteFaultsOver();
	busy.advance(30, (second) => {
		const task = `${retried.id}.0.0.0`;
		busy.checker.ended({ seq: second, task, run: second, how: 'failed', checkpoint: '' });
	});
	t.deepEqual(lost(busy.checker), [`lost ${retried.id}`]);
});

test('no job is lost before the last fault is over', (t) => {
	const { checker, detector, advance, accept } = makeSetup();
	accept(idOf(0));
	advance(beyondTimeoutSeconds);
	t.deepEqual(lost(checker), []);
	detector.noteFaultsOver();
	advance(10);
	t.deepEqual(lost(checker), []);
	advance(beyondTimeoutSeconds);
	t.is(lost(checker).length, 1);
});
