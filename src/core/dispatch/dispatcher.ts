/** The owner's dispatcher: takes in jobs, workers and reports, and starts the runs that each task needs. */
import * as clocks from '../clock.js';
import * as callRepeater from './call-repeater.js';
import * as blame from './crash-blame.js';
import * as countedCalls from './counted-calls.js';
import * as ends from './ends.js';
import * as evacuations from './zone-evacuations.js';
import * as fencing from './fencing-tokens.js';
import * as firstQuestions from './first-questions.js';
import * as interference from './interference.js';
import * as jobBook from './job-book.js';
import * as meters from './load-meter.js';
import * as freshness from './list-freshness.js';
import * as locations from './task-locations.js';
import * as outcomes from './outcomes.js';
import * as placer from './placer.js';
import * as pressure from './pressure.js';
import * as probation from './probation.js';
import * as reportLog from './report-log.js';
import * as saver from './progress-saver.js';
import * as settings from './settings.js';
import * as starter from './starter.js';
import * as strangers from './strangers.js';
import * as vacating from './vacating.js';
import * as watch from './run-watch.js';
import * as workerPool from './worker-pool.js';
import type * as fleet from '../fleet/types.js';
import type * as jobs from '../jobs/index.js';
import type * as options from './options.js';
import type * as learnt from './knowledge.js';
import type * as ledger from '../ledger/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Dispatches all jobs under one epoch. */
export class Dispatcher {
	private readonly book: jobBook.JobBook;
	private readonly strangers: strangers.Strangers;
	private readonly workers: workerPool.WorkerPool;
	private readonly locations: locations.TaskLocations;
	private readonly placer: placer.Placer;
	private readonly progress: saver.ProgressSaver;
	private readonly starter: starter.Starter;
	private readonly estimates: interference.Interference;
	private readonly pressure: pressure.PressureControl;
	private readonly outcomes: outcomes.Outcomes;
	private readonly blame: blame.CrashBlame;
	private readonly probations: probation.Probations;
	private readonly ticks: clocks.Timer;
	private readonly reportContext: ends.ReportContext;
	private readonly reportLog: reportLog.ReportLog;
	private readonly list: freshness.ListFreshness;
	private readonly evacuations: evacuations.ZoneEvacuations;

	private constructor(
		private readonly opts: options.DispatcherOptions,
		private readonly meter: meters.LoadMeter,
		contents: Pick<ledger.LedgerContents, 'roster' | 'workersStoredSince'>,
	) {
		const { clock } = opts;
		this.reportLog = reportLog.ReportLog.create(opts.events, opts.epoch);
		this.estimates = interference.Interference.create(clock);
		this.pressure = pressure.PressureControl.create(opts, this.estimates, opts.harmMs);
		this.progress = this.createSaver();
		this.list = freshness.ListFreshness.create(clock, opts.readList);
		this.evacuations = evacuations.ZoneEvacuations.create(clock, opts.evacuationAgeMs);
		this.blame = blame.CrashBlame.create(clock);
		this.probations = this.createProbations();
		this.starter = this.createStarter();
		this.placer = this.createPlacer();
		this.book = this.createBook();
		this.outcomes = this.createOutcomes();
		this.strangers = this.createStrangers();
		this.reportContext = this.createReportContext();
		this.workers = this.createPool(contents.roster);
		this.locations = locations.TaskLocations.create({
			workers: this.workers,
			progress: this.progress,
			workersStoredSince: contents.workersStoredSince,
		});
		this.ticks = clocks.every(clock, settings.tickMs, () => {
			this.tick();
		});
	}

	/** Starts dispatching under a new epoch: requests a report from every worker of the roster. */
	static create(
		opts: options.DispatcherOptions,
		contents: ledger.LedgerContents,
		knowledge?: learnt.Knowledge,
	): Dispatcher {
		const meter = meters.LoadMeter.create();
		const repeated = callRepeater.repeatCalls(opts.calls, opts.clock, () => {
			meter.count('repeats');
		});
		const calls = countedCalls.countCalls(repeated, meter);
		const dispatcher = new Dispatcher({ ...opts, calls }, meter, contents);
		if (knowledge !== undefined) dispatcher.adoptKnowledge(knowledge);
		for (const unreadable of contents.unreadable) dispatcher.leaveOut(unreadable);
		for (const stored of contents.jobs.values()) dispatcher.addStored(stored);
		return dispatcher;
	}

