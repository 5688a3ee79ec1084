/** Workers that fall silent or crash: what counts against the tasks whose starts were sent to them meanwhile. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import type * as jobs from '../src/core/jobs/index.js';
import type * as workers from '../stand-ins/fleet/workers.js';

/** Interval between the tried moments of a start after its worker fell silent, and the last of them, in milliseconds. */
const stepMs = 20;
const lastMs = 2_200;

/** Time until a start arrives, and until its answer is back, in milliseconds. */
const transitMs = 20;

/** Time from when a start is sent until its worker crashes, in milliseconds. */
const crashAfterMs = 10;

/** An owner with one worker, which alone may run the tasks of `oddStep`. `born`: the start time that the worker reports. */
async function setUp(
	born?: number,
): Promise<fixtures.TestEnvironment & { owner: fixtures.TestOwner; worker: workers.FakeWorker }> {
	const environment = fixtures.createEnvironment(() => ({ ms: 300, how: 'done' }));
	const worker = environment.fleet.add('odd', { labels: ['odd'] }, born);
	const owner = await environment.takeOver();
	fixtures.followEntries(environment.fleet, () => owner);
	await environment.clock.advance(1_500);
	return { ...environment, owner, worker };
}

function oddStep(more: Partial<jobs.StepSpec> = {}): jobs.StepSpec {
	return fixtures.step({ requiredLabel: 'odd', ...more });
}

/** Events that count a crash against a task of which no run was on the crashed worker. */
async function crashesCounted(startsAfterMs: number): Promise<string[]> {
	const { clock, fleet, submit, owner, worker } = await setUp();
	worker.fault = 'silent';
	await clock.advance(startsAfterMs);
	await submit(owner, fixtures.job('job1', [oddStep()]));
	await clock.advance(1_500);
	fleet.crashAndRecover(worker, { downMs: 500, unresponsive: true });
	await clock.advance(15_000);
	owner.dispatcher.close();
	return owner.events
		.select(({ name }) => name === 'task.crashed')
		.map(({ fields }) => `${String(startsAfterMs)} ms: ${JSON.stringify(fields)}`);
}

// Guards against sound jobs that are shown as failed because their starts were sent to workers that had fallen silent.
test('a start that is sent after its worker fell silent counts as no crash, whenever the owner notices', async (t) => {
	const counted: string[] = [];
	for (let startsAfterMs = 0; startsAfterMs <= lastMs; startsAfterMs += stepMs)
		counted.push(...(await crashesCounted(startsAfterMs)));
	t.deepEqual(counted, []);
});

// Guards against sound jobs that are shown as failed because their starts were on the way to workers that crashed.
test('a task is not blamed for crashes of workers that its starts did not reach', async (t) => {
	const { clock, fleet, submit, owner } = await setUp();
	let isCrashing = false;
	fleet.fateOf = (name, call) => {
		const worker = fleet.workers.get(name);
		if (call !== 'start' || worker === undefined) return undefined;
		const crashes = isCrashing && fleet.crashes.length < 2;
		if (crashes)
			clock.after(crashAfterMs, () => {
				fleet.crashAndRecover(worker, { downMs: 500, unresponsive: false });
			});
		return {
			arrivesAfterMs: transitMs,
			answersAfterMs: crashes ? 'lost' : transitMs,
			isRefused: false,
		};
	};
	await submit(owner, fixtures.job('job0', [oddStep({ count: 20 })]));
	await clock.advance(2_000);
	isCrashing = true;
	await submit(owner, fixtures.job('job1', [oddStep()]));
	await clock.advance(15_000);
	t.deepEqual(
		fleet.crashes.map(({ tasks }) => tasks),
		[[], []],
	);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	owner.dispatcher.close();
});

// Guards against sound jobs that are shown as failed because their runs exited on workers that hung before they crashed.
test('a job is completed though its worker hangs until it restarts, while each of its first runs exits', async (t) => {
	const { clock, fleet, submit, owner } = await setUp(1);
	fleet.fateOf = (name, call) => {
		const worker = fleet.workers.get(name);
		if (call !== 'start' || worker === undefined || fleet.crashes.length >= 4) return undefined;
		clock.after(100, () => {
			worker.fault = 'late';
		});
		clock.after(500, () => {
			fleet.crashAndRecover(worker, { downMs: 100, unresponsive: false, keepsName: true });
		});
		return undefined;
	};
	await submit(owner, fixtures.job('job1', [oddStep()]));
	await clock.advance(30_000);
	t.deepEqual(
		fleet.crashes.map(({ tasks }) => tasks),
		[[], [], [], []],
	);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	owner.dispatcher.close();
});
