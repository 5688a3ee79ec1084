/**
 * Repeats calls to workers that are left unanswered, long before they time out.
 *
 * If a call is unanswered although several calls that were due later are answered, the delay is not in this box's link or
 * processor, which handle calls in turn: its connection is dead, or its worker is late to carry it out. Such a call is sent
 * once more over a new connection, like the fast retransmission of RFC 5681, though not before answers usually arrive (RFC
 * 6298), and not while the processor is overloaded. Commands and polls may be repeated: each command names its run, and each
 * repeat carries the same lease. Where no call is answered at all, a few calls are repeated as probes.
 */
import * as delays from './answer-delays.js';
import * as failures from '../fleet/failures.js';
import * as results from '../result.js';
import type * as clocks from '../clock.js';
import type * as fleet from '../fleet/types.js';

/** Minimum time from when a call's answer was due to its first repeat, in milliseconds. */
const repeatAfterMs = 150;

/** If nothing was answered for this time, calls are repeated as probes, in milliseconds. */
const probeAfterMs = 300;

/** Interval between checks of an overdue call, in milliseconds. */
const recheckIntervalMs = 50;

/**
 * A timer that fires this late shows that this box's processor is overloaded, in milliseconds. Answers may have arrived
 * unread, and repeats would take the processor time that is needed to read them.
 */
const overloadLatenessMs = 50;

/** Nothing is repeated for this time after such a timer, in milliseconds. */
const overloadHoldMs = 300;

/** Number of answers to calls due later which show that a call was overtaken. */
const minOvertakingAnswers = 3;

/** Maximum number of probes in flight. */
const maxProbes = 4;

/**
 * Repeats earned by each answer, and the maximum that can be saved up. Repeats thus never take more of a link than the
 * answers do.
 */
const repeatsPerAnswer = 1;
const maxRepeatBudget = 64;

/** Kinds of calls; those of one kind take equally long to answer. `question`: a poll. `order`: a command. */
export type CallKind = 'question' | 'order';

/** Why a call is repeated. `overtaken`: calls due later were answered. `probe`: no call is answered, and a repeat tests whether any gets through. */
type RepeatReason = 'overtaken' | 'probe';

/** A call and how to repeat it. */
export interface RepeatableCall<T> {
	at: fleet.WorkerTarget;
	kind: CallKind;
	/** Time that the worker may wait before it answers, in milliseconds. */
	waitMs: number;
	send: () => fleet.WorkerResult<T>;
	/** Sends it once more, to be answered at once. `copies`: number of copies sent, this one included. */
	resend: (copies: number) => fleet.WorkerResult<T>;
	/** Whether it may be sent once more; absent: it may. */
	mayRepeat?: () => boolean;
}

/** A call without an outcome. */
interface PendingCall<T> {
	call: RepeatableCall<T>;
	/** Clock time by which its answer is due. */
	dueAt: number;
	repeats: number;
	/** Number of repeats that were certainly not carried out. */
	refusedRepeats: number;
	/** Fires at the next check. */
	timer?: clocks.Timer;
	/** Completes the call; only the first outcome counts. */
	complete: (res: Awaited<fleet.WorkerResult<T>>) => void;
}

export interface RepeaterDeps {
	clock: clocks.Clock;
	/** Retires the kept connections to a worker, so that the next call opens a new one. */
	renew: (at: fleet.WorkerTarget) => void;
	/** Called for each repeat. */
	onRepeat: () => void;
	/** Whether the owner sends nothing more, so that its calls in flight are not repeated. */
	isClosed: () => boolean;
}

/** Sends the calls of one owner, and repeats those that are overdue. */
export class CallRepeater {
	/** Due times of the answered calls that were due last, by kind. */
	private readonly answeredDueTimes: Record<CallKind, number[]> = { question: [], order: [] };
	private readonly delays = delays.AnswerDelays.create();
	/** Clock time of the newest answer; `-Infinity`: there was none. */
	private lastAnsweredAt = -Infinity;
	/** Clock time at which the processor was last found overloaded; `-Infinity`: it never was. */
	private overloadedAt = -Infinity;
	private probesInFlight = 0;
	private repeatBudget = maxRepeatBudget;

	private constructor(private readonly deps: RepeaterDeps) {}

	static create(deps: RepeaterDeps): CallRepeater {
		return new CallRepeater(deps);
	}

