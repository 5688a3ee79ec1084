/**
 * Exchanges messages with a shard's workers: keeps one loop and one view per worker, composes messages and takes in answers.
 */
import * as links from './link.js';
import * as silence from './silence.js';
import * as types from './types.js';
import type * as clocks from '../clock.js';
import type * as commands from './commands.js';
import type * as events from '../events/index.js';
import type * as results from '../result.js';
import type * as workers from '../worker/index.js';

/** What the exchanges need from the owner. */
export interface ContactDeps {
	shard: string;
	clock: clocks.Clock;
	events: events.EventLog;
	exchange: workers.Exchange;
	opts: types.OwnerOptions;
	metrics: { exchanges: number; starts: number };
	epoch: () => number;
	/** Content of the next message to a worker. `until` is the end of the leases that it grants, on the worker's clock. */
	orders: (view: types.WorkerView, until: number) => commands.Orders;
	/** Whether a task may hold a placement on the worker. */
	mayHoldPlace: (worker: string) => boolean;
	/** Called after a report that may need a decision before the next tick. */
	onNews: () => void;
	/** Called if a worker has seen a newer epoch than this owner's. */
	onNewerEpoch: () => void;
}

/** The exchange loops and views of one shard's workers. */
export class WorkerContacts {
	readonly views = new Map<string, types.WorkerView>();
	private readonly links = new Map<string, links.WorkerLink>();
	private seq = 0;

	private constructor(private readonly deps: ContactDeps) {}

	static create(deps: ContactDeps): WorkerContacts {
		return new WorkerContacts(deps);
	}

	/** Takes in the platform's newest list of the shard's workers. */
	setWorkers(listed: types.ListedWorker[]): void {
		const ids = new Set(listed.map((one) => one.id));
		for (const view of this.views.values()) {
			if (!ids.has(view.listed.id)) this.dropListed(view);
		}
		for (const one of listed) {
			const known = this.views.get(one.id);
			if (known?.listed.address === one.address) {
				known.listed = one;
				known.present = true;
			} else {
				this.addWorker(one, known);
			}
		}
	}

	/** Sends a message to a worker as soon as none is in flight. */
	kick(worker: string): void {
		this.links.get(worker)?.kick();
	}

	/** Stops sending; resolves once no message is in flight. */
	async stop(): Promise<void> {
		const stopping = [...this.links.values()].map((link) => link.stop());
		this.links.clear();
		await Promise.all(stopping);
	}

	private addWorker(listed: types.ListedWorker, known: types.WorkerView | undefined): void {
		void this.links.get(listed.id)?.stop();
		// A worker under a new address keeps its view, which bounds the leases on it.
		const view = known ?? types.newView(listed);
		view.listed = listed;
		view.present = true;
		this.views.set(listed.id, view);
		const link = links.WorkerLink.create({
			address: listed.address,
			heartbeatMs: this.deps.opts.heartbeatMs,
			clock: this.deps.clock,
			exchange: this.deps.exchange,
			compose: () => this.compose(view),
			onAnswer: (req, res) => {
				this.onAnswer(view, req, res);
			},
		});
		this.links.set(listed.id, link);
	}

	/**
	 * Handles a worker that has left the list. Absence from the list proves nothing about its tasks, so its view and loop
	 * stay while tasks may hold placements on it.
	 */
	private dropListed(view: types.WorkerView): void {
		view.present = false;
		const { id } = view.listed;
		if (this.deps.mayHoldPlace(id)) return;
		void this.links.get(id)?.stop();
		this.links.delete(id);
		this.views.delete(id);
	}

	private compose(view: types.WorkerView): workers.ExchangeReq {
		const { shard, opts, metrics } = this.deps;
		this.seq += 1;
		metrics.exchanges += 1;
		const base = { shard, epoch: this.deps.epoch(), seq: this.seq };
		if (!view.fenced || view.incarnation === undefined) return { ...base, commands: [] };
		const until = view.workerNow + opts.leaseMs;
		const orders = this.deps.orders(view, until);
		const starts = orders.commands.filter((command) => command.type === 'start');
		for (const start of starts) view.startSeq.set(types.attemptKey(start.task, start.attempt), this.seq);
		metrics.starts += starts.length;
		if (orders.renew.length + starts.length > 0) {
			view.leaseEndsBy = Math.max(view.leaseEndsBy, view.answeredAt + silence.leaseSpan(opts));
		}
		const renew = orders.renew.length > 0 ? { until, tasks: orders.renew } : undefined;
		return { ...base, incarnation: view.incarnation, renew, commands: orders.commands };
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
		const first = !view.fenced || view.incarnation !== answer.incarnation;
		const worker = view.listed.id;
		// The worker accepts no more messages of earlier owners, so every lease that they granted ends by then.
		if (first) view.leaseEndsBy = Math.max(view.leaseEndsBy, now + silence.leaseSpan(opts));
		if (first || view.unreachable) {
			this.deps.events.emit('worker.reached', { shard, worker, incarnation: answer.incarnation });
		}
		view.unreachable = false;
		view.fenced = true;
		view.incarnation = answer.incarnation;
		view.answeredAt = now;
		view.workerNow = answer.now;
		view.answeredSeq = req.seq;
		view.fresh = true;
		noteThrottles(view, req);
		this.takeReports(view, answer.tasks);
		if (first || answer.tasks.some((one) => one.state !== 'running')) this.deps.onNews();
		if (first) this.kick(worker);
	}

	/** Handles a refusal: the worker has seen a newer epoch, or its incarnation differs from the message's. */
	private refused(view: types.WorkerView, answer: workers.ExchangeRes): void {
		if (answer.epoch > this.deps.epoch()) {
			this.deps.onNewerEpoch();
			return;
		}
		view.fenced = false;
		this.kick(view.listed.id);
	}

	private takeReports(view: types.WorkerView, reported: workers.TaskReport[]): void {
		const before = view.reports;
		view.reports = new Map(reported.map((one) => [one.task, one]));
		for (const one of reported) {
			const old = before.get(one.task);
			const fresh = old?.attempt !== one.attempt || old.state !== 'running';
			if (one.state === 'running' && fresh) this.noteRunning(view, one);
			if (one.usage !== undefined) notePeak(view, one.task, one.usage);
		}
		for (const task of view.peaks.keys()) if (!view.reports.has(task)) view.peaks.delete(task);
		// A start that was sent in an exchange up to the answered one has arrived or never will.
		for (const [key, seq] of view.startSeq) if (seq <= view.answeredSeq) view.startSeq.delete(key);
	}

	private noteRunning(view: types.WorkerView, one: workers.TaskReport): void {
		const { shard, events: log } = this.deps;
		log.emit('task.running', { shard, task: one.task, attempt: one.attempt, worker: view.listed.id });
	}
}

function noteThrottles(view: types.WorkerView, req: workers.ExchangeReq): void {
	for (const command of req.commands) {
		if (command.type !== 'throttle') continue;
		view.throttled.set(types.attemptKey(command.task, command.attempt), command.share);
	}
}

function notePeak(view: types.WorkerView, task: string, usage: { cores: number; memoryMb: number }): void {
	const peak = view.peaks.get(task);
	view.peaks.set(task, {
		cores: Math.max(peak?.cores ?? 0, usage.cores),
		memoryMb: Math.max(peak?.memoryMb ?? 0, usage.memoryMb),
	});
}