	/** Adds an accepted job. A job that is already known changes nothing. */
	addJob(record: jobs.JobRecord): void {
		if (this.book.get(record.id) !== undefined) return;
		// An earlier owner may have been given the job and may have started it, unless the job was accepted under this
		// epoch.
		const inherited = record.acceptedUnder !== this.opts.epoch;
		const workersStored = this.locations.areStored(record);
		this.book.add(record, undefined, { cancelled: false, inherited, workersStored });
	}

	/**
	 * Skips a stored job that can't be worked on. The failure stays confined to this job: if the owner stopped for it, each
	 * successor would stop for it in turn.
	 */
	leaveOut({ id, reason }: ledger.UnreadableJob): void {
		this.opts.events.emit('job.unreadable', { job: id, reason });
		this.strangers.leaveOut(id);
	}

	/** Applies a stored cancellation. */
	cancelJob(id: string): void {
		const job = this.book.get(id);
		if (job === undefined || job.ended) return;
		job.cancelled = true;
		this.outcomes.endJob(job, 'cancelled');
	}

	/** Current state of a job; undefined: the job is not known here. */
	stateOf(id: string): jobs.JobState | undefined {
		return this.book.stateOf(id);
	}

	/** Current state of a job, and why it failed; undefined: the job is not known here. */
	viewOf(id: string): jobs.JobView | undefined {
		return this.book.viewOf(id);
	}

	/** Number of a queue's jobs of which no task has begun. */
	pendingOf(queue: string): number {
		return this.book.pendingOf(queue);
	}

	/** Applies the platform's list of workers, in part or whole. */
	setWorkers(entries: Iterable<fleet.WorkerEntry>, removed: Iterable<string>, whole: boolean): void {
		this.workers.setWorkers(entries, removed, whole);
		this.placer.wake();
	}

	/** Notes that the list of workers last applied was still current at clock time `heldAt`. */
	noteListRead(heldAt: number): void {
		this.list.note(heldAt);
	}

	/** Notes that exactly these zones were evacuated at clock time `heldAt`. */
	noteEvacuations(zones: ReadonlySet<string>, heldAt: number): void {
		const { added, removed } = this.evacuations.note(zones, heldAt);
		for (const zone of added) this.opts.events.emit('zone.evacuated', { zone, ...this.workers.inZone(zone) });
		for (const zone of removed)
			this.opts.events.emit('zone.reopened', { zone, ...this.workers.inZone(zone) });
		this.placer.wake();
	}

	/** Closes all sessions of a worker name to new work and moves away what may be moved. An unknown worker is empty. */
	vacate(name: string): vacating.VacateState {
		const known = this.workers.named(name);
		for (const session of known) session.vacated = true;
		return vacating.vacateAll(known, {
			sessionOf: (task) => this.placer.sessionOf(task),
			stop: (from, place) => void this.starter.stop(from, place),
		});
	}

	/** Opens all sessions of a worker name to new work again. */
	reopen(name: string): void {
		for (const session of this.workers.named(name)) session.vacated = false;
	}

	/**
	 * Maximum remaining lease of each unresponsive worker, and of each that has not answered this owner yet, in
	 * milliseconds, for the next owner. These workers get no lease until the stored roster changes.
	 */
	silentLeases(): Record<string, number> {
		return this.workers.withholdSilent();
	}

	/** Work done since the previous call, and tasks and starts that are waiting. */
	load(): options.DispatchLoad {
		const { limit, count } = this.starter.onTheirWay;
		const { waiting, waitingShort } = this.placer;
		const ends = this.workers.listedEnds();
		return { ...this.meter.read(), ...ends, waiting, waitingShort, onTheirWay: count, startLimit: limit };
	}

	/** Number of outstanding tasks by the priority of their queues. */
	owed(): ReadonlyMap<number, number> {
		return this.book.owed((job) => this.policyOf(job).priority);
	}

	/** The learned interference and load models, for the next owner. */
	knowledge(): learnt.Knowledge {
		return this.estimates.knowledge();
	}

	/** Sends no more commands. Runs continue under their leases until another owner takes over. */
	close(): void {
		this.ticks.cancel();
		this.placer.close();
		this.progress.close();
		this.workers.close();
	}

	/**
	 * Which of the platform's lists is out of date, so that nothing may be started on its basis; undefined: all are current.
	 */
	private get unread(): types.UnreadList | undefined {
		if (!this.evacuations.isKnown) return 'evacuations-unread';
		return this.list.isFresh ? undefined : 'list-unread';
	}

	private adoptKnowledge(knowledge: learnt.Knowledge): void {
		const adopted = this.estimates.adopt(knowledge);
		this.opts.events.emit('learnt.adopted', {
			epoch: this.opts.epoch,
			images: adopted ? Object.keys(knowledge.images).length : 0,
			loads: adopted ? Object.keys(knowledge.loads).length : 0,
		});
	}

