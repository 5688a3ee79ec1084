/**
 * An owner is lost in a burst: what the next one knows at once, how long urgent work waits, that no accepted job is lost, and
 * that no task has two runs.
 */
import test, { type ExecutionContext } from 'ava';
import * as features from '../src/core/features/index.js';
import * as fixtures from './fixtures/dispatching.js';
import * as ledger from '../src/core/ledger/index.js';
import * as wire from '../src/core/wire/frame.js';
import type * as dispatch from '../src/core/dispatch/index.js';
import type * as jobs from '../src/core/jobs/index.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';
import type * as limitTypes from '../src/core/dispatch/limit-types.js';

const workerCount = 90;

/** Interval between submissions, and between answers to pings, in milliseconds. */
const submitIntervalMs = 200;
const pingIntervalMs = 500;

/** Interval at which an owner stores its scheduling state, in milliseconds. */
const storeIntervalMs = 3_000;

/** Time from the loss of an owner to the next takeover, in milliseconds. */
const electionMs = 400;

const urgentStep = fixtures.step({ count: 8, milliCores: 7_000, estimateMs: 1_000, image: 'urgent' });
const wideStep = fixtures.step({ count: 12, milliCores: 7_000, estimateMs: 1_100, image: 'wide' });

/** Urgent tasks take 1 s, wide ones twice their estimate. */
function plan(task: string): { ms: number; how: 'done' } {
	return { ms: task.startsWith('urgent') ? 1_000 : 2_200, how: 'done' };
}

/** A burst on one environment, and the owner that has it. */
interface Burst {
	env: fixtures.TestEnvironment;
	owner: fixtures.TestOwner;
	/** Clock time of each submission, by job. */
	submittedAt: Map<string, number>;
	/** Lease ends as the owner last published them with its answers to pings, by worker. */
	leaseEnds: Map<string, number>;
	/** The limits that each owner was given by its predecessor. */
	restoredLimits: limitTypes.ImageLimits[];
	/** Tasks that were started while a run of theirs was still there. */
	startedTwice: string[];
}

/** `isCut`: whether the first owner can't reach a worker; `fault`: how the store fails for it. */
async function startBurst(
	isCut?: (worker: string) => boolean,
	fault?: () => memory.StoreFault,
): Promise<Burst> {
	const startedTwice: string[] = [];
	const env = fixtures.createEnvironment((task) => {
		if ([...env.fleet.workers.values()].some((worker) => worker.running.has(task))) startedTwice.push(task);
		return plan(task);
	});
	env.features = { ...features.defaultFeatures, takeover: 'prioritized' };
	const restoredLimits: limitTypes.ImageLimits[] = [];
	env.limits = {
		exportLimits: () => ({ serving: { maxUse: 1.1, margin: 0.05 } }),
		restore: (limits) => void restoredLimits.push(limits),
	};
	for (let index = 0; index < workerCount; index += 1) env.fleet.add(`w${String(index)}`);
	const owner = await env.takeOver(isCut, fault);
	await env.clock.advance(1_200);
	return { env, owner, submittedAt: new Map(), leaseEnds: new Map(), restoredLimits, startedTwice };
}

/** Stores a job at once, and gives it to the owner. */
function submit({ env, owner, submittedAt }: Burst, id: string, step: jobs.StepSpec, priority: number): void {
	const queue = { ...fixtures.queue, priority };
	const more = { queue, acceptedAt: env.clock.wall(), acceptedUnder: owner.ledger.generation };
	const record = fixtures.job(id, [step], more);
	env.store.put(ledger.keys.jobKey(id), wire.encodeValue(record));
	owner.dispatcher.addJob(record);
	submittedAt.set(id, env.clock.now());
}

/** Lets the burst go on for a time in which the owner answers pings, learns, and stores its state. */
async function goOn(burst: Burst, ms: number, isLoaded = true): Promise<void> {
	const { env, owner } = burst;
	for (let passed = 0; passed < ms; passed += 100) {
		if (isLoaded && passed % submitIntervalMs === 0) submitBoth(burst);
		owner.dispatcher.forecaster.runTimes.noteFinished('proofs', wideStep, 2_200);
		if (passed % pingIntervalMs === 0) publishLeaseEnds(burst);
		if (passed % storeIntervalMs === 0) void storeState(owner);
		await env.clock.advance(100);
	}
}

function submitBoth(burst: Burst): void {
	const now = String(burst.env.clock.now());
	submit(burst, `urgent-${now}`, urgentStep, 0);
	submit(burst, `wide-${now}`, wideStep, 2);
}

function publishLeaseEnds(burst: Burst): void {
	const left = Object.entries(burst.owner.dispatcher.unresponsiveLeases());
	const now = burst.env.clock.now();
	burst.leaseEnds = new Map(left.map(([worker, leftMs]) => [worker, now + leftMs]));
}

