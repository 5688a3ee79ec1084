/**
 * Seeded runs of serving tasks beside preemptible ones, while workers become unresponsive, lose answers and carry out
 * commands late, and owners change. Preemptible tasks must not keep a serving task over its target for longer than users
 * allow, once its worker is in contact again.
 */
import test from 'ava';
import * as random from '../dev/random.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as featureSettings from '../src/core/features/index.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/** Users' latency target, and the longest time that preemptible tasks may keep a serving task over it, in milliseconds. */
const targetMs = 150;
const maxSloViolationMs = 4_000;

/** A period over the target counts once the worker has had no fault for this long, in milliseconds. */
const minContactMs = 4_000;

/**
 * Tail latency of a serving task without interference, in milliseconds, and the multiple of it that each `loud` neighbour at
 * full pace adds.
 */
const undisturbedTailMs = 60;
const interferencePerNeighbour = 2;

const workerCount = 6;
const runMs = 60_000;
const warmUpMs = 4_000;
const checkIntervalMs = 50;

/** Faults of workers, and the longest time that each lasts, in milliseconds. */
const faults = ['silent', 'lost', 'late', 'delays-paces', 'ignores-stops'] as const;
const maxFaultMs = 3_000;

/** Maximum intervals between two faults, two preemptible jobs and two changes of the owner, in milliseconds. */
const maxFaultIntervalMs = 2_500;
const maxJobIntervalMs = 500;
const maxOwnerIntervalMs = 30_000;

/** The checker's state of one worker. */
interface WatchedWorker {
	/**
	 * Since when its serving tasks have been over their target beside running preemptible tasks; undefined: they are not.
	 */
	overSince: number | undefined;
	/** Preemptible runs that interfered with them at the last check. */
	interfering: readonly string[];
	/** When the latest fault ends. */
	faultUntil: number;
}

/** Begins or ends a fault of a worker. */
function setFault(worker: workers.FakeWorker, fault: (typeof faults)[number], isOn: boolean): void {
	if (fault === 'delays-paces') worker.delaysPaceCommands = isOn;
	else if (fault === 'ignores-stops') worker.ignoresStops = isOn;
	else worker.fault = isOn ? fault : 'none';
}

/** Preemptible runs at work beside serving tasks that are over their target; empty if none is over its target. */
function interferingRunsOn(worker: workers.FakeWorker): string[] {
	const isOver = worker
		.report()
		.running.some(({ task, reading }) => task.startsWith('serving') && reading > targetMs);
	if (!isOver) return [];
	const working = [...worker.running].filter(([task, { pace }]) => task.startsWith('loud') && pace > 0);
	return working.map(([task, { run }]) => `${task}#${String(run)}`);
}

