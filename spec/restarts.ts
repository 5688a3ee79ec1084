/**
 * Model of one task, a worker that restarts under its name, and another worker that stays up. Commands to the first may be
 * carried out late, by whichever incarnation has the name then. The guarantees: the task never runs twice at once, and is
 * not started after an exit of it was acknowledged by the owner.
 */
import * as explore from './explore.js';

/** Faults that a mutant may have, one each; the protocol has none. `spec/expected.json` contains these names. */
export interface RestartFaults {
	/** A report of another incarnation of the name is accepted as one of the incarnation that was polled. */
	nameOnly: boolean;
	/** All incarnations of a name get commands under one token. */
	oneToken: boolean;
	/**
	 * What was placed on an incarnation is freed once another one answers, before that one has reported under its own token.
	 */
	freeFirst: boolean;
	/** A report request after a failed call acknowledges the exits that were read. */
	endsNamed: boolean;
	/** An incarnation that refuses commands gets starts under a higher token before it has answered under that token. */
	renewedUnheard: boolean;
	/** A list entry for another incarnation ends a session. */
	listProves: boolean;
}

/** The protocol without faults. */
export const noRestartFaults: RestartFaults = {
	nameOnly: false,
	oneToken: false,
	freeFirst: false,
	endsNamed: false,
	renewedUnheard: false,
	listProves: false,
};

const incarnationNumbers = [1, 2];

/** The worker that stays up. */
const otherWorker = 0;

/** Number of exits of other tasks that the owner has read from the first incarnation before the model begins. */
const initialExits = 1;

/** Starts of the task, and tokens, at most. */
const maxStarts = 3;
const maxTokens = 6;

/** The incarnation that currently has the name. */
interface Worker {
	incarnation: number;
	alive: boolean;
	/** The highest token it has seen. */
	token: number;
	/** The run in progress; 0: none. */
	running: number;
	/** The highest run that exited or was stopped there. */
	highestExitedRun: number;
	/** Number of the newest exit, and the run whose exit is listed; 0: none. */
	newestExit: number;
	listedRun: number;
}

/** What the owner knows of one incarnation. */
interface Session {
	state: 'none' | 'open' | 'superseded' | 'gone';
	token: number;
	/** A report of it was accepted. */
	hasReported: boolean;
	/** Its newest report is fresh, and no call has failed since. */
	hasFreshReport: boolean;
	/** Exits up to this number are stored. */
	newestStoredExit: number;
}

/** A state of the model. */
export interface RestartState {
	worker: Worker;
	/** The run on the other worker; 0: none. */
	runOnOtherWorker: number;
	sessions: Session[];
	newestToken: number;
	/** Number of the newest run. */
	runs: number;
	/** Where the owner believes the task to be: an incarnation, or `otherWorker`; null: nowhere. */
	placed: { at: number; run: number; confirmed: boolean } | null;
	/** The task's exit is stored. */
	done: boolean;
	/** An exit of the task was acknowledged. */
	isExitAcknowledged: boolean;
	/** Starts in flight to the name. */
	starts: { token: number; run: number }[];
	violation: string;
}

const initial: RestartState = {
	worker: {
		incarnation: 1,
		alive: true,
		token: 1,
		running: 0,
		highestExitedRun: 0,
		newestExit: initialExits,
		listedRun: 0,
	},
	runOnOtherWorker: 0,
	sessions: [
		{ state: 'open', token: 1, hasReported: true, hasFreshReport: true, newestStoredExit: initialExits },
		{ state: 'none', token: 0, hasReported: false, hasFreshReport: false, newestStoredExit: 0 },
	],
	newestToken: 1,
	runs: 0,
	placed: null,
	done: false,
	isExitAcknowledged: false,
	starts: [],
	violation: '',
};

function sessionOf(state: RestartState, incarnation: number): Session {
	const session = state.sessions[incarnation - 1];
	if (session === undefined) throw new Error(`no session of incarnation ${String(incarnation)}`);
	return session;
}

function openSession(next: RestartState, incarnation: number, faults: RestartFaults): void {
	const token = faults.oneToken ? next.newestToken : (next.newestToken += 1);
	Object.assign(sessionOf(next, incarnation), {
		state: 'open',
		token,
		hasReported: false,
		hasFreshReport: false,
		newestStoredExit: 0,
	});
}

