/** Workers as the dispatcher sees them, and the calls it makes to them. */
import type * as results from '../result.js';

/** An amount of a worker. */
export interface Capacity {
	milliCores: number;
	memoryMb: number;
	accelerators: number;
}

/** One life of a worker, as the platform lists it. */
export interface WorkerEntry {
	/** New with each start of the worker (`lives.ts`). */
	id: string;
	address: string;
	zone: string;
	pool: string;
	capacity: Capacity;
	labels: string[];
	draining: boolean;
	/** While it drains: it stays at least this long, in milliseconds. */
	remainingMs?: number;
}

/** A run that a worker holds. */
export interface RunningTask {
	task: string;
	run: number;
	/** Newest checkpoint; empty: none. */
	checkpoint: string;
	/** 100: at work in full; less while it starts, or when paced. */
	percent: number;
	/** Tail latency in milliseconds of a task that serves users, else thousandths of a core in use. */
	reading: number;
}

/** Why a run ended. `alone`: a gang member waited too long for the others; `broken`: another member ended. */
export type ExitKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** The end of a run. */
export interface RunExit {
	/** Rises from 1 in each life of the worker. */
	seq: number;
	task: string;
	run: number;
	how: ExitKind;
	checkpoint: string;
}

/** What a worker says of itself. */
export interface WorkerReport {
	/** Start of the life that answers, in Unix milliseconds by its own time of day; absent: it does not tell. */
	born?: number;
	/** The worker's monotonic clock, in milliseconds. */
	clockMs: number;
	running: RunningTask[];
	/** The oldest ends that are not forgotten yet. */
	ended: RunExit[];
	/** There may be more ends than these: a run that is not listed at all may have ended. */
	hasMoreExits: boolean;
}

/** An order to start a run. */
export interface StartCommand {
	task: string;
	run: number;
	text: string;
	/** A worker refuses an order with a lower one than it has seen. */
	token: number;
	/** End of the lease of everything there, on the worker's clock; absent before its clock is known. */
	leaseUntil?: number;
	checkpoint: string;
	/** Permission of the adviser; empty: none needed. */
	ticket: string;
	/** Whether the start may be sent once more where it has no answer; absent: it may. */
	mayRetry?: () => boolean;
}

/**
 * Where an order goes: the worker's address and the life that is meant. The platform keeps orders from workers of other
 * names only; another life of the same name carries them out, unless it has seen a higher token.
 */
export interface WorkerTarget {
	id: string;
	address: string;
}

/** A call to a worker that was not carried out, or of which that is not known. */
export type WorkerFailure =
	/** A higher token has been seen there. */
	| { kind: 'fenced' }
	/** The address belongs to another life of the worker now: the one meant has ended. */
	| { kind: 'other-life' }
	/** The run is not above one that was stopped or ended there. */
	| { kind: 'stale-run' }
	/** The lease named has run out already. */
	| { kind: 'too-late' }
	| { kind: 'no-room' }
	/** The adviser's permission is missing or has run out. */
	| { kind: 'no-ticket' }
	/** The worker is unhealthy or refuses the call's form; it has done nothing. */
	| { kind: 'refused'; status: number }
	/** Nothing listens at the address. */
	| { kind: 'unreachable' }
	/** The call may have been carried out, or may be later. */
	| { kind: 'no-answer'; reason: string };

/** The worker's clock, which every answer carries. */
export interface ClockReading {
	clockMs: number;
}

/** How to ask for a report. */
export interface ReportRequest {
	token: number;
	/** Ends up to here are forgotten by the worker. */
	acknowledgeUpTo: number;
	/** Extends the lease of all that runs there; on the worker's clock. */
	leaseUntil?: number;
	/** How long the answer may wait for an end, in milliseconds. */
	waitMs: number;
	/** Called when the worker accepts a connection that is opened for this question. */
	onConnected?: () => void;
	/** Called when the question is asked once more, to be answered at once. */
	onRepeat?: () => void;
}

/** A call's outcome. */
export type WorkerResult<T> = Promise<results.Result<T, WorkerFailure>>;

/** Calls to workers. */
export interface WorkerCalls {
	start: (at: WorkerTarget, command: StartCommand) => WorkerResult<ClockReading>;
	stop: (at: WorkerTarget, task: string, run: number, token: number) => WorkerResult<ClockReading>;
	requestReport: (at: WorkerTarget, request: ReportRequest) => WorkerResult<WorkerReport>;
	/** Lets a run work at `percent` of its speed. */
	pace: (
		at: WorkerTarget,
		task: string,
		run: number,
		percent: number,
		token: number,
	) => WorkerResult<ClockReading>;
	/** Drops the connections to a worker that is gone. */
	forget: (at: WorkerTarget) => void;
	/** Takes the kept connections to a worker out of use; calls on their way are answered as before. */
	renew: (at: WorkerTarget) => void;
}

/** What the adviser says of a step. */
export interface Advice {
	/** Workers that may run it, each with the ticket that a start there has to bring. */
	good: { worker: string; ticket: string }[];
	/** The tickets hold so long, in milliseconds. */
	validMs: number;
}

/** Asks which of the workers may run a step (`job.time.step`). */
export type AskAdviser = (step: string, workers: string[]) => Promise<results.Result<Advice, string>>;

/** A machine of a pool; workers are its lives. */
export interface Machine {
	name: string;
	pool: string;
	state: 'up' | 'moving' | 'upkeep' | 'down';
	/** Name of its present worker; empty: none. */
	worker: string;
}

/** What an order to a machine came to. `busy`: not now. `fenced`: a newer owner gave orders there. */
export type MachineOutcome = 'done' | 'busy' | 'fenced' | 'impossible' | 'unknown';

/** Calls that concern machines. */
export interface MachineCalls {
	list: () => Promise<results.Result<Machine[], string>>;
	/** Begins a machine's upkeep: all that runs there ends at once. */
	upkeep: (machine: string, wave: number, holder: string, epoch: number) => Promise<MachineOutcome>;
	/** Moves a machine to another pool: all that runs there ends at once. */
	move: (machine: string, pool: string, holder: string, epoch: number) => Promise<MachineOutcome>;
}
