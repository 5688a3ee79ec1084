/** Places tasks that may start: which comes first, where it goes, and who makes room for it. */
import * as backlogs from './preemptible-backlog.js';
import * as eligible from './eligible-workers.js';
import * as exemptions from './interference-exemptions.js';
import * as gangs from './gangs.js';
import * as waitingOrder from './waiting-order.js';
import * as placement from './placement.js';
import * as preemption from './preemption.js';
import * as probation from './probation.js';
import * as rounds from './placing-round.js';
import * as timers from './round-timer.js';
import * as settings from './settings.js';
import * as reasons from './waiting-reason.js';
import * as migration from './migration.js';
import * as stalled from './stalled-log.js';
import * as waiting from './waiting-log.js';
import * as waitingSteps from './waiting-steps.js';
import type * as fleet from '../fleet/types.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as meters from './load-meter.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Run numbers that one owner may use for a task; the next owner's begin above. */
const runNumbersPerEpoch = 100_000;

/** What a placer uses. */
export interface PlacerOptions extends types.DispatchDeps {
	workers: () => sessions.WorkerSession[];
	/** Whether a run of an inherited task, unknown to this owner, may be on a worker that has not answered it yet. */
	mayHaveUnreportedRun: (task: jobs.Task) => boolean;
	policyOf: (job: jobs.ActiveJob) => jobs.QueuePolicy;
	estimates: interference.InterferenceModel;
	probations: probation.Probations;
	/** Whether a task may be started once more; if not, it is given up. */
	mayStartAgain: (task: jobs.Task) => boolean;
	meter: meters.LoadMeter;
	/** Going on from a checkpoint takes so long, in milliseconds. */
	restoreMs: number;
	askAdviser: fleet.AskAdviser | undefined;
	/** How many more starts may be on their way now. */
	freeStartSlots: () => number;
	start: (session: sessions.WorkerSession, place: types.Placement, ticket: string) => void;
	/** Stops a run, and logs why. */
	stopFor: (reason: string, session: sessions.WorkerSession, place: types.Placement) => void;
}

/** Tasks that wait, and where the others are. */
export class Placer {
	private readonly ready = waitingSteps.WaitingSteps.create();
	private readonly sessionByTask = new Map<jobs.Task, sessions.WorkerSession>();
	private readonly eligibleWorkers: eligible.EligibleWorkers;
	private readonly waitingLog: waiting.WaitingLog;
	private readonly stalledLog: stalled.StalledLog;
	private readonly exemptions = exemptions.InterferenceExemptions.create();
	/** Clock time from which a step that found no place is looked at again. */
	private readonly retryAt = new WeakMap<jobs.StepInstance, number>();
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

	/** A task may be started. */
	add(task: jobs.Task): void {
		if (task.state === 'finished' || task.step.job.ended) return;
		const now = this.opts.clock.now();
		task.readyAt = now;
		task.waitingSince = now - task.waitedMs;
		this.enqueue(task);
	}

	/** A task was placed and not started: it goes on waiting, and what it may claim grows with that. */
	requeue(task: jobs.Task): void {
		if (task.state !== 'finished' && !task.step.job.ended) this.enqueue(task);
	}

	/** A task is not to be started any more. */
	drop(task: jobs.Task): void {
		this.ready.delete(task);
		const session = this.sessionOf(task);
		if (session === undefined) this.sessionByTask.delete(task);
	}

	/** How many tasks wait. */
	get waiting(): number {
		return this.ready.size;
	}

	/** How many of them do not last. */
	get waitingShortTasks(): number {
		return this.ready.count((step) => !step.spec.lasting);
	}

	/** Where a task is placed. */
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

	private enqueue(task: jobs.Task): void {
		task.state = 'ready';
		this.ready.add(task);
		this.requestRound();
	}

	/** Asks for a round of placing; many asks come to one round. */
	requestRound(): void {
		if (this.ready.size > 0) this.rounds.scheduleRound();
	}

