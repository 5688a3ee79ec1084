/**
 * Guards against exits that are never acknowledged. After the workers of a zone came back cold, this happened to a third of
 * the exits that they listed. Each report brought new exits, and storing them took longer than an answer counts as recent,
 * so no poll acknowledged any exit.
 */
import test from 'ava';
import * as realBoxes from './fixtures/real-boxes.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/** Interval at which a job of three tasks is submitted, in milliseconds; short enough for each report to bring new exits. */
const jobIntervalMs = 120;

/** How long jobs are submitted, in milliseconds. */
const submitPhaseMs = 8_000;

/** Maximum time that a report waits, apart from the writes, in milliseconds (`dispatch/settings.ts`). */
const maxReportWaitMs = 1_000;

/** When each exit was listed and when it was acknowledged, by task and run. */
class ExitTimes {
	private readonly listed = new Map<string, number>();
	private readonly acknowledged = new Map<string, number>();

	private constructor(private readonly now: () => number) {}

	static create(now: () => number): ExitTimes {
		return new ExitTimes(now);
	}

	get journal(): workers.FleetJournal {
		return {
			started: () => undefined,
			ended: ({ task, run }) => void this.listed.set(`${task}#${String(run)}`, this.now()),
			acknowledged: ({ task, run }) => void this.acknowledged.set(`${task}#${String(run)}`, this.now()),
		};
	}

	get count(): number {
		return this.listed.size;
	}

	/** Exits listed more than `ms` milliseconds ago and not acknowledged, or acknowledged later than that. */
	overdue(ms: number): string[] {
		const now = this.now();
		return [...this.listed]
			.filter(([exit, at]) => (this.acknowledged.get(exit) ?? now) - at > ms)
			.map(([exit]) => exit);
	}
}

for (const writeMs of [50, 150, 250, 350, 500])
	test(`exits are acknowledged while each report brings new ones and a write takes ${String(writeMs)} ms`, async (t) => {
		let now = (): number => 0;
		const exits = ExitTimes.create(() => now());
		const environment = fixtures.createEnvironment(() => ({ ms: 200, how: 'done' }), exits.journal);
		now = () => environment.clock.now();
		environment.fleet.add('w1', {}, 1);
		const owner = await environment.takeOver();
		await environment.clock.advance(1_200);
		environment.store.writeMs = writeMs;
		for (let at = 0; at < submitPhaseMs; at += jobIntervalMs) {
			const record = fixtures.job(`job${String(at)}`, [fixtures.step({ count: 3, milliCores: 200 })]);
			owner.dispatcher.addJob({ ...record, acceptedUnder: owner.ledger.generation });
			await environment.clock.advance(jobIntervalMs);
		}
		t.true(exits.count > submitPhaseMs / jobIntervalMs);
		// An exit waits for the write in progress and for its own.
		t.deepEqual(exits.overdue(2 * writeMs + maxReportWaitMs), []);
		owner.dispatcher.close();
	});

test('exits are acknowledged while reports wait for the processor of a busy owner', async (t) => {
	let now = (): number => 0;
	const exits = ExitTimes.create(() => now());
	const environment = fixtures.createEnvironment(() => ({ ms: 200, how: 'done' }), exits.journal);
	now = () => environment.clock.now();
	const { fleet, store, clock } = environment;
	fleet.add('w1', {}, 1);
	const owner = await environment.takeOver();
	await clock.advance(1_200);
	store.writeMs = 300;
	fleet.reportDelayMs = 600;
	for (let at = 0; at < submitPhaseMs; at += jobIntervalMs) {
		const record = fixtures.job(`job${String(at)}`, [fixtures.step({ count: 3, milliCores: 200 })]);
		owner.dispatcher.addJob({ ...record, acceptedUnder: owner.ledger.generation });
		await clock.advance(jobIntervalMs);
	}
	t.true(exits.count > submitPhaseMs / jobIntervalMs);
	// Two reports come late: the one that lists the exit, and the one after whose answer the exit is acknowledged.
	t.deepEqual(exits.overdue(2 * store.writeMs + maxReportWaitMs + 2 * fleet.reportDelayMs), []);
	owner.dispatcher.close();
});

test('exits are acknowledged on a worker that answers no stops while the start of a lost run is unconfirmed there', async (t) => {
	let now = (): number => 0;
	const exits = ExitTimes.create(() => now());
	const environment = fixtures.createEnvironment(() => ({ ms: 'endless', how: 'done' }), exits.journal);
	now = () => environment.clock.now();
	const { clock, fleet, submit } = environment;
	const w1 = fleet.add('w1', {}, 1);
	const owner = await environment.takeOver();
	await submit(owner, fixtures.job('running', [fixtures.step({ count: 3 })]));
	await clock.advance(1_200);
	w1.fault = 'silent';
	await submit(owner, fixtures.job('unanswered', [fixtures.step()]));
	// The worker's leases expire, so its runs have lapsed, and the start that was not answered is unconfirmed.
	await clock.advance(fixtures.maxLeaseMs + 2_000);
	t.is(exits.count, 3);
	w1.ignoresStops = true;
	w1.fault = 'none';
	await clock.advance(2 * maxReportWaitMs);
	t.is(owner.dispatcher.load().listedEnds, 0);
	t.deepEqual(w1.ended, []);
	owner.dispatcher.close();
});

test('a box takes note of ends while each report brings new ones and its store is slow', async (t) => {
	const exits = ExitTimes.create(() => performance.now());
	const { platform, start } = await realBoxes.setUp(t, {
		plan: () => ({ ms: 100, how: 'done' }),
		journal: exits.journal,
	});
	const box = await start('entry-1');
	await box.waitForLine((line) => line.name === 'owner.taken');
	await realBoxes.call(box.callers, 'POST', '00000000000000ff', realBoxes.jobBody);
	await realBoxes.waitUntilCompleted(box, '00000000000000ff');
	platform.store.writeMs = 300;
	const until = performance.now() + 5_000;
	const replies: Promise<realBoxes.Reply>[] = [];
	while (performance.now() < until) {
		const id = replies.length.toString(16).padStart(16, '0');
		replies.push(realBoxes.call(box.callers, 'POST', id, realBoxes.jobBody));
		await new Promise((resolve) => setTimeout(resolve, jobIntervalMs));
	}
	const overdue = exits.overdue(2 * platform.store.writeMs + maxReportWaitMs);
	const statuses = (await Promise.all(replies)).map((reply) => reply.status);
	t.deepEqual(
		statuses.filter((status) => status !== 200),
		[],
	);
	t.true(exits.count > replies.length);
	t.deepEqual(overdue, []);
});
