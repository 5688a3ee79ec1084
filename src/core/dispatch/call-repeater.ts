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
const overdueMs = 150;

/** Once nothing was answered for so long, calls are repeated as probes, in milliseconds. */
const probeAfterMs = 300;

/** How often an overdue call is looked at, in milliseconds. */
const lookMs = 50;

/**
 * A timer that fires so late shows that this box's processor is full, in milliseconds. Answers may have come then that
 * nobody has read, and repeats would take what reading them needs.
 */
const fullAfterMs = 50;

/** Nothing is repeated for so long after that, in milliseconds. */
const fullForMs = 300;

/** So many answers to calls that were due later show that a call was overtaken. */
const overtakenBy = 3;

/** Probes under way at once, at most. */
const mostProbes = 4;

/** Repeats for each answer, and how many may be saved up: they never take more of a link than the answers do. */
const repeatsPerAnswer = 1;
const mostSaved = 64;

/** Calls that take equally long to answer. */
export type CallKind = 'question' | 'order';

/** Why a call is repeated. `overtaken`: later ones were answered. `probe`: none is, and somebody has to try. */
type RepeatReason = 'overtaken' | 'probe';

/** A call as it is to be sent. */
export interface Repeatable<T> {
	at: fleet.WorkerTarget;
	kind: CallKind;
	/** The worker may take so long to answer, in milliseconds. */
	waitMs: number;
	send: () => fleet.WorkerResult<T>;
	/** Sends it once more, to be answered at once. */
	again: () => fleet.WorkerResult<T>;
	/** Whether it may be sent once more; absent: it may. */
	isWanted?: () => boolean;
}

/** A call that has no outcome yet. */
interface OpenCall<T> {
	call: Repeatable<T>;
	/** Clock time by which it is to be answered. */
	dueAt: number;
	repeats: number;
	/** Until it is looked at again. */
	timer?: clocks.Timer;
	/** Ends it; only the first outcome counts. */
	settle: (res: Awaited<fleet.WorkerResult<T>>) => void;
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
	private readonly answered: Record<CallKind, number[]> = { question: [], order: [] };
	private readonly delays = delays.AnswerDelays.create();
	/** Clock time of the newest answer. */
	private answeredAt = -Infinity;
	/** Clock time at which the processor was last found full. */
	private fullAt = -Infinity;
	private probes = 0;
	private saved = mostSaved;

	private constructor(private readonly deps: RepeaterDeps) {}

	static create(deps: RepeaterDeps): CallRepeater {
		return new CallRepeater(deps);
	}

	/** Sends a call. Its outcome is that of the first attempt, unless a repeat succeeds before. */
	run<T>(call: Repeatable<T>): fleet.WorkerResult<T> {
		const dueAt = this.deps.clock.now() + call.waitMs;
		return new Promise((resolve) => {
			const open: OpenCall<T> = {
				call,
				dueAt,
				repeats: 0,
				settle: (res) => {
					open.timer?.cancel();
					resolve(res);
				},
			};
			this.lookAfter(open, call.waitMs + overdueMs);
			void call.send().then((res) => {
				this.note(call, res, dueAt);
				open.settle(res);
			});
		});
	}

	private lookAfter<T>(open: OpenCall<T>, ms: number): void {
		const { clock } = this.deps;
		const lookAt = clock.now() + ms;
		open.timer = clock.after(ms, () => {
			this.noteTimer(lookAt);
			this.look(open);
		});
	}

	/** Repeats a call if there is reason to, and looks at it again later. */
	private look<T>(open: OpenCall<T>): void {
		const reason = this.reasonToRepeat(open);
		if (reason === undefined) {
			this.lookAfter(open, lookMs);
			return;
		}
		open.repeats += 1;
		this.lookAfter(open, overdueMs * 2 ** open.repeats);
		void this.repeat(open.call, reason).then((res) => {
			if (res.ok) open.settle(res);
		});
	}

	/** A timer that was to fire at `at` fires. */
	private noteTimer(at: number): void {
		const now = this.deps.clock.now();
		if (now - at > fullAfterMs) this.fullAt = now;
	}

	/** Why a call is to be repeated now; undefined: it is not. */
	private reasonToRepeat<T>({ call, dueAt }: OpenCall<T>): RepeatReason | undefined {
		if (this.saved < 1 || call.isWanted?.() === false) return undefined;
		const now = this.deps.clock.now();
		if (now - this.fullAt < fullForMs || now - dueAt < this.delays.usualMs) return undefined;
		const later = this.answered[call.kind].filter((at) => at > dueAt);
		if (later.length >= overtakenBy) return 'overtaken';
		const isSilent = now - Math.max(dueAt, this.answeredAt) >= probeAfterMs;
		return isSilent && this.probes < mostProbes ? 'probe' : undefined;
	}

	private async repeat<T>(
		call: Repeatable<T>,
		reason: RepeatReason,
	): Promise<Awaited<fleet.WorkerResult<T>>> {
		const dueAt = this.deps.clock.now();
		this.saved -= 1;
		this.deps.onRepeat();
		this.deps.renew(call.at);
		if (reason === 'probe') this.probes += 1;
		const res = await call.again();
		if (reason === 'probe') this.probes -= 1;
		if (res.ok) this.note(call, res, dueAt);
		return res;
	}

	/** A call that was due at `dueAt` was answered, or given up. */
	private note<T>(call: Repeatable<T>, res: Awaited<fleet.WorkerResult<T>>, dueAt: number): void {
		if (!res.ok && failures.isUnanswered(res.err)) return;
		const now = this.deps.clock.now();
		this.answeredAt = now;
		// An answer that did not wait for its time says nothing of the delay.
		if (now >= dueAt) this.delays.add(now - dueAt);
		this.saved = Math.min(mostSaved, this.saved + repeatsPerAnswer);
		const latest = [...this.answered[call.kind], Math.min(dueAt, now)].sort((a, b) => b - a);
		this.answered[call.kind] = latest.slice(0, overtakenBy);
	}
}

/** The same calls, repeated where they are overtaken; `onRepeat`: told of each that is. */
export function repeatCalls(
	calls: fleet.WorkerCalls,
	clock: clocks.Clock,
	onRepeat: () => void,
): fleet.WorkerCalls {
	const repeater = CallRepeater.create({ clock, renew: calls.renew, onRepeat });
	const order = <T>(
		at: fleet.WorkerTarget,
		send: () => fleet.WorkerResult<T>,
		isWanted?: () => boolean,
	): fleet.WorkerResult<T> => repeater.run({ at, kind: 'order', waitMs: 0, send, again: send, isWanted });
	return {
		...calls,
		start: (at, req) => order(at, () => calls.start(at, req), req.isWanted),
		stop: (at, task, run, token) => order(at, () => calls.stop(at, task, run, token)),
		pace: (at, task, run, percent, token) => order(at, () => calls.pace(at, task, run, percent, token)),
		hold: (at, req) =>
			repeater.run({
				at,
				kind: 'question',
				waitMs: req.waitMs,
				send: () => calls.hold(at, req),
				// Another life of the worker may answer by now, and would forget ends of its own.
				again: () => {
					req.onRepeat?.();
					return calls.hold(at, { ...req, forgetUpTo: 0, waitMs: 0, onConnected: undefined });
				},
			}),
	};
}
