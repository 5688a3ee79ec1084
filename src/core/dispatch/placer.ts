/**
 * Places ready tasks on workers: decides their order, the worker of each, and which running tasks are preempted for them.
 */
import * as backlogs from './preemptible-backlog.js';
import * as eligible from './eligible-workers.js';
import * as exemptions from './interference-exemptions.js';
import * as gangs from './gangs.js';
import * as waitingOrder from './waiting-order.js';
import * as waitingOrders from './waiting-orders.js';
import * as placement from './placement.js';
import * as preemption from './preemption.js';
import * as probation from './probation.js';
import * as rounds from './placing-round.js';
import * as timers from './round-timer.js';
import * as reasons from './waiting-reason.js';
import * as migration from './migration.js';
import * as stalled from './stalled-log.js';
import * as waiting from './waiting-log.js';
import * as waitingSteps from './waiting-steps.js';
import type * as features from '../features/index.js';
import type * as forecasts from '../forecast/index.js';
import type * as fleet from '../fleet/types.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as limitTypes from './limit-types.js';
import type * as meters from './load-meter.js';
import type * as retries from './retry-pauses.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Run numbers that each epoch reserves for a task; those of the next epoch are higher. */
const runNumbersPerEpoch = 100_000;

export interface PlacerOptions extends types.DispatchDeps {
	workers: () => sessions.WorkerSession[];
	/** Whether a run of an inherited task may be on a worker that has not reported to this owner yet. */
	mayHaveUnreportedRun: (task: jobs.Task) => boolean;
	policyOf: (job: jobs.ActiveJob) => jobs.QueuePolicy;
	estimates: interference.InterferenceModel;
	limit: limitTypes.PreemptibleLimit;
	retryPauses: retries.RetryPauses;
	/** Run times corrected by finished runs. */
	runTimes: forecasts.RunTimes;
	probations: probation.Probations;
	/** Whether a task may be started again; if not, the task is abandoned. */
	mayStartAgain: (task: jobs.Task) => boolean;
	meter: meters.LoadMeter;
	/** Time that resuming from a checkpoint takes, in milliseconds. */
	restoreMs: number;
	askAdviser: fleet.AskAdviser | undefined;
	/** The optional features that are in force; absent: none. */
	features?: features.Features;
	/** Number of further starts that may be sent. */
	freeStartSlots: () => number;
	start: (session: sessions.WorkerSession, place: types.Placement, ticket: string) => void;
	/** Stops a run and logs the reason. */
	stopFor: (reason: string, session: sessions.WorkerSession, place: types.Placement) => void;
}

/** Holds the waiting tasks and the workers of the placed ones. */
export class Placer {
	private readonly ready = waitingSteps.WaitingSteps.create();
	private readonly sessionByTask = new Map<jobs.Task, sessions.WorkerSession>();
	private readonly eligibleWorkers: eligible.EligibleWorkers;
	private readonly waitingLog: waiting.WaitingLog;
	private readonly stalledLog: stalled.StalledLog;
	private readonly exemptions = exemptions.InterferenceExemptions.create();
	private readonly order: waitingOrder.WaitingOrder;
	private readonly rounds: timers.RoundTimer;
	private readonly backlog: backlogs.PreemptibleBacklog;

	private constructor(private readonly opts: PlacerOptions) {
		this.rounds = timers.RoundTimer.create({
			...opts,
			runFullRound: () => {
				this.placeReady(() => true);
			},
			runQuickRound: () => {
				this.placeReady((step) => !step.spec.fills);
			},
		});
		this.order = this.createOrder();
		this.backlog = backlogs.PreemptibleBacklog.create({
			now: () => opts.clock.now(),
			waiting: () => this.ready.steps().flatMap((step) => this.ready.tasksOf(step)),
			workers: opts.workers,
		});
		this.waitingLog = waiting.WaitingLog.create(opts.clock, opts.events);
		this.stalledLog = stalled.StalledLog.create({
			...opts,
			waiting: () => this.ready.longestWaiting(),
			workersFor: (step) => this.workersOf(opts.policyOf(step.job).pool),
			explain: (task) => this.explain(task),
		});
		this.eligibleWorkers = eligible.EligibleWorkers.create({
			...opts,
			ask: opts.askAdviser,
			onAdvice: () => {
				this.requestRound();
			},
		});
	}

