/**
 * Books refused callers, at a box, into seconds in which there is capacity for their jobs.
 *
 * Load pattern: a burst has callers refused who would all return in the same second. Each gets the first second by whose end
 * this box's share covers its job besides those booked before it, so that callers return no faster than they can be served.
 */
import * as jobs from '../jobs/index.js';
import * as messages from './return-message.js';

/** How long a share may be used, in milliseconds. It lapses at the owner after 2,000 ms; an answer takes less than the rest. */
const shareUsableMs = 1_500;

/** Part of each second that is left to urgent jobs and to callers that were refused before. */
const urgentFraction = 0.2;

/** Refused jobs that are remembered, and for how long in milliseconds: callers give up after about half a minute. */
const maxRemembered = 4_096;
const rememberMs = 60_000;

/** A caller is in time for its booking from this long before its second until this long after its beginning, in milliseconds. */
const earlyMs = 500;
const lateMs = 2_500;

/** Shortest and longest time to a return without a booking, in seconds. */
const minUnbookedS = 2;
const maxUnbookedS = 30;

/**
 * Times to a return without a booking are spread over a part of the time until the forecast clears, and over a minimum number
 * of seconds: mostly the forecast clears within two seconds, half of which is a single value of `Retry-After`.
 */
const spreadPart = 0.5;
const minSpreadS = 3;

/** A job that is refused. */
export interface RefusedJob {
	id: string;
	priority: number;
	/** Its work by kind, in core-milliseconds. */
	work: messages.RefusedWork;
	/** Length of its critical path, and time after which it is worth nothing, in milliseconds. */
	criticalPathMs: number;
	worthlessMs: number;
	/** When the forecast has no wait for it any more, in milliseconds from now. */
	clearsInMs: number;
}

/** When a refused caller should return. `bookedS`: the second was booked for it; absent: there was no capacity. */
export interface ReturnTime {
	retryAfterS: number;
	bookedS?: number;
	/** What was booked, in core-milliseconds. */
	bookedCoreMs?: number;
}

interface Booking {
	/** Clock time at which its second begins. */
	at: number;
	bookedAt: number;
	/** What it takes of each second, by kind: clock time of the second's beginning and core-milliseconds. */
	taken: { kind: messages.ReturnKind; at: number; coreMs: number }[];
}

interface Remembered {
	firstRefusedAt: number;
	refusedAt: number;
	booking: Booking | undefined;
}

interface Second {
	at: number;
	/** The share of this box, and what is left of it. */
	whole: number;
	left: number;
}

/** Bookings of one box. */
export class ReturnSchedule {
	private readonly remembered = new Map<string, Remembered>();
	private shares: Record<messages.ReturnKind, Second[]> = { reserved: [], preemptible: [] };
	private sharedAt = -Infinity;
	/** Clock time at which one of the owner's seconds began. */
	private secondsFrom = 0;
	private refused: Record<messages.ReturnKind, number> = { reserved: 0, preemptible: 0 };

	private constructor(
		private readonly now: () => number,
		private readonly random: () => number,
	) {}

	/** `now`: clock time; `random`: a number from 0 to 1. */
	static create(now: () => number, random: () => number): ReturnSchedule {
		return new ReturnSchedule(now, random);
	}

	/** Replaces the share of this box. `askedAt`: clock time of the ping; the owner doesn't know of bookings after it. */
	noteShare(returns: messages.SharedSeconds, askedAt: number): void {
		const now = this.now();
		this.sharedAt = now;
		this.secondsFrom = now + returns.fromMs;
		this.shares = { reserved: [], preemptible: [] };
		for (const { kind, coreMs } of returns.shares)
			this.shares[kind] = coreMs.map((left, index) => {
				const at = now + returns.fromMs + index * 1_000;
				return { at, whole: left, left };
			});
		for (const { booking } of this.remembered.values())
			if (booking !== undefined && booking.bookedAt >= askedAt) this.takeAgain(booking);
	}

	/** What this box refused since the last call, for the owner. */
	takeRefused(): messages.RefusedWork {
		const found = messages.returnKinds.map((kind) => ({ kind, coreMs: Math.round(this.refused[kind]) }));
		this.refused = { reserved: 0, preemptible: 0 };
		return found.filter(({ coreMs }) => coreMs > 0);
	}

	/** What is booked, for the owner; undefined: nothing. */
	booked(): messages.SharedSeconds | undefined {
		const now = this.now();
		this.forgetOld(now);
		const beganAgoMs = (((now - this.secondsFrom) % 1_000) + 1_000) % 1_000;
		const shares = messages.returnKinds.map((kind) => ({
			kind,
			coreMs: Array.from({ length: messages.sharedSeconds }, () => 0),
		}));
		for (const { booking } of this.remembered.values())
			for (const { kind, at, coreMs } of booking?.taken ?? []) {
				const share = shares.find((one) => one.kind === kind);
				const index = Math.round((at - now + beganAgoMs) / 1_000);
				if (share !== undefined && index >= 0 && index < messages.sharedSeconds)
					share.coreMs[index] = (share.coreMs[index] ?? 0) + Math.ceil(coreMs);
			}
		const used = shares.filter(({ coreMs }) => coreMs.some((one) => one > 0));
		return used.length === 0 ? undefined : { fromMs: -beganAgoMs, shares: used };
	}

	/** Whether a job that was submitted again comes in the second that it was booked into. Its booking stays. */
	isInBookedSecond(id: string): boolean {
		const booking = this.remembered.get(id)?.booking;
		if (booking === undefined) return false;
		const fromBookedMs = this.now() - booking.at;
		return fromBookedMs >= -earlyMs && fromBookedMs < lateMs;
	}

