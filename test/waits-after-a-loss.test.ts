/**
 * Waits that follow a loss, beside the bound of the rule that they serve. A task that lasts has to run again within nine
 * seconds of its last run, or, if anything was disrupted since, within seven seconds of the last disruption.
 */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import * as lastingTasks from '../dev/soak/lasting-tasks.js';
import * as runGaps from './fixtures/run-gaps.js';
import type * as fleet from '../src/core/fleet/types.js';
import type * as jobs from '../src/core/jobs/index.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';
import type * as workers from '../stand-ins/fleet/workers.js';

const msPerSecond = 1_000;

/** Longest leases of the workers, in milliseconds: shorter than the span of the owner's leases, and longer. */
const shortestLeaseMs = 6_000;
const longestLeases = [shortestLeaseMs, 7_500];

/** Time until a successor takes over from an owner whose process has ended, in milliseconds. */
const takeoverMs = 150;

/** How long the adviser's call takes to time out, in milliseconds, as in `platform/adviser-call.ts`. */
const adviserTimeoutMs = 8_000;

const lastingId = 'lasting';

/** Step in which a course is checked for tasks that run twice, in milliseconds. */
const stepMs = 50;

type Plan = (task: string, run: number) => workers.RunPlan;

const endless: Plan = (task) => ({
	ms: task.startsWith(lastingId) || task.startsWith('base') ? 'endless' : 400,
	how: 'done',
});

class Course {
	readonly gaps = runGaps.RunGaps.create(() => this.env.clock);
	readonly env: fixtures.TestEnvironment;
	/** Clock times of disruptions, in milliseconds. */
	readonly disruptedAt: number[] = [];
	readonly twice: string[] = [];
	/** Clock time at which each worker was last polled, by its name. */
	private readonly polledAt = new Map<string, number>();

	private constructor(longestLeaseMs: number, plan: Plan, askAdviser: fleet.AskAdviser | undefined) {
		this.env = fixtures.createEnvironment(plan, this.gaps, askAdviser, longestLeaseMs);
		this.env.fleet.fateOf = (worker, call) => {
			if (call === 'report') this.polledAt.set(worker, this.env.clock.now());
			return undefined;
		};
	}

	static async create(
		longestLeaseMs: number,
		workerCount: number,
		plan = endless,
		askAdviser?: fleet.AskAdviser,
		fault?: () => memory.StoreFault,
	): Promise<{ course: Course; owner: fixtures.TestOwner }> {
		const course = new Course(longestLeaseMs, plan, askAdviser);
		for (let index = 1; index <= workerCount; index += 1) course.env.fleet.add(`w${String(index)}`);
		const owner = await course.env.takeOver(undefined, fault);
		fixtures.followEntries(course.env.fleet, () => owner);
		await course.pass(1_500);
		return { course, owner };
	}

	pass(ms: number): Promise<void> {
		const check = (): void => {
			this.twice.push(...this.env.fleet.tasksRunningTwice());
		};
		return fixtures.checkWhile(this.env.clock, ms, check, stepMs);
	}

	submitLasting(owner: fixtures.TestOwner, spec: Partial<jobs.StepSpec>, id = lastingId): Promise<unknown> {
		return this.env.submit(owner, fixtures.job(id, [fixtures.step({ lasting: true, ...spec })]));
	}

	noteDisruption(): void {
		this.disruptedAt.push(this.env.clock.now());
	}

	takeDown(worker: workers.FakeWorker, dark: boolean): void {
		this.noteDisruption();
		this.env.fleet.takeDown(worker, dark);
	}

	/** Takes the worker of a task down without power, right after a poll has extended its lease. */
	async takeDownAfterPoll(task: string): Promise<void> {
		const worker = this.workerOf(task);
		const before = this.polledAt.get(worker.name);
		for (let passed = 0; passed < 2_000 && this.polledAt.get(worker.name) === before; passed += 10)
			await this.env.clock.advance(10);
		await this.env.clock.advance(10);
		this.takeDown(worker, true);
	}