	static create(opts: PlacerOptions): Placer {
		return new Placer(opts);
	}

	/** Enqueues a task that may be started, as if it had waited since the clock time `idleSince` if that is earlier. */
	add(task: jobs.Task, idleSince = Infinity): void {
		if (task.state === 'finished' || task.step.job.ended) return;
		const now = this.opts.clock.now();
		task.readyAt = Math.min(now, idleSince);
		task.waitingSince = now - task.waitedMs;
		this.enqueue(task);
	}

	/** Enqueues a task that was placed but not started. Its wait goes on, and so does what depends on its length. */
	requeue(task: jobs.Task): void {
		if (task.state !== 'finished' && !task.step.job.ended) this.enqueue(task);
	}

	/** Removes a task that is not to be started any more. */
	drop(task: jobs.Task): void {
		this.ready.delete(task);
		const session = this.sessionOf(task);
		if (session === undefined) this.sessionByTask.delete(task);
	}

	/** The waiting tasks. */
	get waiting(): waitingSteps.WaitingLoad {
		return {
			waiting: this.ready.size,
			waitingShort: this.ready.count((step) => !step.spec.lasting),
			waitingPreemptible: this.ready.count((step) => step.spec.fills),
		};
	}

	/** Number of a step's waiting tasks. */
	waitingOf(step: jobs.StepInstance): number {
		return this.ready.countOf(step);
	}

	/**
	 * Whether nothing but free capacity keeps a waiting task from being started: it is not a suspect, and starts may be
	 * sent.
	 */
	lacksOnlyCapacity(task: jobs.Task): boolean {
		if (!this.opts.mayAct() || this.opts.freeStartSlots() === 0) return false;
		if (this.opts.clock.now() < task.retryNotBefore) return false;
		return this.startBlockedReason(task) === undefined && !this.opts.probations.isSuspect(task);
	}

	/** Worker on which a task is placed; undefined: it is not placed. */
	sessionOf(task: jobs.Task): sessions.WorkerSession | undefined {
		const session = this.sessionByTask.get(task);
		return session?.placements.has(task.name) === true ? session : undefined;
	}

	/** Takes over a run that an earlier owner started. */
	adopt(session: sessions.WorkerSession, task: jobs.Task, run: number): types.Placement {
		this.ready.delete(task);
		task.state = 'placed';
		task.run = run;
		task.worker = session.id;
		this.sessionByTask.set(task, session);
		return session.place(task, run, 'running');
	}

	private createOrder(): waitingOrder.WaitingOrder {
		const { features: enabled, runTimes, policyOf } = this.opts;
		return waitingOrders.createWaitingOrder(enabled?.waitingOrder ?? 'due-time', {
			priorityOf: (job) => policyOf(job).priority,
			expectedRunMs: ({ job, spec }) => runTimes.expectedMs(job.record.queue.name, spec),
			waiting: () => this.ready.counts(),
		});
	}

	private enqueue(task: jobs.Task): void {
		task.state = 'ready';
		this.ready.add(task);
		this.requestRound();
	}

	/** Requests a placing round; several requests are merged into one. */
	requestRound(): void {
		if (this.ready.size > 0) this.rounds.scheduleRound();
	}

	/** Stops one strongly throttled run of a worker if another worker takes its task, so that the task migrates there. */
	migrateThrottled(session: sessions.WorkerSession): void {
		const now = this.opts.clock.now();
		const conditions = { now, isBacklogged: () => this.backlog.exists, restoreMs: this.opts.restoreMs };
		let round: rounds.PlacingRound | undefined;
		for (const place of session.placements.values()) {
			if (!migration.shouldMigrate(place, conditions)) continue;
			round ??= rounds.PlacingRound.create(this.opts.workers(), now);
			if (!this.fitsElsewhere(place.task, session, round)) continue;
			this.opts.limit.noteSlowed(session, place);
			this.opts.stopFor('slowed', session, place);
			// One per call: the next choice has to see this one's new placement.
			return;
		}
	}

	/** Logs steps that have waited long, and why; called periodically. */
	logStalled(): void {
		this.stalledLog.logIfDue();
	}

