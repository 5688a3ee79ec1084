/**
 * Model of one task, a worker that restarts under its name, and another worker that stays up. Commands to the first may be
 * carried out late, by whichever incarnation has the name then. The guarantees: the task never runs twice at once, and is
 * not started after an exit of it was acknowledged by the owner.
 */
import type * as explore from './explore.js';

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

const lifeNumbers = [1, 2];

/** The worker that stays up. */
const other = 0;

/** Exits of other tasks that were read from the first incarnation before. */
const endsBefore = 1;

/** Starts of the task, and tokens, at most. */
const mostStarts = 3;
const mostTokens = 6;

/** The incarnation that currently has the name. */
interface Worker {
	life: number;
	alive: boolean;
	/** The highest token it has seen. */
	token: number;
	/** The run in progress; 0: none. */
	running: number;
	/** The highest run that exited or was stopped there. */
	highest: number;
	/** Number of the newest exit, and the run whose exit is listed; 0: none. */
	ends: number;
	listed: number;
}

/** What the owner knows of one incarnation. */
interface Session {
	state: 'none' | 'open' | 'superseded' | 'gone';
	token: number;
	/** A report of it was accepted. */
	heard: boolean;
	/** Its newest report is fresh, and no call has failed since. */
	fresh: boolean;
	/** Exits up to this number are stored. */
	read: number;
}

/** A state of the model. */
export interface RestartState {
	worker: Worker;
	/** The run on the other worker; 0: none. */
	beside: number;
	sessions: Session[];
	tokens: number;
	/** Number of the newest run. */
	runs: number;
	/** Where the owner believes the task to be: an incarnation, or `otherWorker`; null: nowhere. */
	placed: { at: number; run: number; confirmed: boolean } | null;
	/** The task's exit is stored. */
	done: boolean;
	/** An exit of the task was acknowledged. */
	noted: boolean;
	/** Starts in flight to the name. */
	starts: { token: number; run: number }[];
	wrong: string;
}

const initial: RestartState = {
	worker: { life: 1, alive: true, token: 1, running: 0, highest: 0, ends: endsBefore, listed: 0 },
	beside: 0,
	sessions: [
		{ state: 'open', token: 1, heard: true, fresh: true, read: endsBefore },
		{ state: 'none', token: 0, heard: false, fresh: false, read: 0 },
	],
	tokens: 1,
	runs: 0,
	placed: null,
	done: false,
	noted: false,
	starts: [],
	wrong: '',
};

function sessionOf(state: RestartState, life: number): Session {
	const session = state.sessions[life - 1];
	if (session === undefined) throw new Error(`no session of incarnation ${String(life)}`);
	return session;
}

function open(next: RestartState, life: number, faults: RestartFaults): void {
	const token = faults.oneToken ? next.tokens : (next.tokens += 1);
	Object.assign(sessionOf(next, life), { state: 'open', token, heard: false, fresh: false, read: 0 });
}

/** Begins a run and checks the invariants. */
function begin(next: RestartState, where: 'worker' | 'beside', run: number): void {
	const isElsewhere = where === 'worker' ? next.beside !== 0 : next.worker.running !== 0;
	if (isElsewhere) next.wrong = 'two runs at once';
	if (next.noted) next.wrong = 'started after an end that was forgotten';
	if (where === 'worker') next.worker.running = run;
	else next.beside = run;
}

/**
 * Ends an incarnation's session. A run placed there is presumed ended, unless the successor still runs it: then it is placed
 * there.
 */
function bury(next: RestartState, life: number, heir: number): void {
	const session = sessionOf(next, life);
	if (session.state === 'none' || session.state === 'gone') return;
	session.state = 'gone';
	const { placed, worker } = next;
	if (placed?.at !== life) return;
	if (worker.running === placed.run) next.placed = { at: heir, run: placed.run, confirmed: true };
	else next.placed = null;
}

/** The incarnation that has the name carries out a report request; false: it has seen a higher token. */
function carryOut(next: RestartState, session: Session, faults: RestartFaults): boolean {
	const { worker } = next;
	if (session.token < worker.token) return false;
	worker.token = session.token;
	const isNamed = session.fresh || faults.endsNamed;
	if (isNamed && worker.listed !== 0 && worker.ends <= session.read) {
		worker.listed = 0;
		next.noted = true;
	}
	return true;
}

/** Polls an incarnation, and handles the answer. */
function ask(next: RestartState, life: number, faults: RestartFaults): void {
	const session = sessionOf(next, life);
	const { worker } = next;
	if (!carryOut(next, session, faults)) {
		session.token = next.tokens += 1;
		if (!faults.renewedUnheard) session.heard = false;
		return;
	}
	if (worker.life !== life && !faults.nameOnly) {
		session.state = 'superseded';
		if (faults.freeFirst && next.placed?.at === life) next.placed = null;
		const later = sessionOf(next, worker.life);
		if (later.state === 'none') open(next, worker.life, faults);
		else if (later.token < session.token) later.token = next.tokens += 1;
		return;
	}
	takeReport(next, life);
}

