/**
 * Exchanges messages with a shard's workers: keeps one loop and one view per worker, composes messages and takes in answers.
 */
import * as exchangeLoops from './exchange-loop.js';
import * as reachability from './reachability.js';
import * as types from './types.js';
import type * as clocks from '../clock.js';
import type * as commands from './commands.js';
import type * as events from '../events/index.js';
import type * as results from '../result.js';
import type * as workers from '../worker/index.js';

/** What the exchanges need from the owner. */
export interface WorkerExchangesDeps {
	shard: string;
	clock: clocks.Clock;
	events: events.EventLog;
	exchange: workers.Exchange;
	opts: types.OwnerOptions;
	metrics: { exchanges: number; starts: number };
	epoch: () => number;
	/** Content of the next message to a worker. `until` is the end of the leases that it grants, on the worker's clock. */
	contentFor: (view: types.WorkerView, until: number) => commands.MessageContent;
	/** Whether a task may hold a placement on the worker. */
	mayHoldPlacement: (worker: string) => boolean;
	/** Called after a report that may need a decision before the next tick. */
	onDecisionNeeded: () => void;
	/** Called if a worker has seen a newer epoch than this owner's. */
	onNewerEpoch: () => void;
}

/** The exchange loops and views of one shard's workers. */
export class WorkerExchanges {
	readonly views = new Map<string, types.WorkerView>();
	private readonly loops = new Map<string, exchangeLoops.ExchangeLoop>();
	private seq = 0;

	private constructor(private readonly deps: WorkerExchangesDeps) {}

	static create(deps: WorkerExchangesDeps): WorkerExchanges {
		return new WorkerExchanges(deps);
	}

	/** Takes in the platform's newest list of the shard's workers. */
	setWorkers(listed: types.ListedWorker[]): void {
		const ids = new Set(listed.map((one) => one.id));
		for (const view of this.views.values()) {
			if (!ids.has(view.listed.id)) this.noteUnlisted(view);
		}
		for (const one of listed) {
			const knownView = this.views.get(one.id);
			if (knownView?.listed.address === one.address) {
				knownView.listed = one;
				knownView.isListed = true;
			} else {
				this.addWorker(one, knownView);
			}
		}
	}

	/** Sends a message to a worker as soon as none is in flight. */
	triggerExchange(worker: string): void {
		this.loops.get(worker)?.trigger();
	}

	/** Stops sending; resolves once no message is in flight. */
	async stop(): Promise<void> {
		const stopping = [...this.loops.values()].map((loop) => loop.stop());
		this.loops.clear();
		await Promise.all(stopping);
	}

	private addWorker(listed: types.ListedWorker, knownView: types.WorkerView | undefined): void {
		void this.loops.get(listed.id)?.stop();
		// A worker under a new address keeps its view, which bounds the leases on it.
		const view = knownView ?? types.newWorkerView(listed);
		view.listed = listed;
		view.isListed = true;
		this.views.set(listed.id, view);
		const loop = exchangeLoops.ExchangeLoop.create({
			address: listed.address,
			heartbeatMs: this.deps.opts.heartbeatMs,
			clock: this.deps.clock,
			exchange: this.deps.exchange,
			compose: () => this.compose(view),
			onAnswer: (req, res) => {
				this.onAnswer(view, req, res);
			},
		});
		this.loops.set(listed.id, loop);
	}

	/**
	 * Handles a worker that has left the list. Absence from the list proves nothing about its tasks, so its view and loop
	 * stay while tasks may hold placements on it.
	 */
	private noteUnlisted(view: types.WorkerView): void {
		view.isListed = false;
		const { id } = view.listed;
		if (this.deps.mayHoldPlacement(id)) return;
		void this.loops.get(id)?.stop();
		this.loops.delete(id);
		this.views.delete(id);
	}

