/** Waves of upkeep, gangs and advice, in memory. */
import test from 'ava';
import * as clocks from '../src/core/clock.js';
import * as advice from '../src/core/dispatch/advice.js';
import * as jobs from '../src/core/jobs/index.js';
import * as events from '../src/core/events/index.js';
import * as results from '../src/core/result.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as upkeep from '../src/core/upkeep/index.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';
import type * as fleet from '../src/core/fleet/types.js';

interface Machines {
	calls: fleet.MachineCalls;
	states: Map<string, fleet.Machine['state']>;
	takenDown: string[];
	/** Maximum number of machines that were down at once. */
	maxDown: () => number;
}

/** Creates machines whose upkeep takes two seconds. The first answer to each command is lost. */
function createMachines(clock: time.VirtualClock, names: string[]): Machines {
	const states = new Map<string, fleet.Machine['state']>(names.map((name) => [name, 'up']));
	const takenDown: string[] = [];
	const asked = new Set<string>();
	let maxDown = 0;
	const calls: fleet.MachineCalls = {
		list: () =>
			Promise.resolve(
				results.ok([...states].map(([name, state]) => ({ name, pool: 'press', state, worker: `w-${name}` }))),
			),
		upkeep: (name) => {
			if (!takenDown.includes(name)) {
				takenDown.push(name);
				states.set(name, 'upkeep');
				maxDown = Math.max(maxDown, [...states.values()].filter((state) => state === 'upkeep').length);
				clock.after(2_000, () => states.set(name, 'up'));
			}
			const isFirst = !asked.has(name);
			asked.add(name);
			return Promise.resolve(isFirst ? 'unknown' : 'done');
		},
		move: () => Promise.resolve('impossible'),
	};
	return { calls, states, takenDown, maxDown: () => maxDown };
}

/** Callbacks that a test provides: for the state of workers, and for the progress of waves. */
type UpkeepHooks = Pick<upkeep.UpkeepOptions, 'vacate' | 'report'> & Partial<upkeep.UpkeepOptions>;

function createUpkeep(clock: time.VirtualClock, machines: Machines, hooks: UpkeepHooks): upkeep.Upkeep {
	return upkeep.Upkeep.create({
		clock,
		events: events.EventLog.create('test', clock),
		machines: machines.calls,
		holder: 'entry-1',
		epoch: 1,
		holdMs: 0,
		epochConfirmedAt: () => clock.now(),
		confirmEpoch: () => Promise.resolve(),
		reopen: () => undefined,
		onFenced: () => undefined,
		...hooks,
	});
}

test('a wave takes every machine down once, few at a time, and completes only then', async (t) => {
	const clock = time.VirtualClock.create();
	const machines = createMachines(clock, ['m1', 'm2', 'm3', 'm4', 'm5']);
	const reports: string[] = [];
	const running = createUpkeep(clock, machines, {
		vacate: () => 'empty',
		report: (wave, state) => {
			reports.push(`${wave} ${state} after ${machines.takenDown.length}`);
			return Promise.resolve(true);
		},
	});
	running.add({ number: 7, machines: ['m1', 'm2', 'm3', 'm4'], withinMs: 60_000, maximum: 2 });
	await clock.advance(20_000);
	running.close();
	t.deepEqual([...machines.takenDown].sort(), ['m1', 'm2', 'm3', 'm4']);
	t.is(machines.maxDown(), 2);
	t.deepEqual(reports, ['7 running after 0', '7 completed after 4']);
});

test('a machine with a task that may not be missed stays up', async (t) => {
	const clock = time.VirtualClock.create();
	const machines = createMachines(clock, ['m1']);
	let state: 'protected' | 'empty' = 'protected';
	const running = createUpkeep(clock, machines, {
		vacate: () => state,
		report: () => Promise.resolve(true),
	});
	running.add({ number: 1, machines: ['m1'], withinMs: 5_000, maximum: 1 });
	await clock.advance(10_000);
	t.deepEqual(machines.takenDown, []);
	state = 'empty';
	await clock.advance(3_000);
	running.close();
	t.deepEqual(machines.takenDown, ['m1']);
});

