/** Cancellations of jobs that are not stored, while writes of these jobs may be on their way to the store. */
import test from 'ava';
import * as contacts from '../src/core/platform/contact.js';
import * as events from '../src/core/events/index.js';
import * as fixtures from './fixtures/dispatching.js';
import * as ledger from '../src/core/ledger/index.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as results from '../src/core/result.js';
import * as service from '../src/core/box/job-service.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import type * as platform from '../src/core/platform/types.js';

const id = '00000000000000a1';
const request = { text: '', steps: [fixtures.step()] };

/** Enough for every answer, and for every late write, in milliseconds. */
const answerMs = 1_600;
const readMs = 50;
const lateMs = 10_000;

/** A box of its own over a store that all share. */
interface TestBox {
	jobs: service.JobService;
	set: (fault: memory.StoreFault) => void;
	/** Makes the store answer the box again, which learns of it by a call. */
	recover: () => Promise<void>;
	/** Number of reads that it made. */
	reads: () => number;
}

class Environment {
	readonly clock = time.VirtualClock.create();
	readonly store = memory.MemoryStore.create(this.clock);

	/** A box that knows no owner, unless `owner` is given, which takes its writes and knows the job `id` only. */
	addBox(owner?: TestBox): TestBox {
		const { clock, store } = this;
		let fault: memory.StoreFault = 'none';
		let reads = 0;
		const view = store.view(() => fault);
		const counted: platform.RecordStore = {
			...view,
			get: (key) => {
				reads += 1;
				return view.get(key);
			},
		};
		const log = events.EventLog.create('box', clock);
		const monitored = contacts.monitorContact(counted, log, () => clock.now());
		const callOwner = async (req: { type: string; job?: string }): Promise<unknown> => {
			if (req.type === 'job.state') return req.job === id ? { state: 'pending' } : {};
			return req.type === 'job.cancel' && owner !== undefined ? owner.jobs.cancelForPeer(id) : {};
		};
		const jobs = service.JobService.create({
			...monitored,
			clock,
			events: log,
			dispatcher: () => undefined,
			callOwner: <T>(req: {
				type: string;
				job?: string;
			}): Promise<results.Result<T, service.OwnerFailure>> =>
				owner === undefined
					? Promise.resolve(results.fail({ sent: false, reason: 'no owner is known' }))
					: callOwner(req).then((reply) => results.ok(reply as T)),
			ownerGeneration: () => 1,
			backlog: () => [],
			random: () => 0,
			ownerReachesStore: () => owner !== undefined,
		});
		const set = (next: memory.StoreFault): void => {
			fault = next;
		};
		const recover = async (): Promise<void> => {
			fault = 'none';
			const reading = monitored.store.get('any');
			await clock.advance(readMs);
			await reading;
		};
		return { jobs, set, recover, reads: () => reads };
	}

	/** The type of an answer, after enough time for any. */
	async answerTo(call: Promise<service.Answer<unknown>>): Promise<string> {
		await this.clock.advance(answerMs);
		return (await call).type;
	}

	submit(box: TestBox): Promise<string> {
		return this.answerTo(box.jobs.submit(fixtures.queue, id, request));
	}

	cancel(box: TestBox): Promise<string> {
		return this.answerTo(box.jobs.cancel(id));
	}

	/** State of the job as it is stored; undefined: it is not. */
	async storedState(): Promise<string | undefined> {
		const reading = ledger.readJob(this.store.view(), id);
		await this.clock.advance(answerMs);
		const read = await reading;
		return read.ok && read.value !== undefined ? ledger.toJobView(read.value).state : undefined;
	}

	get tombstones(): number {
		return this.store.keys().filter((key) => key.includes('tombstone')).length;
	}
}

