/**
 * Workers behind lossy links that refuse some calls and carry others out seconds late, beside changes of the owner: whatever
 * the order in which copies of calls arrive and are answered, a task has one run at a time and none after one was done.
 * `LOSSY_SEED` and `LOSSY_SEEDS` in the environment choose other seeds than the few that are always played.
 */
import process from 'node:process';
import test from 'ava';
import * as ledger from '../src/core/ledger/index.js';
import * as random from '../dev/random.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as types from '../stand-ins/fleet/types.js';

const workerCount = 8;
/** First retransmission timeout in milliseconds; it doubles with each further loss (RFC 6298). */
const retransmissionMs = 200;
const roundTripMs = 4;
/** Shares of packets that are lost, of calls that are refused and of commands that are carried out late. */
const lossShare = 0.3;
const refusedShare = 0.4;
const lateShare = 0.03;
/** Bounds of how late such a command is carried out, in milliseconds. */
const lateMs = [2_000, 12_000] as const;
/** Two workers are in trouble for this time, then two others, in milliseconds. */
const windowMs = 5_000;
const playMs = 20_000;
/** Time for the last tasks to end, in milliseconds. */
const settleMs = 30_000;

/** Records broken rules. */
class RunChecker implements types.FleetJournal {
	readonly broken: string[] = [];
	private readonly running = new Map<string, Map<number, string>>();
	private readonly done = new Map<string, { run: number; isNoted: boolean }>();
	private readonly startsAfterDone: { task: string; text: string }[] = [];

	started({ task, run, worker, at }: types.StartRecord): void {
		const runs = this.running.get(task) ?? new Map<number, string>();
		const text = `${String(at)}: run ${String(run)} of ${task} on ${worker}`;
		if (runs.size > 0)
			this.broken.push(`${text} beside ${[...runs].map(([one, on]) => `${String(one)} on ${on}`).join()}`);
		if (this.done.has(task)) this.startsAfterDone.push({ task, text: `${text} after one was done` });
		this.running.set(task, runs.set(run, worker));
	}

	ended({ task, run, how }: { task: string; run: number; how: string }): void {
		this.running.get(task)?.delete(run);
		if (how === 'done' && !this.done.has(task)) this.done.set(task, { run, isNoted: false });
	}

	acknowledged({ task, run }: { task: string; run: number }): void {
		const done = this.done.get(task);
		if (done?.run === run) done.isNoted = true;
	}

	/** Starts after a run was done count if the end of that run was ever acknowledged. */
	finish(): string[] {
		const late = this.startsAfterDone.filter(({ task }) => this.done.get(task)?.isNoted === true);
		return [...this.broken, ...late.map(({ text }) => text)];
	}
}

/** Plays one seed; returns the broken rules and the jobs that are not completed. */
async function play(seed: number): Promise<{ broken: string[]; open: string[]; repeats: number }> {
	const next = random.seededRandom(seed);
	const checker = new RunChecker();
	const { clock, store, fleet, takeOver, submit } = fixtures.createEnvironment(
		(task) => ({ ms: 50 + (random.hash(task) % 1_500), how: 'done' }),
		checker,
	);
	for (let number = 0; number < workerCount; number += 1) fleet.add(`w${String(number)}`);
	const lossMs = (): number => {
		let delayMs = roundTripMs / 2;
		for (let timeoutMs = retransmissionMs; next() < lossShare; timeoutMs *= 2) delayMs += timeoutMs;
		return delayMs;
	};
	let inTrouble = new Set<string>();
	fleet.fateOf = (worker, call) => {
		if (!inTrouble.has(worker)) return undefined;
		if (call !== 'report' && next() < lateShare)
			return {
				arrivesAfterMs: random.randomInteger(next, ...lateMs),
				answersAfterMs: 'lost',
				isRefused: false,
			};
		return { arrivesAfterMs: lossMs(), answersAfterMs: lossMs(), isRefused: next() < refusedShare };
	};
	let owner = await takeOver();
	let repeats = 0;
	await clock.advance(1_200);
	const jobs: string[] = [];
	const cancelledSoon: string[] = [];
	const cancel = async (id: string): Promise<void> => {
		const cancelling = ledger.cancel(store.view(), id);
		await clock.advance(10);
		await cancelling;
		owner.dispatcher.cancelJob(id);
	};
	for (let passed = 0; passed < playMs; passed += 100) {
		if (passed % windowMs === 0) {
			const first = random.randomInteger(next, 0, workerCount - 1);
			inTrouble = new Set([`w${String(first)}`, `w${String((first + 1) % workerCount)}`]);
		}
		if (next() < 0.02) {
			repeats += owner.dispatcher.load().repeats;
			// A former owner goes on until it meets a higher token, unless its stop was planned.
			if (next() < 0.5) owner.dispatcher.close();
			owner = await takeOver();
		}
		const id = `job${String(passed)}`;
		const count = random.randomInteger(next, 1, 8);
		const queue = { ...fixtures.queue, priority: next() < 0.5 ? 0 : 2 };
		await submit(owner, fixtures.job(id, [fixtures.step({ count, milliCores: 6_000 })], { queue }));
		if (next() < 0.1) cancelledSoon.push(id);
		else jobs.push(id);
		await clock.advance(90);
		if (next() < 0.3) for (const one of cancelledSoon.splice(0)) await cancel(one);
	}
	inTrouble = new Set();
	await clock.advance(settleMs);
	repeats += owner.dispatcher.load().repeats;
	const open = jobs.filter((id) => owner.dispatcher.stateOf(id) !== 'completed');
	owner.dispatcher.close();
	return { broken: checker.finish(), open, repeats };
}

const firstSeed = Number(process.env.LOSSY_SEED ?? 1);
const seeds = Number(process.env.LOSSY_SEEDS ?? 5);

// Guards against a second run of a task after copies of its commands passed each other, were refused, or came late.
test('workers that refuse calls over lossy links run each task once', async (t) => {
	let repeats = 0;
	const failures: string[] = [];
	for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
		const seen = await play(seed);
		repeats += seen.repeats;
		failures.push(...seen.broken.map((text) => `seed ${String(seed)}: ${text}`));
		failures.push(...seen.open.map((id) => `seed ${String(seed)}: ${id} is not completed`));
	}
	t.log(`${String(repeats)} repeats`);
	t.true(repeats > 100, `${String(repeats)} repeats`);
	t.deepEqual(failures, []);
});
