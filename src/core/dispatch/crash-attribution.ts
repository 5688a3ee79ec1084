/**
 * Whom the crash of a worker is held against. A crash breaks the worker's connections, so its moment is known closely; a
 * run that was sent just before is suspected, and one that had been at work for a while is not. Workers that go down at one
 * moment have a cause of their own, unless a step was started on all of them just then.
 */
import type * as clocks from '../clock.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * A run that was sent so long before its worker ceased to answer may have brought it down, in milliseconds: the way there
 * and a crash at once. What takes longer to crash befalls neighbours that were started meanwhile too, and names nobody.
 */
export const suspectWindowMs = 150;

/** Workers that cease to answer within this of each other have one cause, in milliseconds: they break off together. */
const commonCauseMs = 60;

/** Crashes are compared with those of the last so many milliseconds: longer than the longest lease. */
const retentionMs = 15_000;

/** A worker that ceased to answer. */
interface ContactLoss {
	worker: string;
	at: number;
	/** Runs that may have brought it down. */
	suspects: types.Placement[];
}

/** Remembers which workers ceased to answer. */
export class CrashAttribution {
	/** The oldest first. */
	private contactLosses: ContactLoss[] = [];

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): CrashAttribution {
		return new CrashAttribution(clock);
	}

	/** A worker ceases to answer. */
	noteContactLost(session: sessions.WorkerSession): void {
		const now = this.clock.now();
		const { id: worker, firstFailureAt: at = now } = session;
		this.contactLosses = this.contactLosses.filter((one) => now - one.at < retentionMs);
		this.contactLosses.push({ worker, at, suspects: suspectsOn(session, at) });
	}

	/** Runs that seem to have brought a worker down, which has not answered since it was last noted. */
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
}

/**
 * The runs that a worker's silence followed closely. Beside one on probation nothing was started, so it alone is suspected;
 * elsewhere a second suspicion would rest on one that several shared.
 */
function suspectsOn(session: sessions.WorkerSession, at: number): types.Placement[] {
	const { placements, runOnProbation } = session;
	const places = [...placements.values()];
	const recent = places.filter((placement) => at - (placement.startSentAt ?? -Infinity) <= suspectWindowMs);
	if (runOnProbation !== undefined && recent.includes(runOnProbation)) return [runOnProbation];
	return recent.filter(({ task }) => (task.crashes?.blamed ?? 0) === 0);
}
