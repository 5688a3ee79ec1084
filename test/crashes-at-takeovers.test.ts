/** What a change of owner must not forget of crashes, and of starts that crashed nothing. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import type * as jobs from '../src/core/jobs/index.js';
import * as ledger from '../src/core/ledger/index.js';
import type * as workers from '../stand-ins/fleet/workers.js';

const firstContactMs = 1_200;

/** Time from a crash until the worker's next incarnation proves it, in milliseconds. */
const downMs = 3_000;

async function setUp(
	plan: (task: string) => workers.RunPlan,
): Promise<
	fixtures.TestEnvironment & { owner: () => fixtures.TestOwner; replaceOwner: () => Promise<void> }
> {
	const environment = fixtures.createEnvironment(plan);
	const { clock, fleet, takeOver } = environment;
	for (let index = 0; index < 6; index += 1) fleet.add(`w${String(index)}`);
	fleet.onCrash = (worker) => {
		fleet.crashAndRecover(worker, { downMs, unresponsive: false });
	};
	let current = await takeOver();
	fixtures.followEntries(fleet, () => current);
	await clock.advance(firstContactMs);
	const replaceOwner = async (): Promise<void> => {
		current.die();
		current = await takeOver();
	};
	return { ...environment, owner: () => current, replaceOwner };
}

/** A job's progress as it is stored. */
async function storedProgress(
	{ clock, store }: fixtures.TestEnvironment,
	id: string,
): Promise<jobs.ProgressRecord | undefined> {
	const reading = ledger.readJob(store.view(), id);
	await clock.advance(50);
	const read = await reading;
	return read.ok ? read.value?.progress : undefined;
}

// Guards against sound jobs that are shown as failed, as starts that were refused count as crashes after changes of owner.
test('a start that was counted and then refused is not left in the store', async (t) => {
	const env = await setUp(() => ({ ms: 60_000, how: 'done' }));
	const { clock, fleet } = env;
	await env.submit(env.owner(), fixtures.job('sound', [fixtures.step()]));
	await clock.advance(200);
	const worker = [...fleet.workers.values()].find((one) => one.running.size > 0);
	if (worker !== undefined) fleet.crashAndRecover(worker, { downMs: 500, unresponsive: false });
	fleet.fateOf = (_worker, call) =>
		call === 'start' ? { arrivesAfterMs: 0, answersAfterMs: 0, isRefused: true } : undefined;
	const refusals = (): number => env.owner().events.select(({ name }) => name === 'start.refused').length;
	while (refusals() === 0) await clock.advance(1);
	// Until the next attempt the worker is avoided, and no other takes the task.
	env.owner().dispatcher.setWorkers([], [...fleet.workers.keys()], true);
	await clock.advance(400);
	const progress = await storedProgress(env, 'sound');
	const { tries, crashed } = progress?.crashes?.['0.0.0'] ?? {};
	t.deepEqual({ tries, crashed }, { tries: [], crashed: [1] });
	env.owner().die();
});
