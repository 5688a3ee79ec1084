/**
 * What an owner may conclude about runs that it can't observe: of jobs that were submitted a second time, on workers that
 * have not answered, for times that its wall clock has not reached, with starts that may still be in flight, or with reports
 * that are not complete.
 */
import test from 'ava';
import * as contacts from '../src/core/platform/contact.js';
import * as events from '../src/core/events/index.js';
import * as results from '../src/core/result.js';
import * as service from '../src/core/box/job-service.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';
import type * as protocol from '../src/core/box/peer-protocol.js';
import type * as workers from '../stand-ins/fleet/workers.js';

function longPlan(): workers.RunPlan {
	return { ms: 30_000, how: 'done' };
}

function halfSecondPlan(): workers.RunPlan {
	return { ms: 500, how: 'done' };
}

/** Advances the clock; returns the tasks that had two runs at once in that time. */
async function findDoubleRuns(environment: fixtures.TestEnvironment, ms: number): Promise<string[]> {
	const doubleRuns = new Set<string>();
	for (let passed = 0; passed < ms; passed += 10) {
		await environment.clock.advance(10);
		for (const task of environment.fleet.tasksRunningTwice()) doubleRuns.add(task);
	}
	return [...doubleRuns];
}

/** A box; `notify`: receives its requests to the owner; `generation`: of the owner that the box knows. */
function createBox(
	environment: fixtures.TestEnvironment,
	generation: () => number,
	notify: (req: protocol.BoxReq) => void,
): service.JobService {
	const { clock, store } = environment;
	const log = events.EventLog.create('entry-2', clock);
	return service.JobService.create({
		...contacts.monitorContact(store.view(), log, () => clock.now()),
		clock,
		events: log,
		dispatcher: () => undefined,
		callOwner: (req) => {
			notify(req);
			return Promise.resolve(results.fail({ sent: true, reason: 'not awaited' }));
		},
		ownerGeneration: generation,
		backlog: () => [],
		random: () => 0,
		ownerReachesStore: () => true,
	});
}

/** Submits a job at a box. */
async function submitAt(
	environment: fixtures.TestEnvironment,
	box: service.JobService,
	id: string,
): Promise<service.Answer<'accepted'>> {
	const answer = box.submit(fixtures.queue, id, { text: '', steps: [fixtures.step()] });
	await environment.clock.advance(20);
	return answer;
}

/** What keeps the second owner from the worker `w1` and from the store. */
interface SecondOwnerFaults {
	isCut: () => boolean;
	fault: () => memory.StoreFault;
}

/**
 * A second owner has loaded the store. Then a box that still knows the first owner stores a job and notifies that owner,
 * which starts it; and the job is submitted once more, at a box that knows the second owner.
 */
async function submitTwice(
	faults: SecondOwnerFaults,
): Promise<{ environment: fixtures.TestEnvironment; close: () => void }> {
	const environment = fixtures.createEnvironment(longPlan);
	const { clock, fleet } = environment;
	fleet.add('w1');
	fleet.add('w2');
	const first = await environment.takeOver();
	await clock.advance(1_000);
	const second = await environment.takeOver((worker) => worker === 'w1' && faults.isCut(), faults.fault);
	await clock.advance(100);
	const id = '00000000000000a1';
	const notifyOwner = (owner: fixtures.TestOwner) => (req: protocol.BoxReq) => {
		if (req.type === 'job.stored') owner.dispatcher.addJob(req.record);
	};
	await submitAt(
		environment,
		createBox(environment, () => 1, notifyOwner(first)),
		id,
	);
	await submitAt(
		environment,
		createBox(environment, () => 2, notifyOwner(second)),
		id,
	);
	const close = (): void => {
		first.dispatcher.close();
		second.dispatcher.close();
	};
	return { environment, close };
}

test('a submission repeated at a box of the new owner does not start a task that runs on a worker that has not answered', async (t) => {
	const { environment, close } = await submitTwice({ isCut: () => true, fault: () => 'none' });
	t.deepEqual(
		environment.fleet.starts.slice(0, 1).map((one) => [one.worker, one.epoch]),
		[['w1', 1]],
	);
	t.deepEqual(await findDoubleRuns(environment, 3_000), []);
	close();
});

test('a repeated submission sends the owner the record that is stored, or nothing', async (t) => {
	const environment = fixtures.createEnvironment(longPlan);
	const notifiedGenerations: number[] = [];
	let generation = 1;
	const box = createBox(
		environment,
		() => generation,
		(req) => {
			if (req.type === 'job.stored') notifiedGenerations.push(req.record.acceptedUnder);
		},
	);
	await submitAt(environment, box, '00000000000000a1');
	generation = 2;
	await submitAt(environment, box, '00000000000000a1');
	t.deepEqual([...new Set(notifiedGenerations)], [1]);
});

