/** Refused callers return when there is capacity for them: shares at the owner, bookings at the boxes, lost messages. */
import test from 'ava';
import * as admission from '../src/core/admission/index.js';
import * as contacts from '../src/core/platform/contact.js';
import * as events from '../src/core/events/index.js';
import * as fixtures from './fixtures/dispatching.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as pings from '../src/core/box/owner-pings.js';
import * as publishers from '../src/core/box/returns-publisher.js';
import * as results from '../src/core/result.js';
import * as service from '../src/core/box/job-service.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import type * as wire from '../src/core/wire/client.js';

/** Work of each refused job, and capacity that becomes free in each second, in core-milliseconds. */
const jobCoreMs = 200_000;
const freePerS = 500_000;

/** The messages between an owner and some boxes. */
interface Exchange {
	clock: time.VirtualClock;
	owner: { shares: admission.ReturnShares };
	boxes: admission.ReturnSchedule[];
	/** Boxes whose pings are lost. */
	cut: Set<number>;
	/** Lets time pass, with pings held for 500 ms. */
	pass: (ms: number) => Promise<void>;
	/** Replaces the owner by a new one that knows nothing. */
	replaceOwner: () => void;
}

function createExchange(boxCount: number): Exchange {
	const clock = time.VirtualClock.create();
	const create = (): admission.ReturnShares => {
		const shares = admission.ReturnShares.create(() => clock.now());
		shares.update(freeNow(clock));
		return shares;
	};
	const owner = { shares: create() };
	const boxes = Array.from({ length: boxCount }, () =>
		admission.ReturnSchedule.create(
			() => clock.now(),
			() => 0.5,
		),
	);
	const cut = new Set<number>();
	const askedAt = boxes.map(() => 0);
	const exchangePing = (box: admission.ReturnSchedule, index: number): void => {
		if (cut.has(index)) return;
		const given = owner.shares.giveTo(String(index));
		if (given !== undefined) box.noteShare(given, askedAt[index] ?? 0);
		askedAt[index] = clock.now();
		owner.shares.noteReport(String(index), box.takeRefused(), box.booked());
	};
	const pass = async (ms: number): Promise<void> => {
		for (let passed = 0; passed < ms; passed += 500) {
			owner.shares.update(freeNow(clock));
			for (const [index, box] of boxes.entries()) exchangePing(box, index);
			await clock.advance(500);
		}
	};
	const replaceOwner = (): void => {
		owner.shares = create();
	};
	return { clock, owner, boxes, cut, pass, replaceOwner };
}

function freeNow(clock: time.VirtualClock): Parameters<admission.ReturnShares['update']>[0] {
	const coreMs = Array.from({ length: 16 }, () => freePerS);
	return { at: clock.now(), free: [{ kind: 'preemptible', coreMs }] };
}

function refusedJob(id: string, more: Partial<admission.RefusedJob> = {}): admission.RefusedJob {
	const work = [{ kind: 'preemptible' as const, coreMs: jobCoreMs }];
	return { id, priority: 2, work, criticalPathMs: 2_000, worthlessMs: 30_000, clearsInMs: 4_000, ...more };
}

/** Core-milliseconds that each box may still book, summed over its seconds. */
function shareOf(shares: admission.ReturnShares, box: string): number {
	return (shares.giveTo(box)?.shares ?? [])
		.flatMap(({ coreMs }) => coreMs)
		.reduce((sum, one) => sum + one, 0);
}

test('callers refused by several boxes within seconds return no faster than they can be served', async (t) => {
	const { clock, boxes, pass } = createExchange(5);
	await pass(2_000);
	const returns: { at: number; isBooked: boolean }[] = [];
	for (let number = 0; number < 71; number += 1) {
		// Most are refused by two of the boxes.
		const box = boxes[number % 3 === 0 ? number % 5 : number % 2];
		const { retryAfterS = 0, bookedS } = box?.refuse(refusedJob(`job-${String(number)}`)) ?? {};
		returns.push({ at: clock.now() + retryAfterS * 1_000, isBooked: bookedS !== undefined });
		if (number % 5 === 4) await pass(500);
	}
	const booked = returns.filter(({ isBooked }) => isBooked).map(({ at }) => at);
	t.true(booked.length >= 20, `${String(booked.length)} are booked`);
	for (let endsAt = 2_000; endsAt < 40_000; endsAt += 1_000) {
		const returned = booked.filter((at) => at <= endsAt).length * jobCoreMs;
		const served = ((endsAt - 2_000) / 1_000 + 1) * freePerS;
		t.true(
			returned <= served,
			`${String(returned)} of ${String(served)} core-ms return by ${String(endsAt)} ms`,
		);
	}
	// Told by each box alone, 44 of 71 returned in the same second.
	const bySecond = new Map<number, number>();
	for (const { at } of returns)
		bySecond.set(Math.ceil(at / 1_000), (bySecond.get(Math.ceil(at / 1_000)) ?? 0) + 1);
	t.true(Math.max(...bySecond.values()) <= 15, JSON.stringify([...bySecond]));
});