	/** The worker that runs a task. */
	workerOf(task: string): workers.FakeWorker {
		const found = [...this.env.fleet.workers.values()].find((one) => one.running.has(task));
		if (found === undefined) throw new Error(`${task} does not run`);
		return found;
	}

	/** The gaps of the job's tasks that break the rule. */
	get lost(): string[] {
		const ofTheJob = [...this.gaps.closed, ...this.gaps.open].filter((one) => one.task.startsWith(lastingId));
		return ofTheJob.filter((one) => this.isLost(one)).map((one) => `${one.task}: ${String(one.ms)} ms`);
	}

	private isLost({ from, ms }: runGaps.RunGap): boolean {
		const disruptions = this.disruptedAt.map((at) => ({ from: at, to: at }));
		return lastingTasks.breaksRule({ from, to: from + ms }, disruptions, msPerSecond);
	}

	/** Number of the job's tasks that run. */
	get runningCount(): number {
		const running = [...this.env.fleet.workers.values()].flatMap((one) => [...one.running.keys()]);
		return running.filter((task) => task.startsWith(lastingId)).length;
	}
}

for (const longestLeaseMs of longestLeases) {
	const title = (text: string): string =>
		`leases of up to ${String(longestLeaseMs)} ms, within 9 s of the last run: ${text}`;

	test(title('a worker with one task that lasts is lost'), async (t) => {
		const { course, owner } = await Course.create(longestLeaseMs, 6);
		await course.submitLasting(owner, { milliCores: 20_000 });
		await course.pass(6_000);
		await course.takeDownAfterPoll('lasting.0.0.0');
		await course.pass(14_000);
		t.is(course.runningCount, 1);
		t.deepEqual(course.twice, []);
		t.deepEqual(course.lost, []);
		owner.dispatcher.close();
	});

	test(title('room for it on several workers, less than three cores more'), async (t) => {
		const { course, owner } = await Course.create(longestLeaseMs, 6);
		await course.submitLasting(owner, { count: 6, milliCores: 10_000, maxPerWorker: 1 }, 'base');
		await course.pass(3_000);
		await course.submitLasting(owner, { milliCores: 20_000 });
		await course.pass(6_000);
		await course.takeDownAfterPoll('lasting.0.0.0');
		await course.pass(14_000);
		t.is(course.runningCount, 1);
		t.deepEqual(course.twice, []);
		t.deepEqual(course.lost, []);
		owner.dispatcher.close();
	});

	test(title('five tasks of one step that were started just before their worker crashed'), async (t) => {
		const { course, owner } = await Course.create(longestLeaseMs, 1);
		await course.submitLasting(owner, { count: 5, milliCores: 5_000 });
		await course.pass(100);
		t.is(course.runningCount, 5);
		course.takeDown(course.workerOf('lasting.0.0.0'), false);
		for (let index = 2; index <= 9; index += 1) course.env.fleet.add(`w${String(index)}`);
		owner.dispatcher.setWorkers(course.env.fleet.entries(), [], true);
		await course.pass(18_000);
		t.is(course.runningCount, 5);
		t.deepEqual(course.twice, []);
		t.deepEqual(course.lost, []);
		owner.dispatcher.close();
	});

	test(
		title('or 7 s of the next loss: a suspect, while another one is on probation where power is lost'),
		async (t) => {
			const { course, owner } = await Course.create(longestLeaseMs, 1);
			await course.submitLasting(owner, { count: 2, milliCores: 5_000 });
			await course.pass(100);
			course.takeDown(course.workerOf('lasting.0.0.0'), false);
			for (let index = 2; index <= 9; index += 1) course.env.fleet.add(`w${String(index)}`);
			owner.dispatcher.setWorkers(course.env.fleet.entries(), [], true);
			for (let waited = 0; waited < 14_000 && course.runningCount === 0; waited += stepMs)
				await course.pass(stepMs);
			course.takeDown(course.workerOf('lasting.0.0.0'), true);
			await course.pass(18_000);
			t.is(course.runningCount, 2);
			t.deepEqual(course.twice, []);
			t.deepEqual(course.lost, []);
			owner.dispatcher.close();
		},
	);

	test(title('a gang of one rack, which no other rack has room for'), async (t) => {
		const { course, owner } = await Course.create(longestLeaseMs, 0);
		const rackOf = (index: number): string => `r${String(Math.ceil(index / 2))}`;
		for (let index = 1; index <= 8; index += 1)
			course.env.fleet.add(`w${String(index)}`, { labels: ['a', rackOf(index)] });
		owner.dispatcher.setWorkers(course.env.fleet.entries(), [], true);
		await course.pass(1_500);
		const gang = { count: 2, milliCores: 28_000, gang: true, sameRack: true };
		await course.submitLasting(owner, gang);
		await course.pass(4_000);
		t.is(course.runningCount, 2);
		const used = course.workerOf('lasting.0.0.0').entry.labels.at(-1);
		// One worker of each other rack has no room.
		const others = [...course.env.fleet.workers.values()].filter((one) => one.entry.labels.at(-1) !== used);
		const full = others.filter((_, index) => index % 2 === 0).map((one) => one.entry);
		owner.dispatcher.setWorkers(
			full.map((one) => ({ ...one, capacity: { ...one.capacity, milliCores: 4_000 } })),
			[],
			false,
		);
		await course.takeDownAfterPoll('lasting.0.0.0');
		await course.pass(16_000);
		t.is(course.runningCount, 2);
		t.deepEqual(course.twice, []);
		t.deepEqual(course.lost, []);
		owner.dispatcher.close();
	});

	test(title('or 7 s of the next loss: its start goes to a worker that has just lost power'), async (t) => {
		const { course, owner } = await Course.create(longestLeaseMs, 6);
		await course.submitLasting(owner, { count: 1, milliCores: 10_000 }, 'base');
		await course.submitLasting(owner, { milliCores: 25_000 });
		await course.pass(6_000);
		// Of the workers that have room for the task, the fullest: it is chosen.
		const { entry } = course.workerOf('base.0.0.0');
		const larger = { ...entry, capacity: { ...entry.capacity, milliCores: 40_000 } };
		owner.dispatcher.setWorkers([larger], [], false);
		await course.takeDownAfterPoll('lasting.0.0.0');
		await course.pass(longestLeaseMs - 1_500);
		await course.takeDownAfterPoll('base.0.0.0');
		await course.pass(16_000);
		t.is(course.runningCount, 1);
		t.deepEqual(course.twice, []);
		t.deepEqual(course.lost, []);
		owner.dispatcher.close();
	});

	test(title('the owner is lost 1.5 s after the worker lost power'), async (t) => {
		const { course, owner } = await Course.create(longestLeaseMs, 6);
		await course.submitLasting(owner, { milliCores: 20_000 });
		await course.pass(6_000);
		await course.takeDownAfterPoll('lasting.0.0.0');
		await course.pass(1_500);
		course.noteDisruption();
		owner.die();
		await course.pass(takeoverMs);
		const next = await course.env.takeOver();
		await course.pass(18_000);
		t.is(course.runningCount, 1);
		t.deepEqual(course.twice, []);
		t.deepEqual(course.lost, []);
		next.dispatcher.close();
	});
}