function takeReport(next: RestartState, life: number): void {
	const session = sessionOf(next, life);
	const { worker } = next;
	Object.assign(session, { heard: true, fresh: true });
	for (const one of lifeNumbers) if (one !== life) bury(next, one, life);
	if (worker.listed !== 0 && worker.ends > session.read) {
		next.done = true;
		next.placed = null;
		session.read = worker.ends;
	}
	const { placed } = next;
	if (worker.running !== 0 && next.done) worker.running = 0;
	else if (worker.running !== 0 && placed === null)
		next.placed = { at: life, run: worker.running, confirmed: true };
	else if (worker.running === 0 && placed?.at === life && placed.confirmed) next.placed = null;
	else if (placed?.at === life && worker.running === placed.run) placed.confirmed = true;
}

/** The incarnation that has the name carries out a start; `answered`: the owner learns the outcome. */
function arrive(next: RestartState, index: number, answered: boolean): void {
	const [start] = next.starts.splice(index, 1);
	if (start === undefined) return;
	const { worker, placed } = next;
	const isTaken = start.token >= worker.token && worker.running === 0 && start.run > worker.highest;
	worker.token = Math.max(worker.token, start.token);
	if (isTaken) begin(next, 'worker', start.run);
	if (!answered || placed?.run !== start.run) return;
	if (isTaken) placed.confirmed = true;
	else next.placed = null;
}

/** A stop of the placed run is answered: its start is refused from then on, so a report shows whether the run is there. */
function stop(next: RestartState, session: Session): void {
	const { worker, placed } = next;
	if (placed === null || session.token < worker.token) return;
	worker.token = session.token;
	if (worker.running === placed.run) worker.running = 0;
	worker.highest = Math.max(worker.highest, placed.run);
	placed.confirmed = true;
	// Assumption: a start that was stopped does not arrive after a restart.
	next.starts = next.starts.filter(({ run }) => run !== placed.run);
}

function restart(worker: Worker): void {
	Object.assign(worker, { life: 2, alive: true, token: 0, running: 0, highest: 0, ends: 0, listed: 0 });
}

function finish(next: RestartState): void {
	const { worker } = next;
	worker.listed = worker.running;
	worker.highest = worker.running;
	worker.running = 0;
	worker.ends += 1;
}

function stepsOf(state: RestartState, faults: RestartFaults): { name: string; next: RestartState }[] {
	const found: { name: string; next: RestartState }[] = [];
	const step = (name: string, isPossible: boolean, act: (next: RestartState) => void): void => {
		if (!isPossible) return;
		const next = structuredClone(state);
		act(next);
		found.push({ name, next });
	};
	const { worker, placed } = state;
	step('the worker crashes', worker.alive && worker.life === 1, (next) => {
		Object.assign(next.worker, { alive: false, running: 0, listed: 0 });
		// A new incarnation takes longer to appear and to finish a run than an answer stays fresh.
		sessionOf(next, 1).fresh = false;
	});
	step('the worker starts again', !worker.alive, (next) => {
		restart(next.worker);
	});
	step('the run ends', worker.running !== 0, finish);
	step('the run on the other worker ends', state.beside !== 0, (next) => {
		next.beside = 0;
		next.done = true;
		next.noted = true;
		if (next.placed?.at === other) next.placed = null;
	});
	const mayPlace = !state.done && placed === null && state.runs < mostStarts;
	step('the owner starts the task on the other worker', mayPlace, (next) => {
		next.runs += 1;
		next.placed = { at: other, run: next.runs, confirmed: true };
		begin(next, 'beside', next.runs);
	});
	for (const [index, { run }] of state.starts.entries())
		for (const answered of [true, false])
			step(`start ${String(run)} arrives${answered ? '' : ', without an answer'}`, worker.alive, (next) => {
				arrive(next, index, answered);
			});
	for (const life of lifeNumbers) {
		const session = sessionOf(state, life);
		const isOpen = session.state === 'open';
		const name = `life ${String(life)}`;
		const isListable = session.state === 'none' && life <= worker.life;
		step(`the list names ${name}`, isListable, (next) => {
			if (faults.listProves) bury(next, 1, life);
			open(next, life, faults);
		});
		step(`a start is sent to ${name}`, isOpen && session.heard && mayPlace, (next) => {
			next.runs += 1;
			next.placed = { at: life, run: next.runs, confirmed: false };
			next.starts.push({ token: session.token, run: next.runs });
		});
		const isDoubtful = placed?.at === life && !placed.confirmed;
		step(`the owner stops the run at ${name}`, isOpen && isDoubtful && worker.alive, (next) => {
			stop(next, sessionOf(next, life));
		});
		step(`a question to ${name} fails`, isOpen && session.fresh, (next) => {
			sessionOf(next, life).fresh = false;
		});
		step(`a question to ${name} is carried out, without an answer`, isOpen && worker.alive, (next) => {
			carryOut(next, sessionOf(next, life), faults);
			sessionOf(next, life).fresh = false;
		});
		step(`a question to ${name} is answered`, isOpen && worker.alive, (next) => {
			ask(next, life, faults);
		});
	}
	return found;
}

/** Returns the model with the given faults. */
export function restartModel(name: string, faults: RestartFaults): explore.Model<RestartState> {
	return {
		name,
		bounds: `one restart, ${String(mostStarts)} starts, late ones but for those that were stopped, ${String(mostTokens)} tokens; questions that name ends are not late`,
		initial,
		steps: (state) => (state.wrong === '' && state.tokens < mostTokens ? stepsOf(state, faults) : []),
		wrong: ({ wrong }) => (wrong === '' ? undefined : wrong),
		goal: ({ done }) => done,
		outOfBounds: ({ runs, tokens }) => runs >= mostStarts || tokens >= mostTokens - 1,
	};
}