test('the shares and bookings of a box whose link is lost are given again two seconds later', async (t) => {
	const { owner, boxes, cut, pass } = createExchange(2);
	await pass(2_000);
	for (let number = 0; number < 10; number += 1) boxes[0]?.refuse(refusedJob(`job-${String(number)}`));
	await pass(1_000);
	const before = shareOf(owner.shares, '1');
	cut.add(0);
	await pass(1_000);
	t.true(shareOf(owner.shares, '1') < 0.5 * 16 * freePerS, 'the box may still use its share');
	await pass(2_000);
	t.true(shareOf(owner.shares, '1') > 0.9 * 16 * freePerS, `${String(before)} core-ms before`);
	const { bookedS } = boxes[0]?.refuse(refusedJob('later')) ?? {};
	t.is(bookedS, undefined, 'a box books nothing into a share that has lapsed');
});

test('a new owner gives no capacity that is booked, and none before it has heard the boxes', async (t) => {
	const { owner, boxes, pass, replaceOwner } = createExchange(2);
	await pass(2_000);
	for (let number = 0; number < 10; number += 1) boxes[0]?.refuse(refusedJob(`job-${String(number)}`));
	replaceOwner();
	t.is(owner.shares.giveTo('1'), undefined);
	await pass(500);
	t.is(owner.shares.giveTo('1'), undefined);
	await pass(1_000);
	const total = owner.shares.bookedCoreMs + shareOf(owner.shares, '0') + shareOf(owner.shares, '1');
	t.true(owner.shares.bookedCoreMs > 0);
	t.true(total <= 16 * freePerS, String(total));
});

test('urgent callers and those refused before are booked into what is left of earlier seconds', async (t) => {
	const { boxes, pass } = createExchange(1);
	const [box] = boxes;
	await pass(2_000);
	const seconds = (prefix: string, more: Partial<admission.RefusedJob>): number[] =>
		Array.from({ length: 4 }, (_, i) => box?.refuse(refusedJob(`${prefix}-${String(i)}`, more)).bookedS ?? 0);
	t.deepEqual(seconds('batch', {}), [1, 1, 2, 2]);
	t.is(box?.refuse(refusedJob('urgent', { priority: 0 })).bookedS, 2);
	t.is(box?.refuse(refusedJob('batch-3')).bookedS, 3);
});

test('no caller is told a time at which its job is of no value, and without capacity callers are spread', async (t) => {
	const { boxes, pass } = createExchange(1);
	const [box] = boxes;
	const unbooked = (id: string, more: Partial<admission.RefusedJob>): number =>
		box?.refuse(refusedJob(id, more)).retryAfterS ?? 0;
	t.is(unbooked('clears at once', { clearsInMs: 0 }), 3, 'two seconds, and half of the spread');
	t.is(unbooked('clears late', { clearsInMs: 8_000 }), 10);
	t.is(unbooked('of little value', { clearsInMs: 8_000, worthlessMs: 6_000 }), 4);
	await pass(2_000);
	const large = { work: [{ kind: 'preemptible' as const, coreMs: 4 * freePerS }], worthlessMs: 4_000 };
	t.is(box?.refuse(refusedJob('large', large)).bookedS, undefined, 'its second would be too late');
});

/** What 1,000 callers are told that are refused without a booking, by time in seconds. */
function tellUnbooked(more: Partial<admission.RefusedJob>): Map<number, number> {
	const told = new Map<number, number>();
	let draws = 0;
	const box = admission.ReturnSchedule.create(
		() => 0,
		() => (draws++ % 1_000) / 1_000,
	);
	for (let number = 0; number < 1_000; number += 1) {
		const { retryAfterS } = box.refuse(refusedJob(`job-${String(number)}`, more));
		told.set(retryAfterS, (told.get(retryAfterS) ?? 0) + 1);
	}
	return told;
}