test('within 9 s of the last run: started beside twelve short jobs just before their worker crashed', async (t) => {
	const { course, owner } = await Course.create(shortestLeaseMs, 1);
	for (let index = 0; index < 12; index += 1) {
		const short = fixtures.job(`short-${String(index)}`, [fixtures.step()], {
			acceptedUnder: owner.ledger.generation,
		});
		owner.dispatcher.addJob(short);
	}
	const lasting = fixtures.job(lastingId, [fixtures.step({ milliCores: 1_000, lasting: true })], {
		acceptedUnder: owner.ledger.generation,
	});
	owner.dispatcher.addJob(lasting);
	await course.pass(100);
	t.is(course.runningCount, 1);
	course.takeDown(course.workerOf('lasting.0.0.0'), false);
	for (let index = 2; index <= 9; index += 1) course.env.fleet.add(`w${String(index)}`);
	owner.dispatcher.setWorkers(course.env.fleet.entries(), [], true);
	await course.pass(18_000);
	t.is(course.runningCount, 1);
	t.deepEqual(course.twice, []);
	t.deepEqual(course.lost, []);
	owner.dispatcher.close();
});

test('within 9 s of the last run: one call to the adviser gets no answer', async (t) => {
	let isAnswerLost = false;
	const { course, owner } = await Course.create(shortestLeaseMs, 6, endless, async (_step, ids) => {
		const { clock } = course.env;
		const isLost = isAnswerLost;
		isAnswerLost = false;
		await new Promise<void>((resolve) => clock.after(isLost ? adviserTimeoutMs : 50, resolve));
		if (isLost) return { ok: false, err: 'no answer' };
		return {
			ok: true,
			value: { good: ids.map((worker) => ({ worker, ticket: `for ${worker}` })), validMs: 2_000 },
		};
	});
	const queue = { ...fixtures.queue, advised: true };
	const steps = [fixtures.step({ lasting: true, milliCores: 20_000 })];
	await course.env.submit(owner, fixtures.job(lastingId, steps, { queue }));
	await course.pass(6_000);
	await course.takeDownAfterPoll('lasting.0.0.0');
	isAnswerLost = true;
	await course.pass(20_000);
	t.is(course.runningCount, 1);
	t.deepEqual(course.twice, []);
	t.deepEqual(course.lost, []);
	owner.dispatcher.close();
});

