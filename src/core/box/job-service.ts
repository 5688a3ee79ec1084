/** Requests that callers may make of any box. The answers are true whichever box is the owner. */
import * as admission from '../admission/index.js';
import * as ledger from '../ledger/index.js';
import * as protocol from './peer-protocol.js';
import * as results from '../result.js';
import type * as clocks from '../clock.js';
import type * as dispatch from '../dispatch/index.js';
import type * as events from '../events/index.js';
import type * as jobs from '../jobs/index.js';
import type * as platform from '../platform/types.js';
import type * as contacts from '../platform/contact.js';

/** Timeout of a call to the owner other than a write, in milliseconds; peers are 3 ms away. */
const ownerTimeoutMs = 500;

/** Timeout of a write through the owner, in milliseconds: the store's own limit and the time on the network. */
const relayTimeoutMs = 1_300;

/** Timeout of a call to the store, in milliseconds; its client gives up then. */
const storeTimeoutMs = 1_000;

/** `retry-after` for a submission of a job that was cancelled before it was stored, in seconds. */
const cancelledRetryS = ledger.tombstoneMs / 1_000;

/** `retry-after` for a cancellation that is refused as there were too many, in seconds. */
const limitedRetryS = 1;

/** Longest time to an answer, in milliseconds: a write by this box, then one through the owner. */
export const maxAnswerMs = storeTimeoutMs + relayTimeoutMs;

/** An answer for a caller. `unavailable`: nothing was done. `unknown`: it may have been done. */
export type Answer<T> =
	| { type: 'ok'; value: T }
	| { type: 'no-such-job' }
	/** `retryAfterS`: seconds after which the caller should retry. */
	| { type: 'unavailable'; reason: string; retryAfterS: number }
	/** Not accepted, as it would wait longer than it may; nothing of it is stored. */
	| { type: 'overloaded'; reason: string; retryAfterS: number }
	| { type: 'unknown'; reason: string };

/** Options of `JobService`. */
export interface JobServiceOptions {
	store: platform.RecordStore;
	contact: contacts.StoreContact;
	clock: clocks.Clock;
	events: events.EventLog;
	/** The dispatcher while this box is the owner; else undefined. */
	dispatcher: () => dispatch.Dispatcher | undefined;
	/** Calls the owner; fails if none is known or it gives no usable answer. */
	callOwner: <T>(req: protocol.BoxReq, timeoutMs: number) => Promise<results.Result<T, OwnerFailure>>;
	/** Generation of the owner as this box knows it; 0: it knows none. */
	ownerGeneration: () => number;
	/** The outstanding work, as far as this box knows. */
	backlog: () => admission.Backlog;
	/** Decides whether a job is accepted; absent: the outstanding work decides. */
	admission?: admission.AdmissionRule;
	/** Books refused callers; absent: each is told a time by itself. */
	returns?: admission.ReturnSchedule;
	/** A number from 0 to 1; seeded in tests. */
	random: () => number;
	/** Whether the owner lately reported that the store answers it. */
	ownerReachesStore: () => boolean;
}

/** Why the owner gave no usable answer. */
export interface OwnerFailure {
	/** Whether it may have acted on the request. */
	sent: boolean;
	reason: string;
}

type Refusal = Extract<admission.Verdict, { type: 'refuse' }>;

/** Serves requests of callers about jobs. */
export class JobService {
	private readonly decide: admission.AdmissionRule;
	private readonly cancellations: ledger.Cancellations;

	private constructor(private readonly opts: JobServiceOptions) {
		this.cancellations = ledger.Cancellations.create(opts);
		this.decide = opts.admission ?? ((record) => admission.decide(record, opts.backlog()));
	}

	static create(opts: JobServiceOptions): JobService {
		return new JobService(opts);
	}