test('a worker is vacated, but a step that may miss none keeps its tasks', async (t) => {
	const {
		clock,
		fleet: workers,
		takeOver,
		submit,
	} = fixtures.createEnvironment(() => ({ ms: 'endless', how: 'done' }));
	const w1 = workers.add('w1');
	const owner = await takeOver();
	await submit(owner, fixtures.job('free', [fixtures.step({ lasting: true })]));
	await submit(owner, fixtures.job('kept', [fixtures.step({ lasting: true, mayMiss: 0 })]));
	await clock.advance(1_000);
	t.is(owner.dispatcher.vacate('w1'), 'protected');
	await clock.advance(1_000);
	t.deepEqual([...w1.running.keys()], ['kept.0.0.0']);
	owner.dispatcher.reopen('w1');
	await clock.advance(4_000);
	t.is(w1.running.size, 2);
	owner.dispatcher.close();
});

test('a gang starts whole, under one run number, or not at all', async (t) => {
	const {
		clock,
		fleet: workers,
		takeOver,
		submit,
	} = fixtures.createEnvironment(() => ({ ms: 400, how: 'done' }));
	workers.add('w1');
	const owner = await takeOver();
	await submit(owner, fixtures.job('gang', [fixtures.step({ count: 4, milliCores: 10_000, gang: true })]));
	await clock.advance(1_500);
	t.is(workers.starts.length, 0);
	workers.add('w2');
	owner.dispatcher.setWorkers(workers.entries(), [], true);
	await clock.advance(300);
	t.is(workers.starts.length, 4);
	t.is(new Set(workers.starts.map((one) => one.run)).size, 1);
	await clock.advance(2_000);
	t.is(owner.dispatcher.stateOf('gang'), 'completed');
	owner.dispatcher.close();
});

test('the adviser gets one request at a time, and its tickets expire', async (t) => {
	const clock = time.VirtualClock.create();
	const record = fixtures.job('job1', [fixtures.step()]);
	const opts = { cancelled: false, inherited: false, workersStored: true, now: clock.now(), age: 0 };
	const job = jobs.ActiveJob.create(record, undefined, opts);
	job.openNextOccurrence(clock.now());
	const asked: string[][] = [];
	const advisory = advice.AdviserTickets.create({
		clock,
		events: events.EventLog.create('test', clock),
		ask: async (_step, workers) => {
			asked.push(workers);
			await new Promise<void>((resolve) => {
				clock.after(100, resolve);
			});
			return results.ok({ good: [{ worker: 'w2', ticket: 'pass' }], validMs: 1_000 });
		},
		onAdvice: () => undefined,
	});
	const step = job.steps[0];
	if (step === undefined) throw new Error('the job has no step');
	advisory.requestTickets(step, ['w1', 'w2']);
	advisory.requestTickets(step, ['w1', 'w2']);
	t.is(advisory.ticket(step, 'w2'), undefined);
	await clock.advance(150);
	t.is(advisory.ticket(step, 'w2'), 'pass');
	t.is(advisory.ticket(step, 'w1'), undefined);
	await clock.advance(900);
	t.is(advisory.ticket(step, 'w2'), undefined);
	advisory.requestTickets(step, ['w1', 'w2']);
	await clock.advance(150);
	t.deepEqual(asked, [['w1', 'w2'], ['w2']]);
});

test('an owner that may have been replaced takes no machine down', async (t) => {
	const clock = time.VirtualClock.create();
	const machines = createMachines(clock, ['m1', 'm2']);
	let isConfirmed = false;
	const running = createUpkeep(clock, machines, {
		vacate: () => 'empty',
		report: () => Promise.resolve(true),
		epochConfirmedAt: () => (isConfirmed ? clock.now() : -Infinity),
	});
	running.add({ number: 1, machines: ['m1', 'm2'], withinMs: 10_000, maximum: 2 });
	await clock.advance(3_000);
	t.deepEqual(machines.takenDown, []);
	isConfirmed = true;
	await clock.advance(3_000);
	t.deepEqual(machines.takenDown, ['m1', 'm2']);
	running.close();
});

/** Machines whose commands are recorded in `commands` and get no answer for the timeout of a call. */
function createSilentMachines(clock: time.VirtualClock, names: string[], commands: string[]): Machines {
	const machines = createMachines(clock, names);
	machines.calls.upkeep = async (name) => {
		commands.push(name);
		await clocks.sleep(clock, 1_500);
		return 'unknown';
	};
	return machines;
}

