/**
 * Attributes a worker's crash to the runs that may have caused it. A crash breaks the worker's connections, so its time is
 * known closely. A run that began just before is suspected, and one that had worked for a while is not. Workers that crash at
 * the same moment have a common cause outside their runs, unless one step was started on all of them just before, or the
 * others had a run on probation, which is a cause of its own.
 */
import * as delays from './answer-delays.js';
import type * as clocks from '../clock.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * A run that began at most this long before its worker stopped answering may have crashed it, in milliseconds. A run that
 * takes longer to crash its worker also takes down neighbours that were started meanwhile, so no run can be singled out.
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
	/** Whether the only suspect is a run on probation, which is a cause of its own. */
	hasOwnCause: boolean;
}

/** What is known as a worker stops answering, for the log. */
export interface CrashEvidence {
	/** Number of runs that may have crashed it. */
	suspects: number;
	/** Number of other workers that stopped answering at the same moment. */
	simultaneous: number;
	isMomentKnown: boolean;
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

	/** Time within which starts of this owner are usually answered, in milliseconds. */
	get usualStartDelayMs(): number {
		return this.startDelays.usualDelayMs;
	}

	/** Records that a worker stopped answering. */
	noteContactLost(session: sessions.WorkerSession): CrashEvidence {
		const now = this.clock.now();
		const { id: worker, firstFailureAt: at = now } = session;
		// A timeout does not tell the moment of a crash, so it singles out no run.
		const suspects = session.isFailureTimeKnown ? this.suspectsOn(session, at) : [];
		this.contactLosses = this.contactLosses.filter((one) => now - one.at < retentionMs);
		const [suspect] = suspects;
		const hasOwnCause = suspects.length === 1 && suspect === session.runOnProbation;
		const contactLoss = { worker, at, suspects, hasOwnCause };
		this.contactLosses.push(contactLoss);
		const simultaneous = this.simultaneousWith(contactLoss).length;
		return { suspects: suspects.length, simultaneous, isMomentKnown: session.isFailureTimeKnown };
	}

	/** Runs to which a worker's crash is attributed. Only the last time that the worker stopped answering counts. */
	blamed(worker: string): Set<types.Placement> {
		const contactLoss = this.contactLosses.findLast((one) => one.worker === worker);
		if (contactLoss === undefined) return new Set();
		const simultaneous = this.simultaneousWith(contactLoss);
		const isSuspectOnAll = (step: jobs.StepInstance): boolean =>
			simultaneous.every((one) => one.suspects.some((placement) => placement.task.step === step));
		return new Set(contactLoss.suspects.filter((placement) => isSuspectOnAll(placement.task.step)));
	}

	/** Other workers that stopped answering at the same moment, and not for a cause of their own. */
	private simultaneousWith({ worker, at }: ContactLoss): ContactLoss[] {
		return this.contactLosses.filter(
			(one) => one.worker !== worker && !one.hasOwnCause && Math.abs(one.at - at) <= commonCauseMs,
		);
	}

	/**
	 * The runs that began shortly before a worker stopped answering. A start may be on its way for long, so a run counts as
	 * begun when its start was answered. One without an answer counts from the time by which starts are usually answered, and
	 * not before: it may not have arrived. Nothing is started beside a run on probation, so such a run is the only suspect.
	 * Other runs of a task that is already under suspicion are left out: its first suspicion may have been shared with others,
	 * and a second one would rest on it.
	 */
	private suspectsOn({ placements, runOnProbation }: sessions.WorkerSession, at: number): types.Placement[] {
		const recent = [...placements.values()].filter(({ startSentAt = -Infinity, confirmedAt }) => {
			// It was not sent, or was found there by this owner and began before.
			if (startSentAt === -Infinity) return false;
			const usuallyBegunBy = startSentAt + this.startDelays.usualDelayMs;
			const begunBy = confirmedAt > 0 ? Math.min(confirmedAt, usuallyBegunBy) : usuallyBegunBy;
			return begunBy <= at && at - begunBy <= suspectWindowMs;
		});
		if (runOnProbation !== undefined && recent.includes(runOnProbation)) return [runOnProbation];
		return recent.filter(({ task }) => (task.crashes?.blamed ?? 0) === 0);
	}
}