// Times of two to three seconds were rounded up, so that all callers were told three.
for (const clearsInMs of [0, 500, 1_500, 2_000, 9_000])
	test(`callers refused ${String(clearsInMs)} ms before the forecast clears do not all return together`, (t) => {
		const told = tellUnbooked({ clearsInMs });
		t.true(Math.max(...told.values()) <= 400, JSON.stringify([...told]));
		t.true(Math.min(...told.keys()) >= Math.max(2, clearsInMs / 1_000));
	});

// The value of these jobs has passed, or passes within the shortest time; they were told one second.
for (const worthlessMs of [0, 2_500, 3_999])
	test(`callers whose jobs are of no value after ${String(worthlessMs)} ms do not return soonest`, (t) => {
		const told = tellUnbooked({ clearsInMs: 8_000, worthlessMs, criticalPathMs: 2_000 });
		t.true(Math.min(...told.keys()) >= 8, JSON.stringify([...told]));
	});

test('a job without work takes no second, and is not told to return in one second', async (t) => {
	const { boxes, pass } = createExchange(1);
	await pass(2_000);
	const answer = boxes[0]?.refuse(refusedJob('empty', { work: [], clearsInMs: 4_000 }));
	t.deepEqual(answer, { retryAfterS: 5 });
});

test('a share with an invalid number is rejected as a whole', (t) => {
	const coreMs = Array.from({ length: 16 }, () => 1);
	const share = (first: number, kind = 'reserved', rest = coreMs.slice(1)): unknown => ({
		fromMs: 0,
		shares: [{ kind, coreMs: [first, ...rest] }],
	});
	t.true(admission.parseSeconds(share(1)).ok);
	for (const wrong of [-1, NaN, Infinity, 1e9 + 1]) t.false(admission.parseSeconds(share(wrong)).ok);
	t.false(admission.parseSeconds(share(1, 'serving')).ok);
	t.false(admission.parseSeconds(share(1, 'reserved', [])).ok);
	t.false(admission.parseSeconds({ ...(share(1) as object), fromMs: NaN }).ok);
	t.false(admission.parseRefused([{ kind: 'reserved', coreMs: -1 }]).ok);
});

/** Submits a job at a box that refuses for the forecast, and whose store fails as `fault` says; its contact is not lost. */
function createRefusingService(
	clock: time.VirtualClock,
	returns: admission.ReturnSchedule | undefined,
	fault: () => memory.StoreFault = () => 'none',
): (id: string) => Promise<service.Answer<'accepted'>> {
	const log = events.EventLog.create('entry-1', clock);
	const store = memory.MemoryStore.create(clock);
	const jobs = service.JobService.create({
		...contacts.monitorContact(store.view(), log, () => clock.now()),
		store: store.view(fault),
		clock,
		events: log,
		dispatcher: () => undefined,
		callOwner: () => Promise.resolve(results.fail({ sent: false, reason: 'no owner is known' })),
		ownerGeneration: () => 1,
		backlog: () => [],
		admission: () => ({
			type: 'refuse',
			cause: 'long-wait',
			waitMs: 11_000,
			limitMs: 10_000,
			forecast: { waitMs: 11_000, finishMs: 13_000, ageMs: 100 },
		}),
		...(returns !== undefined && { returns }),
		random: () => 0,
		ownerReachesStore: () => false,
	});
	return async (id) => {
		const answer = jobs.submit(fixtures.queue, id, { text: '', steps: [fixtures.step({ fills: true })] });
		await clock.advance(100);
		return answer;
	};
}

test('a caller that returns in its booked second is not refused for the wait that its booking counted', async (t) => {
	const { clock, boxes, pass } = createExchange(1);
	await pass(2_000);
	const submit = createRefusingService(clock, boxes[0]);
	const refused = await submit('00000000000000a1');
	t.is(refused.type, 'overloaded');
	await clock.advance((refused.type === 'overloaded' ? refused.retryAfterS : 0) * 1_000);
	t.is((await submit('00000000000000a1')).type, 'ok');
	// A booking counts once.
	t.is((await submit('00000000000000a2')).type, 'overloaded');
});