async function storeState({ ledger: owned, dispatcher }: fixtures.TestOwner): Promise<void> {
	const state: dispatch.LearnedModels = dispatcher.exportLearnedModels();
	await owned.publish(ledger.keys.learnedModelsKey, wire.encodeValue(state));
}

/** Has the next owner take over after an election, in which jobs are accepted and nothing of them is told to the former. */
async function replaceOwner(burst: Burst, isCut?: (worker: string) => boolean): Promise<void> {
	const { env, leaseEnds } = burst;
	for (let passed = 0; passed < electionMs; passed += submitIntervalMs) {
		submitBoth(burst);
		await env.clock.advance(submitIntervalMs);
	}
	burst.owner = await env.takeOver(isCut, undefined, leaseEnds);
}

/** Longest time from a submission in the given time span to the first start of one of its tasks, in milliseconds. */
function longestUrgentWaitMs({ env, submittedAt }: Burst, from: number, to: number): number {
	const waits = [...submittedAt].flatMap(([id, at]) => {
		if (!id.startsWith('urgent') || at < from || at >= to) return [];
		return urgentTasks(id).map(
			(task) => (env.fleet.starts.find((one) => one.task === task)?.at ?? Infinity) - at,
		);
	});
	return Math.max(...waits);
}

function urgentTasks(id: string): string[] {
	return Array.from({ length: urgentStep.count }, (_, index) => `${id}.0.0.${String(index)}`);
}

/** Lets everything end. Returns the ids of the jobs that are not completed. */
async function unfinishedJobs(burst: Burst): Promise<string[]> {
	await goOn(burst, 20_000, false);
	return [...burst.submittedAt.keys()].filter((id) => burst.owner.dispatcher.stateOf(id) !== 'completed');
}

/** New urgent work waits for less than two seconds; every job ends, and none of their tasks was started twice. */
async function checkAfterTakeover(t: ExecutionContext, burst: Burst, ownedAt: number): Promise<void> {
	// What the previous owner may have started on unresponsive workers waits for them.
	const waitedMs = longestUrgentWaitMs(burst, ownedAt, Infinity);
	const inheritedMs = longestUrgentWaitMs(burst, 0, ownedAt);
	t.log(
		`new urgent work waited up to ${waitedMs.toFixed(0)} ms, inherited up to ${inheritedMs.toFixed(0)} ms`,
	);
	t.true(waitedMs < 2_000, String(waitedMs));
	t.deepEqual(await unfinishedJobs(burst), []);
	t.deepEqual(burst.startedTwice, []);
}

test('the owner is lost in the third second of a burst', async (t) => {
	const burst = await startBurst();
	await goOn(burst, 2_500);
	const lostAt = burst.env.clock.now();
	burst.owner.dispatcher.close();
	await replaceOwner(burst);
	const { owner, restoredLimits } = burst;
	t.true(owner.dispatcher.forecaster.runTimes.factor('proofs', wideStep) > 1.2);
	t.deepEqual(restoredLimits, [{ serving: { maxUse: 1.1, margin: 0.05 } }]);
	await goOn(burst, 3_000);
	const waitedMs = longestUrgentWaitMs(burst, lostAt - 1_000, Infinity);
	t.log(`urgent work waited up to ${waitedMs.toFixed(0)} ms`);
	t.true(waitedMs < 2_000, String(waitedMs));
	t.deepEqual(await unfinishedJobs(burst), []);
	t.deepEqual(burst.startedTwice, []);
	burst.owner.dispatcher.close();
});

test('half of the workers do not answer the next owner for five seconds', async (t) => {
	const burst = await startBurst();
	const { clock } = burst.env;
	await goOn(burst, 2_500);
	let isCut = true;
	burst.owner.dispatcher.close();
	await replaceOwner(burst, (worker) => isCut && Number(worker.slice(1)) % 2 === 0);
	const ownedAt = clock.now();
	await goOn(burst, 5_000);
	isCut = false;
	await goOn(burst, 3_000);
	await checkAfterTakeover(t, burst, ownedAt);
	burst.owner.dispatcher.close();
});

test('a third of the workers is cut off together with the owner', async (t) => {
	const isThere = (worker: string): boolean => Number(worker.slice(1)) < workerCount / 3;
	let isCut = false;
	const burst = await startBurst(
		(worker) => isCut && !isThere(worker),
		() => (isCut ? 'down' : 'none'),
	);
	const { clock } = burst.env;
	const former = burst.owner;
	await goOn(burst, 2_500);
	// The former owner goes on with the workers on its side, as long as it may act.
	isCut = true;
	await replaceOwner(burst, (worker) => isCut && isThere(worker));
	const ownedAt = clock.now();
	await goOn(burst, 6_000);
	isCut = false;
	await goOn(burst, 1_000);
	await checkAfterTakeover(t, burst, ownedAt);
	t.true(former.isFenced());
	burst.owner.dispatcher.close();
});