test('within 9 s of the last run: four workers crash under it one after the other, a second after each start', async (t) => {
	const { course, owner } = await Course.create(shortestLeaseMs, 6);
	await course.submitLasting(owner, { milliCores: 20_000 });
	for (let crashes = 0; crashes < 4; crashes += 1) {
		await course.pass(1_000);
		course.noteDisruption();
		const worker = course.workerOf('lasting.0.0.0');
		course.env.fleet.crashAndRecover(worker, { downMs: 500, unresponsive: false, keepsName: true });
		for (let waited = 0; waited < 12_000 && course.runningCount === 0; waited += stepMs)
			await course.pass(stepMs);
	}
	await course.pass(14_000);
	t.is(owner.dispatcher.stateOf(lastingId), 'running');
	t.is(course.runningCount, 1);
	t.deepEqual(course.twice, []);
	t.deepEqual(course.lost, []);
	owner.dispatcher.close();
});

test('within 9 s of each run: every run of two jobs fails at once, on all workers, for eight seconds', async (t) => {
	const failing: { until: number } = { until: 0 };
	const { course, owner } = await Course.create(7_500, 3, (task) =>
		course.env.clock.now() < failing.until ? { ms: 100, how: 'failed' } : endless(task, 1),
	);
	failing.until = course.env.clock.now() + 8_000;
	await course.submitLasting(owner, { count: 2, milliCores: 10_000 });
	await course.submitLasting(owner, { count: 2, milliCores: 10_000 }, `${lastingId}-too`);
	await course.pass(20_000);
	t.true(owner.events.select(({ name }) => name === 'worker.quarantined').length > 0);
	t.is(course.runningCount, 4);
	t.deepEqual(course.lost, []);
	owner.dispatcher.close();
});

test('within 9 s of the last run: stopped for an upkeep just before the owner is lost', async (t) => {
	const { course, owner } = await Course.create(7_500, 6);
	await course.submitLasting(owner, { milliCores: 20_000 });
	await course.pass(6_000);
	owner.dispatcher.vacate(course.workerOf('lasting.0.0.0').name);
	await course.pass(100);
	course.noteDisruption();
	owner.die();
	await course.pass(takeoverMs);
	const next = await course.env.takeOver();
	await course.pass(14_000);
	t.is(course.runningCount, 1);
	t.deepEqual(course.twice, []);
	t.deepEqual(course.lost, []);
	next.dispatcher.close();
});

