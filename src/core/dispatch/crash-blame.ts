/**
 * Attributes a worker's crash to the runs that may have caused it. A crash breaks the worker's connections, so its time is
 * known closely. A run that was sent just before is suspected, and one that had worked for a while is not. Workers that
 * crash at the same moment have a common cause outside their runs, unless one step was started on all of them just before.
 */
import type * as clocks from '../clock.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * A run that was sent at most this long before its worker stopped answering may have crashed it, in milliseconds: the time
 * for the start to arrive plus an immediate crash. A run that takes longer to crash its worker also takes down neighbours
 * that were started meanwhile, so no run can be singled out.
 */
export const suspicionMs = 150;

/**
 * Workers that stop answering within this interval have a common cause, in milliseconds: their connections break at the same
 * time.
 */
const togetherMs = 60;

/** How long crashes are kept for comparison, in milliseconds: longer than the longest lease. */
const rememberedMs = 15_000;

/** A worker that stopped answering. */
interface Silence {
	worker: string;
	at: number;
	/** Runs that may have crashed it. */
	suspects: types.Placement[];
}

/** Records which workers stopped answering, and attributes their crashes. */
export class CrashBlame {
	/** Oldest first. */
	private silences: Silence[] = [];

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): CrashBlame {
		return new CrashBlame(clock);
	}

	/** Records that a worker stopped answering. */
	noteSilence(session: sessions.WorkerSession): void {
		const now = this.clock.now();
		const { id: worker, failedAt: at = now } = session;
		this.silences = this.silences.filter((one) => now - one.at < rememberedMs);
		this.silences.push({ worker, at, suspects: suspectsOn(session, at) });
	}

	/** Runs to which the crash of a worker is attributed, as of the newest time it stopped answering. */
	blamed(worker: string): Set<types.Placement> {
		const silence = this.silences.findLast((one) => one.worker === worker);
		if (silence === undefined) return new Set();
		const together = this.silences.filter(
			(one) => one.worker !== worker && Math.abs(one.at - silence.at) <= togetherMs,
		);
		const isShared = (step: jobs.StepRun): boolean =>
			together.every((one) => one.suspects.some((place) => place.task.step === step));
		return new Set(silence.suspects.filter((place) => isShared(place.task.step)));
	}
}

/**
 * The runs that were sent shortly before a worker stopped answering. Nothing is started beside a run on probation, so such a
 * run is the only suspect. Other runs of a task that is already under suspicion are left out: its first suspicion may have
 * been shared with others, and a second one would rest on it.
 */
function suspectsOn(session: sessions.WorkerSession, at: number): types.Placement[] {
	const { placements, probation } = session;
	const places = [...placements.values()];
	const recent = places.filter((place) => at - (place.sentAt ?? -Infinity) <= suspicionMs);
	if (probation !== undefined && recent.includes(probation)) return [probation];
	return recent.filter(({ task }) => (task.crashes?.blamed ?? 0) === 0);
}
