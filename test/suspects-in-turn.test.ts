/**
 * Suspects of sound jobs while other jobs keep crashing workers and owners keep changing. Each crash loses a dozen sound
 * tasks, some of them for the second time, and they wait for their turn on probation.
 */
import test from 'ava';
import * as crashes from './fixtures/crashes.js';
import * as crashing from '../dev/soak/crashing.js';
import * as fixtures from './fixtures/dispatching.js';
import * as random from '../dev/random.js';
import type * as workers from '../stand-ins/fleet/workers.js';

const workerCount = 33;

/** Interval between jobs, time for which they come, and between changes of the owner, in milliseconds. */
const jobIntervalMs = 125;
const trafficMs = 90_000;
const tenureMs = 12_000;

const smallFraction = 0.57;

/** A fifth of the jobs have one task that crashes its worker. */
const badFraction = 0.2;
const crashAfterMs = 10;
const downMs = 3_000;

/** Time until another box takes over from an owner that has fallen silent, in milliseconds. */
const silenceMs = 2_300;

const firstContactMs = 1_200;

/** Time after the traffic by which each task of a sound job has to have been started, in milliseconds. */
const finishMs = 14_000;

function planOf(task: string): workers.RunPlan {
	if (task.startsWith('bad') && task.endsWith('.0.0.0')) return { ms: 'endless', how: 'done', crashAfterMs };
	return { ms: task.includes('small') ? 640 : 1_700, how: 'done' };
}

/** The sound jobs that have not ended, or failed though fewer than four workers crashed under each of their tasks. */
function leftBehind(
	environment: fixtures.TestEnvironment,
	{ dispatcher }: fixtures.TestOwner,
	ids: string[],
): string[] {
	return ids.filter((id) => {
		const state = dispatcher.stateOf(id);
		if (state !== 'failed') return state !== 'completed';
		const tasks = environment.fleet.crashes.flatMap((one) =>
			one.tasks.filter((task) => task.startsWith(`${id}.`)),
		);
		return !tasks.some(
			(task) => crashes.crashCountsOf(environment, task).crashes >= crashing.crashesBeforeAbandoning,
		);
	});
}

for (const seed of [73, 74, 75])
	// Guards against tasks of sound jobs that wait for a minute behind suspects of later jobs, most of the room free.
	test(`suspects of sound jobs get their turn while other jobs crash workers and owners change, seed ${String(seed)}`, async (t) => {
		const environment = fixtures.createEnvironment(planOf);
		const { clock, fleet } = environment;
		for (let index = 0; index < workerCount; index += 1) fleet.add(`w${String(index)}`);
		fleet.onCrash = (worker) => {
			fleet.crashAndRecover(worker, { downMs, unresponsive: false });
		};
		const draw = random.seededRandom(seed);
		let owner = await environment.takeOver();
		fixtures.followEntries(fleet, () => owner);
		await clock.advance(firstContactMs);
		const sound: string[] = [];
		let tookOverAt = 0;
		for (let passed = 0; passed < trafficMs; passed += jobIntervalMs) {
			const kind = draw() < smallFraction ? 'small' : 'large';
			const isBad = draw() < badFraction;
			const id = `${isBad ? 'bad' : 'sound'}-${kind}-${String(passed)}`;
			if (!isBad) sound.push(id);
			const spec = kind === 'small' ? { count: 6, milliCores: 2_300 } : { count: 8, milliCores: 3_500 };
			const steps = [fixtures.step(spec), fixtures.step({ ...spec, after: [0] })];
			// Takes 10 ms until the job is stored.
			await environment.submit(owner, fixtures.job(id, steps));
			await clock.advance(jobIntervalMs - 10);
			if (passed - tookOverAt < tenureMs) continue;
			tookOverAt = passed;
			owner.die();
			await clock.advance(silenceMs);
			owner = await environment.takeOver();
		}
		await clock.advance(finishMs);
		t.deepEqual(leftBehind(environment, owner, sound), []);
		owner.die();
	});

/** Number of sound jobs whose only task is a suspect, and of workers that crash to make it one. */
const suspectJobs = 24;
const crashesPerSuspect = 2;

/** Interval between jobs that crash workers, and how long their workers are down, in milliseconds. */
const badIntervalMs = 100;
const shortDownMs = 1_000;

/** Time within which suspects get their turn, whatever else waits for one, in milliseconds: users allow a task 3 s. */
const turnMs = 3_000;

// Guards against suspects of late jobs that wait for as long as jobs that are not late bring new ones, and against turns on a
// tenth of the workers for any number of suspects.
test('suspects of late jobs get their turn within three seconds while later jobs keep crashing workers', async (t) => {
	const environment = fixtures.createEnvironment((task) =>
		task.startsWith('bad') ? { ms: 'endless', how: 'done', crashAfterMs } : { ms: 'endless', how: 'done' },
	);
	const { clock, fleet } = environment;
	for (let index = 0; index < workerCount; index += 1) fleet.add(`w${String(index)}`);
	fleet.onCrash = (worker) => {
		fleet.crashAndRecover(worker, { downMs: shortDownMs, unresponsive: false });
	};
	const owner = await environment.takeOver();
	fixtures.followEntries(fleet, () => owner);
	await clock.advance(firstContactMs);
	const suspects = Array.from({ length: suspectJobs }, (_, index) => `sound${String(index)}.0.0.0`);
	for (const name of suspects)
		await environment.submit(owner, fixtures.job(name.split('.')[0] ?? '', [fixtures.step()]));
	let bad = 0;
	const submitBad = (): void => {
		bad += 1;
		const step = fixtures.step({ estimateMs: 60_000 });
		owner.dispatcher.addJob(fixtures.job(`bad${String(bad)}`, [step], { acceptedUnder: 1 }));
		clock.after(badIntervalMs, submitBad);
	};
	const areRunning = (): boolean =>
		suspects.every((name) => [...fleet.workers.values()].some((worker) => worker.running.has(name)));
	for (let crash = 0; crash < crashesPerSuspect; crash += 1) {
		while (!areRunning()) await clock.advance(50);
		// Long enough for the crash to be blamed on none of them, and too short for a run to clear its task.
		await clock.advance(600);
		if (crash === crashesPerSuspect - 1) submitBad();
		await clock.advance(400);
		for (const worker of [...fleet.workers.values()])
			if (suspects.some((name) => worker.running.has(name)))
				fleet.crashAndRecover(worker, { downMs: shortDownMs, unresponsive: false });
	}
	await clock.advance(shortDownMs + turnMs);
	const started = (name: string): number => fleet.starts.filter(({ task }) => task === name).length;
	t.deepEqual(
		suspects.filter((name) => started(name) <= crashesPerSuspect),
		[],
	);
	owner.die();
});