for (const where of ['the box of the submission', 'another box', 'another box, through the owner'] as const) {
	// Guards against jobs that are started seconds after their cancellation was acknowledged, as the store carries their
	// submission out late.
	test(`a late write of a job does not take effect after its cancellation by ${where}`, async (t) => {
		const env = new Environment();
		const first = env.addBox();
		const relayed = env.addBox(env.addBox());
		relayed.set('down');
		const second = where === 'another box' ? env.addBox() : relayed;
		first.set('late');
		t.is(await env.submit(first), 'unknown');
		await first.recover();
		t.is(await env.cancel(where === 'the box of the submission' ? first : second), 'no-such-job');
		await env.clock.advance(lateMs);
		t.is(await env.storedState(), undefined);
	});
}

// Guards against the same through the repetition of a submission that another box is still working on.
test('a submission after the cancellation is refused until the tombstone expires', async (t) => {
	const env = new Environment();
	const box = env.addBox();
	t.is(await env.cancel(box), 'no-such-job');
	const submitting = env.addBox().jobs.submit(fixtures.queue, id, request);
	await env.clock.advance(answerMs);
	t.snapshot(await submitting);
	await env.clock.advance(2 * ledger.tombstoneMs);
	t.is(env.tombstones, 0);
	t.is(await env.submit(box), 'ok');
	t.is(await env.storedState(), 'pending');
});

test('a job whose late write comes first is cancelled like any other', async (t) => {
	const env = new Environment();
	const box = env.addBox();
	const cancelling = box.jobs.cancel(id);
	await env.clock.advance(env.store.readMs);
	env.store.put(ledger.keys.jobKey(id), new Uint8Array(0));
	t.is(await env.answerTo(cancelling), 'ok');
	t.true(env.store.keys().includes(ledger.keys.cancelKey(id)));
	t.is(env.tombstones, 0);
});

for (const fault of ['down', 'lost', 'late'] as const)
	test(`a cancellation is not acknowledged while its tombstone may not be stored: the store is ${fault}`, async (t) => {
		const env = new Environment();
		const box = env.addBox();
		box.set(fault);
		t.not(await env.cancel(box), 'no-such-job');
		await box.recover();
		t.is(await env.cancel(box), 'no-such-job');
		t.is(env.tombstones, 1);
	});

test('tombstones are stored under a new lease if theirs has expired while the store was away', async (t) => {
	const env = new Environment();
	const box = env.addBox();
	const other = '00000000000000a2';
	t.is(await env.answerTo(box.jobs.cancel(other)), 'no-such-job');
	const ending = env.store.view().endLease('1');
	await env.clock.advance(answerMs);
	await ending;
	t.is(env.tombstones, 0);
	t.is(await env.cancel(box), 'no-such-job');
	t.is(env.tombstones, 1);
});

// Guards against a flood of unknown ids that fills the store, or uses up the rate at which it takes calls.
test('cancellations of unknown jobs by the thousand cost few calls, and stored jobs are cancelled among them', async (t) => {
	const env = new Environment();
	const owner = env.addBox();
	const box = env.addBox(owner);
	t.is(await env.submit(owner), 'ok');
	const writesBefore = env.store.writes;
	const outcomes: Record<string, number> = {};
	const perSecond = 500;
	const seconds = 10;
	for (let sent = 0; sent < perSecond * seconds; sent += 1) {
		void box.jobs.cancel(`unknown-${String(sent)}`).then(({ type }) => {
			outcomes[type] = (outcomes[type] ?? 0) + 1;
		});
		await env.clock.advance(1_000 / perSecond);
	}
	t.is(await env.cancel(box), 'ok');
	t.is((outcomes['no-such-job'] ?? 0) + (outcomes.unavailable ?? 0), perSecond * seconds);
	t.true(env.tombstones <= 16 * (seconds + 2), `${String(env.tombstones)} tombstones`);
	const calls = env.store.writes - writesBefore + box.reads();
	t.true(calls <= 100 * seconds, `${String(calls)} calls of ${String(perSecond * seconds)} cancellations`);
	await env.clock.advance(2 * ledger.tombstoneMs);
	t.is(env.tombstones, 0);
});