test('within 9 s of the last run: its worker answers reports and no longer has the run', async (t) => {
	const { course, owner } = await Course.create(7_500, 6);
	await course.submitLasting(owner, { milliCores: 20_000 });
	await course.pass(6_000);
	course.workerOf('lasting.0.0.0').running.clear();
	course.gaps.ended({ task: 'lasting.0.0.0' });
	await course.pass(14_000);
	t.is(course.runningCount, 1);
	t.deepEqual(course.lost, []);
	owner.dispatcher.close();
});

test('within 9 s of the last run: its worker hangs, and the run lapses there', async (t) => {
	const { course, owner } = await Course.create(7_500, 6);
	await course.submitLasting(owner, { milliCores: 20_000 });
	await course.pass(6_000);
	course.workerOf('lasting.0.0.0').fault = 'silent';
	await course.pass(24_000);
	t.is(course.runningCount, 1);
	t.deepEqual(course.twice, []);
	t.deepEqual(course.lost, []);
	owner.dispatcher.close();
});

test('within 7 s of the disruption: the next worker carries out no commands for four seconds and reports', async (t) => {
	const { course, owner } = await Course.create(7_500, 3);
	await course.submitLasting(owner, { milliCores: 20_000 });
	await course.pass(6_000);
	await course.takeDownAfterPoll('lasting.0.0.0');
	await course.pass(6_000);
	const { fateOf } = course.env.fleet;
	let isDeaf = true;
	course.noteDisruption();
	course.env.fleet.fateOf = (worker, call) =>
		isDeaf && call !== 'report'
			? { arrivesAfterMs: 0, answersAfterMs: 'lost', isRefused: true }
			: fateOf(worker, call);
	await course.pass(4_000);
	isDeaf = false;
	course.noteDisruption();
	await course.pass(14_000);
	t.is(course.runningCount, 1);
	t.deepEqual(course.twice, []);
	t.deepEqual(course.lost, []);
	owner.dispatcher.close();
});

test('within 7 s of the disruption: the store loses answers as the task is to be started again', async (t) => {
	let fault: memory.StoreFault = 'none';
	const { course, owner } = await Course.create(7_500, 3, endless, undefined, () => fault);
	await course.submitLasting(owner, { milliCores: 20_000 });
	await course.pass(6_000);
	await course.takeDownAfterPoll('lasting.0.0.0');
	await course.pass(6_500);
	fault = 'lost';
	course.noteDisruption();
	await course.pass(4_500);
	fault = 'none';
	course.noteDisruption();
	await course.pass(14_000);
	t.is(course.runningCount, 1);
	t.deepEqual(course.twice, []);
	t.deepEqual(course.lost, []);
	owner.dispatcher.close();
});

test('within 3 s of its turn: a short job, after all workers had runs of other jobs that failed', async (t) => {
	const failing: { until: number } = { until: 0 };
	const { course, owner } = await Course.create(7_500, 3, (task) =>
		course.env.clock.now() < failing.until && task.startsWith(lastingId)
			? { ms: 100, how: 'failed' }
			: endless(task, 1),
	);
	failing.until = course.env.clock.now() + 1_000;
	await course.submitLasting(owner, { count: 2, milliCores: 10_000 });
	await course.submitLasting(owner, { count: 2, milliCores: 10_000 }, `${lastingId}-too`);
	await course.pass(1_000);
	await course.env.submit(owner, fixtures.job('short', [fixtures.step()]));
	await course.pass(3_000);
	const starts = course.env.fleet.starts.filter(({ task }) => task.startsWith('short'));
	t.is(starts.length, 1, 'it has not been started');
	owner.dispatcher.close();
});
