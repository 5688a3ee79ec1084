/** What the parts of the dispatcher say to each other. */
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as fencing from './fencing-tokens.js';
import type * as firstReportTurns from './first-report-turns.js';
import type * as fleet from '../fleet/types.js';
import type * as jobs from '../jobs/index.js';
import type * as exits from './unacknowledged-exits.js';
import type * as sessions from './worker-session.js';

/** A run of a task on a worker. */
export interface Placement {
	task: jobs.Task;
	run: number;
	/** `starting` until the start is known to have been carried out. */
	phase: 'starting' | 'running' | 'stopping';
	/** Clock time of the placing. */
	placedAt: number;
	/** Clock time at which its start was first sent, `-Infinity` by an earlier owner; undefined: not yet. */
	startSentAt: number | undefined;
	/** Clock time of the answer that showed the run there; 0 before. */
	confirmedAt: number;
	/** Clock time of the answer to the stop; 0 before. */
	stopConfirmedAt: number;
	/** As the worker last reported it. */
	percent: number;
	/** Clock time at which it last changed. */
	progressChangedAt: number;
	/** Tail latency (ms) or thousandths of a core, as last reported. */
	reading: number;
	/** Share of its speed that it was told to work at, in per cent. */
	pace: number;
	/** Whether the worker is known to have been told so; an earlier owner's order or one without an answer is not. */
	isPaceConfirmed: boolean;
	/** Clock time of the last change of its pace. */
	paceChangedAt: number;
	/** Clock time of the newest order on its pace, also of one that repeats another; 0: there was none. */
	paceCommandSentAt: number;
	/** It was placed whatever harm it does, because it had waited too long. */
	exempt: boolean;
	/** It is tried for whether it brings its worker down, and has not passed yet. */
	onProbation: boolean;
	/** Of a task that serves users: clock time from which it has been over its target; undefined: it is not. */
	overTargetSince: number | undefined;
	/** Its newest reading lies just under the target, and the one before it over it. */
	hasDippedUnderTarget: boolean;
	/** Clock time of the newest reading over the target. */
	lastOverTargetAt: number;
}

/** A list of the platform's that has not been read lately: which workers there are, or which zones are evacuated. */
export type UnreadList = 'list-unread' | 'evacuations-unread';

/** What the dispatcher is told about the world, and how it acts on it. */
export interface DispatchDeps {
	clock: clocks.Clock;
	events: events.EventLog;
	calls: fleet.WorkerCalls;
	/** Longest lease that workers grant. */
	maxLeaseMs: number;
	/** The owner's epoch. */
	epoch: number;
	/** Whether leases may be renewed and tasks started: the epoch was shown in force lately. */
	mayAct: () => boolean;
	/** Clock time at which the newest call that showed the epoch in force was sent. */
	epochConfirmedAt: () => number;
	/** Asks the store whether the epoch is in force. */
	confirmEpoch: () => Promise<unknown>;
	/** A worker has seen a newer epoch: this owner is replaced. */
	onFenced: () => void;
	/** Records how long ends waited; absent: nobody asks. */
	recordTime?: exits.RecordTime;
}

/** What a session uses. */
export interface SessionDeps extends DispatchDeps {
	tokens: fencing.FencingTokens;
	isEvacuated: (zone: string) => boolean;
	firstReportTurns: firstReportTurns.FirstReportTurns;
}

/** A report, and what was known when it was asked for. */
export interface ReceivedReport {
	report: fleet.WorkerReport;
	/** Clock time of the question. */
	sentAt: number;
	/** Other lives of the worker, known by then: as this one answered after that, they are over. */
	others: readonly sessions.WorkerSession[];
}

/** What is known of everything that was placed on a worker. */
export interface Loss {
	/** Runs that are nowhere any more. */
	lost: readonly Placement[];
	/** Runs that a later life of the worker has. */
	carriedOver: readonly Placement[];
	/** How that is known. */
	proof: string;
}

/** What the dispatcher hears of a session. */
export interface SessionHandlers {
	/** A report came. */
	onReport: (session: sessions.WorkerSession, received: ReceivedReport) => ReportOutcome;
	/** A call failed, the first since the last answer. */
	onUnanswered: (session: sessions.WorkerSession, err: fleet.WorkerFailure) => void;
	/** Nothing that was placed there runs there any more. */
	onLost: (session: sessions.WorkerSession, loss: Loss) => void;
	/** Sessions with other lives of the same name. */
	otherIncarnations: (session: sessions.WorkerSession) => readonly sessions.WorkerSession[];
	/** A life of the same name, with this id, answered in a session's place. */
	onSuperseded: (session: sessions.WorkerSession, later: string) => void;
}

/** The part of these that the dispatcher takes; the pool knows the lives. */
export type ReportHandlers = Pick<SessionHandlers, 'onReport' | 'onUnanswered' | 'onLost'>;

/**
 * What became of a report. `taken`: it was, and `stored` resolves once its ends are stored. `put-off`: it names jobs
 * that are being read from the store; the next report will be taken.
 */
export type ReportOutcome = { type: 'taken'; stored: Promise<void> } | { type: 'put-off' };