test('a caller whose write fails in its booked second keeps its booking for the next attempt', async (t) => {
	const { clock, boxes, pass } = createExchange(1);
	await pass(2_000);
	let fault: memory.StoreFault = 'none';
	const submit = createRefusingService(clock, boxes[0], () => fault);
	const refused = await submit('00000000000000a1');
	t.is(refused.type, 'overloaded');
	await clock.advance((refused.type === 'overloaded' ? refused.retryAfterS : 0) * 1_000);
	fault = 'down';
	t.is((await submit('00000000000000a1')).type, 'unavailable');
	t.not(boxes[0]?.booked(), undefined, 'the owner does not give its capacity to others');
	fault = 'none';
	t.is((await submit('00000000000000a1')).type, 'ok');
	t.is(boxes[0]?.booked(), undefined);
});

/** Pings of a box whose calls are answered by `answer`. */
function createPings(
	clock: time.VirtualClock,
	returns: admission.ReturnSchedule,
	answer: () => ReturnType<pings.OwnerPingsOptions['peers']['call']>,
): pings.OwnerPings {
	const log = events.EventLog.create('entry-1', clock);
	const store = memory.MemoryStore.create(clock);
	return pings.OwnerPings.create({
		...contacts.monitorContact(store.view(), log, () => clock.now()),
		peers: { call: <T>() => answer() as Promise<wire.CallResult<T>> },
		events: log,
		box: 'entry-1',
		processor: 1,
		now: () => clock.now(),
		returns,
		configuration: () => 0,
		onConfiguration: () => undefined,
		handover: () => ({}),
		onReply: () => undefined,
	});
}

// The owner counts each share that it sends as given, in place of the one before.
test('the shares in answers to pings that ask for a permission or follow a broken connection are used', async (t) => {
	const clock = time.VirtualClock.create();
	const coreMs = Array.from({ length: 16 }, () => freePerS);
	const reply = {
		generation: 1,
		storeReachable: true,
		strongest: 1,
		returns: { fromMs: 0, shares: [{ kind: 'preemptible', coreMs }] },
	};
	for (const kind of ['permission', 'new-connection'] as const) {
		const schedule = admission.ReturnSchedule.create(
			() => clock.now(),
			() => 0,
		);
		let isBroken = kind === 'new-connection';
		const ping = createPings(clock, schedule, () => {
			const wasBroken = isBroken;
			isBroken = false;
			return Promise.resolve(
				wasBroken
					? results.fail({ cause: 'broken' as const, effect: 'unknown' as const, reason: '' })
					: results.ok(results.ok(reply)),
			);
		});
		await (kind === 'permission' ? ping.pingNow('owner') : ping.ping('owner'));
		t.is(schedule.refuse(refusedJob('job-1')).bookedS, 1, kind);
	}
});

test('a ping with an invalid field is logged and counts for the rest; its earlier bookings stay', async (t) => {
	const clock = time.VirtualClock.create();
	const log = events.EventLog.create('entry-1', clock);
	const rejected: unknown[] = [];
	log.observe((event) => {
		if (event.name === 'returns.rejected') rejected.push(event.fields.box);
	});
	const schedule = admission.ReturnSchedule.create(
		() => clock.now(),
		() => 0,
	);
	const coreMs = Array.from({ length: 16 }, () => freePerS);
	const free = [{ kind: 'preemptible' as const, pool: 'press', coreMs }];
	const latest = { at: clock.now(), known: true, classes: [], free };
	const publisher = publishers.ReturnsPublisher.create({
		clock,
		events: log,
		epoch: 1,
		forecaster: { latest },
		box: 'entry-1',
		schedule,
	});
	const booked = { fromMs: 0, shares: [{ kind: 'preemptible', coreMs: coreMs.map(() => freePerS / 2) }] };
	publisher.notePing('entry-2', undefined, booked);
	await clock.advance(1_100);
	publisher.notePing('entry-2', [{ kind: 'preemptible', coreMs: -1 }], { ...booked, fromMs: NaN });
	t.deepEqual(rejected, ['entry-2', 'entry-2']);
	const given = publisher.answerFor('entry-2')?.shares.find(({ kind }) => kind === 'preemptible');
	t.true((given?.coreMs[3] ?? 0) > 0, 'the box gets a share');
	t.true((given?.coreMs[3] ?? 0) <= freePerS / 4, 'half of the capacity is still booked');
	publisher.close();
});