	close(): void {
		this.rounds.close();
	}

	private workersOf(pool: string): sessions.WorkerSession[] {
		return this.opts.workers().filter((one) => one.entry?.pool === pool);
	}

	/** Why a task waits, also if no placing round considers it. */
	explain(task: jobs.Task): waiting.WaitingReason {
		const now = this.opts.clock.now();
		const { step } = task;
		if (!this.opts.mayAct()) return { reason: 'may-not-act' };
		if (this.opts.freeStartSlots() === 0) return { reason: 'starts-under-way' };
		if (now < task.retryNotBefore) return { reason: 'paused-after-crash' };
		const blockedReason = this.startBlockedReason(task);
		if (blockedReason !== undefined) return { reason: blockedReason };
		const round = rounds.PlacingRound.create(this.opts.workers(), now);
		const ctx = this.eligibleWorkers.contextFor(step, round);
		const isSuspectTask = this.opts.probations.isSuspect(task);
		if (isSuspectTask && !this.opts.probations.mayStartOnProbation(task, ctx.workers.length))
			return { reason: 'other-suspects' };
		if (this.eligibleWorkers.lacksTicket(step, round)) return { reason: 'no-ticket' };
		return reasons.unplacedReason(task, ctx);
	}

	/** Whether a worker other than `from` takes a task now. */
	private fitsElsewhere(task: jobs.Task, from: sessions.WorkerSession, round: rounds.PlacingRound): boolean {
		const ctx = this.eligibleWorkers.contextRequestingAdvice(task.step, round);
		const elsewhere = { ...ctx, workers: ctx.workers.filter((one) => one !== from) };
		return typeof placement.choose(task, elsewhere) !== 'string';
	}

	/**
	 * Places ready tasks of the included steps in the order of `WaitingOrder`. For those that find no worker, it exceeds
	 * the interference limits or preempts other tasks.
	 */
	private placeReady(isIncluded: (step: jobs.StepInstance) => boolean): void {
		if (!this.opts.mayAct() || this.opts.freeStartSlots() === 0) return;
		const now = this.opts.clock.now();
		const steps = this.startableSteps(isIncluded, now);
		if (steps.length === 0) return;
		const round = rounds.PlacingRound.create(this.opts.workers(), now);
		this.opts.retryPauses.beginRound(now);
		this.placeSuspects(steps, round);
		for (const { step, tasks } of this.order.sort(steps, now)) {
			// Leaves the rest to a later round, which orders the steps anew once starts may be sent.
			if (this.opts.freeStartSlots() === 0) {
				this.opts.retryPauses.interrupt();
				return;
			}
			// The job ended when one of its tasks was abandoned during the checks above.
			if (step.job.ended || this.opts.retryPauses.isSkipped(step)) continue;
			const waitingBefore = this.ready.countOf(step);
			const firstUnplaced = this.placeStep(step, tasks, round);
			if (this.ready.countOf(step) < waitingBefore) this.opts.retryPauses.notePlaced(step);
			if (firstUnplaced !== undefined) this.noteUnplaced(firstUnplaced, round);
		}
		const unplaced = steps.flatMap(({ tasks }) => tasks.filter((task) => this.mayPreemptFor(task)));
		this.placeStarved(unplaced, round);
		this.preempt(unplaced);
	}

	/**
	 * Whether tasks may be preempted, or interference limits exceeded, for a waiting task: not for one that may crash its
	 * worker.
	 */
	private mayPreemptFor(task: jobs.Task): boolean {
		const isWaiting = task.state === 'ready' && !task.step.job.ended;
		return isWaiting && !this.opts.probations.isSuspect(task);
	}

	/** The steps that are due, with those of their tasks that may be started. */
	private startableSteps(
		isIncluded: (step: jobs.StepInstance) => boolean,
		now: number,
	): waitingOrder.WaitingStep[] {
		const due = this.ready
			.steps()
			.filter((step) => isIncluded(step) && this.opts.retryPauses.isDue(step, now));
		const all = due.map((step) => {
			const tasks = this.ready.tasksOf(step).filter((task) => this.mayStart(task, now));
			return { step, tasks };
		});
		return all.filter(({ tasks }) => tasks.length > 0);
	}