	/** Moves tasks that were slowed to almost nothing to workers where they would disturb nobody. */
	migrateThrottled(session: sessions.WorkerSession): void {
		const now = this.opts.clock.now();
		const conditions = { now, isBacklogged: () => this.backlog.exists, restoreMs: this.opts.restoreMs };
		let round: rounds.PlacingRound | undefined;
		for (const place of session.placements.values()) {
			if (!migration.shouldMigrate(place, conditions)) continue;
			round ??= rounds.PlacingRound.create(this.opts.workers(), now);
			if (!this.fitsElsewhere(place.task, session, round)) continue;
			this.opts.stopFor('slowed', session, place);
			// One at a time: its place elsewhere has to be seen by the next choice.
			return;
		}
	}

	/** To be called now and then: tells what waits for long, and why. */
	logStalled(): void {
		this.stalledLog.logIfDue();
	}

	close(): void {
		this.rounds.close();
	}

	private workersOf(pool: string): sessions.WorkerSession[] {
		return this.opts.workers().filter((one) => one.entry?.pool === pool);
	}

	/** What holds a task up now, also where no round looks at it. */
	private explain(task: jobs.Task): waiting.WaitingReason {
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
		if (isSuspectTask && !this.opts.probations.mayStartOnProbation(step, ctx.workers.length))
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

	/** Places what is ready and `included`, in the order of `waiting-order.ts`; makes room for what finds none. */
	private placeReady(isIncluded: (step: jobs.StepInstance) => boolean): void {
		if (!this.opts.mayAct() || this.opts.freeStartSlots() === 0) return;
		const now = this.opts.clock.now();
		const steps = this.startableSteps(isIncluded, now);
		if (steps.length === 0) return;
		const round = rounds.PlacingRound.create(this.opts.workers(), now);
		for (const { step, tasks } of waitingOrder.sortByUrgency(
			steps,
			(job) => this.opts.policyOf(job).priority,
			now,
		)) {
			// What comes next has to be chosen when it can be sent.
			if (this.opts.freeStartSlots() === 0) return;
			// A task of it was given up when it was looked at.
			if (step.job.ended) continue;
			const firstUnplaced = this.placeStep(step, tasks, round);
			if (firstUnplaced !== undefined) this.noteUnplaced(firstUnplaced, round);
		}
		const unplaced = steps.flatMap(({ tasks }) => tasks.filter((task) => this.mayPreemptFor(task)));
		this.placeStarved(unplaced, round);
		this.preempt(unplaced);
	}

	/** Whether others may be stopped or harmed for a waiting task: not for one that may bring its worker down. */
	private mayPreemptFor(task: jobs.Task): boolean {
		const isWaiting = task.state === 'ready' && !task.step.job.ended;
		return isWaiting && !this.opts.probations.isSuspect(task);
	}

	/** The steps whose turn it is, with those of their tasks that may be started. */
	private startableSteps(
		isIncluded: (step: jobs.StepInstance) => boolean,
		now: number,
	): waitingOrder.WaitingStep[] {
		const due = this.ready.steps().filter((step) => isIncluded(step) && this.isDue(step, now));
		const all = due.map((step) => {
			const tasks = this.ready.tasksOf(step).filter((task) => this.mayStart(task, now));
			return { step, tasks };
		});
		return all.filter(({ tasks }) => tasks.length > 0);
	}

	/** Places a step's tasks as long as there are places and starts may be sent; returns the first that found no place. */
	private placeStep(
		step: jobs.StepInstance,
		tasks: jobs.Task[],
		round: rounds.PlacingRound,
	): jobs.Task | undefined {
		if (step.spec.gang) return this.placeGang(step, round) ? undefined : tasks[0];
		const ctx = this.eligibleWorkers.contextRequestingAdvice(step, round);
		// Suspects wait for each other, and the rest of the step does not.
		let mayPlaceSuspects = true;
		for (const task of probation.sortBySuspicion(tasks)) {
			if (this.opts.freeStartSlots() === 0) return undefined;
			if (this.opts.probations.isSuspect(task))
				mayPlaceSuspects = mayPlaceSuspects && this.placeOnProbation(task, ctx);
			else if (!this.placeBest(task, ctx, round)) return task;
		}
		return undefined;
	}

	private placeBest(task: jobs.Task, ctx: placement.PlacementContext, round: rounds.PlacingRound): boolean {
		return this.startAllPlaced(this.reservePlacement(task, round.choose(task, ctx)));
	}

	/** Places a suspect on probation, if its turn has come and a worker takes it. */
	private placeOnProbation(task: jobs.Task, ctx: placement.PlacementContext): boolean {
		const { probations } = this.opts;
		if (!probations.mayStartOnProbation(task.step, ctx.workers.length)) {
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
		// Room for one task on a good worker may be too little, or ruled out: a gang needs places for all its members.
		this.eligibleWorkers.requestAdvice(task.step, round);
		this.waitingLog.note(task, () =>
			reasons.unplacedReason(task, this.eligibleWorkers.contextRequestingAdvice(task.step, round)),
		);
		// Workers are kept free in every round, or short tasks would take them in between.
		if (waitingOrder.isOverdue(task, now))
			round.keepFreeFor(task.step, this.opts.policyOf(task.step.job).pool);
		else this.retryAt.set(task.step, now + retryDelayMs(task.step));
	}

	private isDue(step: jobs.StepInstance, now: number): boolean {
		return (this.retryAt.get(step) ?? 0) <= now;
	}

	/** What an earlier owner may have started waits for the workers where it may be. */
	private mayStart(task: jobs.Task, now: number): boolean {
		if (now < task.retryNotBefore) return false;
		const blockedReason = this.startBlockedReason(task);
		if (blockedReason === undefined) return this.opts.mayStartAgain(task);
		this.waitingLog.note(task, () => ({ reason: blockedReason }));
		return false;
	}

	/** Why this owner may not start a task that a worker may take; undefined: it may. */
	private startBlockedReason(task: jobs.Task): string | undefined {
		const { job } = task.step;
		// Told to a later owner: that one starts it.
		if (job.record.acceptedUnder > this.opts.epoch) return 'later-owner';
		return job.inherited && this.opts.mayHaveUnreportedRun(task) ? 'workers-unheard' : undefined;
	}

	/** A place for a task where it was chosen to go; none: no worker takes it. */
	private reservePlacement(
		task: jobs.Task,
		chosen: sessions.WorkerSession | placement.PlacementFailure,
	): gangs.MemberPlacement[] {
		if (typeof chosen === 'string') return [];
		return [{ session: chosen, place: chosen.place(task, this.nextRunNumber(task), 'starting') }];
	}

	/** Filling tasks that have waited too long, the longest first, go where they do least harm, whatever that is. */
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

	/** Places for all members of a gang; none: it has to wait. */
	private reserveGang(step: jobs.StepInstance, ctx: placement.PlacementContext): gangs.MemberPlacement[] {
		// Each member may be somewhere else, unknown to this owner.
		if (!gangs.areAllReady(step) || !step.tasks.every((task) => this.mayStart(task, ctx.now))) return [];
		const run = Math.max(...step.tasks.map((task) => this.nextRunNumber(task)));
		const places = gangs.reserveAll(step, run, ctx.workers, ctx);
		if (places === undefined) return [];
		gangs.shareCheckpoint(step);
		return places;
	}

	/** Starts what was given places; false: nothing was. */
	private startAllPlaced(places: gangs.MemberPlacement[]): boolean {
		for (const { session, place } of places) this.startPlaced(place.task, session, place);
		return places.length > 0;
	}

	private startPlaced(task: jobs.Task, session: sessions.WorkerSession, place: types.Placement): void {
		const { clock, events } = this.opts;
		this.ready.delete(task);
		task.state = 'placed';
		task.waitedMs = clock.now() - task.waitingSince;
		task.run = place.run;
		task.worker = session.id;
		task.crashes?.noteTry(place.run, session.id);
		this.sessionByTask.set(task, session);
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

	/** Stops others for short tasks that found no room. */
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

/** How long a step that found no place waits at least until it is looked at again, in milliseconds. */
function retryDelayMs(step: jobs.StepInstance): number {
	return step.spec.lasting || step.spec.fills ? settings.lowUrgencyRetryMs : 0;
}
