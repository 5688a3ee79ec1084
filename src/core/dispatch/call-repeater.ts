/**
 * Repeats calls to workers that are left without an answer, long before they are given up.
 *
 * A call that has no answer although several that were due after it have one was not held up by this box's link or
 * processor, which take calls in turn: its connection has gone silent, or its worker carries it out late. It is sent once
 * more over a new connection, as in the fast retransmission of RFC 5681, though no sooner than answers usually take (RFC
 * 6298), and not while the processor is full. Orders and questions may be repeated: each names its run, and carries the
 * same lease. Where nothing is answered at all, a few calls are repeated as probes.
 */
import * as delays from './answer-delays.js';
import * as failures from '../fleet/failures.js';
import type * as clocks from '../clock.js';
import type * as fleet from '../fleet/types.js';

/** A call is repeated no sooner than so long after its answer was due, in milliseconds. */
const repeatAfterMs = 150;

/** Once nothing was answered for so long, calls are repeated as probes, in milliseconds. */
const probeAfterMs = 300;

/** How often an overdue call is looked at, in milliseconds. */
const recheckIntervalMs = 50;

/**
 * A timer that fires so late shows that this box's processor is full, in milliseconds. Answers may have come then that
 * nobody has read, and repeats would take what reading them needs.
 */
const overloadLatenessMs = 50;

/** Nothing is repeated for so long after that, in milliseconds. */
const overloadHoldMs = 300;

/** So many answers to calls that were due later show that a call was overtaken. */
const minOvertakingAnswers = 3;

/** Probes under way at once, at most. */
const maxProbes = 4;

/** Repeats for each answer, and how many may be saved up: they never take more of a link than the answers do. */
const repeatsPerAnswer = 1;
const maxRepeatBudget = 64;

/** Calls that take equally long to answer. */
export type CallKind = 'question' | 'order';

/** Why a call is repeated. `overtaken`: later ones were answered. `probe`: none is, and somebody has to try. */
type RepeatReason = 'overtaken' | 'probe';

/** A call as it is to be sent. */
export interface RepeatableCall<T> {
	at: fleet.WorkerTarget;
	kind: CallKind;
	/** The worker may take so long to answer, in milliseconds. */
	waitMs: number;
	send: () => fleet.WorkerResult<T>;
	/** Sends it once more, to be answered at once. */
	resend: () => fleet.WorkerResult<T>;
	/** Whether it may be sent once more; absent: it may. */
	mayRepeat?: () => boolean;
}

/** A call that has no outcome yet. */
interface PendingCall<T> {
	call: RepeatableCall<T>;
	/** Clock time by which it is to be answered. */
	dueAt: number;
	repeats: number;
	/** Until it is looked at again. */
	timer?: clocks.Timer;
	/** Ends it; only the first outcome counts. */
	complete: (res: Awaited<fleet.WorkerResult<T>>) => void;
}

/** What the repeater uses. */
export interface RepeaterDeps {
	clock: clocks.Clock;
	/** Takes the kept connections to a worker out of use. */
	renew: (at: fleet.WorkerTarget) => void;
	/** A call is repeated. */
	onRepeat: () => void;
}

/** Sends the calls of one owner. */
export class CallRepeater {
	/** Times at which answered calls were due, the latest, by kind. */
	private readonly answeredDueTimes: Record<CallKind, number[]> = { question: [], order: [] };
	private readonly delays = delays.AnswerDelays.create();
	/** Clock time of the newest answer. */
	private lastAnsweredAt = -Infinity;
	/** Clock time at which the processor was last found full. */
	private overloadedAt = -Infinity;
	private probesInFlight = 0;
	private repeatBudget = maxRepeatBudget;

	private constructor(private readonly deps: RepeaterDeps) {}

	static create(deps: RepeaterDeps): CallRepeater {
		return new CallRepeater(deps);
	}

	/** Sends a call. Its outcome is that of the first attempt, unless a repeat succeeds before. */
	run<T>(call: RepeatableCall<T>): fleet.WorkerResult<T> {
		const dueAt = this.deps.clock.now() + call.waitMs;
		return new Promise((resolve) => {
			const pending: PendingCall<T> = {
				call,
				dueAt,
				repeats: 0,
				complete: (res) => {
					pending.timer?.cancel();
					resolve(res);
				},
			};
			this.recheckAfter(pending, call.waitMs + repeatAfterMs);
			void call.send().then((res) => {
				this.noteAnswer(call, res, dueAt);
				pending.complete(res);
			});
		});
	}

