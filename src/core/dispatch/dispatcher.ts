/** The owner's dispatcher: takes in jobs, workers and reports, and starts the runs that each task needs. */
import * as clocks from '../clock.js';
import * as crashAttribution from './crash-attribution.js';
import * as countedCalls from './counted-calls.js';
import * as reportHandling from './report-handling.js';
import * as evacuations from './zone-evacuations.js';
import * as expiring from '../expiring-set.js';
import * as fencing from './fencing-tokens.js';
import * as forecasting from './forecaster.js';
import * as createLimit from './create-limit.js';
import * as interference from './interference.js';
import * as jobRegistry from './job-registry.js';
import * as meters from './load-meter.js';
import * as freshness from './list-freshness.js';
import * as locations from './task-locations.js';
import * as options from './options.js';
import * as outcomes from './outcomes.js';
import * as placer from './placer.js';
import * as pressure from './interference-control.js';
import * as probation from './probation.js';
import * as reportLog from './report-log.js';
import * as saver from './progress-saver.js';
import * as runGaps from './run-gaps.js';
import * as schedulingState from './scheduling-state.js';
import * as settings from './settings.js';
import * as starter from './starter.js';
import * as takeovers from './takeover-policy.js';
import * as unknownJobs from './unknown-jobs.js';
import * as vacating from './vacating.js';
import * as watch from './run-watch.js';
import * as withoutRunLog from './without-run-log.js';
import * as workerPool from './worker-pool.js';
import type * as fleet from '../fleet/types.js';
import type * as jobs from '../jobs/index.js';
import type * as learnedModels from './learned-models.js';
import type * as ledger from '../ledger/index.js';
import type * as limitTypes from './limit-types.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * How long a cancellation of a job that is not known yet is kept, in milliseconds, and how many of them. The job is read
 * from the store as soon as that answers, its cancellation included.
 */
const keepEarlyCancellationMs = 60_000;
const maxEarlyCancellations = 1_000;

/** Dispatches all jobs under one epoch. */
export class Dispatcher {
	/** The forecast of accepted work; computed when `update` is called. */
	readonly forecaster: forecasting.Forecaster;
	private readonly registry: jobRegistry.JobRegistry;
	private readonly unknownJobs: unknownJobs.UnknownJobs;
	private readonly workers: workerPool.WorkerPool;
	private readonly locations: locations.TaskLocations;
	private readonly placer: placer.Placer;
	private readonly progress: saver.ProgressSaver;
	private readonly starter: starter.Starter;
	private readonly interferenceModel: interference.InterferenceModel;
	/** The limit on preemptible work. */
	readonly limit: limitTypes.PreemptibleLimit;
	private readonly state: schedulingState.SchedulingState;
	private readonly pressure: pressure.InterferenceControl;
	private readonly outcomes: outcomes.Outcomes;
	private readonly crashAttribution: crashAttribution.CrashAttribution;
	private readonly probations: probation.Probations;
	private readonly tickTimer: clocks.Timer;
	private readonly reportContext: reportHandling.ReportContext;
	private readonly reportLog: reportLog.ReportLog;
	private readonly runGaps: runGaps.RunGaps;
	private readonly withoutRunLog: withoutRunLog.WithoutRunLog;
	private readonly listFreshness: freshness.ListFreshness;
	private readonly evacuations: evacuations.ZoneEvacuations;
	/** Jobs whose cancellation was notified before the job. */
	private readonly earlyCancellations: expiring.ExpiringSet;
	private isClosed = false;

	private constructor(
		private readonly opts: options.DispatcherOptions & { takeover: takeovers.TakeoverPolicy },
		private readonly meter: meters.LoadMeter,
		contents: Pick<ledger.LedgerContents, 'roster' | 'workersStoredSince'>,
	) {
		const { clock } = opts;
		this.reportLog = reportLog.ReportLog.create(opts.events, opts.epoch);
		this.interferenceModel = interference.InterferenceModel.create(clock);
		this.forecaster = this.createForecaster();
		const { runTimes } = this.forecaster;
		this.limit = createLimit.createLimit(opts, this.interferenceModel, runTimes);
		const { interferenceModel, limit } = this;
		this.state = schedulingState.choose({ limits: limit, ...opts, interferenceModel, runTimes });
		this.pressure = pressure.InterferenceControl.create(opts, this.interferenceModel, this.limit);
		this.progress = saver.createForOwner(opts);
		this.runGaps = this.createRunGaps();
		this.listFreshness = freshness.ListFreshness.create(clock, opts.readList);
		this.evacuations = evacuations.ZoneEvacuations.create(clock, opts.maxEvacuationAgeMs);
		this.earlyCancellations = expiring.ExpiringSet.create(clock, {
			keepMs: keepEarlyCancellationMs,
			maxSize: maxEarlyCancellations,
		});
		this.crashAttribution = crashAttribution.CrashAttribution.create(clock);
		this.probations = this.createProbations();
		this.starter = this.createStarter();
		this.placer = this.createPlacer();
		this.registry = this.createRegistry();
		this.outcomes = this.createOutcomes();
		this.unknownJobs = this.createUnknownJobs();
		this.reportContext = this.createReportContext();
		this.workers = this.createPool(contents.roster);
		this.locations = locations.TaskLocations.create({
			workers: this.workers,
			progress: this.progress,
			workersStoredSince: contents.workersStoredSince,
		});
		this.withoutRunLog = this.createWithoutRunLog();
		this.tickTimer = clocks.every(clock, settings.tickMs, () => {
			this.tick();
		});
	}