	/**
	 * Sends a call. The outcome is that of the first attempt, unless a repeat succeeds before it. A refusal of the first
	 * attempt counts as such only if all repeats were refused before it: it says nothing about the others, which may pass it
	 * on their way.
	 */
	run<T>(call: RepeatableCall<T>): fleet.WorkerResult<T> {
		const dueAt = this.deps.clock.now() + call.waitMs;
		return new Promise((resolve) => {
			const pending: PendingCall<T> = {
				call,
				dueAt,
				repeats: 0,
				refusedRepeats: 0,
				complete: (res) => {
					pending.timer?.cancel();
					resolve(res);
				},
			};
			this.recheckAfter(pending, call.waitMs + repeatAfterMs);
			void call.send().then((res) => {
				this.noteAnswer(call, res, dueAt);
				pending.complete(outcomeOf(pending, res));
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

	/** Repeats a call if there is a reason to, and schedules the next check. */
	private recheck<T>(pending: PendingCall<T>): void {
		if (this.deps.isClosed()) return;
		const reason = this.reasonToRepeat(pending);
		if (reason === undefined) {
			this.recheckAfter(pending, recheckIntervalMs);
			return;
		}
		pending.repeats += 1;
		this.recheckAfter(pending, repeatAfterMs * 2 ** pending.repeats);
		void this.repeat(pending, reason).then((res) => {
			if (res.ok) pending.complete(res);
			else if (failures.isNotCarriedOut(res.err)) pending.refusedRepeats += 1;
		});
	}

	/** Notes the processor as overloaded if a timer that was due at `expectedAt` fires late. */
	private checkTimerLateness(expectedAt: number): void {
		const now = this.deps.clock.now();
		if (now - expectedAt > overloadLatenessMs) this.overloadedAt = now;
	}

	/** Why a call has to be repeated; undefined: it has not. */
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
		{ call, repeats }: PendingCall<T>,
		reason: RepeatReason,
	): Promise<Awaited<fleet.WorkerResult<T>>> {
		const dueAt = this.deps.clock.now();
		this.repeatBudget -= 1;
		this.deps.onRepeat();
		this.deps.renew(call.at);
		if (reason === 'probe') this.probesInFlight += 1;
		const res = await call.resend(1 + repeats);
		if (reason === 'probe') this.probesInFlight -= 1;
		if (res.ok) this.noteAnswer(call, res, dueAt);
		return res;
	}

	/** Notes the answer to a call that was due at `dueAt`. A timeout is no answer. */
	private noteAnswer<T>(call: RepeatableCall<T>, res: Awaited<fleet.WorkerResult<T>>, dueAt: number): void {
		if (!res.ok && failures.isUnanswered(res.err)) return;
		const now = this.deps.clock.now();
		this.lastAnsweredAt = now;
		// An answer that came before its wait was over does not measure the delay.
		if (now >= dueAt) this.delays.addSample(now - dueAt);
		this.repeatBudget = Math.min(maxRepeatBudget, this.repeatBudget + repeatsPerAnswer);
		const latest = [...this.answeredDueTimes[call.kind], Math.min(dueAt, now)].sort((a, b) => b - a);
		this.answeredDueTimes[call.kind] = latest.slice(0, minOvertakingAnswers);
	}
}

/** The outcome of a call whose first attempt ended as given. */
function outcomeOf<T>(
	{ repeats, refusedRepeats }: PendingCall<T>,
	first: Awaited<fleet.WorkerResult<T>>,
): Awaited<fleet.WorkerResult<T>> {
	if (first.ok || !failures.isNotCarriedOut(first.err) || refusedRepeats === repeats) return first;
	return results.fail({ kind: 'in-doubt', refusal: first.err });
}

/** What repeats depend on, and callbacks on them. */
export interface RepeatHandlers extends Pick<RepeaterDeps, 'onRepeat' | 'isClosed'> {
	/** A start is repeated. `copies`: number of copies sent, this one included. */
	onStartRepeated: (at: fleet.WorkerTarget, command: fleet.StartCommand, copies: number) => void;
}

/** Wraps calls so that they are repeated if they are overtaken. */
export function repeatCalls(
	calls: fleet.WorkerCalls,
	clock: clocks.Clock,
	handlers: RepeatHandlers,
): fleet.WorkerCalls {
	const repeater = CallRepeater.create({ ...handlers, clock, renew: calls.renew });
	const command = <T>(
		at: fleet.WorkerTarget,
		send: () => fleet.WorkerResult<T>,
		repeating: Partial<RepeatableCall<T>> = {},
	): fleet.WorkerResult<T> =>
		repeater.run({ at, kind: 'order', waitMs: 0, send, resend: send, ...repeating });
	return {
		...calls,
		start: (at, req) =>
			command(at, () => calls.start(at, req), {
				resend: (copies) => {
					handlers.onStartRepeated(at, req, copies);
					return calls.start(at, req);
				},
				mayRepeat: req.mayRetry,
			}),
		stop: (at, task, run, token) => command(at, () => calls.stop(at, task, run, token)),
		pace: (at, task, run, percent, token) => command(at, () => calls.pace(at, task, run, percent, token)),
		requestReport: (at, req) =>
			repeater.run({
				at,
				kind: 'question',
				waitMs: req.waitMs,
				send: () => calls.requestReport(at, req),
				// Another incarnation of the worker may answer the repeat, and would drop its own exits if they were
				// acknowledged.
				resend: () => {
					req.onRepeat?.();
					return calls.requestReport(at, { ...req, acknowledgeUpTo: 0, waitMs: 0, onConnected: undefined });
				},
			}),
	};
}