	/** Submits a job. It is accepted once it is stored. */
	async submit(
		queue: jobs.QueuePolicy,
		id: string,
		request: Pick<jobs.JobRecord, 'text' | 'steps' | 'schedule'>,
	): Promise<Answer<'accepted'>> {
		const acceptedAt = this.opts.clock.wall();
		const acceptedUnder = this.opts.ownerGeneration();
		const record: jobs.JobRecord = { id, queue, acceptedAt, acceptedUnder, ...request };
		const { events: log, clock } = this.opts;
		const startedAt = clock.now();
		const isBooked = this.opts.returns?.isInBookedSecond(id) === true;
		const verdict = this.decideBooked(record, isBooked);
		const refusal = verdict.type === 'refuse' ? await this.refuse(record, verdict) : undefined;
		if (refusal !== undefined) return refusal;
		const outcome = await this.storeJob(record);
		const tookMs = Math.round(clock.now() - startedAt);
		if (ledger.isWriteFailure(outcome)) {
			const { type, reason } = outcome;
			log.emit('job.refused', { job: id, queue: queue.name, outcome: type, reason, tookMs });
			return this.answerWriteFailure(outcome, queue.priority);
		}
		if (outcome.type === 'cancelled') {
			const reason = 'the job was cancelled before it was stored';
			log.emit('job.refused', { job: id, queue: queue.name, outcome: outcome.type, reason, tookMs });
			return { type: 'unavailable', reason, retryAfterS: cancelledRetryS };
		}
		// Only now: a caller whose write failed returns, and needs its booking then.
		this.opts.returns?.endBooking(id);
		const forecast = { ...forecastFields(verdict), ...(isBooked && { keptBooking: 1 }) };
		log.emit('job.accepted', { job: id, queue: queue.name, outcome: outcome.type, tookMs, ...forecast });
		// The stored record of a known job may differ from this one: it may name an earlier owner, which may have started
		// the job.
		if (outcome.type === 'accepted')
			this.notifyOwner({ type: 'job.stored', record }, (localDispatcher) => {
				localDispatcher.addJob(record);
			});
		return { type: 'ok', value: 'accepted' };
	}

	/** State of a job, from the owner or else from the store. */
	async state(id: string): Promise<Answer<jobs.JobView>> {
		const known = await this.viewFromOwner(id);
		if (known !== undefined) {
			this.opts.events.emit('job.state', { job: id, ...known, source: 'owner' });
			return { type: 'ok', value: known };
		}
		if (!this.opts.contact.reachable && !this.opts.ownerReachesStore())
			return this.unavailable('neither owner nor store answers');
		const stored = await ledger.readJob(this.opts.store, id);
		if (!stored.ok) return this.unavailable(stored.err.reason);
		if (stored.value === undefined) return { type: 'no-such-job' };
		const view = ledger.toJobView(stored.value);
		this.opts.events.emit('job.state', { job: id, ...view, source: 'store' });
		return { type: 'ok', value: view };
	}

	/** Cancels a job. The cancellation takes effect once it is stored. */
	async cancel(id: string): Promise<Answer<'cancelled'>> {
		const outcome = await this.storeCancelWithinLimits(id);
		this.opts.events.emit('job.cancel', {
			job: id,
			outcome: outcome.type,
			reason: 'reason' in outcome ? outcome.reason : undefined,
		});
		if (outcome.type === 'no-such-job') return { type: 'no-such-job' };
		if (outcome.type === 'limited')
			return {
				type: 'unavailable',
				reason: 'too many cancellations of unknown jobs',
				retryAfterS: limitedRetryS,
			};
		if (ledger.isWriteFailure(outcome)) return this.answerWriteFailure(outcome);
		this.notifyOwner({ type: 'job.cancelled', job: id }, (localDispatcher) => {
			localDispatcher.cancelJob(id);
		});
		return { type: 'ok', value: 'cancelled' };
	}