test('tasks on a worker that has been unresponsive for seconds do not count as working when another worker is vacated', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(longPlan);
	fleet.add('w1');
	const w2 = fleet.add('w2');
	const owner = await takeOver();
	const spread = { count: 2, milliCores: 20_000, lasting: true, mayMiss: 1 };
	await submit(owner, fixtures.job('job1', [fixtures.step(spread)]));
	await clock.advance(1_000);
	t.deepEqual(fleet.starts.map((one) => one.worker).sort(), ['w1', 'w2']);
	w2.fault = 'silent';
	// Longer than users take to notice that a task is down, shorter than the lease.
	await clock.advance(5_000);
	t.is(owner.dispatcher.vacate('w1'), 'protected');
	owner.dispatcher.close();
});

/** A job with one occurrence, a second from the call. */
function scheduled(environment: fixtures.TestEnvironment): Parameters<fixtures.TestEnvironment['submit']>[1] {
	const schedule = { times: 1, firstAt: environment.clock.wall() + 1_000, intervalMs: 1_000 };
	return fixtures.job('timed', [fixtures.step({ milliCores: 20_000 })], { schedule });
}

test('the exit of a scheduled task is not lost under an owner whose wall clock is behind', async (t) => {
	const environment = fixtures.createEnvironment(halfSecondPlan);
	const { clock, fleet, takeOver, submit } = environment;
	fleet.add('w1');
	const first = await takeOver();
	await submit(first, scheduled(environment));
	await clock.advance(1_200);
	t.is(fleet.starts.length, 1);
	first.dispatcher.close();
	await clock.advance(500);
	const second = await takeOver(undefined, undefined, undefined, -2_400);
	await clock.advance(5_000);
	t.is(fleet.starts.length, 1);
	t.is(second.dispatcher.stateOf('timed'), 'completed');
	second.dispatcher.close();
});

test('a scheduled run continues under an owner whose wall clock is behind', async (t) => {
	const environment = fixtures.createEnvironment(longPlan);
	const { clock, fleet, takeOver, submit } = environment;
	const w1 = fleet.add('w1');
	const first = await takeOver();
	await submit(first, scheduled(environment));
	await clock.advance(1_200);
	t.is(w1.running.size, 1);
	first.dispatcher.close();
	fleet.add('w2');
	// The successor's clock reaches the time just after the run was reported to it, on a worker that accepts no more work.
	const second = await takeOver(undefined, undefined, undefined, -300);
	second.dispatcher.setWorkers([{ ...w1.entry, draining: true, remainingMs: 60_000 }], [], false);
	const doubled = await findDoubleRuns(environment, 3_000);
	t.deepEqual({ doubled, starts: fleet.starts.length }, { doubled: [], starts: 1 });
	second.dispatcher.close();
});

/** More small tasks on one worker than a report lists exits. */
const smallTaskCount = 700;

function manySmallTasks(): Parameters<fixtures.TestEnvironment['submit']>[1] {
	return fixtures.job('many', [fixtures.step({ count: smallTaskCount, milliCores: 40, memoryMb: 1 })]);
}

test('a run that a full report does not list may have exited', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 3_000, how: 'done' }));
	fleet.add('w1');
	const owner = await takeOver();
	await clock.advance(1_000);
	await submit(owner, manySmallTasks());
	await clock.advance(12_000);
	t.is(fleet.starts.length, smallTaskCount);
	owner.dispatcher.close();
});

test('a successor starts no task whose exit a full first report omits', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({ ms: 3_000, how: 'done' }));
	fleet.add('w1');
	const first = await takeOver();
	await clock.advance(1_000);
	await submit(first, manySmallTasks());
	await clock.advance(2_000);
	first.dispatcher.close();
	await clock.advance(2_000);
	const second = await takeOver();
	await clock.advance(12_000);
	t.is(fleet.starts.length, smallTaskCount);
	second.dispatcher.close();
});

test('a job whose record could not be deleted is not run again when the store is listed again', async (t) => {
	let fault: memory.StoreFault = 'none';
	const { clock, fleet, store, takeOver, submit } = fixtures.createEnvironment(halfSecondPlan);
	fleet.add('w1');
	const owner = await takeOver(undefined, () => fault);
	const record = fixtures.job('job1', [fixtures.step()]);
	await submit(owner, record);
	await clock.advance(119_000);
	t.is(fleet.starts.length, 1);
	fault = 'down';
	await clock.advance(2_500);
	t.true(store.keys().some((key) => key.endsWith('/job/job1')));
	owner.dispatcher.addJob({ ...record, acceptedUnder: owner.ledger.generation });
	fault = 'none';
	await clock.advance(4_500);
	t.is(fleet.starts.length, 1);
	owner.dispatcher.close();
});

test('another worker at the previous address of a live one does not prove that the live one is gone', async (t) => {
	const environment = fixtures.createEnvironment(longPlan);
	const { clock, fleet, takeOver, submit } = environment;
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	await clock.advance(500);
	await submit(owner, fixtures.job('job1', [fixtures.step()]));
	await clock.advance(500);
	w1.entry.address = 'elsewhere:1';
	fleet.add('w2', { address: 'w1:1' });
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	t.deepEqual(await findDoubleRuns(environment, 4_000), []);
	owner.dispatcher.close();
});
