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
export const suspicionMs = 150;

/** Workers that cease to answer within this of each other have one cause, in milliseconds: they break off together. */
const togetherMs = 60;

/** Crashes are compared with those of the last so many milliseconds: longer than the longest lease. */
const rememberedMs = 15_000;

/** A worker that ceased to answer. */
interface Silence {
	worker: string;
	at: number;
	/** Runs that may have brought it down. */
	suspects: types.Placement[];
}

/** Remembers which workers ceased to answer. */
export class CrashBlame {
	/** The oldest first. */
	private silences: Silence[] = [];

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): CrashBlame {
		return new CrashBlame(clock);
	}

	/** A worker ceases to answer. */
	noteSilence(session: sessions.WorkerSession): void {
		const now = this.clock.now();
		const { id: worker, firstFailureAt: at = now } = session;
		this.silences = this.silences.filter((one) => now - one.at < rememberedMs);
		this.silences.push({ worker, at, suspects: suspectsOn(session, at) });
	}

	/** Runs that seem to have brought a worker down, which has not answered since it was last noted. */
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
 * The runs that a worker's silence followed closely. Beside one on probation nothing was started, so it alone is suspected;
 * elsewhere a second suspicion would rest on one that several shared.
 */
function suspectsOn(session: sessions.WorkerSession, at: number): types.Placement[] {
	const { placements, runOnProbation: probation } = session;
	const places = [...placements.values()];
	const recent = places.filter((place) => at - (place.startSentAt ?? -Infinity) <= suspicionMs);
	if (probation !== undefined && recent.includes(probation)) return [probation];
	return recent.filter(({ task }) => (task.crashes?.blamed ?? 0) === 0);
}
