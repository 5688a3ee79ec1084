/**
 * Model of one task that crashes each worker that starts it, under owners that die at any moment. Its history is the
 * program's own (`CrashHistory`); what the model adds is when that history is stored, and what a successor makes of it.
 * Once, a worker hangs before the crash is known, so that the run may have ended unheard as far as the owner can tell.
 * The promise: once three workers have crashed under the task, it is started twice more at most.
 */
import * as crashing from '../dev/soak/crashing.js';
import * as jobs from '../src/core/jobs/index.js';
import type * as explore from './explore.js';

/** The guards, all on in the protocol. */
export interface CrashGuards {
	/** A task with a history is stored before each further start. */
	storeFirst: boolean;
	/** A successor takes a stored start that it finds nowhere for a crash. */
	settleTries: boolean;
	/** A worker that died before it had answered a successor may have died under any task that may have been there. */
	countUnseen: boolean;
	/** A worker that died is forgotten by the roster only once what went down with it is stored. */
	forgetLast: boolean;
}

/** Every guard on. */
export const allCrashGuards: CrashGuards = {
	storeFirst: true,
	settleTries: true,
	countUnseen: true,
	forgetLast: true,
};

/** Crashes of workers that hung before. */
const maxHangs = 1;

/** More starts than any run within the bounds comes to. */
const maxStarts = 9;

/**
 * `waiting`: to be started. `storing`: its history is being stored. `sending`: the start is on its way. `running`,
 * `down`: its worker lives, or does not and nobody has noticed. `given-up`: by the owner of the moment.
 */
type Phase = 'waiting' | 'storing' | 'sending' | 'running' | 'down' | 'given-up';

/** A state of the model. */
export interface CrashState {
	phase: Phase;
	/** As the owner knows it, and as it is stored; null: none. */
	known: jobs.StoredCrashes | null;
	stored: jobs.StoredCrashes | null;
	/** The roster names a worker that has died. */
	isDeadWorkerOnRoster: boolean;
	/** The owner has taken over and not heard of that worker. */
	isDeadWorkerUnreported: boolean;
	/** Number of the newest run; what really happened: workers crashed, and starts after the third of them. */
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

/** Does something to the owner's history. */
function updateHistory(state: CrashState, fn: (history: jobs.CrashHistory) => void): void {
	const history = jobs.CrashHistory.create(state.known ?? undefined);
	fn(history);
	state.known = history.isEmpty ? null : history.toStored();
}

/** The model for so many deaths of owners. */
export function crashModel(
	name: string,
	maxOwnerDeaths: number,
	guards: CrashGuards,
): explore.Model<CrashState> {
	const placeTask = (next: CrashState): void => {
		// The worker of before answers as another life, and nothing was heard of the task.
		if (next.isDeadWorkerUnreported && next.known === null && guards.countUnseen)
			updateHistory(next, (history) => {
				history.noteCrash(0, false);
			});
		// Once there is a history, no dead worker but that of the newest stored start is on the roster.
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
		// What went down with the dead worker is stored: it may be forgotten.
		if (next.phase !== 'down') next.isDeadWorkerOnRoster = false;
		if (next.phase === 'storing') next.phase = 'sending';
	};

	const takeOver = (next: CrashState): void => {
		next.ownerDeaths += 1;
		next.known = next.stored;
		// A start on its way is fenced, or carried out first; a run is found, or its end is listed.
		if (next.phase !== 'running') next.phase = 'waiting';
		next.isDeadWorkerUnreported = next.isDeadWorkerOnRoster;
	};

	const steps = (state: CrashState): { name: string; next: CrashState }[] => {
		const possibleSteps: { name: string; next: CrashState }[] = [];
		const step = (label: string, isPossible: boolean, act: (next: CrashState) => void): void => {
			if (!isPossible) return;
			const next = structuredClone(state);
			act(next);
			possibleSteps.push({ name: label, next });
		};
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