	/**
	 * Places a step's tasks while there are placements and free start slots; returns the first task that found no placement.
	 */
	private placeStep(
		step: jobs.StepInstance,
		tasks: jobs.Task[],
		round: rounds.PlacingRound,
	): jobs.Task | undefined {
		if (step.spec.gang) return this.placeGang(step, round) ? undefined : tasks[0];
		const ctx = this.eligibleWorkers.contextRequestingAdvice(step, round);
		for (const task of tasks) {
			if (this.opts.freeStartSlots() === 0) return undefined;
			if (this.opts.probations.isSuspect(task)) continue;
			if (!this.placeBest(task, ctx, round)) return task;
		}
		return undefined;
	}

	/**
	 * Places suspects on probation in their own order: in that of the steps, those of earlier jobs, which are late, would wait
	 * for as long as later jobs bring new ones.
	 */
	private placeSuspects(steps: waitingOrder.WaitingStep[], round: rounds.PlacingRound): void {
		const suspects = steps.flatMap(({ tasks }) =>
			tasks.filter((task) => this.opts.probations.isSuspect(task) && !task.step.job.ended),
		);
		const stepsWithoutTurn = new Set<jobs.StepInstance>();
		for (const task of probation.sortByTurn(suspects, round.now)) {
			const { step } = task;
			if (this.opts.freeStartSlots() === 0) return;
			if (stepsWithoutTurn.has(step) || this.opts.retryPauses.isSkipped(step)) continue;
			const ctx = this.eligibleWorkers.contextRequestingAdvice(step, round);
			if (this.placeOnProbation(task, ctx)) this.opts.retryPauses.notePlaced(step);
			else stepsWithoutTurn.add(step);
		}
	}

	private placeBest(task: jobs.Task, ctx: placement.PlacementContext, round: rounds.PlacingRound): boolean {
		return this.startAllPlaced(this.reservePlacement(task, round.choose(task, ctx)));
	}

	/** Places a suspect on probation, if one more run may be on probation and a worker takes the task. */
	private placeOnProbation(task: jobs.Task, ctx: placement.PlacementContext): boolean {
		const { probations } = this.opts;
		if (!probations.mayStartOnProbation(task, ctx.workers.length)) {
			this.waitingLog.note(task, () => ({ reason: 'other-suspects' }));
			return false;
		}
		const places = this.reservePlacement(task, probations.chooseWorker(task, ctx));
		if (places.length === 0) this.waitingLog.note(task, () => reasons.unplacedReason(task, ctx));
		for (const { session, place } of places) {
			session.runOnProbation = place;
			place.onProbation = true;
		}
		return this.startAllPlaced(places);
	}

	private noteUnplaced(task: jobs.Task, round: rounds.PlacingRound): void {
		const { now } = round;
		// A worker allowed by the adviser may have free capacity for one task and still not do: a gang needs placements for
		// all its members, and the worker may be ruled out for another reason.
		this.eligibleWorkers.requestAdvice(task.step, round);
		this.waitingLog.note(task, () =>
			reasons.unplacedReason(task, this.eligibleWorkers.contextRequestingAdvice(task.step, round)),
		);
		// An overdue step is tried in every round: short tasks would take the workers kept free for it in between.
		if (waitingOrder.isOverdue(task, now))
			round.keepFreeFor(task.step, this.opts.policyOf(task.step.job).pool);
		else this.opts.retryPauses.pause(task.step, now);
	}

	/**
	 * Whether a task may be started now. One that an earlier owner may have started waits for reports of the workers where
	 * it may run.
	 */
	private mayStart(task: jobs.Task, now: number): boolean {
		if (now < task.retryNotBefore) return false;
		const blockedReason = this.startBlockedReason(task);
		if (blockedReason === undefined) return this.opts.mayStartAgain(task);
		this.waitingLog.note(task, () => ({ reason: blockedReason }));
		return false;
	}

	/** Why this owner may not start a task that a worker would take; undefined: it may. */
	private startBlockedReason(task: jobs.Task): string | undefined {
		const { job } = task.step;
		// The job was accepted under a later owner, which starts its tasks.
		if (job.record.acceptedUnder > this.opts.epoch) return 'later-owner';
		return job.inherited && this.opts.mayHaveUnreportedRun(task) ? 'workers-unheard' : undefined;
	}