/** Runs one seed; returns the SLO violations that were too long. */
async function runSeed(
	seed: number,
	preemptibleLimit: featureSettings.Features['preemptibleLimit'],
): Promise<string[]> {
	const draw = random.seededRandom(seed);
	const environment = fixtures.createEnvironment((task) => {
		if (task.startsWith('serving')) return { ms: 'endless', how: 'done', reading: undisturbedTailMs };
		const ms = random.randomInteger(random.seededRandom(random.hash(`${task} ${String(seed)}`)), 500, 8_000);
		const interference = task.startsWith('loud') ? interferencePerNeighbour : undefined;
		return { ms, how: 'done', reading: 1_600, interference };
	});
	environment.features = { ...fixtures.noFeatures, preemptibleLimit };
	const { clock, fleet, takeOver } = environment;
	for (let number = 0; number < workerCount; number += 1) fleet.add(`w${String(number)}`);
	let owner = await takeOver();
	const servingStep = { milliCores: 4_000, image: 'serving', lasting: true, targetMs, maxPerWorker: 1 };
	await environment.submit(
		owner,
		fixtures.job('serving', [fixtures.step({ ...servingStep, count: workerCount })]),
	);
	await clock.advance(warmUpMs);
	const watched = new Map([...fleet.workers.values()].map((one) => [one, createWatched()]));
	const dueAt = { fault: 0, job: 0, owner: random.randomInteger(draw, 5_000, maxOwnerIntervalMs) };
	const violations: string[] = [];
	const startedAt = clock.now();
	for (let jobs = 0; clock.now() - startedAt < runMs;) {
		const now = clock.now() - startedAt;
		if (now >= dueAt.fault) {
			injectFault(clock, watched, draw);
			dueAt.fault = now + random.randomInteger(draw, 100, maxFaultIntervalMs);
		}
		if (now >= dueAt.job) {
			jobs += 1;
			await environment.submit(owner, preemptibleJob(jobs, draw));
			dueAt.job = now + random.randomInteger(draw, 50, maxJobIntervalMs);
		}
		if (now >= dueAt.owner) {
			owner.dispatcher.close();
			await clock.advance(random.randomInteger(draw, 0, 1_500));
			owner = await takeOver();
			dueAt.owner = now + random.randomInteger(draw, 5_000, maxOwnerIntervalMs);
		}
		await clock.advance(checkIntervalMs);
		for (const [worker, state] of watched) checkWorker(worker, state, clock.now(), violations);
	}
	owner.dispatcher.close();
	return violations;
}

/** Injects a fault into a worker for some time. */
function injectFault(
	clock: fixtures.TestEnvironment['clock'],
	watched: ReadonlyMap<workers.FakeWorker, WatchedWorker>,
	draw: () => number,
): void {
	const [worker, state] = random.pick(draw, [...watched]);
	const forMs = random.randomInteger(draw, 100, maxFaultMs);
	const fault = random.pick(draw, faults);
	setFault(worker, fault, true);
	clock.after(forMs, () => {
		setFault(worker, fault, false);
	});
	state.faultUntil = Math.max(state.faultUntil, clock.now() + forMs);
}

/** A job of preemptible tasks that interfere with serving tasks or do not. */
function preemptibleJob(number: number, draw: () => number): ReturnType<typeof fixtures.job> {
	const image = draw() < 0.5 ? 'loud' : 'quiet';
	const count = random.randomInteger(draw, 1, 6);
	const spec = { milliCores: 1_600, image, fills: true, checkpoints: true, count };
	return fixtures.job(`${image}${String(number)}`, [fixtures.step(spec)]);
}

function createWatched(): WatchedWorker {
	return { overSince: undefined, interfering: [], faultUntil: -Infinity };
}

function checkWorker(
	worker: workers.FakeWorker,
	state: WatchedWorker,
	now: number,
	violations: string[],
): void {
	const interfering = interferingRunsOn(worker);
	// If none of the previous ones is left, the serving tasks were under their target before the others came: these tails
	// change at once.
	const isContinuing = interfering.some((run) => state.interfering.includes(run));
	state.overSince = interfering.length === 0 ? undefined : isContinuing ? state.overSince : now;
	state.interfering = interfering;
	const overMs = now - (state.overSince ?? now);
	const isInTouch = now - state.faultUntil >= minContactMs;
	if (overMs >= maxSloViolationMs && isInTouch)
		violations.push(`${worker.name} at ${String(now)}: for ${String(overMs)} ms`);
}

/** Seeds 1 to 24; the variable sets another number for runs by hand. */
const seeds = Array.from({ length: Number(process.env.WOODCROSS_HARM_SEEDS ?? 24) }, (_, index) => index + 1);

for (const seed of seeds) {
	test(`preemptible tasks keep no serving task over its target for too long under faults, seed ${String(seed)}`, async (t) => {
		t.deepEqual(await runSeed(seed, 'fixed'), []);
	});
	if (seed % 3 === 0)
		test(`the same with the adaptive limit, seed ${String(seed)}`, async (t) => {
			t.deepEqual(await runSeed(seed, 'adaptive'), []);
		});
}