	/** Ends the booking of a job that was accepted. */
	endBooking(id: string): void {
		const known = this.remembered.get(id);
		if (known !== undefined) known.booking = undefined;
	}

	/** Decides when a refused caller should return. */
	refuse(job: RefusedJob): ReturnTime {
		const now = this.now();
		const known = this.remember(job.id, now);
		for (const { kind, coreMs } of job.work) this.refused[kind] += coreMs;
		// The last time at which it could still be of value, counted from the first refusal.
		const latestAt = known.firstRefusedAt + Math.max(0, job.worthlessMs - job.criticalPathMs);
		const isFirst = job.priority === 0 || known.refusedAt > known.firstRefusedAt;
		known.booking = this.book(job, isFirst ? 0 : urgentFraction, latestAt, now);
		if (known.booking === undefined) return { retryAfterS: this.unbookedS(job, latestAt - now) };
		const seconds = Math.max(1, Math.ceil((known.booking.at - now) / 1_000));
		const bookedCoreMs = known.booking.taken.reduce((sum, one) => sum + one.coreMs, 0);
		return { retryAfterS: seconds, bookedS: seconds, bookedCoreMs: Math.round(bookedCoreMs) };
	}

	/** Books the first second by whose end there is capacity for all of a job's work. */
	private book(
		job: RefusedJob,
		reservedFraction: number,
		latestAt: number,
		now: number,
	): Booking | undefined {
		// A job without work, whose tasks are estimated at 0 ms, needs no second.
		if (job.work.length === 0 || now - this.sharedAt >= shareUsableMs) return undefined;
		const ready = job.work.map(({ kind, coreMs }) => this.coveredAt(kind, coreMs, reservedFraction, now));
		const at = Math.max(...ready);
		if (!(at <= latestAt)) return undefined;
		const taken = job.work.flatMap(({ kind, coreMs }) => this.take(kind, coreMs, reservedFraction, now));
		return { at, bookedAt: now, taken };
	}

	/** Beginning of the first second by whose end some work is covered; infinite: in none. */
	private coveredAt(
		kind: messages.ReturnKind,
		coreMs: number,
		reservedFraction: number,
		now: number,
	): number {
		let missing = coreMs;
		for (const second of this.shares[kind]) {
			if (second.at <= now) continue;
			missing -= usable(second, reservedFraction);
			if (missing <= 0) return second.at;
		}
		return Infinity;
	}

	private take(
		kind: messages.ReturnKind,
		coreMs: number,
		reservedFraction: number,
		now: number,
	): Booking['taken'] {
		const taken: Booking['taken'] = [];
		let missing = coreMs;
		for (const second of this.shares[kind]) {
			const part = second.at <= now ? 0 : Math.min(missing, usable(second, reservedFraction));
			if (part <= 0) continue;
			second.left -= part;
			missing -= part;
			taken.push({ kind, at: second.at, coreMs: part });
		}
		return taken;
	}

	/** Takes a booking from a share that was computed without it. */
	private takeAgain({ taken }: Booking): void {
		for (const { kind, at, coreMs } of taken) {
			const second = this.shares[kind].find((one) => Math.abs(one.at - at) < 500);
			if (second !== undefined) second.left = Math.max(0, second.left - coreMs);
		}
	}

	/** Seconds until a caller without a booking should return: when the forecast clears, spread, but while its job is of value. */
	private unbookedS({ clearsInMs }: RefusedJob, valuableMs: number): number {
		const clearedS = Math.max(minUnbookedS, Math.ceil(clearsInMs / 1_000));
		const widthS = Math.max(minSpreadS, clearedS * spreadPart);
		const spreadS = Math.min(maxUnbookedS, clearedS + Math.floor(this.random() * widthS));
		// Without a minimum, callers whose jobs are of no value any more would return soonest.
		const valuableS = Math.floor(valuableMs / 1_000);
		return valuableS < minUnbookedS ? spreadS : Math.min(spreadS, valuableS);
	}

	private remember(id: string, now: number): Remembered {
		const { firstRefusedAt = now } = this.remembered.get(id) ?? {};
		// Re-inserted, so that the entries stay in the order of their last refusal.
		this.remembered.delete(id);
		const entry: Remembered = { firstRefusedAt, refusedAt: now, booking: undefined };
		this.remembered.set(id, entry);
		this.forgetOld(now);
		return entry;
	}

	private forgetOld(now: number): void {
		for (const [id, entry] of this.remembered) {
			if (now - entry.refusedAt < rememberMs && this.remembered.size <= maxRemembered) break;
			this.remembered.delete(id);
		}
		for (const entry of this.remembered.values())
			if (entry.booking !== undefined && now - entry.booking.at >= lateMs) entry.booking = undefined;
	}
}

/** What a job may take of a second. */
function usable({ whole, left }: Second, reservedFraction: number): number {
	return Math.max(0, left - whole * reservedFraction);
}

/** A refused job as it is booked. `clearsInMs`: when the forecast has no wait for it any more, in milliseconds from now. */
export function toRefusedJob(
	record: Pick<jobs.JobRecord, 'id' | 'queue' | 'steps'>,
	clearsInMs: number,
): RefusedJob {
	const { criticalPathMs, worthlessMs } = jobs.deadlinesOf(record);
	const work = messages.returnKinds.map((kind) => {
		const steps = record.steps.filter(({ fills }) => fills === (kind === 'preemptible'));
		const coreMs = steps.reduce((sum, one) => sum + (one.count * one.milliCores * one.estimateMs) / 1_000, 0);
		return { kind, coreMs };
	});
	return {
		id: record.id,
		priority: record.queue.priority,
		work: work.filter(({ coreMs }) => coreMs > 0),
		criticalPathMs,
		worthlessMs,
		clearsInMs,
	};
}