	private compose(view: types.WorkerView): workers.ExchangeReq {
		const { shard, opts, metrics } = this.deps;
		this.seq += 1;
		metrics.exchanges += 1;
		const base = { shard, epoch: this.deps.epoch(), seq: this.seq };
		if (!view.fenced || view.incarnation === undefined) return { ...base, commands: [] };
		const until = view.workerClockAtAnswer + opts.leaseMs;
		const content = this.deps.contentFor(view, until);
		const starts = content.commands.filter((command) => command.type === 'start');
		for (const start of starts) view.lastStartSeq.set(types.attemptKey(start.task, start.attempt), this.seq);
		metrics.starts += starts.length;
		if (content.renew.length + starts.length > 0) {
			view.leaseEndsBy = Math.max(view.leaseEndsBy, view.lastAnswerAt + reachability.maxLeaseMs(opts));
		}
		const renew = content.renew.length > 0 ? { until, tasks: content.renew } : undefined;
		return { ...base, incarnation: view.incarnation, renew, commands: content.commands };
	}

	private onAnswer(
		view: types.WorkerView,
		req: workers.ExchangeReq,
		res: results.Result<workers.ExchangeRes, string>,
	): void {
		if (!res.ok) return;
		if (res.value.accepted) this.accepted(view, req, res.value);
		else this.refused(view, res.value);
	}

	private accepted(view: types.WorkerView, req: workers.ExchangeReq, answer: workers.ExchangeRes): void {
		const { clock, opts, shard } = this.deps;
		const now = clock.now();
		const isFirstAnswer = !view.fenced || view.incarnation !== answer.incarnation;
		const worker = view.listed.id;
		// The worker accepts no more messages of earlier owners, so every lease that they granted ends by then.
		if (isFirstAnswer) view.leaseEndsBy = Math.max(view.leaseEndsBy, now + reachability.maxLeaseMs(opts));
		if (isFirstAnswer || view.isUnreachableLogged) {
			this.deps.events.emit('worker.reached', { shard, worker, incarnation: answer.incarnation });
		}
		view.isUnreachableLogged = false;
		view.fenced = true;
		view.incarnation = answer.incarnation;
		view.lastAnswerAt = now;
		view.workerClockAtAnswer = answer.now;
		view.lastAcceptedSeq = req.seq;
		view.hasNewAnswer = true;
		noteThrottleShares(view, req);
		this.applyReports(view, answer.tasks);
		if (isFirstAnswer || answer.tasks.some((one) => one.state !== 'running')) this.deps.onDecisionNeeded();
		if (isFirstAnswer) this.triggerExchange(worker);
	}

	/** Handles a refusal: the worker has seen a newer epoch, or its incarnation differs from the message's. */
	private refused(view: types.WorkerView, answer: workers.ExchangeRes): void {
		if (answer.epoch > this.deps.epoch()) {
			this.deps.onNewerEpoch();
			return;
		}
		view.fenced = false;
		this.triggerExchange(view.listed.id);
	}

	private applyReports(view: types.WorkerView, reported: workers.TaskReport[]): void {
		const previous = view.reports;
		view.reports = new Map(reported.map((one) => [one.task, one]));
		for (const one of reported) {
			const previousReport = previous.get(one.task);
			const isNewRun = previousReport?.attempt !== one.attempt || previousReport.state !== 'running';
			if (one.state === 'running' && isNewRun) this.logRunning(view, one);
			if (one.usage !== undefined) notePeakUsage(view, one.task, one.usage);
		}
		for (const task of view.peakUsage.keys()) if (!view.reports.has(task)) view.peakUsage.delete(task);
		// A start that was sent in an exchange up to the answered one has arrived or never will.
		for (const [key, seq] of view.lastStartSeq)
			if (seq <= view.lastAcceptedSeq) view.lastStartSeq.delete(key);
	}

	private logRunning(view: types.WorkerView, one: workers.TaskReport): void {
		const { shard, events: log } = this.deps;
		log.emit('task.running', { shard, task: one.task, attempt: one.attempt, worker: view.listed.id });
	}
}

function noteThrottleShares(view: types.WorkerView, req: workers.ExchangeReq): void {
	for (const command of req.commands) {
		if (command.type !== 'throttle') continue;
		view.sentShares.set(types.attemptKey(command.task, command.attempt), command.share);
	}
}

function notePeakUsage(
	view: types.WorkerView,
	task: string,
	usage: { cores: number; memoryMb: number },
): void {
	const peak = view.peakUsage.get(task);
	view.peakUsage.set(task, {
		cores: Math.max(peak?.cores ?? 0, usage.cores),
		memoryMb: Math.max(peak?.memoryMb ?? 0, usage.memoryMb),
	});
}