	private recheckAfter<T>(pending: PendingCall<T>, ms: number): void {
		const { clock } = this.deps;
		const recheckAt = clock.now() + ms;
		pending.timer = clock.after(ms, () => {
			this.checkTimerLateness(recheckAt);
			this.recheck(pending);
		});
	}

	/** Repeats a call if there is reason to, and looks at it again later. */
	private recheck<T>(pending: PendingCall<T>): void {
		const reason = this.reasonToRepeat(pending);
		if (reason === undefined) {
			this.recheckAfter(pending, recheckIntervalMs);
			return;
		}
		pending.repeats += 1;
		this.recheckAfter(pending, repeatAfterMs * 2 ** pending.repeats);
		void this.repeat(pending.call, reason).then((res) => {
			if (res.ok) pending.complete(res);
		});
	}

	/** A timer that was to fire at `at` fires. */
	private checkTimerLateness(expectedAt: number): void {
		const now = this.deps.clock.now();
		if (now - expectedAt > overloadLatenessMs) this.overloadedAt = now;
	}

	/** Why a call is to be repeated now; undefined: it is not. */
	private reasonToRepeat<T>({ call, dueAt }: PendingCall<T>): RepeatReason | undefined {
		if (this.repeatBudget < 1 || call.mayRepeat?.() === false) return undefined;
		const now = this.deps.clock.now();
		if (now - this.overloadedAt < overloadHoldMs || now - dueAt < this.delays.usualDelayMs) return undefined;
		const answeredLater = this.answeredDueTimes[call.kind].filter((at) => at > dueAt);
		if (answeredLater.length >= minOvertakingAnswers) return 'overtaken';
		const isUnresponsive = now - Math.max(dueAt, this.lastAnsweredAt) >= probeAfterMs;
		return isUnresponsive && this.probesInFlight < maxProbes ? 'probe' : undefined;
	}

	private async repeat<T>(
		call: RepeatableCall<T>,
		reason: RepeatReason,
	): Promise<Awaited<fleet.WorkerResult<T>>> {
		const dueAt = this.deps.clock.now();
		this.repeatBudget -= 1;
		this.deps.onRepeat();
		this.deps.renew(call.at);
		if (reason === 'probe') this.probesInFlight += 1;
		const res = await call.resend();
		if (reason === 'probe') this.probesInFlight -= 1;
		if (res.ok) this.noteAnswer(call, res, dueAt);
		return res;
	}

	/** A call that was due at `dueAt` was answered, or given up. */
	private noteAnswer<T>(call: RepeatableCall<T>, res: Awaited<fleet.WorkerResult<T>>, dueAt: number): void {
		if (!res.ok && failures.isUnanswered(res.err)) return;
		const now = this.deps.clock.now();
		this.lastAnsweredAt = now;
		// An answer that did not wait for its time says nothing of the delay.
		if (now >= dueAt) this.delays.addSample(now - dueAt);
		this.repeatBudget = Math.min(maxRepeatBudget, this.repeatBudget + repeatsPerAnswer);
		const latest = [...this.answeredDueTimes[call.kind], Math.min(dueAt, now)].sort((a, b) => b - a);
		this.answeredDueTimes[call.kind] = latest.slice(0, minOvertakingAnswers);
	}
}

/** The same calls, repeated where they are overtaken; `onRepeat`: told of each that is. */
export function repeatCalls(
	calls: fleet.WorkerCalls,
	clock: clocks.Clock,
	onRepeat: () => void,
): fleet.WorkerCalls {
	const repeater = CallRepeater.create({ clock, renew: calls.renew, onRepeat });
	const command = <T>(
		at: fleet.WorkerTarget,
		send: () => fleet.WorkerResult<T>,
		mayRepeat?: () => boolean,
	): fleet.WorkerResult<T> => repeater.run({ at, kind: 'order', waitMs: 0, send, resend: send, mayRepeat });
	return {
		...calls,
		start: (at, req) => command(at, () => calls.start(at, req), req.mayRetry),
		stop: (at, task, run, token) => command(at, () => calls.stop(at, task, run, token)),
		pace: (at, task, run, percent, token) => command(at, () => calls.pace(at, task, run, percent, token)),
		requestReport: (at, req) =>
			repeater.run({
				at,
				kind: 'question',
				waitMs: req.waitMs,
				send: () => calls.requestReport(at, req),
				// Another life of the worker may answer by now, and would forget ends of its own.
				resend: () => {
					req.onRepeat?.();
					return calls.requestReport(at, { ...req, acknowledgeUpTo: 0, waitMs: 0, onConnected: undefined });
				},
			}),
	};
}
