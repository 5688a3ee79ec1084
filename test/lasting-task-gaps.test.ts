/** How long long-running tasks have no run after their worker is lost, beside losses of owners and of the store. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import * as leaseExpiries from '../src/core/box/lease-expiries.js';
import * as runGaps from './fixtures/run-gaps.js';
import * as ledgers from '../src/core/ledger/index.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';

/**
 * A task that lasts has to run again within this time after its last run, in milliseconds: the users allow six seconds, and
 * three in which nothing of it runs.
 */
const maxGapMs = 9_000;

/** Longest leases that the users' workers grant, in milliseconds. */
const longestLeases = [6_000, 10_000];

/** Long-running tasks; a worker has capacity for one of them. */
const taskCount = 6;

/** Time from the loss of an owner until a successor takes over, where its process ended and where its machine is silent. */
const refusedTakeoverMs = 150;
const silentTakeoverMs = 2_800;

/** The job whose tasks are long-running. */
const jobId = 'lasting';

/** Interval at which short jobs are submitted, and duration of their runs, in milliseconds. */
const shortJobIntervalMs = 200;
const shortRunMs = 150;

/** Interval at which an owner answers the pings of the other boxes, in milliseconds. */
const pingIntervalMs = 500;

/** Step in which the course is checked for tasks that run twice, in milliseconds. */
const stepMs = 50;

class Course {
	readonly gaps = runGaps.RunGaps.create(() => this.env.clock);
	readonly env: fixtures.TestEnvironment;
	storeFault: memory.StoreFault = 'none';
	readonly twice: string[] = [];
	/** The owner that answers pings; undefined: there is none. */
	private owner: fixtures.TestOwner | undefined;
	/** What the other boxes know of lease expiries. */
	private readonly expiries = leaseExpiries.LeaseExpiries.create(() => this.env.clock.now());
	private nextPingAt = 0;

	private constructor(longestLeaseMs: number) {
		this.env = fixtures.createEnvironment(
			(task) => ({ ms: task.startsWith(`${jobId}.`) ? 'endless' : shortRunMs, how: 'done' }),
			this.gaps,
			undefined,
			longestLeaseMs,
		);
	}

	/** Six long-running tasks on six of nine workers, and an owner that has been in place for five seconds. */
	static async create(longestLeaseMs: number): Promise<{ course: Course; owner: fixtures.TestOwner }> {
		const course = new Course(longestLeaseMs);
		const { fleet, submit } = course.env;
		for (let index = 1; index <= taskCount + 3; index += 1) fleet.add(`w${String(index)}`);
		const owner = await course.takeOver();
		const spec = fixtures.step({ count: taskCount, milliCores: 20_000, lasting: true });
		await submit(owner, fixtures.job(jobId, [spec]));
		await course.pass(5_000);
		return { course, owner };
	}

	async takeOver(fault: () => memory.StoreFault = () => this.storeFault): Promise<fixtures.TestOwner> {
		const roster = await this.rosterVersion();
		const generation = (this.owner?.ledger.generation ?? 0) + 1;
		this.nextPingAt = 0;
		this.owner = await this.env.takeOver(undefined, fault, this.expiries.validFor(generation, roster));
		return this.owner;
	}

	/** Ends the owner as if its machine had lost power. */
	loseOwner(): void {
		this.owner?.die();
		this.nextPingAt = Infinity;
	}

	async pass(ms: number): Promise<void> {
		for (let passed = 0; passed < ms; passed += stepMs) {
			this.ping();
			await this.env.clock.advance(Math.min(stepMs, ms - passed));
			this.twice.push(...this.env.fleet.tasksRunningTwice());
		}
	}

	private ping(): void {
		const now = this.env.clock.now();
		if (this.owner === undefined || now < this.nextPingAt) return;
		this.nextPingAt = now + pingIntervalMs;
		const { dispatcher, ledger } = this.owner;
		const silent = { rosterVersion: ledger.rosterVersion, leftMs: dispatcher.unresponsiveLeases() };
		this.expiries.update({ generation: ledger.generation, storeReachable: true, strongest: 1, silent });
	}

	private async rosterVersion(): Promise<number> {
		const reading = this.env.store.view().get(ledgers.keys.rosterKey);
		await this.env.clock.advance(10);
		const read = await reading;
		return read.ok ? (read.value?.version ?? 0) : 0;
	}

	/** Crashes two workers that run a task. `dark`: their connections stay open without an answer. */
	crashTwoWorkers(dark: boolean): void {
		const { fleet } = this.env;
		const busy = [...fleet.workers.values()].filter((one) => one.running.size > 0);
		for (const worker of busy.slice(0, 2)) fleet.takeDown(worker, dark);
	}

