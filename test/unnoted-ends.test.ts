/**
 * Guards against exits that are never acknowledged. After the workers of a zone came back cold, this happened to a third of
 * the exits that they listed. Each report brought new exits, and storing them took longer than an answer counts as recent,
 * so no poll acknowledged any exit.
 */
import test from 'ava';
import * as real from './fixtures/real-boxes.js';
import * as world from './fixtures/dispatching.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/** Interval at which a job of three tasks is submitted, in milliseconds; short enough for each report to bring new exits. */
const jobGapMs = 120;

/** How long jobs are submitted, in milliseconds. */
const busyMs = 8_000;

/** Maximum time that a report waits, apart from the writes, in milliseconds (`dispatch/settings.ts`). */
const reportMs = 1_000;

/** When each exit was listed and when it was acknowledged, by task and run. */
class EndTimes {
	private readonly listed = new Map<string, number>();
	private readonly noted = new Map<string, number>();

	private constructor(private readonly now: () => number) {}

	static create(now: () => number): EndTimes {
		return new EndTimes(now);
	}

	get journal(): workers.FleetJournal {
		return {
			started: () => undefined,
			ended: ({ task, run }) => void this.listed.set(`${task}#${String(run)}`, this.now()),
			forgotten: ({ task, run }) => void this.noted.set(`${task}#${String(run)}`, this.now()),
		};
	}

	get count(): number {
		return this.listed.size;
	}

	/** Exits listed more than `ms` milliseconds ago and not acknowledged, or acknowledged later than that. */
	overdue(ms: number): string[] {
		const now = this.now();
		return [...this.listed].filter(([end, at]) => (this.noted.get(end) ?? now) - at > ms).map(([end]) => end);
	}
}

for (const writeMs of [50, 150, 250, 350, 500])
	test(`exits are acknowledged while each report brings new ones and a write takes ${String(writeMs)} ms`, async (t) => {
		let now = (): number => 0;
		const ends = EndTimes.create(() => now());
		const made = world.createWorld(() => ({ ms: 200, how: 'done' }), ends.journal);
		now = () => made.clock.now();
		made.fleet.add('w1', {}, 1);
		const owner = await made.takeOver();
		await made.clock.pass(1_200);
		made.store.writeMs = writeMs;
		for (let at = 0; at < busyMs; at += jobGapMs) {
			const handedIn = world.job(`job${String(at)}`, [world.step({ count: 3, milliCores: 200 })]);
			owner.dispatcher.addJob({ ...handedIn, acceptedUnder: owner.ledger.generation });
			await made.clock.pass(jobGapMs);
		}
		t.true(ends.count > busyMs / jobGapMs);
		// An exit waits for the write in progress and for its own.
		t.deepEqual(ends.overdue(2 * writeMs + reportMs), []);
		owner.dispatcher.close();
	});

test('exits are acknowledged while reports wait for the processor of a busy owner', async (t) => {
	let now = (): number => 0;
	const ends = EndTimes.create(() => now());
	const made = world.createWorld(() => ({ ms: 200, how: 'done' }), ends.journal);
	now = () => made.clock.now();
	const { fleet, store, clock } = made;
	fleet.add('w1', {}, 1);
	const owner = await made.takeOver();
	await clock.pass(1_200);
	store.writeMs = 300;
	fleet.reportDelayMs = 600;
	for (let at = 0; at < busyMs; at += jobGapMs) {
		const handedIn = world.job(`job${String(at)}`, [world.step({ count: 3, milliCores: 200 })]);
		owner.dispatcher.addJob({ ...handedIn, acceptedUnder: owner.ledger.generation });
		await clock.pass(jobGapMs);
	}
	t.true(ends.count > busyMs / jobGapMs);
	// Two reports come late: the one that lists the exit, and the one after whose answer the exit is acknowledged.
	t.deepEqual(ends.overdue(2 * store.writeMs + reportMs + 2 * fleet.reportDelayMs), []);
	owner.dispatcher.close();
});

test('exits are acknowledged on a worker that answers no stops while the start of a lost run is unconfirmed there', async (t) => {
	let now = (): number => 0;
	const ends = EndTimes.create(() => now());
	const made = world.createWorld(() => ({ ms: 'endless', how: 'done' }), ends.journal);
	now = () => made.clock.now();
	const { clock, fleet, submit } = made;
	const w1 = fleet.add('w1', {}, 1);
	const owner = await made.takeOver();
	await submit(owner, world.job('running', [world.step({ count: 3 })]));
	await clock.pass(1_200);
	w1.fault = 'silent';
	await submit(owner, world.job('unanswered', [world.step()]));
	// The worker's leases expire, so its runs have lapsed, and the start that was not answered is unconfirmed.
	await clock.pass(world.maxLeaseMs + 2_000);
	t.is(ends.count, 3);
	w1.ignoresStops = true;
	w1.fault = 'none';
	await clock.pass(2 * reportMs);
	t.is(owner.dispatcher.load().listedEnds, 0);
	t.deepEqual(w1.ended, []);
	owner.dispatcher.close();
});

test('a box takes note of ends while each report brings new ones and its store is slow', async (t) => {
	const ends = EndTimes.create(() => performance.now());
	const { platform, start } = await real.setUp(t, {
		plan: () => ({ ms: 100, how: 'done' }),
		journal: ends.journal,
	});
	const box = await start('entry-1');
	await box.logged((line) => line.name === 'owner.taken');
	await real.call(box.callers, 'POST', '00000000000000ff', real.body);
	await real.completed(box, '00000000000000ff');
	platform.store.writeMs = 300;
	const until = performance.now() + 5_000;
	const replies: Promise<real.Reply>[] = [];
	while (performance.now() < until) {
		const id = replies.length.toString(16).padStart(16, '0');
		replies.push(real.call(box.callers, 'POST', id, real.body));
		await new Promise((resolve) => setTimeout(resolve, jobGapMs));
	}
	const overdue = ends.overdue(2 * platform.store.writeMs + reportMs);
	const statuses = (await Promise.all(replies)).map((reply) => reply.status);
	t.deepEqual(
		statuses.filter((status) => status !== 200),
		[],
	);
	t.true(ends.count > replies.length);
	t.deepEqual(overdue, []);
});