	private createStarter(): starter.Starter {
		return starter.Starter.create(this.opts, this.meter, {
			beforeStart: (session, place) => this.beforeStart(session, place),
			unread: () => this.unread,
			onRoom: () => {
				this.placer.wake();
			},
			onWithdrawn: (session, place, reason) => {
				this.outcomes.withdrawn(session, place, reason);
			},
			onStarted: (place) => {
				this.outcomes.begun(place.task.step.job);
			},
			onNotStarted: (session, place, err) => {
				this.outcomes.notStarted(session, place, err);
			},
		});
	}

	private createPlacer(): placer.Placer {
		return placer.Placer.create({
			...this.opts,
			askAdviser: this.opts.askAdviser,
			restoreMs: this.opts.restoreMs ?? 0,
			workers: () => this.workers.all(),
			mayBeHidden: (task) => this.locations.mayBeHidden(task),
			policyOf: (job) => this.policyOf(job),
			estimates: this.estimates,
			probations: this.probations,
			mayAct: () => this.opts.mayAct() && this.unread === undefined,
			mayStartAgain: (task) => this.outcomes.mayStartAgain(task),
			meter: this.meter,
			startRoom: () => this.starter.room,
			start: (session, place, ticket) => void this.starter.start(session, place, ticket),
			stopFor: (reason, session, place) => {
				this.starter.stopFor(reason, session, place);
			},
		});
	}

	private createBook(): jobBook.JobBook {
		const { clock, events, keepStateMs, clearJobs } = this.opts;
		return jobBook.JobBook.create({
			clock,
			events,
			keepStateMs,
			clearJobs,
			onReady: (task) => {
				this.placer.add(task);
			},
		});
	}

	private createOutcomes(): outcomes.Outcomes {
		return outcomes.Outcomes.create({
			...this.opts,
			book: this.book,
			placer: this.placer,
			progress: this.progress,
			blame: this.blame,
			probations: this.probations,
			starter: this.starter,
			policyOf: (job) => this.policyOf(job),
			estimates: this.estimates,
			mayHaveCrashed: (task) => this.locations.mayHaveCrashed(task),
			fateOn: (worker) => this.locations.fateOn(worker),
		});
	}

	private createProbations(): probation.Probations {
		return probation.Probations.create({
			...this.opts,
			workers: () => this.workers.all(),
			onChanged: (job) => {
				this.progress.mark(job);
			},
		});
	}

	/**
	 * What a start has to wait for: its placement has to be stored, and for a run on probation, the worker must have had no
	 * recent start. Undefined: nothing.
	 */
	private beforeStart(session: sessions.WorkerSession, place: types.Placement): Promise<void> | undefined {
		const stored = this.locations.store(place);
		if (session.probation !== place) return stored;
		return Promise.all([stored, this.probations.quietAt(session)]).then(() => undefined);
	}

