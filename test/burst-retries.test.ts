/** Callers refused in a burst, who return when they are told: what returns can be served, and what is accepted ends. */
import test from 'ava';
import * as admission from '../src/core/admission/index.js';
import * as features from '../src/core/features/index.js';
import * as random from '../dev/random.js';
import * as replays from './fixtures/burst-replay.js';
import type * as jobs from '../src/core/jobs/index.js';

const boxCount = 5;

/** Longest time that a caller goes on trying, in milliseconds. */
const patienceMs = 30_000;

interface Caller {
	atMs: number;
	record: jobs.JobRecord;
	arrivedMs: number;
	attempts: number;
}

interface Outcome {
	accepted: string[];
	acceptedOnReturn: number;
	booked: number;
	refusedInBookedSecond: number;
	gaveUp: number;
	unfinished: number;
	/** Largest number of callers that were told to return in one second. */
	mostInOneSecond: number;
}

/** Replays a burst of twice the usual number of jobs; the pings of three boxes are lost from `cutAtMs` on. */
async function replay(seed: number, cutAtMs = Infinity): Promise<Outcome> {
	const inForce = {
		...features.defaultFeatures,
		admission: 'forecast' as const,
		waitingOrder: 'overload' as const,
	};
	const { environment, owner, arrivals } = await replays.setUpBurst(inForce, seed, 2);
	const { clock, submit } = environment;
	const { forecaster } = owner.dispatcher;
	const shares = admission.ReturnShares.create(() => clock.now());
	const boxes = Array.from({ length: boxCount }, () =>
		admission.ReturnSchedule.create(
			() => clock.now(),
			() => 0.5,
		),
	);
	const from = clock.now();
	const outcome: Outcome = {
		accepted: [],
		acceptedOnReturn: 0,
		booked: 0,
		refusedInBookedSecond: 0,
		gaveUp: 0,
		unfinished: 0,
		mostInOneSecond: 0,
	};
	const toldBySecond = new Map<number, number>();
	const callers: Caller[] = arrivals.map((one) => ({ ...one, arrivedMs: one.atMs, attempts: 0 }));
	const askedAt = boxes.map(() => clock.now());

	const exchange = (at: number): void => {
		shares.update(forecaster.update());
		for (const [index, box] of boxes.entries()) {
			if (index < 3 && at >= cutAtMs) continue;
			const given = shares.giveTo(String(index));
			if (given !== undefined) box.noteShare(given, askedAt[index] ?? 0);
			askedAt[index] = clock.now();
			shares.noteReport(String(index), box.takeRefused(), box.booked());
		}
	};
	const refuse = (caller: Caller, box: admission.ReturnSchedule, at: number, excessMs: number): void => {
		const { retryAfterS, bookedS } = box.refuse(admission.toRefusedJob(caller.record, excessMs));
		if (bookedS !== undefined) outcome.booked += 1;
		const second = Math.floor(at / 1_000) + retryAfterS;
		toldBySecond.set(second, (toldBySecond.get(second) ?? 0) + 1);
		caller.atMs = at + retryAfterS * 1_000;
		caller.attempts += 1;
		if (caller.atMs - caller.arrivedMs < patienceMs) callers.push(caller);
		else outcome.gaveUp += 1;
	};
	const arrive = (caller: Caller, at: number): void => {
		const box = boxes[random.hash(caller.record.id) % boxCount];
		if (box === undefined) return;
		const ageMs = clock.now() - (forecaster.latest?.at ?? 0);
		const forecast = forecaster.message();
		const verdict = admission.decideByForecast(caller.record, forecast && { forecast, ageMs });
		const isBooked = box.isInBookedSecond(caller.record.id);
		if (verdict.type === 'refuse' && !(isBooked && verdict.cause === 'long-wait')) {
			if (isBooked) outcome.refusedInBookedSecond += 1;
			refuse(caller, box, at, verdict.waitMs - verdict.limitMs);
			return;
		}
		box.endBooking(caller.record.id);
		if (caller.attempts > 0) outcome.acceptedOnReturn += 1;
		outcome.accepted.push(caller.record.id);
		void submit(owner, caller.record);
	};

	for (let at = 0; at < 75_000; at += 100) {
		if (at % 500 === 0) exchange(at);
		for (const caller of callers.splice(0)) {
			if (caller.atMs <= at) arrive(caller, at);
			else callers.push(caller);
		}
		await clock.advance(Math.max(0, from + at + 100 - clock.now()));
	}
	outcome.unfinished = outcome.accepted.filter((id) => owner.dispatcher.stateOf(id) !== 'completed').length;
	outcome.mostInOneSecond = Math.max(0, ...toldBySecond.values());
	owner.dispatcher.close();
	return outcome;
}

for (const cutAtMs of [Infinity, 7_000])
	test(`in a burst of twice the size all accepted jobs end${cutAtMs === Infinity ? '' : ' while three links are lost'}`, async (t) => {
		const { accepted, ...outcome } = await replay(1, cutAtMs);
		t.log(JSON.stringify({ accepted: accepted.length, ...outcome }));
		t.is(outcome.unfinished, 0);
		t.is(new Set(accepted).size, accepted.length);
		t.true(outcome.acceptedOnReturn >= 10, 'callers that returned were accepted');
		// Told by each box alone, 44 of 71 returned in the same second.
		t.true(outcome.mostInOneSecond <= 20);
	});
