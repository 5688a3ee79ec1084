/** Workers as the dispatcher sees them, and the calls that it makes to them. */
import type * as results from '../result.js';

/** Resources of a worker. */
export interface Capacity {
	milliCores: number;
	memoryMb: number;
	accelerators: number;
}

/** One incarnation of a worker, as the platform lists it. */
export interface WorkerEntry {
	/** Differs between incarnations of a worker (see `incarnations.ts`). */
	id: string;
	address: string;
	zone: string;
	pool: string;
	capacity: Capacity;
	labels: string[];
	draining: boolean;
	/** While it drains: the least time that it stays, in milliseconds. */
	remainingMs?: number;
}

/** A run on a worker. */
export interface RunningTask {
	task: string;
	run: number;
	/** Latest checkpoint; empty: none. */
	checkpoint: string;
	/** Share of full speed: 100 is full speed; less while the run starts, or when it is throttled. */
	percent: number;
	/** Of a serving task: its tail latency in milliseconds. Of any other: thousandths of a core in use. */
	reading: number;
}

/** Why a run exited. `alone`: a gang member waited too long for the others. `broken`: another gang member exited. */
export type ExitKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** The exit of a run. */
export interface RunExit {
	/** Sequence number; rises from 1 in each incarnation of the worker. */
	seq: number;
	task: string;
	run: number;
	how: ExitKind;
	checkpoint: string;
}

/** A worker's report on its runs. */
export interface WorkerReport {
	/**
	 * Start of the answering incarnation, in Unix milliseconds by its own wall clock; absent: the worker does not report it.
	 */
	born?: number;
	/** The worker's monotonic clock, in milliseconds. */
	clockMs: number;
	running: RunningTask[];
	/** The oldest exits that are not acknowledged yet. */
	ended: RunExit[];
	/** The report may not list all exits: a run that it does not list at all may have exited. */
	hasMoreExits: boolean;
}

/** A command to start a run. */
export interface StartCommand {
	task: string;
	run: number;
	text: string;
	/** Fencing token. A worker refuses a command with a lower token than it has seen. */
	token: number;
	/** End of the lease of all runs there, on the worker's clock; absent: its clock is not known yet. */
	leaseUntil?: number;
	checkpoint: string;
	/** The adviser's permission; empty: none is needed. */
	ticket: string;
	/** Whether the command may be sent again if it has no answer; absent: it may. */
	mayRetry?: () => boolean;
}

/**
 * Destination of a command: a worker's address and the incarnation that is meant. The platform keeps commands only from
 * workers of other names. Another incarnation of the same name carries a command out, unless it has seen a higher token.
 */
export interface WorkerTarget {
	id: string;
	address: string;
}

/** A call to a worker that was not carried out, or of which that is not known. */
export type WorkerFailure =
	/** The worker has seen a higher token. */
	| { kind: 'fenced' }
	/** The address belongs to another incarnation of the worker: the one that was meant has ended. */
	| { kind: 'other-life' }
	/** The run's number is not above that of a run that was stopped or exited there. */
	| { kind: 'stale-run' }
	/** The lease in the command has expired already. */
	| { kind: 'too-late' }
	| { kind: 'no-room' }
	/** The adviser's permission is missing or has expired. */
	| { kind: 'no-ticket' }
	/** The worker is unhealthy or rejects the form of the call. It has done nothing. */
	| { kind: 'refused'; status: number }
	/** Nothing listens at the address. */
	| { kind: 'unreachable' }
	/** The call may have been carried out, or may be later. */
	| { kind: 'no-answer'; reason: string }
	/**
	 * One copy of the call was refused. Another one was not, so the call may have been carried out, or may be later.
	 * `refusal`: why the one was refused.
	 */
	| { kind: 'in-doubt'; refusal: WorkerFailure };

/** The worker's clock, which is part of every answer. */
export interface ClockReading {
	clockMs: number;
}

/** Parameters of a report request. */
export interface ReportRequest {
	token: number;
	/** Exits up to this number are acknowledged; the worker may forget them. */
	acknowledgeUpTo: number;
	/** Extends the lease of all runs there; on the worker's clock. */
	leaseUntil?: number;
	/** How long the answer may wait for an exit, in milliseconds. */
	waitMs: number;
	/** Called when the worker accepts a connection that is opened for this request. */
	onConnected?: () => void;
	/** Called when the request is repeated, to be answered at once. */
	onRepeat?: () => void;
}

/** A call's outcome. */
export type WorkerResult<T> = Promise<results.Result<T, WorkerFailure>>;

/** Calls to workers. */
export interface WorkerCalls {
	start: (at: WorkerTarget, command: StartCommand) => WorkerResult<ClockReading>;
	stop: (at: WorkerTarget, task: string, run: number, token: number) => WorkerResult<ClockReading>;
	requestReport: (at: WorkerTarget, request: ReportRequest) => WorkerResult<WorkerReport>;
	/** Sets a run's pace to `percent` of full speed. */
	pace: (
		at: WorkerTarget,
		task: string,
		run: number,
		percent: number,
		token: number,
	) => WorkerResult<ClockReading>;
	/** Closes the connections to a worker that is gone. */
	forget: (at: WorkerTarget) => void;
	/** Stops using the open connections to a worker. Calls in flight are answered as before. */
	renew: (at: WorkerTarget) => void;
}

/** The adviser's answer about a step. */
export interface Advice {
	/** Workers that may run the step, each with the ticket that a start there has to contain. */
	good: { worker: string; ticket: string }[];
	/** How long the tickets are valid, in milliseconds. */
	validMs: number;
}

/** Asks the adviser which of the workers may run a step (`job.occurrence.step`). */
export type AskAdviser = (step: string, workers: string[]) => Promise<results.Result<Advice, string>>;

/** A machine of a pool. Each of its workers is one incarnation of it. */
export interface Machine {
	name: string;
	pool: string;
	state: 'up' | 'moving' | 'upkeep' | 'down';
	/** Name of its current worker; empty: none. */
	worker: string;
}

/** Outcome of a command to a machine. `busy`: not possible at present. `fenced`: a newer owner has sent commands there. */
export type MachineOutcome = 'done' | 'busy' | 'fenced' | 'impossible' | 'unknown';

/** Calls that concern machines. */
export interface MachineCalls {
	list: () => Promise<results.Result<Machine[], string>>;
	/** Begins a machine's upkeep: all runs there end at once. */
	upkeep: (machine: string, wave: number, holder: string, epoch: number) => Promise<MachineOutcome>;
	/** Moves a machine to another pool: all runs there end at once. */
	move: (machine: string, pool: string, holder: string, epoch: number) => Promise<MachineOutcome>;
}
