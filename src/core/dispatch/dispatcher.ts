/** The owner's work: takes in jobs, workers and reports, and sees to it that every task runs as often as it should. */
import * as clocks from '../clock.js';
import * as ends from './ends.js';
import * as hanging from './hanging.js';
import * as interference from './interference.js';
import * as jobBook from './job-book.js';
import * as placer from './placer.js';
import * as pressure from './pressure.js';
import * as saver from './progress-saver.js';
import * as settings from './settings.js';
import * as starter from './starter.js';
import * as strangers from './strangers.js';
import * as vacating from './vacating.js';
import * as workerPool from './worker-pool.js';
import type * as fleet from '../fleet/types.js';
import type * as jobs from '../jobs/index.js';
import type * as ledger from '../ledger/index.js';
import type * as queues from '../queues/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** What a dispatcher needs beyond its calls to workers. */
export interface DispatcherOptions extends types.DispatchDeps {
	saveProgress: saver.SaveProgress;
	readJob: strangers.ReadJob;
	saveRoster: (roster: ledger.RosterEntry[]) => Promise<ledger.WriteOutcome>;
	clearJobs: (ids: string[]) => Promise<ledger.WriteOutcome>;
	/** The queues in force; undefined before the first configuration. */
	table: () => queues.QueueTable | undefined;
	/** Asks the adviser; absent: there is none. */
	askAdviser?: fleet.AskAdviser;
	/** A finished job's state is kept this long, in milliseconds. */
	keepStateMs: number;
	/** Longest time over its target that a serving task may be kept by what fills beside it. */
	harmMs: number;
}

/** Dispatches all jobs under one epoch. */
export class Dispatcher {
	private readonly book: jobBook.JobBook;
	private readonly strangers: strangers.Strangers;
	private readonly workers: workerPool.WorkerPool;
	private readonly placer: placer.Placer;
	private readonly progress: saver.ProgressSaver;
	private readonly starter: starter.Starter;
	private readonly estimates: interference.Interference;
	private readonly pressure: pressure.PressureControl;
	private readonly ticks: clocks.Timer;
	private readonly reportContext: ends.ReportContext;

	private constructor(
		private readonly opts: DispatcherOptions,
		roster: ledger.RosterEntry[],
	) {
		const { clock, events } = opts;
		this.estimates = interference.Interference.create(() => clock.now());
		this.pressure = pressure.PressureControl.create(opts, this.estimates, opts.harmMs);
		this.progress = this.createSaver();
		this.starter = starter.Starter.create(opts, {
			onStarted: (place) => {
				this.onStarted(place);
			},
			onNotStarted: (session, place, err) => {
				this.onNotStarted(session, place, err);
			},
		});
		this.placer = placer.Placer.create({
			...opts,
			askAdviser: opts.askAdviser,
			workers: () => this.workers.all(),
			settled: () => this.workers.settled,
			policyOf: (job) => this.policyOf(job),
			estimates: this.estimates,
			start: (session, place, ticket) => void this.starter.start(session, place, ticket),
			stop: (session, place) => void this.starter.stop(session, place),
		});
		const { keepStateMs, clearJobs } = opts;
		this.book = jobBook.JobBook.create({
			clock,
			events,
			keepStateMs,
			clearJobs,
			onReady: (task) => {
				this.placer.add(task);
			},
		});
		this.strangers = strangers.Strangers.create({
			readJob: opts.readJob,
			isKnown: (id) => this.book.get(id) !== undefined,
			onFound: (stored) => {
				if (this.book.get(stored.record.id) === undefined) this.addStored(stored);
			},
		});
		this.reportContext = this.createReportContext();
		this.workers = this.createPool(roster);
		this.ticks = clocks.every(clock, settings.tickMs, () => {
			this.tick();
		});
	}

	/** Starts work under a new epoch: asks every worker of the roster what it runs. */
	static create(
		opts: DispatcherOptions,
		contents: ledger.LedgerContents,
		knowledge?: interference.Knowledge,
	): Dispatcher {
		const dispatcher = new Dispatcher(opts, contents.roster);
		if (knowledge !== undefined) dispatcher.estimates.adopt(knowledge);
		for (const stored of contents.jobs.values()) dispatcher.addStored(stored);
		return dispatcher;
	}

	/** Takes in an accepted job; a job known already changes nothing. */
	addJob(record: jobs.JobRecord): void {
		if (this.book.get(record.id) !== undefined) return;
		// An owner that a box told of the job may have started it, unless that owner is this one.
		const inherited = record.acceptedUnder !== this.opts.epoch;
		this.book.add(record, undefined, { cancelled: false, inherited });
	}

