/** Simulates a worker: fencing, incarnation check, `notAfter`, leases, and tasks that do nothing but take time. */
import type * as workers from '../../src/core/worker/index.js';

/** A line of the journal, which records independently of the scheduler what ran where and when. */
export interface JournalLine {
	worker: string;
	incarnation: string;
	task: string;
	attempt: number;
	what: 'start' | 'end';
	how: string;
	/** Wall-clock milliseconds. */
	at: number;
	/** Work of the task done so far, in milliseconds over all attempts. */
	progressMs: number;
	cores: number;
	memoryMb: number;
}

interface Attempt {
	task: string;
	attempt: number;
	kind: 'service' | 'batch';
	state: workers.TaskReport['state'];
	needs: { cores: number; memoryMb: number };
	run: Record<string, string | number | boolean>;
	/** Work done until the last change of `share`, in milliseconds. */
	doneMs: number;
	/** Monotonic time of the last change of `share`, in milliseconds. */
	shareChangedAt: number;
	share: number;
	leaseEndsAt: number;
	reason?: string;
}

/** Faults that can be switched on. */
export interface WorkerFaults {
	/** Every task fails immediately. */
	failAll: boolean;
}

export interface MachineOptions {
	id: string;
	incarnation: string;
	/** Monotonic clock, in milliseconds. */
	now: () => number;
	wall: () => number;
	journal: (line: JournalLine) => void;
}

/** Runs simulated tasks and implements the worker's side of the protocol. */
export class Machine {
	readonly faults: WorkerFaults = { failAll: false };
	private readonly attempts = new Map<string, Attempt>();
	private epoch = 0;
	private seq = 0;

	private constructor(private readonly opts: MachineOptions) {}

	static create(opts: MachineOptions): Machine {
		return new Machine(opts);
	}

	/** Processes a message. Rejects it as a whole if its epoch, sequence number or incarnation does not match. */
	exchange(req: workers.ExchangeReq): workers.ExchangeRes {
		this.advance();
		const accepted = this.accepts(req);
		if (accepted) {
			this.epoch = req.epoch;
			this.seq = req.seq;
			this.renew(req);
			for (const command of req.commands) this.execute(command);
		}
		const tasks = [...this.attempts.values()].map((attempt) => this.report(attempt));
		return { accepted, incarnation: this.opts.incarnation, now: this.opts.now(), epoch: this.epoch, tasks };
	}

	/** Brings every running task up to date: tasks that are finished, and leases that have expired. */
	advance(): void {
		for (const attempt of this.attempts.values()) {
			if (attempt.state === 'running') this.advanceAttempt(attempt);
		}
	}

	private accepts(req: workers.ExchangeReq): boolean {
		if (req.epoch < this.epoch) return false;
		if (req.epoch === this.epoch && req.seq <= this.seq) return false;
		if (req.incarnation === undefined) return req.commands.length === 0 && req.renew === undefined;
		return req.incarnation === this.opts.incarnation;
	}

	private renew(req: workers.ExchangeReq): void {
		for (const ref of req.renew?.tasks ?? []) {
			const attempt = this.attempts.get(ref.task);
			if (attempt?.attempt === ref.attempt)
				attempt.leaseEndsAt = Math.max(attempt.leaseEndsAt, req.renew?.until ?? 0);
		}
	}

	private execute(command: workers.Command): void {
		if (command.type === 'start') {
			this.start(command);
			return;
		}
		const attempt = this.attempts.get(command.task);
		if (attempt?.attempt !== command.attempt) return;
		if (command.type === 'stop' && attempt.state === 'running')
			this.end(attempt, 'stopped', 'stopped by command');
		if (command.type === 'throttle') this.throttle(attempt, command.share);
		if (command.type === 'forget' && attempt.state !== 'running') this.attempts.delete(command.task);
	}

	private start(command: Extract<workers.Command, { type: 'start' }>): void {
		const now = this.opts.now();
		if (now > command.notAfter) return;
		const previous = this.attempts.get(command.task);
		if (previous !== undefined && previous.attempt >= command.attempt) return;
		if (previous?.state === 'running') this.end(previous, 'stopped', 'replaced by a later attempt');
		const attempt: Attempt = {
			task: command.task,
			attempt: command.attempt,
			kind: command.kind,
			state: 'running',
			needs: command.needs,
			run: command.run,
			doneMs: Number(command.checkpoint?.replace('done-ms:', '') ?? 0),
			shareChangedAt: now,
			share: 1,
			leaseEndsAt: command.kind === 'batch' ? command.notAfter : Infinity,
		};
		this.attempts.set(command.task, attempt);
		this.writeJournalLine(attempt, 'start', 'started');
		if (this.faults.failAll || attempt.run.fails === true) this.end(attempt, 'failed', 'exit status 1');
	}

	private throttle(attempt: Attempt, share: number): void {
		attempt.doneMs = this.progressAt(attempt);
		attempt.shareChangedAt = this.opts.now();
		attempt.share = share;
	}

	private advanceAttempt(attempt: Attempt): void {
		const now = this.opts.now();
		const duration = Number(attempt.run.durationMs ?? Infinity);
		const finishesAt = attempt.shareChangedAt + (duration - attempt.doneMs) / attempt.share;
		if (finishesAt <= Math.min(now, attempt.leaseEndsAt))
			this.end(attempt, 'finished', 'exit status 0', finishesAt);
		else if (attempt.leaseEndsAt <= now) this.end(attempt, 'stopped', 'lease lapsed', attempt.leaseEndsAt);
	}

	private progressAt(attempt: Attempt, at: number = this.opts.now()): number {
		return attempt.doneMs + (at - attempt.shareChangedAt) * attempt.share;
	}

	private end(
		attempt: Attempt,
		state: 'stopped' | 'finished' | 'failed',
		reason: string,
		at = this.opts.now(),
	): void {
		attempt.doneMs = this.progressAt(attempt, at);
		attempt.shareChangedAt = at;
		attempt.state = state;
		attempt.reason = reason;
		this.writeJournalLine(attempt, 'end', reason, at);
	}

	private writeJournalLine(attempt: Attempt, what: 'start' | 'end', how: string, at = this.opts.now()): void {
		this.opts.journal({
			worker: this.opts.id,
			incarnation: this.opts.incarnation,
			task: attempt.task,
			attempt: attempt.attempt,
			what,
			how,
			at: this.opts.wall() - (this.opts.now() - at),
			progressMs: Math.round(attempt.doneMs),
			cores: attempt.needs.cores,
			memoryMb: attempt.needs.memoryMb,
		});
	}

	private report(attempt: Attempt): workers.TaskReport {
		const running = attempt.state === 'running';
		const done = running ? this.progressAt(attempt) : attempt.doneMs;
		return {
			task: attempt.task,
			attempt: attempt.attempt,
			state: attempt.state,
			checkpoint: attempt.kind === 'batch' ? `done-ms:${Math.floor(done)}` : undefined,
			reason: attempt.reason,
			usage: {
				cores: Number(attempt.run.usesCores ?? attempt.needs.cores) * attempt.share,
				memoryMb: Number(attempt.run.usesMemoryMb ?? attempt.needs.memoryMb),
			},
			latencyMs: attempt.run.latencyMs === undefined ? undefined : Number(attempt.run.latencyMs),
		};
	}
}