	/** Starts dispatching under a new epoch: requests a report from every worker of the roster. */
	static create(
		opts: options.DispatcherOptions,
		contents: ledger.LedgerContents,
		models?: learnedModels.LearnedModels,
	): Dispatcher {
		const meter = meters.LoadMeter.create();
		const calls = countedCalls.repeatAndCount(opts, meter, () => dispatcher.isClosed);
		const takeover = takeovers.choose(opts, contents);
		const dispatcher: Dispatcher = new Dispatcher({ ...opts, calls, takeover }, meter, contents);
		dispatcher.state.adopt(models);
		for (const unreadable of contents.unreadable) dispatcher.skipUnreadable(unreadable);
		for (const stored of contents.jobs.values()) dispatcher.addStored(stored);
		return dispatcher;
	}

	/** Adds an accepted job. A job that is already known changes nothing. */
	addJob(record: jobs.JobRecord): void {
		if (this.registry.get(record.id) !== undefined) return;
		// An earlier owner may have been given the job and may have started it, unless the job was accepted under this
		// epoch.
		const inherited = record.acceptedUnder !== this.opts.epoch;
		const workersStored = this.locations.areWorkersStored(record);
		const cancelled = this.earlyCancellations.has(record.id);
		const job = this.registry.add(record, undefined, { cancelled, inherited, workersStored });
		if (cancelled) this.outcomes.endJob(job, 'cancelled');
		else if (!inherited) this.forecaster.noteAccepted(job);
	}

	/**
	 * Skips a stored job that can't be worked on. The failure stays confined to this job: if the owner stopped for it, each
	 * successor would stop for it in turn.
	 */
	skipUnreadable({ id, reason }: ledger.UnreadableJob): void {
		this.opts.events.emit('job.unreadable', { job: id, reason });
		this.unknownJobs.exclude(id);
	}

	/** Applies a stored cancellation. */
	cancelJob(id: string): void {
		const job = this.registry.get(id);
		// Notifications of other boxes may pass each other, and the store may not answer for long after that.
		if (job === undefined) this.earlyCancellations.add(id);
		if (job === undefined || job.ended) return;
		job.cancelled = true;
		this.outcomes.endJob(job, 'cancelled');
	}

	/** Current state of a job; undefined: the job is not known here. */
	stateOf(id: string): jobs.JobState | undefined {
		return this.registry.stateOf(id);
	}

	/** Current state of a job, and why it failed; undefined: the job is not known here. */
	viewOf(id: string): jobs.JobView | undefined {
		return this.registry.viewOf(id);
	}

	/** Number of a queue's jobs of which no task has begun. */
	pendingOf(queue: string): number {
		return this.registry.pendingOf(queue);
	}

	/** Applies the platform's list of workers, in part or whole. */
	setWorkers(entries: Iterable<fleet.WorkerEntry>, removed: Iterable<string>, whole: boolean): void {
		this.workers.setWorkers(entries, removed, whole);
		this.placer.requestRound();
	}

	/** Notes that the list of workers last applied was still current at clock time `heldAt`. */
	noteListRead(heldAt: number): void {
		this.listFreshness.noteConfirmed(heldAt);
	}

	/** Notes that exactly these zones were evacuated at clock time `heldAt`. */
	noteEvacuations(zones: ReadonlySet<string>, heldAt: number): void {
		const { added, removed } = this.evacuations.note(zones, heldAt);
		for (const zone of added) this.opts.events.emit('zone.evacuated', { zone, ...this.workers.inZone(zone) });
		for (const zone of removed)
			this.opts.events.emit('zone.reopened', { zone, ...this.workers.inZone(zone) });
		this.placer.requestRound();
	}