	/** Takes in a stored cancellation. */
	cancelJob(id: string): void {
		const job = this.book.get(id);
		if (job === undefined || job.ended) return;
		job.cancelled = true;
		this.endJob(job, 'cancelled');
	}

	/** How a job stands; undefined: not known here. */
	stateOf(id: string): jobs.JobState | undefined {
		return this.book.stateOf(id);
	}

	/** Jobs of a queue of which no task has begun. */
	pendingOf(queue: string): number {
		return this.book.pendingOf(queue);
	}

	/** The platform's list of workers, in part or whole. */
	setWorkers(entries: Iterable<fleet.WorkerEntry>, removed: Iterable<string>, whole: boolean): void {
		this.workers.setWorkers(entries, removed, whole);
		this.placer.wake();
	}

	/** Closes a worker to new work and moves what runs there; an unknown worker is empty. */
	vacate(worker: string): vacating.VacateState {
		const session = this.workers.get(worker);
		if (session === undefined) return 'empty';
		session.vacated = true;
		return vacating.vacate(session, {
			sessionOf: (task) => this.placer.sessionOf(task),
			stop: (from, place) => void this.starter.stop(from, place),
		});
	}

	/** Opens a worker to new work again. */
	reopen(worker: string): void {
		const session = this.workers.get(worker);
		if (session !== undefined) session.vacated = false;
	}

	/** What was learnt of how tasks disturb each other, for the next owner. */
	knowledge(): interference.Knowledge {
		return this.estimates.knowledge();
	}

	/** Gives no more orders. What runs goes on under its leases until another owner takes over. */
	close(): void {
		this.ticks.cancel();
		this.placer.close();
		this.progress.close();
		this.workers.close();
	}

	private createSaver(): saver.ProgressSaver {
		const { clock, events, epoch } = this.opts;
		return saver.ProgressSaver.create({
			clock,
			save: this.opts.saveProgress,
			onSaved: (job, state) => {
				job.storedState = state;
			},
			onSuperseded: this.opts.onFenced,
			onFailure: (outcome) => {
				events.emit('progress.unsaved', { epoch, reason: outcome });
			},
		});
	}

	private createPool(roster: ledger.RosterEntry[]): workerPool.WorkerPool {
		const handlers: sessions.SessionHandlers = {
			onReport: (from, report, sentAt) => this.onReport(from, report, sentAt),
			onLost: (from, lost, proof) => {
				this.onLost(from, lost, proof);
			},
		};
		const onOpened = (): void => {
			this.placer.wake();
		};
		return workerPool.WorkerPool.create({ ...this.opts, handlers, onOpened }, roster);
	}

	private createReportContext(): ends.ReportContext {
		const { clock, events, calls, epoch } = this.opts;
		return {
			now: () => clock.now(),
			findTask: (name) => this.book.findTask(name),
			sessionOf: (task) => this.placer.sessionOf(task),
			adopt: (session, task, run) => this.adopt(session, task, run),
			stopStray: (session, task, run) => {
				events.emit('run.stray', { worker: session.id, task, run });
				void calls.stop(session.target, task, run, epoch);
			},
			stop: (session, place) => void this.starter.stop(session, place),
			finished: (task) => {
				this.onFinished(task);
			},
			failed: (session, task, run) => {
				this.onFailed(session, task, run);
			},
			again: (task) => {
				this.placer.add(task);
			},
			logEnd: (session, end) => {
				const { task, run, how } = end;
				events.emit('run.ended', { task, run, worker: session.id, how });
			},
		};
	}

	private addStored(stored: ledger.StoredJob): void {
		const { record, progress, cancelled } = stored;
		const job = this.book.add(record, progress, { cancelled, inherited: true });
		if (cancelled && !job.ended) this.endJob(job, 'cancelled');
	}

	private onReport(
		session: sessions.WorkerSession,
		report: fleet.WorkerReport,
		sentAt: number,
	): sessions.ReportOutcome {
		if (!this.strangers.clear(report)) return { type: 'put-off' };
		const upTo = Math.max(session.seenUpTo, ...report.ended.map((end) => end.seq));
		const changed = ends.takeReport(this.reportContext, session, report, sentAt);
		for (const job of changed) this.progress.mark(job);
		this.pressure.look(session);
		this.workers.heard(session);
		this.placer.wake();
		return { type: 'taken', stored: this.noteStored(session, changed, upTo) };
	}