/** Begins a run and checks the invariants. */
function beginRun(next: RestartState, where: 'worker' | 'beside', run: number): void {
	const isElsewhere = where === 'worker' ? next.runOnOtherWorker !== 0 : next.worker.running !== 0;
	if (isElsewhere) next.violation = 'two runs at once';
	if (next.isExitAcknowledged) next.violation = 'started after an end that was forgotten';
	if (where === 'worker') next.worker.running = run;
	else next.runOnOtherWorker = run;
}

/**
 * Ends an incarnation's session. A run placed there is presumed ended, unless the successor still runs it: then it is placed
 * there.
 */
function endIncarnation(next: RestartState, incarnation: number, successor: number): void {
	const session = sessionOf(next, incarnation);
	if (session.state === 'none' || session.state === 'gone') return;
	session.state = 'gone';
	const { placed, worker } = next;
	if (placed?.at !== incarnation) return;
	if (worker.running === placed.run) next.placed = { at: successor, run: placed.run, confirmed: true };
	else next.placed = null;
}

/** The incarnation that has the name carries out a report request; false: it has seen a higher token. */
function carryOutPoll(next: RestartState, session: Session, faults: RestartFaults): boolean {
	const { worker } = next;
	if (session.token < worker.token) return false;
	worker.token = session.token;
	const namesExits = session.hasFreshReport || faults.endsNamed;
	if (namesExits && worker.listedRun !== 0 && worker.newestExit <= session.newestStoredExit) {
		worker.listedRun = 0;
		next.isExitAcknowledged = true;
	}
	return true;
}

/** Polls an incarnation, and handles the answer. */
function poll(next: RestartState, incarnation: number, faults: RestartFaults): void {
	const session = sessionOf(next, incarnation);
	const { worker } = next;
	if (!carryOutPoll(next, session, faults)) {
		session.token = next.newestToken += 1;
		if (!faults.renewedUnheard) session.hasReported = false;
		return;
	}
	if (worker.incarnation !== incarnation && !faults.nameOnly) {
		session.state = 'superseded';
		if (faults.freeFirst && next.placed?.at === incarnation) next.placed = null;
		const laterSession = sessionOf(next, worker.incarnation);
		if (laterSession.state === 'none') openSession(next, worker.incarnation, faults);
		else if (laterSession.token < session.token) laterSession.token = next.newestToken += 1;
		return;
	}
	applyReport(next, incarnation);
}

function applyReport(next: RestartState, incarnation: number): void {
	const session = sessionOf(next, incarnation);
	const { worker } = next;
	Object.assign(session, { hasReported: true, hasFreshReport: true });
	for (const one of incarnationNumbers) if (one !== incarnation) endIncarnation(next, one, incarnation);
	if (worker.listedRun !== 0 && worker.newestExit > session.newestStoredExit) {
		next.done = true;
		next.placed = null;
		session.newestStoredExit = worker.newestExit;
	}
	const { placed } = next;
	if (worker.running !== 0 && next.done) worker.running = 0;
	else if (worker.running !== 0 && placed === null)
		next.placed = { at: incarnation, run: worker.running, confirmed: true };
	else if (worker.running === 0 && placed?.at === incarnation && placed.confirmed) next.placed = null;
	else if (placed?.at === incarnation && worker.running === placed.run) placed.confirmed = true;
}

/** The incarnation that has the name carries out a start; `answered`: the owner learns the outcome. */
function deliverStart(next: RestartState, index: number, answered: boolean): void {
	const [start] = next.starts.splice(index, 1);
	if (start === undefined) return;
	const { worker, placed } = next;
	const isAccepted =
		start.token >= worker.token && worker.running === 0 && start.run > worker.highestExitedRun;
	worker.token = Math.max(worker.token, start.token);
	if (isAccepted) beginRun(next, 'worker', start.run);
	if (!answered || placed?.run !== start.run) return;
	if (isAccepted) placed.confirmed = true;
	else next.placed = null;
}

/** A stop of the placed run is answered: its start is refused from then on, so a report shows whether the run is there. */
function stopRun(next: RestartState, session: Session): void {
	const { worker, placed } = next;
	if (placed === null || session.token < worker.token) return;
	worker.token = session.token;
	if (worker.running === placed.run) worker.running = 0;
	worker.highestExitedRun = Math.max(worker.highestExitedRun, placed.run);
	placed.confirmed = true;
	// Assumption: a start that was stopped does not arrive after a restart.
	next.starts = next.starts.filter(({ run }) => run !== placed.run);
}

