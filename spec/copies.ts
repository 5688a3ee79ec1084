/**
 * Model of one task whose start is sent in several copies: repeats over new connections, and further attempts after a
 * timeout. Each copy may be carried out or refused by a worker that is busy, at any later time and in any order, and its
 * answer may be lost or arrive after others. The guarantees: the task never runs twice at once, and is not started after a
 * run of it has finished.
 */
import * as explore from './explore.js';

/** What makes the protocol safe, one part each. `spec/expected.json` contains these names. */
export interface CopyGuards {
	/** A refusal of the first copy proves nothing while another copy was not refused. */
	everyCopy: boolean;
	/** After an attempt without an answer, no refusal proves anything. */
	firstAttempt: boolean;
	/** A start that is given up is stopped. Without it, its task is placed again. */
	stop: boolean;
	/** A report without the run counts only if it was requested after the run was known to be there, or stopped. */
	knownBefore: boolean;
}

/** The protocol with all its parts. */
export const allCopyGuards: CopyGuards = {
	everyCopy: true,
	firstAttempt: true,
	stop: true,
	knownBefore: true,
};

/** Runs, attempts to send a start, and copies of one attempt, at most. */
const maxRuns = 3;
const maxAttempts = 2;
const maxCopies = 2;

type Answer = 'started' | 'busy' | 'stale';

/** A copy of a start. */
interface Copy {
	run: number;
	attempt: number;
	isFirst: boolean;
	/** Undefined: it has not arrived. `lost`: it has, and its answer never will. */
	answer?: Answer | 'lost';
}

/** The start that the owner waits for. */
interface Start {
	attempt: number;
	copies: number;
	refusedRepeats: number;
	/** The owner no longer waits for the first copy of this attempt, and is about to send the next or to stop the run. */
	isInDoubt: boolean;
}

/** Where the owner believes the task to be. */
interface Placement {
	run: number;
	/** Undefined: the start was answered, or given up. */
	start?: Start;
	isKnownThere: boolean;
	isStopped: boolean;
}

/** A state of the model. */
export interface CopyState {
	/** Run at work on the worker that gets the copies; 0: none. */
	running: number;
	/** Highest run that ended or was stopped there. */
	highestEnded: number;
	/** Run that finished there, as the worker lists it; 0: none. */
	finished: number;
	/** Run at work on the other worker; 0: none. */
	runElsewhere: number;
	runs: number;
	placed: Placement | null;
	copies: Copy[];
	/** The owner knows that a run has finished. */
	isDone: boolean;
	violation: string;
}

const initial: CopyState = {
	running: 0,
	highestEnded: 0,
	finished: 0,
	runElsewhere: 0,
	runs: 0,
	placed: null,
	copies: [],
	isDone: false,
	violation: '',
};

function beginRun(next: CopyState, where: 'here' | 'elsewhere', run: number): void {
	if (next.running + next.runElsewhere !== 0) next.violation = 'two runs at once';
	if (next.finished !== 0 || next.isDone) next.violation = 'started after a run had finished';
	if (where === 'here') next.running = run;
	else next.runElsewhere = run;
}

/** The worker handles a copy; a busy one refuses it. */
function answerOf(next: CopyState, { run }: Copy, isBusy: boolean): Answer {
	if (isBusy) return 'busy';
	if (next.running === run) return 'started';
	if (run <= next.highestEnded) return 'stale';
	beginRun(next, 'here', run);
	return 'started';
}

function sendCopy(next: CopyState, placed: Placement, start: Start): void {
	start.copies += 1;
	next.copies.push({ run: placed.run, attempt: start.attempt, isFirst: start.copies === 1 });
}

/** The owner handles the answer to a copy. Only answers to the attempt that it waits for count. */
function takeAnswer(next: CopyState, copy: Copy, answer: Answer, guards: CopyGuards): void {
	const { placed } = next;
	const start = placed?.start;
	if (placed?.run !== copy.run || start?.attempt !== copy.attempt || start.isInDoubt) return;
	if (answer === 'started') {
		placed.isKnownThere = true;
		delete placed.start;
		return;
	}
	if (!copy.isFirst) {
		start.refusedRepeats += 1;
		return;
	}
	const areAllRefused = start.refusedRepeats === start.copies - 1 || !guards.everyCopy;
	const isFirstAttempt = start.attempt === 1 || !guards.firstAttempt;
	if (areAllRefused && isFirstAttempt) next.placed = null;
	else if (answer === 'stale' || areAllRefused) start.attempt = maxAttempts;
	if (next.placed !== null) start.isInDoubt = true;
}

/** The worker lists what it runs and what finished, and the owner handles that at once. */
function report(next: CopyState, guards: CopyGuards): void {
	const { placed } = next;
	if (next.finished !== 0) {
		next.isDone = true;
		next.placed = null;
		return;
	}
	if (placed === null) return;
	if (next.running === placed.run) {
		placed.isKnownThere = true;
		return;
	}
	if (placed.isKnownThere || placed.isStopped || !guards.knownBefore) next.placed = null;
}

