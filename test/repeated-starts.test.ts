/** Starts of which several copies are sent: whatever becomes of each, a task runs once at a time, and once only. */
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import type * as types from '../stand-ins/fleet/types.js';

const label = 'faulty';
const plainLabel = 'plain';
const arrivalsMs = [2, 250, 700, 2_000];
const answersMs = [2, 400, 'lost'] as const;

/** Everything that may become of one copy. */
const fates: types.CallFate[] = arrivalsMs.flatMap((arrivesAfterMs) =>
	answersMs.flatMap((answersAfterMs) =>
		[false, true].map((isRefused) => ({ arrivesAfterMs, answersAfterMs, isRefused })),
	),
);

/** What was seen of one task. */
interface Seen {
	/** Two runs at the same time, or a start after a run was done. */
	violations: string[];
	state: string | undefined;
	repeats: number;
}

/**
 * Starts a task on a worker where its first copies fare as given, while starts on other workers are answered at once. A
 * second worker may take the task from then on.
 */
async function startWithCopies(copies: types.CallFate[], runMs: number): Promise<Seen> {
	const violations: string[] = [];
	const running = new Set<number>();
	let isDone = false;
	const environment = fixtures.createEnvironment(
		(task) => (task.startsWith('copied') ? { ms: runMs, how: 'done' } : { ms: 300, how: 'done' }),
		{
			started: ({ task, run, worker }) => {
				if (!task.startsWith('copied')) return;
				if (running.size > 0) violations.push(`run ${String(run)} on ${worker} beside another`);
				if (isDone) violations.push(`run ${String(run)} on ${worker} after a run was done`);
				running.add(run);
			},
			ended: ({ task, run, how }) => {
				if (!task.startsWith('copied')) return;
				running.delete(run);
				isDone ||= how === 'done';
			},
			acknowledged: () => undefined,
		},
	);
	const { clock, fleet, takeOver, submit } = environment;
	for (let number = 0; number < 4; number += 1) fleet.add(`w${String(number)}`, { labels: [plainLabel] });
	fleet.add('faulty', { labels: [label] });
	const owner = await takeOver();
	await clock.advance(1_200);
	const left = [...copies];
	fleet.fateOf = (worker, call) => (worker === 'faulty' && call === 'start' ? left.shift() : undefined);
	await submit(owner, fixtures.job('copied', [fixtures.step({ requiredLabel: label })]));
	await clock.advance(30);
	fleet.add('other', { labels: [label] });
	owner.dispatcher.setWorkers(fleet.entries(), [], true);
	await submit(owner, fixtures.job('plain', [fixtures.step({ count: 8, requiredLabel: plainLabel })]));
	await clock.advance(12_000);
	const { repeats } = owner.dispatcher.load();
	owner.dispatcher.close();
	return { violations, state: owner.dispatcher.stateOf('copied'), repeats };
}

function describe(copies: types.CallFate[], runMs: number): string {
	const texts = copies.map(
		({ arrivesAfterMs, answersAfterMs, isRefused }) =>
			`${isRefused ? 'refused' : 'taken'} after ${String(arrivesAfterMs)} ms, answer ${String(answersAfterMs)}`,
	);
	return `${texts.join('; ')}; run of ${String(runMs)} ms`;
}

// Guards against a second run of a task whose start was refused in one copy and carried out in another.
for (const runMs of [150, 1_500])
	test(`a task runs once whatever becomes of each copy of its start, run of ${String(runMs)} ms`, async (t) => {
		const broken: string[] = [];
		let repeats = 0;
		for (const first of fates)
			for (const second of fates) {
				const copies = [first, second];
				const seen = await startWithCopies(copies, runMs);
				repeats += seen.repeats;
				if (seen.violations.length > 0 || seen.state !== 'completed')
					broken.push(`${describe(copies, runMs)}: ${seen.violations.join(', ')}, ${String(seen.state)}`);
			}
		t.true(repeats > fates.length, `${String(repeats)} repeats`);
		t.deepEqual(broken, []);
	});

// Guards against members of a gang that wait for one whose start was given up.
test('a gang is stopped whole if the start of one member is given up', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(() => ({
		ms: 'endless',
		how: 'done',
	}));
	fleet.add('sound');
	fleet.add('faulty');
	const owner = await takeOver();
	await clock.advance(1_200);
	let isFaulty = true;
	fleet.fateOf = (worker, call) =>
		isFaulty && worker === 'faulty' && call === 'start'
			? { arrivesAfterMs: 2, answersAfterMs: 'lost', isRefused: true }
			: undefined;
	await submit(owner, fixtures.job('gang', [fixtures.step({ count: 2, gang: true, maxPerWorker: 1 })]));
	await clock.advance(4_000);
	isFaulty = false;
	await clock.advance(4_000);
	const runs = [...fleet.workers.values()].flatMap((worker) =>
		[...worker.running.values()].map(({ run }) => run),
	);
	t.is(runs.length, 2);
	t.is(new Set(runs).size, 1);
	t.true((runs[0] ?? 0) > 1);
	owner.dispatcher.close();
});