	/** Number of a queue's accepted jobs of which no task has started. */
	async pending(queue: string): Promise<Answer<number>> {
		const localDispatcher = this.opts.dispatcher();
		if (localDispatcher !== undefined) return { type: 'ok', value: localDispatcher.pendingOf(queue) };
		const res = await this.opts.callOwner<number>({ type: 'queue.pending', queue }, ownerTimeoutMs);
		return res.ok ? { type: 'ok', value: res.value } : this.unavailable(res.err.reason);
	}

	/** Decides on a job. Its booking already counted the wait of one that returns in its booked second. */
	private decideBooked(record: jobs.JobRecord, isBooked: boolean): admission.Verdict {
		const verdict = this.decide(record);
		if (verdict.type === 'admit' || !isBooked || verdict.cause !== 'long-wait') return verdict;
		return { type: 'admit', ...(verdict.forecast !== undefined && { forecast: verdict.forecast }) };
	}

	/** When a refused caller should return. */
	private returnTime(record: jobs.JobRecord, verdict: Refusal): admission.ReturnTime {
		const { waitMs, limitMs, cause = 'backlog', forecast } = verdict;
		const excessMs = (cause === 'too-late' && forecast !== undefined ? forecast.finishMs : waitMs) - limitMs;
		const { returns } = this.opts;
		if (returns === undefined || forecast === undefined)
			return { retryAfterS: this.retryAfterS({ type: 'backlog', excessMs }, record.queue.priority) };
		return returns.refuse(admission.toRefusedJob(record, excessMs));
	}

	/** The answer for a job that is not to be accepted; undefined: it was accepted before, or may have been. */
	private async refuse(record: jobs.JobRecord, verdict: Refusal): Promise<Answer<never> | undefined> {
		// A job that was accepted before, and whose answer was lost, must not be reported as refused. If the store gives no
		// answer, the job is submitted like any other.
		const known = await ledger.isJobStored(this.opts.store, record.id);
		if (!known.ok || known.value) return undefined;
		const { waitMs, limitMs, cause = 'backlog' } = verdict;
		const { name } = record.queue;
		const { retryAfterS: seconds, bookedS, bookedCoreMs } = this.returnTime(record, verdict);
		const fields = {
			job: record.id,
			queue: name,
			cause,
			waitMs,
			limitMs,
			retryAfterS: seconds,
			bookedS,
			bookedCoreMs,
		};
		this.opts.events.emit('job.turned-away', { ...fields, ...forecastFields(verdict) });
		const reason = refusalReason(verdict);
		return { type: 'overloaded', reason, retryAfterS: seconds };
	}

	private unavailable(reason: string, priority = 0): Answer<never> {
		const ageMs = this.opts.contact.lostForMs;
		return {
			type: 'unavailable',
			reason,
			retryAfterS: this.retryAfterS({ type: 'outage', ageMs }, priority),
		};
	}

	private retryAfterS(cause: admission.RefusalCause, priority: number): number {
		return admission.retryAfterS(cause, priority, this.opts.random());
	}

	/** The answer to a caller whose write failed. */
	private answerWriteFailure(outcome: ledger.WriteFailure, priority = 0): Answer<never> {
		const { type, reason } = outcome;
		return type === 'unknown' ? { type, reason } : this.unavailable(reason, priority);
	}

	private storeJob(record: jobs.JobRecord): Promise<ledger.AcceptOutcome> {
		const writeDirectly = (): Promise<ledger.AcceptOutcome> => ledger.accept(this.opts.store, record);
		return this.write(writeDirectly, { type: 'job.accept', record });
	}

	/** Stores a cancellation for another box, whose writes the store does not take. */
	cancelForPeer(id: string): Promise<ledger.CancelOutcome> {
		return this.cancellations.cancel(id);
	}

	/**
	 * While cancellations of jobs that are not stored are limited, the owner is asked for the job first: a refusal must not
	 * cost a read of the store, which others need.
	 */
	private async storeCancelWithinLimits(id: string): Promise<ledger.CancelOutcome> {
		const isRefused = this.cancellations.isLimited && (await this.isUnknownToOwner(id));
		return isRefused ? { type: 'limited' } : this.storeCancel(id);
	}