	/** Closes all sessions of a worker name to new work and moves away what may be moved. An unknown worker is empty. */
	vacate(name: string): vacating.VacateState {
		const workerSessions = this.workers.named(name);
		for (const session of workerSessions) session.isBeingVacated = true;
		return vacating.vacateAll(workerSessions, {
			sessionOf: (task) => this.placer.sessionOf(task),
			stop: (from, placement) => void this.starter.stop(from, placement),
		});
	}

	/** Opens all sessions of a worker name to new work again. */
	reopen(name: string): void {
		for (const session of this.workers.named(name)) session.isBeingVacated = false;
	}

	/**
	 * Maximum remaining lease of each unresponsive worker, and of each that has not answered this owner yet, in
	 * milliseconds, for the next owner. These workers get no lease until the stored roster changes.
	 */
	unresponsiveLeases(): Record<string, number> {
		return this.workers.withholdUnresponsiveLeases();
	}

	/** Work done since the previous call, and tasks and starts that are waiting. */
	load(): options.DispatchLoad {
		const { limit, count } = this.starter.startsInFlight;
		return {
			...this.meter.read(),
			...this.workers.exitLoad(),
			...this.placer.waiting,
			...this.limit.read(this.workers.all()),
			onTheirWay: count,
			startLimit: limit,
		};
	}

	/** Number of outstanding tasks by the priority of their queues. */
	outstandingTasks(): ReadonlyMap<number, number> {
		return this.registry.outstandingTasks((job) => this.policyOf(job).priority);
	}

	/** The learned interference and load models, run time factors and limits, for the next owner. */
	exportLearnedModels(): learnedModels.LearnedModels {
		return this.state.export();
	}

	/** Sends no more commands. Runs continue under their leases until another owner takes over. */
	close(): void {
		this.isClosed = true;
		this.tickTimer.cancel();
		this.placer.close();
		this.progress.close();
		this.workers.close();
	}

	/**
	 * Which of the platform's lists is out of date, so that nothing may be started on its basis; undefined: all are current.
	 */
	private get unread(): types.UnreadList | undefined {
		if (!this.evacuations.isKnown) return 'evacuations-unread';
		return this.listFreshness.isFresh ? undefined : 'list-unread';
	}

	private createForecaster(): forecasting.Forecaster {
		return forecasting.Forecaster.create({
			...this.opts,
			jobs: () => this.registry.unfinished(),
			workers: () => this.workers.all(),
			policyOf: (job) => this.policyOf(job),
			waiting: () => this.placer,
			estimates: this.interferenceModel,
			hasShares: this.opts.features?.waitingOrder === 'overload',
			maxPreemptibleUse: options.maxPreemptibleUse(this.opts.features),
		});
	}

	private createStarter(): starter.Starter {
		return starter.Starter.create(this.opts, this.meter, {
			beforeStart: (session, placement) => this.beforeStart(session, placement),
			unreadList: () => this.unread,
			onStartSlotFree: () => {
				this.placer.requestRound();
			},
			onWithdrawn: (session, placement, reason) => {
				this.outcomes.withdrawn(session, placement, reason);
			},
			onStarted: (placement) => {
				this.crashAttribution.noteStartAnswered(placement);
				this.runGaps.noteStarted(placement);
				this.outcomes.started(placement.task.step.job);
			},
			onNotStarted: (session, placement, err) => {
				this.outcomes.notStarted(session, placement, err);
			},
			onGivenUp: ({ task }) => {
				this.outcomes.startGivenUp(task);
			},
		});
	}

	private createPlacer(): placer.Placer {
		return placer.Placer.create({
			...this.opts,
			askAdviser: this.opts.askAdviser,
			restoreMs: this.opts.restoreMs ?? 0,
			workers: () => this.workers.all(),
			mayHaveUnreportedRun: (task) => this.locations.mayHaveUnreportedRun(task),
			policyOf: (job) => this.policyOf(job),
			estimates: this.interferenceModel,
			limit: this.limit,
			runTimes: this.forecaster.runTimes,
			retryPauses: options.createRetryPauses(this.opts.features),
			probations: this.probations,
			mayAct: () => this.opts.mayAct() && this.unread === undefined,
			mayStartAgain: (task) => this.outcomes.mayStartAgain(task),
			meter: this.meter,
			freeStartSlots: () => this.starter.room,
			start: (session, placement, ticket) => void this.starter.start(session, placement, ticket),
			stopFor: (reason, session, placement) => {
				this.starter.stopFor(reason, session, placement);
			},
		});
	}

