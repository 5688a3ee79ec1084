/**
 * Model of one task that crashes each worker that starts it, under owners that die at any moment. Its crash history is the
 * program's own (`CrashHistory`); the model adds when that history is stored, and what a successor concludes from it. Once,
 * a worker hangs before the crash is known, so that for all the owner knows the run may have exited without a report. The
 * guarantee: once three workers have crashed under the task, it is started at most twice more.
 */
import * as crashing from '../dev/soak/crashing.js';
import * as jobs from '../src/core/jobs/index.js';
import * as explore from './explore.js';

/** The guards of the protocol, which has them all; each mutant leaves one out. `spec/expected.json` contains these names. */
export interface CrashGuards {
	/** The crash history of a task is stored before each further start. */
	storeFirst: boolean;
	/** A successor presumes that a stored start which it finds nowhere was a crash. */
	settleTries: boolean;
	/** A worker that died before it answered a successor may have died under any task that may have been there. */
	countUnseen: boolean;
	/** A dead worker is removed from the roster only once the crash of the task on it is stored. */
	forgetLast: boolean;
}

/** Every guard on. */
export const allCrashGuards: CrashGuards = {
	storeFirst: true,
	settleTries: true,
	countUnseen: true,
	forgetLast: true,
};

/** Crashes of workers that hung before, at most. */
const maxHangs = 1;

/** More starts than any trace within the bounds has. */
const maxStarts = 9;

/**
 * `waiting`: to be started. `storing`: its history is being stored. `sending`: its start is in flight. `running`: its worker
 * is up. `down`: its worker has crashed, and the owner has not noticed. `given-up`: abandoned by the current owner.
 */
type Phase = 'waiting' | 'storing' | 'sending' | 'running' | 'down' | 'given-up';

/** A state of the model. */
export interface CrashState {
	phase: Phase;
	/** The crash history as the owner knows it, and as it is stored; null: none. */
	known: jobs.StoredCrashes | null;
	stored: jobs.StoredCrashes | null;
	isDeadWorkerOnRoster: boolean;
	/** The owner has taken over, and the dead worker on the roster has not reported to it. */
	isDeadWorkerUnreported: boolean;
	/** `run`: number of the newest run. `crashes`, `late`: workers that really crashed, and starts after the third of them. */
	run: number;
	crashes: number;
	late: number;
	ownerDeaths: number;
	/** Crashes of workers that hung before. */
	hangs: number;
}

const initial: CrashState = {
	phase: 'waiting',
	known: null,
	stored: null,
	isDeadWorkerOnRoster: false,
	isDeadWorkerUnreported: false,
	run: 0,
	crashes: 0,
	late: 0,
	ownerDeaths: 0,
	hangs: 0,
};

/** Applies a change to the history that the owner knows. */
function updateHistory(state: CrashState, fn: (history: jobs.CrashHistory) => void): void {
	const history = jobs.CrashHistory.create(state.known ?? undefined);
	fn(history);
	state.known = history.isEmpty ? null : history.toStored();
}

/** Returns the model with the given number of owners that die. */
export function crashModel(
	name: string,
	maxOwnerDeaths: number,
	guards: CrashGuards,
): explore.Model<CrashState> {
	const placeTask = (next: CrashState): void => {
		// The earlier worker answers as another incarnation, and nothing was reported of the task.
		if (next.isDeadWorkerUnreported && next.known === null && guards.countUnseen)
			updateHistory(next, (history) => {
				history.noteCrash(0, false);
			});
		// Once there is a history, the only dead worker on the roster is that of the newest stored start.
		const tryOutcome = next.isDeadWorkerUnreported ? 'crashed' : 'not-started';
		next.isDeadWorkerUnreported = false;
		if (guards.settleTries)
			updateHistory(next, (history) => {
				history.resolveTries(() => tryOutcome);
			});
		const isAbandoned =
			next.known !== null && jobs.CrashHistory.create(next.known).abandonReason !== undefined;
		if (isAbandoned) {
			next.phase = 'given-up';
			return;
		}
		next.run += 1;
		const isStored = next.known !== null && guards.storeFirst;
		if (next.known !== null)
			updateHistory(next, (history) => {
				history.noteTry(next.run, 'worker');
			});
		next.phase = isStored ? 'storing' : 'sending';
	};

	const carryOutStart = (next: CrashState): void => {
		next.phase = 'running';
		if (next.crashes >= crashing.crashesBeforeStartLimit) next.late += 1;
	};

	const reportCrash = (next: CrashState, isHanging: boolean): void => {
		updateHistory(next, (history) => {
			if (isHanging) history.notePossibleCrash(next.run);
			else history.noteCrash(next.run, false);
		});
		if (isHanging) next.hangs += 1;
		next.phase = 'waiting';
		if (!guards.forgetLast) next.isDeadWorkerOnRoster = false;
	};

	const storeHistory = (next: CrashState): void => {
		next.stored = next.known;
		// The crash on the dead worker is stored, so the roster may drop the worker.
		if (next.phase !== 'down') next.isDeadWorkerOnRoster = false;
		if (next.phase === 'storing') next.phase = 'sending';
	};

	const takeOver = (next: CrashState): void => {
		next.ownerDeaths += 1;
		next.known = next.stored;
		// A start in flight is fenced or carried out first; a run is found, or its exit is listed.
		if (next.phase !== 'running') next.phase = 'waiting';
		next.isDeadWorkerUnreported = next.isDeadWorkerOnRoster;
	};

	const steps = (state: CrashState): { name: string; next: CrashState }[] => {
		const { possibleSteps, step } = explore.collectSteps(state);
		const { phase } = state;
		step('the owner places the task', phase === 'waiting', placeTask);
		step('its history is stored', JSON.stringify(state.known) !== JSON.stringify(state.stored), storeHistory);
		step('the start is carried out', phase === 'sending', carryOutStart);
		step('the start is refused', phase === 'sending', (next) => {
			updateHistory(next, (history) => {
				history.noteNotStarted(next.run);
			});
			next.phase = 'waiting';
		});
		step('the worker crashes', phase === 'running', (next) => {
			next.phase = 'down';
			next.crashes += 1;
			next.isDeadWorkerOnRoster = true;
		});
		step('the run is stopped first', phase === 'running', (next) => {
			updateHistory(next, (history) => {
				history.noteExit(next.run);
			});
			next.phase = 'waiting';
		});
		step('the owner hears of the crash', phase === 'down', (next) => {
			reportCrash(next, false);
		});
		step(
			'the owner hears of it after the worker hung',
			phase === 'down' && state.hangs < maxHangs,
			(next) => {
				reportCrash(next, true);
			},
		);
		step('the owner dies', state.ownerDeaths < maxOwnerDeaths, takeOver);
		return possibleSteps;
	};

	return {
		name,
		bounds: `${String(maxOwnerDeaths)} deaths of owners`,
		initial,
		steps: (state) => (state.run >= maxStarts ? [] : steps(state)),
		violation: (state) =>
			state.late > crashing.maxStartsAfterCrashes
				? `${String(state.late)} starts after the third crash`
				: undefined,
	};
}