	/** Whether the owner answers and does not know the job. */
	private async isUnknownToOwner(id: string): Promise<boolean> {
		const res = await this.lookUpAtOwner(id);
		return res.ok && res.value === undefined;
	}

	private storeCancel(id: string): Promise<ledger.CancelOutcome> {
		const writeDirectly = (): Promise<ledger.CancelOutcome> => this.cancellations.cancel(id);
		return this.write(writeDirectly, { type: 'job.cancel', job: id });
	}

	/** Writes directly, or through the owner (`relay`) if the store does not take a write of this box. */
	private async write<T extends { type: string }>(
		writeDirectly: () => Promise<T | ledger.WriteFailure>,
		relay: protocol.BoxReq,
	): Promise<T | ledger.WriteFailure> {
		let unknown = false;
		let reason = 'the store does not answer';
		if (this.opts.contact.reachable) {
			const outcome = await writeDirectly();
			if (!ledger.isWriteFailure(outcome)) return outcome;
			unknown = outcome.type === 'unknown';
			reason = outcome.reason;
		}
		if (this.opts.dispatcher() === undefined && this.opts.ownerReachesStore()) {
			const relayed = await this.opts.callOwner<T | ledger.WriteFailure>(relay, relayTimeoutMs);
			if (relayed.ok && !ledger.isWriteFailure(relayed.value)) return relayed.value;
			unknown ||= relayed.ok ? relayed.value.type === 'unknown' : relayed.err.sent;
		}
		return { type: unknown ? 'unknown' : 'not-stored', reason };
	}

	private async viewFromOwner(id: string): Promise<jobs.JobView | undefined> {
		const res = await this.lookUpAtOwner(id);
		return res.ok ? res.value : undefined;
	}

	/** The state of a job according to the owner; undefined: the owner does not know the job. */
	private async lookUpAtOwner(id: string): Promise<results.Result<jobs.JobView | undefined, OwnerFailure>> {
		const localDispatcher = this.opts.dispatcher();
		if (localDispatcher !== undefined) return results.ok(localDispatcher.viewOf(id));
		const req = { type: 'job.state' as const, job: id };
		const res = await this.opts.callOwner<protocol.StateReply>(req, ownerTimeoutMs);
		if (!res.ok) return res;
		const { state } = res.value;
		return results.ok(state === undefined ? undefined : { ...res.value, state });
	}

	/** Notifies the owner of what was stored, so that it need not wait until it reads it. A failure does no harm. */
	private notifyOwner(
		req: protocol.BoxReq,
		applyLocally: (localDispatcher: dispatch.Dispatcher) => void,
	): void {
		const localDispatcher = this.opts.dispatcher();
		if (localDispatcher !== undefined) applyLocally(localDispatcher);
		else void this.opts.callOwner(req, ownerTimeoutMs);
	}
}

/** The forecast of a decision for its log line. */
function forecastFields({ forecast }: admission.Verdict): Record<string, number> {
	if (forecast === undefined) return {};
	return {
		forecastWaitMs: forecast.waitMs,
		forecastFinishMs: forecast.finishMs,
		forecastAgeMs: forecast.ageMs,
	};
}

/** Why a job is refused, for people. */
export function refusalReason({ waitMs, limitMs, cause, worthlessMs, forecast }: Refusal): string {
	if (cause === 'too-late' && forecast !== undefined && worthlessMs !== undefined)
		return `the job would finish after ${String(forecast.finishMs)} ms, and is of no value after ${String(worthlessMs)} ms`;
	if (cause === 'long-wait')
		return `the job would wait for ${String(waitMs)} ms, and may wait for ${String(limitMs)} ms`;
	return `outstanding work takes ${String(waitMs)} ms, and the job may wait for ${String(limitMs)} ms`;
}