function restart(worker: Worker): void {
	Object.assign(worker, {
		incarnation: 2,
		alive: true,
		token: 0,
		running: 0,
		highestExitedRun: 0,
		newestExit: 0,
		listedRun: 0,
	});
}

function finishRun(next: RestartState): void {
	const { worker } = next;
	worker.listedRun = worker.running;
	worker.highestExitedRun = worker.running;
	worker.running = 0;
	worker.newestExit += 1;
}

function stepsOf(state: RestartState, faults: RestartFaults): { name: string; next: RestartState }[] {
	const { possibleSteps, step } = explore.collectSteps(state);
	const { worker, placed } = state;
	step('the worker crashes', worker.alive && worker.incarnation === 1, (next) => {
		Object.assign(next.worker, { alive: false, running: 0, listedRun: 0 });
		// A new incarnation takes longer to appear and to finish a run than an answer stays fresh.
		sessionOf(next, 1).hasFreshReport = false;
	});
	step('the worker starts again', !worker.alive, (next) => {
		restart(next.worker);
	});
	step('the run ends', worker.running !== 0, finishRun);
	step('the run on the other worker ends', state.runOnOtherWorker !== 0, (next) => {
		next.runOnOtherWorker = 0;
		next.done = true;
		next.isExitAcknowledged = true;
		if (next.placed?.at === otherWorker) next.placed = null;
	});
	const mayPlace = !state.done && placed === null && state.runs < maxStarts;
	step('the owner starts the task on the other worker', mayPlace, (next) => {
		next.runs += 1;
		next.placed = { at: otherWorker, run: next.runs, confirmed: true };
		beginRun(next, 'beside', next.runs);
	});
	for (const [index, { run }] of state.starts.entries())
		for (const answered of [true, false])
			step(`start ${String(run)} arrives${answered ? '' : ', without an answer'}`, worker.alive, (next) => {
				deliverStart(next, index, answered);
			});
	for (const incarnation of incarnationNumbers) {
		const session = sessionOf(state, incarnation);
		const isOpen = session.state === 'open';
		const name = `life ${String(incarnation)}`;
		const isListable = session.state === 'none' && incarnation <= worker.incarnation;
		step(`the list names ${name}`, isListable, (next) => {
			if (faults.listProves) endIncarnation(next, 1, incarnation);
			openSession(next, incarnation, faults);
		});
		step(`a start is sent to ${name}`, isOpen && session.hasReported && mayPlace, (next) => {
			next.runs += 1;
			next.placed = { at: incarnation, run: next.runs, confirmed: false };
			next.starts.push({ token: session.token, run: next.runs });
		});
		const isUnconfirmed = placed?.at === incarnation && !placed.confirmed;
		step(`the owner stops the run at ${name}`, isOpen && isUnconfirmed && worker.alive, (next) => {
			stopRun(next, sessionOf(next, incarnation));
		});
		step(`a question to ${name} fails`, isOpen && session.hasFreshReport, (next) => {
			sessionOf(next, incarnation).hasFreshReport = false;
		});
		step(`a question to ${name} is carried out, without an answer`, isOpen && worker.alive, (next) => {
			carryOutPoll(next, sessionOf(next, incarnation), faults);
			sessionOf(next, incarnation).hasFreshReport = false;
		});
		step(`a question to ${name} is answered`, isOpen && worker.alive, (next) => {
			poll(next, incarnation, faults);
		});
	}
	return possibleSteps;
}

/** Returns the model with the given faults. */
export function restartModel(name: string, faults: RestartFaults): explore.Model<RestartState> {
	return {
		name,
		bounds: `one restart, ${String(maxStarts)} starts, late ones but for those that were stopped, ${String(maxTokens)} tokens; questions that name ends are not late`,
		initial,
		steps: (state) => (state.violation === '' && state.newestToken < maxTokens ? stepsOf(state, faults) : []),
		violation: ({ violation }) => (violation === '' ? undefined : violation),
		isGoal: ({ done }) => done,
		isOutOfBounds: ({ runs, newestToken }) => runs >= maxStarts || newestToken >= maxTokens - 1,
	};
}