// Guards against commands of a replaced owner, which a platform that checks no fencing tokens carries out.
test('an owner that is closed while a command is unanswered takes no other machine down', async (t) => {
	const clock = time.VirtualClock.create();
	const commands: string[] = [];
	const machines = createSilentMachines(clock, ['m1', 'm2', 'm3'], commands);
	const vacated: string[] = [];
	const running = createUpkeep(clock, machines, {
		vacate: (worker) => {
			vacated.push(worker);
			return 'empty';
		},
		report: () => Promise.resolve(true),
	});
	running.add({ number: 1, machines: ['m1', 'm2', 'm3'], withinMs: 20_000, maximum: 3 });
	while (commands.length === 0) await clock.advance(10);
	await clock.advance(50);
	running.close();
	await clock.advance(10_000);
	t.deepEqual(commands, ['m1']);
	t.deepEqual(vacated, ['w-m1']);
});

// Guards against commands that a box sends as it wakes, before it learns that it was replaced meanwhile.
test('an owner that was suspended in a check takes no machine down before the store confirms its epoch', async (t) => {
	const clock = time.VirtualClock.create();
	const commands: string[] = [];
	const machines = createSilentMachines(clock, ['m1'], commands);
	const { list } = machines.calls;
	// The answer is read as the box wakes.
	machines.calls.list = async () => {
		await clocks.sleep(clock, 2_000);
		return list();
	};
	let isReplaced = true;
	let confirmedAt = clock.now();
	const running = createUpkeep(clock, machines, {
		vacate: () => 'empty',
		report: () => Promise.resolve(true),
		epochConfirmedAt: () => confirmedAt,
		confirmEpoch: () => {
			if (!isReplaced) confirmedAt = clock.now();
			return Promise.resolve();
		},
	});
	running.add({ number: 1, machines: ['m1'], withinMs: 20_000, maximum: 1 });
	await clock.advance(4_000);
	t.deepEqual(commands, []);
	isReplaced = false;
	await clock.advance(4_000);
	t.deepEqual(commands, ['m1']);
	running.close();
});

// Guards against a machine that gets the last command of a former owner after one of its successor.
test('a successor sends machines nothing while commands of the former owner may be in flight', async (t) => {
	const clock = time.VirtualClock.create();
	const machines = createMachines(clock, ['m1', 'm2']);
	const arrived: number[] = [];
	machines.calls.upkeep = async (_name, _wave, _holder, epoch) => {
		// The former owner's link is slow.
		await clocks.sleep(clock, epoch === 1 ? 1_400 : 2);
		arrived.push(epoch);
		return 'busy';
	};
	const createOwner = (epoch: number): upkeep.Upkeep =>
		createUpkeep(clock, machines, {
			vacate: () => 'empty',
			report: () => Promise.resolve(true),
			epoch,
			holdMs: epoch === 1 ? 0 : 3_000,
		});
	const wave: upkeep.Wave = { number: 1, machines: ['m1', 'm2'], withinMs: 20_000, maximum: 2 };
	const former = createOwner(1);
	former.add(wave);
	await clock.advance(750);
	former.close();
	const successor = createOwner(2);
	successor.add(wave);
	await clock.advance(2_990);
	t.deepEqual(arrived, [1]);
	await clock.advance(2_000);
	t.true(arrived.length > 1);
	t.deepEqual(arrived, arrived.toSorted());
	successor.close();
});

// Guards against a completed wave that is shown as running for good.
test('a report on a wave that is stored late does not undo a later one', async (t) => {
	const { clock, store, takeOver } = fixtures.createEnvironment(() => ({ ms: 100, how: 'done' }));
	let fault: memory.StoreFault = 'none';
	const owner = await takeOver(undefined, () => fault);
	const machines = createMachines(clock, ['m1']);
	const key = 'status/wave/1';
	const running = createUpkeep(clock, machines, {
		vacate: () => 'empty',
		report: async (_wave, state) => (await owner.ledger.publish(key, Buffer.from(state))) === 'committed',
	});
	fault = 'late';
	running.add({ number: 1, machines: ['m1'], withinMs: 20_000, maximum: 1 });
	await clock.advance(1_000);
	fault = 'none';
	await clock.advance(20_000);
	const reading = store.view().get(key);
	await clock.advance(10);
	const stored = await reading;
	t.is(stored.ok ? stored.value?.value.toString() : undefined, 'completed');
	running.close();
	owner.dispatcher.close();
});