/** A stop is answered: the run has ended or will never start. */
function stopRun(next: CopyState, placed: Placement): void {
	if (next.running === placed.run) next.running = 0;
	next.highestEnded = Math.max(next.highestEnded, placed.run);
	placed.isStopped = true;
	delete placed.start;
}

function stepsOf(state: CopyState, guards: CopyGuards): { name: string; next: CopyState }[] {
	const { possibleSteps, step } = explore.collectSteps(state);
	/** A step with what the owner waits for. */
	const startStep = (
		name: string,
		isPossible: (start: Start) => boolean,
		act: (next: CopyState, placed: Placement, start: Start) => void,
	): void => {
		const start = state.placed?.start;
		step(name, start !== undefined && isPossible(start), (next) => {
			if (next.placed?.start !== undefined) act(next, next.placed, next.placed.start);
		});
	};
	const mayPlace = !state.isDone && state.placed === null && state.runs < maxRuns;
	step('the owner starts the task', mayPlace && state.runs === 0, (next) => {
		next.runs += 1;
		const start = { attempt: 1, copies: 0, refusedRepeats: 0, isInDoubt: false };
		next.placed = { run: next.runs, start, isKnownThere: false, isStopped: false };
		sendCopy(next, next.placed, start);
	});
	step('the owner starts the task elsewhere', mayPlace && state.runs > 0, (next) => {
		next.runs += 1;
		next.placed = { run: next.runs, isKnownThere: false, isStopped: false };
		beginRun(next, 'elsewhere', next.runs);
	});
	startStep(
		'the owner repeats the start',
		({ copies, isInDoubt }) => !isInDoubt && copies < maxCopies,
		sendCopy,
	);
	startStep(
		'the first copy times out',
		({ isInDoubt }) => !isInDoubt,
		(_next, _placed, start) => {
			start.isInDoubt = true;
		},
	);
	startStep(
		'the owner attempts the start again',
		({ isInDoubt, attempt }) => isInDoubt && attempt < maxAttempts,
		(next, placed, start) => {
			const attempt = start.attempt + 1;
			Object.assign(start, { attempt, copies: 0, refusedRepeats: 0, isInDoubt: false });
			sendCopy(next, placed, start);
		},
	);
	startStep(
		'the owner gives the start up',
		({ isInDoubt, attempt }) => isInDoubt && attempt >= maxAttempts,
		(next, placed) => {
			if (guards.stop) stopRun(next, placed);
			else next.placed = null;
		},
	);
	for (const [index, copy] of state.copies.entries()) {
		const name = `copy ${String(index + 1)}`;
		for (const isBusy of [false, true])
			for (const isLost of [false, true])
				step(
					`${name} arrives${isBusy ? ' at a busy worker' : ''}${isLost ? ', and its answer is lost' : ''}`,
					copy.answer === undefined,
					(next) => {
						const arrived = next.copies[index];
						if (arrived === undefined) return;
						const answer = answerOf(next, arrived, isBusy);
						arrived.answer = isLost ? 'lost' : answer;
					},
				);
		const { answer } = copy;
		step(`${name} is answered`, answer !== undefined && answer !== 'lost', (next) => {
			if (answer === undefined || answer === 'lost') return;
			const [answered] = next.copies.splice(index, 1, { ...copy, answer: 'lost' });
			if (answered !== undefined) takeAnswer(next, answered, answer, guards);
		});
	}
	const isPlacedHere = state.placed !== null && state.runElsewhere === 0;
	step('the worker reports', isPlacedHere || state.finished !== 0, (next) => {
		report(next, guards);
	});
	step('the run finishes', state.running !== 0, (next) => {
		next.finished = next.running;
		next.highestEnded = Math.max(next.highestEnded, next.running);
		next.running = 0;
	});
	step('the run elsewhere finishes', state.runElsewhere !== 0, (next) => {
		next.runElsewhere = 0;
		next.isDone = true;
		next.placed = null;
	});
	return possibleSteps;
}

/** Returns the model with the given guards. */
export function copyModel(name: string, guards: CopyGuards): explore.Model<CopyState> {
	return {
		name,
		bounds: `one task, two workers, ${String(maxRuns)} runs, ${String(maxAttempts)} attempts of ${String(maxCopies)} copies; stops and reports are answered at once`,
		initial,
		steps: (state) => (state.violation === '' ? stepsOf(state, guards) : []),
		violation: ({ violation }) => (violation === '' ? undefined : violation),
		isGoal: ({ isDone }) => isDone,
		isOutOfBounds: ({ runs }) => runs >= maxRuns,
	};
}