	private createRegistry(): jobRegistry.JobRegistry {
		return jobRegistry.JobRegistry.create({
			...this.opts,
			onReady: (task) => {
				this.runGaps.noteReady(task);
				this.placer.add(task);
			},
		});
	}

	private createRunGaps(): runGaps.RunGaps {
		const { maxWithoutRunMs } = settings;
		const mayHaveUnreportedRun = (task: jobs.Task): boolean => this.locations.mayHaveUnreportedRun(task);
		return runGaps.RunGaps.create({ ...this.opts, maxWithoutRunMs, mayHaveUnreportedRun });
	}

	private createWithoutRunLog(): withoutRunLog.WithoutRunLog {
		return withoutRunLog.WithoutRunLog.create({
			...this.opts,
			gaps: this.runGaps,
			maxWithoutRunMs: settings.maxWithoutRunMs,
			sessionOf: (task) => this.placer.sessionOf(task),
			worker: (id) => this.workers.get(id),
			explain: (task) => this.placer.explain(task),
		});
	}

	private createOutcomes(): outcomes.Outcomes {
		return outcomes.Outcomes.create({
			...this.opts,
			registry: this.registry,
			placer: this.placer,
			progress: this.progress,
			crashAttribution: this.crashAttribution,
			probations: this.probations,
			starter: this.starter,
			policyOf: (job) => this.policyOf(job),
			interferenceModel: this.interferenceModel,
			mayHaveCrashedUnreported: (task) => this.locations.mayHaveCrashed(task),
			tryOutcomeOn: (worker) => this.locations.outcomeOn(worker),
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
	private beforeStart(
		session: sessions.WorkerSession,
		placement: types.Placement,
	): Promise<void> | undefined {
		const stored = this.locations.storeBeforeStart(placement);
		if (session.runOnProbation !== placement) return stored;
		return Promise.all([stored, this.probations.waitForQuiet(session)]).then(() => undefined);
	}

	private createUnknownJobs(): unknownJobs.UnknownJobs {
		return unknownJobs.UnknownJobs.create({
			readJob: this.opts.readJob,
			isKnown: (id) => this.registry.get(id) !== undefined,
			onFound: (stored) => {
				if (this.registry.get(stored.record.id) === undefined) this.addStored(stored);
			},
		});
	}

	private createPool(roster: ledger.RosterEntry[]): workerPool.WorkerPool {
		const handlers: types.ReportHandlers = {
			onReport: (from, asked) => this.onReport(from, asked),
			onUnanswered: (from, err) => {
				const evidence = this.crashAttribution.noteContactLost(from);
				this.reportLog.unanswered(from, err, evidence);
				this.outcomes.contactLost(from);
				this.withoutRunLog.noteUnanswered(from);
			},
			onLost: (from, loss) => {
				this.onLost(from, loss);
			},
		};
		const { epoch, onFenced } = this.opts;
		const onWorkersAvailable = (): void => {
			this.placer.requestRound();
		};
		const { takeover } = this.opts;
		const tokens = fencing.FencingTokens.create(epoch, onFenced);
		const isEvacuated = (zone: string): boolean => this.evacuations.has(zone);
		return workerPool.WorkerPool.create(
			{
				...this.opts,
				tokens,
				isEvacuated,
				firstReportTurns: takeover.turns,
				handlers,
				onWorkersAvailable,
				longRunningAwaited: () => this.runGaps.awaitingProof,
			},
			roster,
		);
	}

	private createReportContext(): reportHandling.ReportContext {
		return {
			now: () => this.opts.clock.now(),
			findTask: (name) => this.registry.findTask(name),
			findTaskOfRun: (name) => this.registry.findTaskOfRun(name),
			sessionOf: (task) => this.placer.sessionOf(task),
			adopt: (session, task, run) => this.adopt(session, task, run),
			log: this.reportLog,
			stopOrphan: (session, task, run) => {
				this.reportLog.orphanedRun(session, task, run);
				const call = session.newCall();
				void this.opts.calls.stop(call.target, task, run, call.token);
			},
			stop: (session, placement) => void this.starter.stop(session, placement),
			finished: (task) => {
				this.meter.count('finished');
				this.outcomes.finished(task);
			},
			failed: (session, task, run) => {
				this.outcomes.failed(session, task, run);
			},
			ran: (session, placement) => {
				this.forecaster.noteFinished(session, placement);
			},
			exitedWithoutCrash: (task, run) => {
				this.outcomes.exitedWithoutCrash(task, run);
			},
			abandoned: () => {
				this.meter.count('abandoned');
			},
			confirmed: (placement) => {
				this.runGaps.noteStarted(placement);
			},
			requeue: (task, session) => {
				this.runGaps.noteExited(session, task);
				this.placer.add(task);
			},
		};
	}

	private addStored(stored: ledger.StoredJob): void {
		const { record, progress, cancelled } = stored;
		const workersStored = this.locations.areWorkersStored(record);
		const job = this.registry.add(record, progress, { cancelled, inherited: true, workersStored });
		if (cancelled && !job.ended) this.outcomes.endJob(job, 'cancelled');
	}

	private onReport(session: sessions.WorkerSession, received: types.ReceivedReport): types.ReportOutcome {
		const startedAt = this.opts.clock.now();
		const outcome = this.handleReport(session, received);
		this.meter.noteReport(this.opts.clock.now() - startedAt);
		return outcome;
	}

	private handleReport(session: sessions.WorkerSession, received: types.ReceivedReport): types.ReportOutcome {
		const { report, sentAt, others } = received;
		if (!this.unknownJobs.checkJobsKnown(report)) {
			reportHandling.applyKnownRuns(this.reportContext, session, report);
			this.pressure.controlWorker(session);
			return { type: 'put-off' };
		}
		for (const other of others) other.endForLaterIncarnation(report);
		const upTo = Math.max(session.seenUpTo, ...report.ended.map((end) => end.seq));
		const { changed, unstored } = reportHandling.applyReport(this.reportContext, session, report, sentAt);
		if (!session.isReconciled) this.reportLog.firstReport(session, report);
		for (const job of changed) this.progress.mark(job);
		this.pressure.controlWorker(session);
		this.probations.checkRuns(session);
		// Until its last exit is listed, runs there may have exited without this owner knowing.
		if (!report.hasMoreExits) this.noteReconciled(session);
		this.placer.requestRound();
		return { type: 'taken', stored: this.noteStored(session, unstored, upTo) };
	}

	/** Allows the worker's exits up to `upTo` to be acknowledged once they are stored. */
	private async noteStored(
		session: sessions.WorkerSession,
		unstored: Set<jobs.ActiveJob>,
		upTo: number,
	): Promise<void> {
		await this.progress.whenStored(unstored);
		session.noteStored(upTo);
	}

	private onLost(session: sessions.WorkerSession, loss: types.Loss): void {
		const { lost, carriedOver } = loss;
		this.reportLog.lost(session, loss);
		this.locations.noteLost(session);
		this.runGaps.noteLost(session, lost);
		this.outcomes.lost(session, lost);
		this.noteReconciled(session);
		// The stored worker of a migrated long-running task has changed.
		for (const { task } of carriedOver) if (task.step.spec.lasting) this.progress.mark(task.step.job, true);
		// Until these jobs are stored, the roster keeps naming the worker: otherwise a successor would not know that the
		// worker may have crashed under a task.
		const possiblyStarted = session.lostBeforeFirstReport ? this.outcomes.lostBeforeFirstReport(session) : [];
		const changed = new Set([
			...possiblyStarted,
			...[...lost, ...carriedOver].map((placement) => placement.task.step.job),
		]);
		void this.progress.whenStored(changed).then(() => {
			this.workers.forget(session);
		});
		this.placer.requestRound();
	}

	/** Notes that a worker has reported, or is proved to run nothing. */
	private noteReconciled(session: sessions.WorkerSession): void {
		this.workers.noteReconciled(session);
		this.runGaps.noteReconciled(session.id);
		if (this.workers.isReconciled) this.runGaps.noteReconciled('');
	}

	private adopt(session: sessions.WorkerSession, task: jobs.Task, run: number): types.Placement {
		this.runGaps.noteFound(task);
		this.outcomes.started(task.step.job);
		return this.placer.adopt(session, task, run);
	}

	private policyOf(job: jobs.ActiveJob): jobs.QueuePolicy {
		return this.opts.table()?.policyOf(job.record) ?? job.record.queue;
	}

	private tick(): void {
		this.listFreshness.refresh();
		this.workers.tick();
		for (const session of this.workers.all()) {
			watch.watchRuns(session, this.starter, this.opts.clock.now());
			this.placer.migrateThrottled(session);
		}
		for (const zone of this.evacuations.takeEmptied((one) => this.workers.isEmpty(one)))
			this.opts.events.emit('zone.emptied', { zone });
		this.registry.tick();
		this.placer.logStalled();
		this.withoutRunLog.logIfDue();
		this.placer.requestRound();
	}
}
