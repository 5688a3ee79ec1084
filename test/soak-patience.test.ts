/**
 * The soak's time limits: a backlog that is processed in turn is not lost, a job that makes no progress or is overtaken is.
 */
import test from 'ava';
import * as judges from '../dev/soak/judge.js';
import * as patiences from '../dev/soak/patience.js';

const workerMilliCores = 32_000;
const runMs = 1_000;

/** Longer than any job may go without progress, in seconds. */
const longSeconds = 25;

interface Made {
	judge: judges.Judge;
	patience: patiences.Patience;
	/** Advances the time by a number of seconds, with a check after each. */
	pass: (seconds: number, each?: (second: number) => void) => void;
	/** Submits a job of one task, which is accepted. */
	accept: (id: string, milliCores?: number) => judges.SoakJob;
	/** Starts a job's task and ends it as done; callers learn that the job has completed. */
	complete: (job: judges.SoakJob) => void;
}

function make(): Made {
	let now = 0;
	const judge = judges.Judge.create(() => now, false);
	judge.roomOf = () => workerMilliCores;
	const running = new Map<string, { worker: string; task: string }>();
	judge.running = () => [...running.values()];
	const patience = patiences.Patience.create({ judge, milliCores: workerMilliCores, workMs: () => runMs });
	const taskOf = (job: judges.SoakJob): string => `${job.id}.0.0.0`;
	return {
		judge,
		patience,
		pass(seconds, each) {
			for (let second = 1; second <= seconds; second += 1) {
				now += 1;
				each?.(second);
				patience.look();
			}
		},
		accept(id, milliCores = 1_000) {
			const steps = [{ tasks: 1, milliCores, after: [] }];
			const times = { sentAt: 0, acceptedAt: 0, movedAt: 0 };
			const job = {
				id,
				steps,
				accepted: false,
				unknown: false,
				cancelled: false,
				completed: false,
				failed: false,
				...times,
			};
			judge.sent(job);
			now += 0.01;
			judge.accepted(job);
			now += 0.01;
			return job;
		},
		complete(job) {
			const task = taskOf(job);
			judge.started({ at: now, task, run: 1, worker: 'w1', checkpoint: '', epoch: 1 });
			judge.ended({ seq: 1, task, run: 1, how: 'done', checkpoint: '' });
			judge.toldCompleted(job);
		},
	};
}

/** The id of a job: 16 hex digits. */
function idOf(number: number): string {
	return number.toString(16).padStart(16, '0');
}

function lost(judge: judges.Judge): string[] {
	return judge.violations.map(({ promise, detail }) => `${promise} ${detail.split(' ')[0] ?? ''}`);
}

test('a backlog that is processed in turn with the workers full is not lost, however long it takes', (t) => {
	const { judge, patience, pass, accept, complete } = make();
	const backlog = Array.from({ length: 100 }, (_, number) => accept(idOf(number), workerMilliCores));
	patience.begin();
	judge.running = () =>
		judge
			.open()
			.slice(0, 1)
			.map((job) => ({ worker: 'w1', task: `${job.id}.0.0.0` }));
	pass(100, (second) => {
		const next = backlog[second - 1];
		if (next !== undefined) complete(next);
	});
	t.deepEqual(lost(judge), []);
	t.false(patience.isOver);
});

test('a job without progress while workers are free is lost, though others go on', (t) => {
	const { judge, patience, pass, accept, complete } = make();
	const still = accept(idOf(0), 2_000);
	patience.begin();
	pass(longSeconds, (second) => {
		complete(accept(idOf(second), 1_000));
	});
	t.deepEqual(lost(judge), [`lost ${still.id}`]);
	t.true(patience.isOver);
});

test('a job that later jobs of the same size keep overtaking is lost, though the workers are full', (t) => {
	const { judge, patience, pass, accept, complete } = make();
	const passed = accept(idOf(0), workerMilliCores);
	patience.begin();
	pass(longSeconds, (second) => {
		const later = accept(idOf(second), workerMilliCores);
		judge.running = () => [{ worker: 'w1', task: `${later.id}.0.0.0` }];
		complete(later);
	});
	t.deepEqual(lost(judge), [`lost ${passed.id}`]);
	t.regex(judge.violations[0]?.detail ?? '', /passed over/);
});

test('a job that waits for its turn is not lost if a few others find free capacity', (t) => {
	const { judge, patience, pass, accept, complete } = make();
	const backlog = Array.from({ length: 60 }, (_, number) => accept(idOf(number), workerMilliCores));
	const waiting = accept(idOf(60), workerMilliCores);
	patience.begin();
	pass(60, (second) => {
		const next = backlog[second - 1];
		judge.running = () => [{ worker: 'w1', task: `${next?.id ?? ''}.0.0.0` }];
		if (next !== undefined) complete(next);
		if (second % 5 === 2) complete(accept(idOf(100 + second), workerMilliCores));
	});
	t.deepEqual(lost(judge), []);
	t.deepEqual(judge.open(), [waiting]);
});

test('all open jobs are lost once no run starts or exits any more, or the time limit is over', (t) => {
	const still = make();
	const hung = still.accept(idOf(0));
	still.judge.running = () => [{ worker: 'w1', task: `${hung.id}.0.0.0` }];
	still.patience.begin();
	still.pass(longSeconds);
	t.deepEqual(lost(still.judge), [`lost ${hung.id}`]);
	const busy = make();
	const retried = busy.accept(idOf(0));
	busy.patience.begin();
	busy.pass(30, (second) => {
		const task = `${retried.id}.0.0.0`;
		busy.judge.ended({ seq: second, task, run: second, how: 'failed', checkpoint: '' });
	});
	t.deepEqual(lost(busy.judge), [`lost ${retried.id}`]);
});

test('no job is lost before the last fault is over', (t) => {
	const { judge, patience, pass, accept } = make();
	accept(idOf(0));
	pass(longSeconds);
	t.deepEqual(lost(judge), []);
	patience.begin();
	pass(10);
	t.deepEqual(lost(judge), []);
	pass(longSeconds);
	t.is(lost(judge).length, 1);
});