	/** Whether every task runs, and no two runs of a task ever overlapped. */
	get isSettled(): boolean {
		const { gaps, twice, env } = this;
		const running = [...env.fleet.workers.values()].reduce((sum, one) => sum + one.running.size, 0);
		return gaps.open.length === 0 && twice.length === 0 && running === taskCount;
	}
}

for (const longestLeaseMs of longestLeases) {
	const title = (text: string): string => `leases of up to ${String(longestLeaseMs)} ms: ${text}`;

	for (const dark of [false, true])
		test(
			title(`the owner stays while short work goes on, workers ${dark ? 'dark' : 'closed'}`),
			async (t) => {
				const { course, owner } = await Course.create(longestLeaseMs);
				const { env } = course;
				for (let passed = 0; passed < 14_000; passed += shortJobIntervalMs) {
					if (passed === 2_000) course.crashTwoWorkers(dark);
					// Some of these starts go to the crashed workers, before their polls have timed out.
					const id = `short-${String(passed)}`;
					const acceptedUnder = owner.ledger.generation;
					const steps = [fixtures.step({ count: 40, milliCores: 3_000 })];
					owner.dispatcher.addJob(fixtures.job(id, steps, { acceptedUnder }));
					await course.pass(shortJobIntervalMs);
				}
				const ofTheJob = [...course.gaps.closed, ...course.gaps.open].filter((one) =>
					one.task.startsWith(`${jobId}.`),
				);
				t.true(ofTheJob.length >= 2);
				t.deepEqual(env.fleet.tasksRunningTwice(), []);
				for (const { task, ms } of ofTheJob) t.true(ms <= maxGapMs, `${task}: ${String(ms)} ms`);
				owner.dispatcher.close();
			},
		);

	for (const takeoverMs of [refusedTakeoverMs, silentTakeoverMs])
		test(
			title(`the owner is lost at the same moment, and replaced after ${String(takeoverMs)} ms`),
			async (t) => {
				const { course } = await Course.create(longestLeaseMs);
				course.crashTwoWorkers(true);
				course.loseOwner();
				await course.pass(takeoverMs);
				const second = await course.takeOver();
				await course.pass(14_000);
				t.true(course.isSettled);
				t.true(course.gaps.longestMs <= maxGapMs, `${String(course.gaps.longestMs)} ms`);
				second.dispatcher.close();
			},
		);

	test(title('the store is away as the workers crash, and the owner dies before it is back'), async (t) => {
		const { course } = await Course.create(longestLeaseMs);
		course.storeFault = 'down';
		await course.pass(1_000);
		course.crashTwoWorkers(true);
		await course.pass(500);
		course.loseOwner();
		await course.pass(3_000);
		course.storeFault = 'none';
		await course.pass(1_600);
		const second = await course.takeOver();
		await course.pass(14_000);
		t.true(course.isSettled);
		t.true(course.gaps.longestMs <= maxGapMs, `${String(course.gaps.longestMs)} ms`);
		second.dispatcher.close();
	});

	test(title('the store turns the owner away, and a box that it serves takes over'), async (t) => {
		const { course, owner } = await Course.create(longestLeaseMs);
		course.storeFault = 'down';
		await course.pass(200);
		course.crashTwoWorkers(true);
		await course.pass(2_000);
		const second = await course.takeOver(() => 'none');
		await course.pass(14_000);
		t.true(course.isSettled);
		t.true(course.gaps.longestMs <= maxGapMs, `${String(course.gaps.longestMs)} ms`);
		owner.die();
		second.dispatcher.close();
	});

	for (const successors of [2, 3])
		test(title(`${String(successors)} successors in a row within the wait`), async (t) => {
			const { course, owner } = await Course.create(longestLeaseMs);
			course.crashTwoWorkers(true);
			course.loseOwner();
			let last = owner;
			for (let index = 0; index < successors; index += 1) {
				await course.pass(refusedTakeoverMs);
				course.loseOwner();
				last = await course.takeOver();
				await course.pass(2_000);
			}
			await course.pass(14_000);
			t.true(course.isSettled);
			t.true(course.gaps.longestMs <= maxGapMs, `${String(course.gaps.longestMs)} ms`);
			last.dispatcher.close();
		});

	for (const laterMs of [300, 1_000, 2_000, 3_000])
		test(title(`the owner dies ${String(laterMs)} ms after the workers closed`), async (t) => {
			const { course } = await Course.create(longestLeaseMs);
			course.crashTwoWorkers(false);
			await course.pass(laterMs);
			course.loseOwner();
			await course.pass(refusedTakeoverMs);
			const second = await course.takeOver();
			await course.pass(14_000);
			t.true(course.isSettled);
			t.true(course.gaps.longestMs <= maxGapMs, `${String(course.gaps.longestMs)} ms`);
			second.dispatcher.close();
		});
}