	/** Lets the worker forget its ends up to `upTo` once they are stored. */
	private async noteStored(
		session: sessions.WorkerSession,
		changed: Set<jobs.ActiveJob>,
		upTo: number,
	): Promise<void> {
		await this.progress.stored(changed);
		session.storedUpTo = Math.max(session.storedUpTo, upTo);
	}

	private onLost(session: sessions.WorkerSession, lost: types.Placement[], proof: string): void {
		this.opts.events.emit('worker.lost', { worker: session.id, tasks: lost.length, reason: proof });
		for (const one of lost) {
			this.placer.add(one.task);
			this.breakGang(one.task);
		}
		this.workers.heard(session);
		this.placer.wake();
	}

	private adopt(session: sessions.WorkerSession, task: jobs.Task, run: number): types.Placement {
		const { job } = task.step;
		if (job.state === 'pending') job.state = 'running';
		return this.placer.adopt(session, task, run);
	}

	private onFinished(task: jobs.Task): void {
		// Members of a gang finish together: one end stands for all.
		const finished = task.step.spec.gang ? task.step.tasks : [task];
		const { job } = task.step;
		for (const one of finished) {
			const next = job.finish(one, this.opts.clock.now());
			this.placer.drop(one);
			for (const ready of next) this.placer.add(ready);
		}
		if (job.ended) this.endJob(job, job.state);
	}

	private onFailed(session: sessions.WorkerSession, task: jobs.Task, run: number): void {
		const { job, spec, tasks } = task.step;
		// A gang fails as one, whichever of its members it was.
		const counted = spec.gang ? (tasks[0] ?? task) : task;
		counted.failures.add(run);
		task.failedOn.add(session.id);
		session.noteFailure(job.id);
		const { attempts } = this.policyOf(job);
		if (!spec.lasting && counted.failures.size >= attempts) this.endJob(job, 'failed');
		else this.breakGang(task);
	}

	/** Without one member the others of a gang wait in vain. */
	private breakGang(task: jobs.Task): void {
		if (!task.step.spec.gang) return;
		for (const other of task.step.tasks) this.stopTask(other);
	}

	private endJob(job: jobs.ActiveJob, state: jobs.JobState): void {
		this.book.close(job, state);
		for (const step of job.steps)
			for (const task of step.tasks) {
				this.placer.drop(task);
				this.stopTask(task);
			}
		this.progress.mark(job);
	}

	private stopTask(task: jobs.Task): void {
		const session = this.placer.sessionOf(task);
		const place = session?.placements.get(task.name);
		if (session !== undefined && place !== undefined) void this.starter.stop(session, place);
	}

	private policyOf(job: jobs.ActiveJob): jobs.QueuePolicy {
		return this.opts.table()?.policyOf(job.record) ?? job.record.queue;
	}

	private onStarted(place: types.Placement): void {
		const { job } = place.task.step;
		if (job.state === 'pending') job.state = 'running';
	}

	private onNotStarted(
		session: sessions.WorkerSession,
		place: types.Placement,
		err: fleet.WorkerFailure,
	): void {
		const { task, run } = place;
		this.opts.events.emit('start.refused', {
			task: task.name,
			run,
			worker: session.id,
			reason: err.kind,
		});
		if (err.kind !== 'stale-run') session.pause(settings.refusalPauseMs);
		// A refused start does not begin the wait anew: what a task may claim grows with it.
		this.placer.add(task, task.readyAt);
		this.breakGang(task);
	}

	private tick(): void {
		this.workers.tick();
		for (const session of this.workers.all()) {
			if (session.endsAt !== undefined) this.evacuate(session, session.endsAt);
			this.placer.moveSlowed(session);
			this.stopHanging(session);
		}
		this.book.tick();
		this.placer.wake();
	}

	/** A run that hangs is tried elsewhere, and counts against its worker. */
	private stopHanging(session: sessions.WorkerSession): void {
		for (const place of hanging.hangingOn(session, this.opts.clock.now())) {
			const { task } = place;
			task.failedOn.add(session.id);
			session.noteFailure(task.step.job.id);
			this.opts.events.emit('task.stop', {
				task: task.name,
				worker: session.id,
				reason: 'hangs',
				percent: place.percent,
			});
			void this.starter.stop(session, place);
		}
	}

	/** Moves work off a worker that is about to end: lasting tasks at once, others while a stop still saves them. */
	private evacuate(session: sessions.WorkerSession, endsAt: number): void {
		const lastMoment = this.opts.clock.now() >= endsAt - settings.evacuateBeforeMs;
		for (const place of session.placements.values()) {
			if (place.phase !== 'running') continue;
			if (lastMoment || place.task.step.spec.lasting) void this.starter.stop(session, place);
		}
	}
}