	/** Reserves a placement for a task on the chosen worker; empty: no worker takes the task. */
	private reservePlacement(
		task: jobs.Task,
		chosen: sessions.WorkerSession | placement.PlacementFailure,
	): gangs.MemberPlacement[] {
		if (typeof chosen === 'string') return [];
		return [{ session: chosen, place: chosen.place(task, this.nextRunNumber(task), 'starting') }];
	}

	/** Places starved preemptible tasks, the longest wait first, where they interfere least, however much that is. */
	private placeStarved(waiting: jobs.Task[], round: rounds.PlacingRound): void {
		for (const task of waitingOrder.starvedTasks(waiting, round.now)) {
			const ctx = this.eligibleWorkers.contextRequestingAdvice(task.step, round);
			const waitedMs = waitingOrder.waitedMs(task, round.now);
			if (!this.exemptions.mayGrant(task.step, waitedMs, ctx.workers.length)) continue;
			const workers = ctx.workers.filter((one) => !this.exemptions.hasExemption(one));
			const exemptContext = { ...ctx, workers, ignoreInterference: true };
			const places = task.step.spec.gang
				? this.reserveGang(task.step, exemptContext)
				: this.reservePlacement(task, placement.choose(task, exemptContext));
			for (const { session, place } of places) this.exemptions.grant(session, place);
			this.startAllPlaced(places);
		}
	}

	private placeGang(step: jobs.StepInstance, round: rounds.PlacingRound): boolean {
		return this.startAllPlaced(
			this.reserveGang(step, this.eligibleWorkers.contextRequestingAdvice(step, round)),
		);
	}

	/** Reserves placements for all members of a gang; empty: the gang has to wait. */
	private reserveGang(step: jobs.StepInstance, ctx: placement.PlacementContext): gangs.MemberPlacement[] {
		// An earlier owner may have started any of the members.
		if (!gangs.areAllReady(step) || !step.tasks.every((task) => this.mayStart(task, ctx.now))) return [];
		const run = Math.max(...step.tasks.map((task) => this.nextRunNumber(task)));
		const places = gangs.reserveAll(step, run, ctx.workers, ctx);
		if (places === undefined) return [];
		gangs.shareCheckpoint(step);
		return places;
	}

	/** Starts the tasks that were given placements; false: there were none. */
	private startAllPlaced(places: gangs.MemberPlacement[]): boolean {
		for (const { session, place } of places) this.startPlaced(place.task, session, place);
		return places.length > 0;
	}

	private startPlaced(task: jobs.Task, session: sessions.WorkerSession, place: types.Placement): void {
		const { clock, events } = this.opts;
		this.ready.delete(task);
		this.order.notePlaced(task, clock.now());
		task.state = 'placed';
		task.waitedMs = clock.now() - task.waitingSince;
		task.run = place.run;
		task.worker = session.id;
		task.crashes?.noteTry(place.run, session.id);
		this.sessionByTask.set(task, session);
		if (task.step.spec.fills) this.opts.limit.notePlaced(session, place);
		events.emit('task.placed', {
			task: task.name,
			run: place.run,
			worker: session.id,
			epoch: this.opts.epoch,
			waitedMs: Math.round(clock.now() - task.readyAt),
		});
		this.opts.start(session, place, this.eligibleWorkers.ticketFor(task.step, session.id));
	}

	private nextRunNumber(task: jobs.Task): number {
		return Math.max(task.run, (this.opts.epoch - 1) * runNumbersPerEpoch) + 1;
	}

	/** Stops other tasks for short tasks that found no free capacity. */
	private preempt(waiting: jobs.Task[]): void {
		const { clock, policyOf, estimates } = this.opts;
		const victims = preemption.chooseVictims(waiting, this.opts.workers(), {
			now: clock.now(),
			priorityOf: (job) => policyOf(job).priority,
			poolOf: (job) => policyOf(job).pool,
			estimates,
		});
		for (const { session, place } of victims) this.opts.stopFor('room for short tasks', session, place);
	}
}