	private createStrangers(): strangers.Strangers {
		return strangers.Strangers.create({
			readJob: this.opts.readJob,
			isKnown: (id) => this.book.get(id) !== undefined,
			onFound: (stored) => {
				if (this.book.get(stored.record.id) === undefined) this.addStored(stored);
			},
		});
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
			onRefused: (job) => {
				events.emit('progress.refused', { job: job.id, epoch });
			},
			onFailure: (outcome) => {
				events.emit('progress.unsaved', { epoch, reason: outcome });
			},
		});
	}

	private createPool(roster: ledger.RosterEntry[]): workerPool.WorkerPool {
		const handlers: types.ReportHandlers = {
			onReport: (from, asked) => this.onReport(from, asked),
			onUnanswered: (from, err) => {
				this.blame.noteSilence(from);
				this.reportLog.unanswered(from, err);
			},
			onLost: (from, loss) => {
				this.onLost(from, loss);
			},
		};
		const onOpened = (): void => {
			this.placer.wake();
		};
		const { epoch, onFenced } = this.opts;
		const tokens = fencing.FencingTokens.create(epoch, onFenced);
		const isEvacuated = (zone: string): boolean => this.evacuations.has(zone);
		const first = firstQuestions.FirstQuestions.create(this.opts.clock);
		return workerPool.WorkerPool.create(
			{ ...this.opts, tokens, isEvacuated, firstQuestions: first, handlers, onOpened },
			roster,
		);
	}

	private createReportContext(): ends.ReportContext {
		const { clock, calls } = this.opts;
		return {
			now: () => clock.now(),
			findTask: (name) => this.book.findTask(name),
			findRunning: (name) => this.book.findRunning(name),
			sessionOf: (task) => this.placer.sessionOf(task),
			adopt: (session, task, run) => this.adopt(session, task, run),
			log: this.reportLog,
			stopStray: (session, task, run) => {
				this.reportLog.stray(session, task, run);
				void calls.stop(session.target, task, run, session.stamp().token);
			},
			stop: (session, place) => void this.starter.stop(session, place),
			finished: (task) => {
				this.meter.count('finished');
				this.outcomes.finished(task);
			},
			failed: (session, task, run) => {
				this.outcomes.failed(session, task, run);
			},
			survived: (task, run) => {
				this.outcomes.survived(task, run);
			},
			abandoned: () => {
				this.meter.count('abandoned');
			},
			again: (task) => {
				this.placer.add(task);
			},
		};
	}

	private addStored(stored: ledger.StoredJob): void {
		const { record, progress, cancelled } = stored;
		const workersStored = this.locations.areStored(record);
		const job = this.book.add(record, progress, { cancelled, inherited: true, workersStored });
		if (cancelled && !job.ended) this.outcomes.endJob(job, 'cancelled');
	}

	private onReport(session: sessions.WorkerSession, asked: types.AskedReport): types.ReportOutcome {
		const startedAt = this.opts.clock.now();
		const outcome = this.takeReport(session, asked);
		this.meter.report(this.opts.clock.now() - startedAt);
		return outcome;
	}

	private takeReport(session: sessions.WorkerSession, asked: types.AskedReport): types.ReportOutcome {
		const { report, sentAt, others } = asked;
		if (!this.strangers.clear(report)) {
			ends.takeKnownRuns(this.reportContext, session, report);
			this.pressure.look(session);
			return { type: 'put-off' };
		}
		for (const other of others) other.yieldTo(report);
		const upTo = Math.max(session.seenUpTo, ...report.ended.map((end) => end.seq));
		const { changed, unstored } = ends.takeReport(this.reportContext, session, report, sentAt);
		if (!session.settled) this.reportLog.inherited(session, report);
		for (const job of changed) this.progress.mark(job);
		this.pressure.look(session);
		this.probations.look(session);
		// Until its last exit is listed, runs there may have exited without this owner knowing.
		if (!report.hasMoreEnds) this.workers.heard(session);
		this.placer.wake();
		return { type: 'taken', stored: this.noteStored(session, unstored, upTo) };
	}

	/** Allows the worker's exits up to `upTo` to be acknowledged once they are stored. */
	private async noteStored(
		session: sessions.WorkerSession,
		unstored: Set<jobs.ActiveJob>,
		upTo: number,
	): Promise<void> {
		await this.progress.stored(unstored);
		session.noteStored(upTo);
	}

	private onLost(session: sessions.WorkerSession, loss: types.Loss): void {
		const { lost, moved } = loss;
		this.reportLog.lost(session, loss);
		this.locations.noteLost(session);
		this.outcomes.lost(session, lost);
		this.workers.heard(session);
		// The stored worker of a migrated long-running task has changed.
		for (const { task } of moved) if (task.step.spec.lasting) this.progress.mark(task.step.job, true);
		// Until these jobs are stored, the roster keeps naming the worker: otherwise a successor would not know that the
		// worker may have crashed under a task.
		const unseen = session.lostUnheard ? this.outcomes.lostUnheard(session) : [];
		const changed = new Set([...unseen, ...[...lost, ...moved].map((place) => place.task.step.job)]);
		void this.progress.stored(changed).then(() => {
			this.workers.forget(session);
		});
		this.placer.wake();
	}

	private adopt(session: sessions.WorkerSession, task: jobs.Task, run: number): types.Placement {
		this.outcomes.begun(task.step.job);
		return this.placer.adopt(session, task, run);
	}

	private policyOf(job: jobs.ActiveJob): jobs.QueuePolicy {
		return this.opts.table()?.policyOf(job.record) ?? job.record.queue;
	}

	private tick(): void {
		this.list.refresh();
		this.workers.tick();
		for (const session of this.workers.all()) {
			watch.watchRuns(session, this.starter, this.opts.clock.now());
			this.placer.moveSlowed(session);
		}
		for (const zone of this.evacuations.takeEmptied((one) => this.workers.isEmpty(one)))
			this.opts.events.emit('zone.emptied', { zone });
		this.book.tick();
		this.placer.logStalled();
		this.placer.wake();
	}
}
