/**
 * Attributes a worker's crash to the runs that may have caused it. A crash breaks the worker's connections, so its time is
 * known closely. A run that was sent just before is suspected, and one that had worked for a while is not. Workers that
 * crash at the same moment have a common cause outside their runs, unless one step was started on all of them just before.
 */
import * as delays from './answer-delays.js';
import type * as clocks from '../clock.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * A run that was sent at most this long before its worker stopped answering may have crashed it, in milliseconds: the time
 * for the start to arrive plus an immediate crash. A run that takes longer to crash its worker also takes down neighbours
 * that were started meanwhile, so no run can be singled out.
 */
export const suspectWindowMs = 150;

/**
 * Workers that stop answering within this interval have a common cause, in milliseconds: their connections break at the same
 * time.
 */
const commonCauseMs = 60;

/** How long crashes are kept for comparison, in milliseconds: longer than the longest lease. */
const retentionMs = 15_000;

/** A worker that stopped answering. */
interface ContactLoss {
	worker: string;
	at: number;
	/** Runs that may have crashed it. */
	suspects: types.Placement[];
}

/** Records which workers stopped answering, and attributes their crashes. */
export class CrashAttribution {
	/** Oldest first. */
	private contactLosses: ContactLoss[] = [];
	/** Times from when starts are sent until they are answered. */
	private readonly startDelays = delays.AnswerDelays.create();

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): CrashAttribution {
		return new CrashAttribution(clock);
	}

	/** Records that a start was answered. */
	noteStartAnswered({ startSentAt, confirmedAt }: types.Placement): void {
		if (startSentAt !== undefined) this.startDelays.addSample(confirmedAt - startSentAt);
	}

	/** Records that a worker stopped answering. */
	noteContactLost(session: sessions.WorkerSession): void {
		const now = this.clock.now();
		const { id: worker, firstFailureAt: at = now } = session;
		// A timeout does not tell the moment of a crash, so it singles out no run.
		const suspects = session.isFailureTimeKnown ? this.suspectsOn(session, at) : [];
		this.contactLosses = this.contactLosses.filter((one) => now - one.at < retentionMs);
		this.contactLosses.push({ worker, at, suspects });
	}

	/** Runs to which a worker's crash is attributed. Only the last time that the worker stopped answering counts. */
	blamed(worker: string): Set<types.Placement> {
		const contactLoss = this.contactLosses.findLast((one) => one.worker === worker);
		if (contactLoss === undefined) return new Set();
		const simultaneous = this.contactLosses.filter(
			(one) => one.worker !== worker && Math.abs(one.at - contactLoss.at) <= commonCauseMs,
		);
		const isSuspectOnAll = (step: jobs.StepInstance): boolean =>
			simultaneous.every((one) => one.suspects.some((placement) => placement.task.step === step));
		return new Set(contactLoss.suspects.filter((placement) => isSuspectOnAll(placement.task.step)));
	}

	/**
	 * The runs that were sent shortly before a worker stopped answering, unless an answer to their start was not due yet: the
	 * start may not have arrived. Nothing is started beside a run on probation, so such a run is the only suspect. Other runs
	 * of a task that is already under suspicion are left out: its first suspicion may have been shared with others, and a
	 * second one would rest on it.
	 */
	private suspectsOn({ placements, runOnProbation }: sessions.WorkerSession, at: number): types.Placement[] {
		const recent = [...placements.values()].filter(({ startSentAt = -Infinity, confirmedAt }) => {
			const sentForMs = at - startSentAt;
			const hasArrived = confirmedAt > 0 || sentForMs > this.startDelays.usualDelayMs;
			return hasArrived && sentForMs <= suspectWindowMs;
		});
		if (runOnProbation !== undefined && recent.includes(runOnProbation)) return [runOnProbation];
		return recent.filter(({ task }) => (task.crashes?.blamed ?? 0) === 0);
	}
}
