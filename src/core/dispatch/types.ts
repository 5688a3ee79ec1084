/** Types that the parts of the dispatcher share. */
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as fencing from './fencing-tokens.js';
import type * as forecastErrors from './forecast-errors.js';
import type * as fleet from '../fleet/types.js';
import type * as jobs from '../jobs/index.js';
import type * as exits from './unacknowledged-exits.js';
import type * as sessions from './worker-session.js';
import type * as takeovers from './takeover-policy.js';

/** A run of a task on a worker, and the resources reserved for it. */
export interface Placement {
	task: jobs.Task;
	run: number;
	/** `starting` until the start is known to have been carried out. */
	phase: 'starting' | 'running' | 'stopping';
	/** Clock time at which the placement was made. */
	placedAt: number;
	/** Whether the run does all of its task's work: it neither resumes from a checkpoint nor was found running. */
	isWhole: boolean;
	/** Clock time at which its start was first sent; `-Infinity`: by an earlier owner; undefined: not sent yet. */
	startSentAt: number | undefined;
	/** Clock time of the answer that showed the run to be there; 0: there was none. */
	confirmedAt: number;
	/** Clock time of the answer to the stop; 0: there was none. */
	stopConfirmedAt: number;
	/** Progress in per cent, as the worker last reported it. */
	percent: number;
	/** Clock time at which the progress last changed. */
	progressChangedAt: number;
	/** Tail latency in milliseconds of a serving task, else millicores in use, as last reported. */
	reading: number;
	/** Share of full speed that it was commanded to use, in per cent. */
	pace: number;
	/**
	 * Whether the worker is known to have received that pace. False if an earlier owner sent the command, or it was not answered.
	 */
	isPaceConfirmed: boolean;
	/** Clock time of the last change of its pace; 0: there was none. */
	paceChangedAt: number;
	/** Clock time of the newest command for its pace, including repeats; 0: there was none. */
	paceCommandSentAt: number;
	/** Whether it was placed whatever interference it causes, because it had waited too long. */
	exempt: boolean;
	/** Whether it is being tested for crashing its worker, and has not passed yet. */
	onProbation: boolean;
	/** For a serving task: clock time from which it has been over its latency target; undefined: it is not over it. */
	overTargetSince: number | undefined;
	/** Whether its newest reading is just under the target after one over the target. */
	hasDippedUnderTarget: boolean;
	/** Clock time of the newest reading over the target; `-Infinity`: there was none. */
	lastOverTargetAt: number;
}

/** A list of the platform that has not been read recently: the workers, or the evacuated zones. */
export type UnreadList = 'list-unread' | 'evacuations-unread';

/** Measured times. `without_run`: from the last run of a long-running task to the start of the next one. */
export type MeasuredTime = exits.ExitTime | 'without_run';

/** Records a time, in milliseconds. */
export type RecordTime = (name: MeasuredTime, ms: number) => void;

/** What the dispatcher needs from its surroundings. */
export interface DispatchDeps {
	clock: clocks.Clock;
	events: events.EventLog;
	calls: fleet.WorkerCalls;
	/** The longest lease that workers accept, in milliseconds. */
	maxLeaseMs: number;
	/** The owner's epoch. */
	epoch: number;
	/** Whether leases may be renewed and tasks started: the epoch was confirmed recently. */
	mayAct: () => boolean;
	/** Clock time by which every lease that is granted now has to end; `-Infinity`: none may be granted. */
	leasesEndBy: () => number;
	/** Resolves when the first lease may be granted; absent: one may be granted at once. */
	firstLeaseAllowed?: Promise<void>;
	/** Clock time at which the newest call that confirmed the epoch was sent. */
	epochConfirmedAt: () => number;
	/** Asks the store whether the epoch is still in force. */
	confirmEpoch: () => Promise<unknown>;
	/** Called when a worker has seen a newer epoch, so this owner is replaced. */
	onFenced: () => void;
	/** Records by queue how far forecasts were off; absent: nothing is recorded. */
	recordForecastError?: forecastErrors.RecordForecastError;
	/** Records how long exits waited, and how long long-running tasks had no run; absent: nothing is recorded. */
	recordTime?: RecordTime;
}

/** Ends a worker's turn. `isAnswered`: whether the worker answered; false: the call failed. */
export type EndTurn = (isAnswered: boolean) => void;

/** Decides when each worker is polled for its first report. */
export interface ReportTurns {
	/** Waits for the turn of a worker, given by its id. Resolves to a function to call once its poll has returned. */
	acquire: (worker: string) => Promise<EndTurn>;
}

/** What a session depends on. */
export interface SessionDeps extends DispatchDeps {
	tokens: fencing.FencingTokens;
	isEvacuated: (zone: string) => boolean;
	firstReportTurns: ReportTurns;
	/** How workers of earlier owners are taken over; absent: in the order of the roster. */
	takeover?: takeovers.TakeoverPolicy;
}

/** A report, and what was known when it was requested. */
export interface ReceivedReport {
	report: fleet.WorkerReport;
	/** Clock time at which the poll was sent. */
	sentAt: number;
	/**
	 * Sessions with other incarnations of the worker that were known by then. As this one answered later, those have ended.
	 */
	others: readonly sessions.WorkerSession[];
}

/** The proven fate of everything that was placed on a worker. */
export interface Loss {
	/** Runs that exist nowhere any more. */
	lost: readonly Placement[];
	/** Runs that a later incarnation of the worker has. */
	carriedOver: readonly Placement[];
	/** What proves it. */
	proof: string;
}

/** Events of a session. */
export interface SessionHandlers {
	/** A report arrived. */
	onReport: (session: sessions.WorkerSession, received: ReceivedReport) => ReportOutcome;
	/** A call failed, the first since the last answer. */
	onUnanswered: (session: sessions.WorkerSession, err: fleet.WorkerFailure) => void;
	/** Nothing that was placed there runs there any more. */
	onLost: (session: sessions.WorkerSession, loss: Loss) => void;
	/** Returns the sessions with other incarnations of the same name. */
	otherIncarnations: (session: sessions.WorkerSession) => readonly sessions.WorkerSession[];
	/** An incarnation of the same name, with the id `later`, answered in a session's place. */
	onSuperseded: (session: sessions.WorkerSession, later: string) => void;
}

/** The handlers that the dispatcher provides. The pool provides the others, as it knows the incarnations. */
export type ReportHandlers = Pick<SessionHandlers, 'onReport' | 'onUnanswered' | 'onLost'>;

/**
 * What became of a report. `taken`: it was processed, and `stored` resolves once its exits are stored. `put-off`: it was
 * deferred, as it names jobs that are being read from the store; the next report will be processed.
 */
export type ReportOutcome = { type: 'taken'; stored: Promise<void> } | { type: 'put-off' };
