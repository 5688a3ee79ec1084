/**
 * Places ready tasks on workers: decides their order, the worker of each, and which running tasks are preempted for them.
 */
import * as backlogs from './fill-backlog.js';
import * as choices from './choices.js';
import * as exemptions from './harm-exemptions.js';
import * as gangs from './gangs.js';
import * as order from './waiting-order.js';
import * as placement from './placement.js';
import * as preemption from './preemption.js';
import * as probation from './probation.js';
import * as rounds from './placing-round.js';
import * as timers from './round-timer.js';
import * as settings from './settings.js';
import * as reasons from './waiting-reason.js';
import * as slowed from './slowed.js';
import * as stalled from './stalled-log.js';
import * as waiting from './waiting-log.js';
import * as waitingSteps from './waiting-steps.js';
import type * as fleet from '../fleet/types.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as meters from './load-meter.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Run numbers that each epoch reserves for a task; those of the next epoch are higher. */
const runsPerEpoch = 100_000;

export interface PlacerOptions extends types.DispatchDeps {
	workers: () => sessions.WorkerSession[];
	/** Whether a run of an inherited task may be on a worker that has not reported to this owner yet. */
	mayBeHidden: (task: jobs.Task) => boolean;
	policyOf: (job: jobs.ActiveJob) => jobs.QueuePolicy;
	estimates: interference.Interference;
	probations: probation.Probations;
	/** Whether a task may be started again; if not, the task is abandoned. */
	mayStartAgain: (task: jobs.Task) => boolean;
	meter: meters.LoadMeter;
	/** Time that resuming from a checkpoint takes, in milliseconds. */
	restoreMs: number;
	askAdviser: fleet.AskAdviser | undefined;
	/** Number of further starts that may be sent. */
	startRoom: () => number;
	start: (session: sessions.WorkerSession, place: types.Placement, ticket: string) => void;
	/** Stops a run and logs the reason. */
	stopFor: (reason: string, session: sessions.WorkerSession, place: types.Placement) => void;
}

/** Holds the waiting tasks and the workers of the placed ones. */
export class Placer {
	private readonly ready = waitingSteps.WaitingSteps.create();
	private readonly places = new Map<jobs.Task, sessions.WorkerSession>();
	private readonly choices: choices.Choices;
	private readonly waitingLog: waiting.WaitingLog;
	private readonly stalledLog: stalled.StalledLog;
	private readonly exemptions = exemptions.HarmExemptions.create();
	/** Clock time before which a step that found no placement is not tried again. */
	private readonly retryAt = new WeakMap<jobs.StepRun, number>();
	private readonly rounds: timers.RoundTimer;
	private readonly backlog: backlogs.FillBacklog;

	private constructor(private readonly opts: PlacerOptions) {
		this.rounds = timers.RoundTimer.create({
			...opts,
			playAll: () => {
				this.placeReady(() => true);
			},
			playQuick: () => {
				this.placeReady((step) => !step.spec.fills);
			},
		});
		this.backlog = backlogs.FillBacklog.create({
			now: () => opts.clock.now(),
			waiting: () => this.ready.steps().flatMap((step) => this.ready.tasksOf(step)),
			workers: opts.workers,
		});
		this.waitingLog = waiting.WaitingLog.create(opts.clock, opts.events);
		this.stalledLog = stalled.StalledLog.create({
			...opts,
			waiting: () => this.ready.longest(),
			workersFor: (step) => this.workersOf(opts.policyOf(step.job).pool),
			explain: (task) => this.explain(task),
		});
		this.choices = choices.Choices.create({
			...opts,
			ask: opts.askAdviser,
			onNews: () => {
				this.wake();
			},
		});
	}

	static create(opts: PlacerOptions): Placer {
		return new Placer(opts);
	}

	/** Enqueues a task that may be started. */
	add(task: jobs.Task): void {
		if (task.state === 'finished' || task.step.job.ended) return;
		const now = this.opts.clock.now();
		task.readyAt = now;
		task.waitingSince = now - task.waitedMs;
		this.await(task);
	}

	/** Enqueues a task that was placed but not started. Its wait goes on, and so does what depends on its length. */
	addAgain(task: jobs.Task): void {
		if (task.state !== 'finished' && !task.step.job.ended) this.await(task);
	}

	/** Removes a task that is not to be started any more. */
	drop(task: jobs.Task): void {
		this.ready.delete(task);
		const session = this.sessionOf(task);
		if (session === undefined) this.places.delete(task);
	}

	/** Number of waiting tasks. */
	get waiting(): number {
		return this.ready.size;
	}

	/** Number of waiting tasks that are not long-running. */
	get waitingShort(): number {
		return this.ready.count((step) => !step.spec.lasting);
	}

	/** Worker on which a task is placed; undefined: it is not placed. */
	sessionOf(task: jobs.Task): sessions.WorkerSession | undefined {
		const session = this.places.get(task);
		return session?.placements.has(task.name) === true ? session : undefined;
	}

	/** Takes over a run that an earlier owner started. */
	adopt(session: sessions.WorkerSession, task: jobs.Task, run: number): types.Placement {
		this.ready.delete(task);
		task.state = 'placed';
		task.run = run;
		task.worker = session.id;
		this.places.set(task, session);
		return session.place(task, run, 'running');
	}

	private await(task: jobs.Task): void {
		task.state = 'ready';
		this.ready.add(task);
		this.wake();
	}

	/** Requests a placing round; several requests are merged into one. */
	wake(): void {
		if (this.ready.size > 0) this.rounds.wake();
	}

	/** Stops one strongly throttled run of a worker if another worker takes its task, so that the task migrates there. */
	moveSlowed(session: sessions.WorkerSession): void {
		const now = this.opts.clock.now();
		const terms = { now, isBacklogged: () => this.backlog.exists, restoreMs: this.opts.restoreMs };
		let round: rounds.PlacingRound | undefined;
		for (const place of session.placements.values()) {
			if (!slowed.isMovable(place, terms)) continue;
			round ??= rounds.PlacingRound.create(this.opts.workers(), now);
			if (!this.hasPlaceElsewhere(place.task, session, round)) continue;
			this.opts.stopFor('slowed', session, place);
			// One per call: the next choice has to see this one's new placement.
			return;
		}
	}

	/** Logs steps that have waited long, and why; called periodically. */
	logStalled(): void {
		this.stalledLog.look();
	}

	close(): void {
		this.rounds.close();
	}

	private workersOf(pool: string): sessions.WorkerSession[] {
		return this.opts.workers().filter((one) => one.entry?.pool === pool);
	}

	/** Why a task waits, also if no placing round considers it. */
	private explain(task: jobs.Task): waiting.WaitingReason {
		const now = this.opts.clock.now();
		const { step } = task;
		if (!this.opts.mayAct()) return { reason: 'may-not-act' };
		if (this.opts.startRoom() === 0) return { reason: 'starts-under-way' };
		if (now < task.pausedUntil) return { reason: 'paused-after-crash' };
		const withheld = this.withheldBecause(task);
		if (withheld !== undefined) return { reason: withheld };
		const round = rounds.PlacingRound.create(this.opts.workers(), now);
		const choice = this.choices.among(step, round);
		const isTried = this.opts.probations.isSuspect(task);
		if (isTried && !this.opts.probations.isFree(step, choice.workers.length))
			return { reason: 'other-suspects' };
		if (this.choices.lacksTicket(step, round)) return { reason: 'no-ticket' };
		return reasons.whyNoPlace(task, choice);
	}

	/** Whether a worker other than `from` takes a task now. */
	private hasPlaceElsewhere(
		task: jobs.Task,
		from: sessions.WorkerSession,
		round: rounds.PlacingRound,
	): boolean {
		const choice = this.choices.toPlace(task.step, round);
		const elsewhere = { ...choice, workers: choice.workers.filter((one) => one !== from) };
		return typeof placement.choose(task, elsewhere) !== 'string';
	}

	/**
	 * Places ready tasks of the included steps in the order of `waiting-order.ts`. For those that find no worker, it exceeds
	 * the interference limits or preempts other tasks.
	 */
	private placeReady(included: (step: jobs.StepRun) => boolean): void {
		if (!this.opts.mayAct() || this.opts.startRoom() === 0) return;
		const now = this.opts.clock.now();
		const steps = this.startable(included, now);
		if (steps.length === 0) return;
		const round = rounds.PlacingRound.create(this.opts.workers(), now);
		for (const { step, tasks } of order.sort(steps, (job) => this.opts.policyOf(job).priority, now)) {
			// Leaves the rest to a later round, which orders the steps anew once starts may be sent.
			if (this.opts.startRoom() === 0) return;
			// The job ended when one of its tasks was abandoned during the checks above.
			if (step.job.ended) continue;
			const failed = this.placeStep(step, tasks, round);
			if (failed !== undefined) this.noteNoPlace(failed, round);
		}
		const unplaced = steps.flatMap(({ tasks }) => tasks.filter((task) => this.mayDisplace(task)));
		this.placeStarved(unplaced, round);
		this.preempt(unplaced);
	}

	/**
	 * Whether tasks may be preempted, or interference limits exceeded, for a waiting task: not for one that may crash its
	 * worker.
	 */
	private mayDisplace(task: jobs.Task): boolean {
		const isWaiting = task.state === 'ready' && !task.step.job.ended;
		return isWaiting && !this.opts.probations.isSuspect(task);
	}

	/** The steps that are due, with those of their tasks that may be started. */
	private startable(included: (step: jobs.StepRun) => boolean, now: number): order.WaitingStep[] {
		const due = this.ready.steps().filter((step) => included(step) && this.isDue(step, now));
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
		step: jobs.StepRun,
		tasks: jobs.Task[],
		round: rounds.PlacingRound,
	): jobs.Task | undefined {
		if (step.spec.gang) return this.placeGang(step, round) ? undefined : tasks[0];
		const choice = this.choices.toPlace(step, round);
		// Suspects wait for each other; the rest of the step does not wait for them.
		let mayTryOut = true;
		for (const task of probation.inTurn(tasks)) {
			if (this.opts.startRoom() === 0) return undefined;
			if (this.opts.probations.isSuspect(task)) mayTryOut = mayTryOut && this.tryOut(task, choice);
			else if (!this.placeBest(task, choice, round)) return task;
		}
		return undefined;
	}

	private placeBest(task: jobs.Task, choice: placement.Choice, round: rounds.PlacingRound): boolean {
		return this.beginAll(this.placeAt(task, round.choose(task, choice)));
	}

	/** Places a suspect on probation, if one more run may be on probation and a worker takes the task. */
	private tryOut(task: jobs.Task, choice: placement.Choice): boolean {
		const { probations } = this.opts;
		if (!probations.isFree(task.step, choice.workers.length)) {
			this.waitingLog.note(task, () => ({ reason: 'other-suspects' }));
			return false;
		}
		const places = this.placeAt(task, probations.choose(task, choice));
		if (places.length === 0) this.waitingLog.note(task, () => reasons.whyNoPlace(task, choice));
		for (const { session, place } of places) {
			session.probation = place;
			place.onProbation = true;
		}
		return this.beginAll(places);
	}

	private noteNoPlace(task: jobs.Task, round: rounds.PlacingRound): void {
		const { now } = round;
		// A worker allowed by the adviser may have free capacity for one task and still not do: a gang needs placements for
		// all its members, and the worker may be ruled out for another reason.
		this.choices.askFurther(task.step, round);
		this.waitingLog.note(task, () => reasons.whyNoPlace(task, this.choices.toPlace(task.step, round)));
		// An overdue step is tried in every round: short tasks would take the workers kept free for it in between.
		if (order.isOverdue(task, now)) round.keepFor(task.step, this.opts.policyOf(task.step.job).pool);
		else this.retryAt.set(task.step, now + retryMs(task.step));
	}

	private isDue(step: jobs.StepRun, now: number): boolean {
		return (this.retryAt.get(step) ?? 0) <= now;
	}

	/**
	 * Whether a task may be started now. One that an earlier owner may have started waits for reports of the workers where
	 * it may run.
	 */
	private mayStart(task: jobs.Task, now: number): boolean {
		if (now < task.pausedUntil) return false;
		const withheld = this.withheldBecause(task);
		if (withheld === undefined) return this.opts.mayStartAgain(task);
		this.waitingLog.note(task, () => ({ reason: withheld }));
		return false;
	}

	/** Why this owner may not start a task that a worker would take; undefined: it may. */
	private withheldBecause(task: jobs.Task): string | undefined {
		const { job } = task.step;
		// The job was accepted under a later owner, which starts its tasks.
		if (job.record.acceptedUnder > this.opts.epoch) return 'later-owner';
		return job.inherited && this.opts.mayBeHidden(task) ? 'workers-unheard' : undefined;
	}

	/** Reserves a placement for a task on the chosen worker; empty: no worker takes the task. */
	private placeAt(task: jobs.Task, chosen: sessions.WorkerSession | placement.NoPlace): gangs.MemberPlace[] {
		if (typeof chosen === 'string') return [];
		return [{ session: chosen, place: chosen.place(task, this.nextRun(task), 'starting') }];
	}

	/** Places starved preemptible tasks, the longest wait first, where they interfere least, however much that is. */
	private placeStarved(waiting: jobs.Task[], round: rounds.PlacingRound): void {
		for (const task of order.starved(waiting, round.now)) {
			const choice = this.choices.toPlace(task.step, round);
			const waitedMs = order.waitedMs(task, round.now);
			if (!this.exemptions.isFree(task.step, waitedMs, choice.workers.length)) continue;
			const workers = choice.workers.filter((one) => !this.exemptions.isOn(one));
			const exempt = { ...choice, workers, anyHarm: true };
			const places = task.step.spec.gang
				? this.gangPlaces(task.step, exempt)
				: this.placeAt(task, placement.choose(task, exempt));
			for (const { session, place } of places) this.exemptions.grant(session, place);
			this.beginAll(places);
		}
	}

	private placeGang(step: jobs.StepRun, round: rounds.PlacingRound): boolean {
		return this.beginAll(this.gangPlaces(step, this.choices.toPlace(step, round)));
	}

	/** Reserves placements for all members of a gang; empty: the gang has to wait. */
	private gangPlaces(step: jobs.StepRun, choice: placement.Choice): gangs.MemberPlace[] {
		// An earlier owner may have started any of the members.
		if (!gangs.isWhole(step) || !step.tasks.every((task) => this.mayStart(task, choice.now))) return [];
		const run = Math.max(...step.tasks.map((task) => this.nextRun(task)));
		const places = gangs.placeAll(step, run, choice.workers, choice);
		if (places === undefined) return [];
		gangs.shareCheckpoint(step);
		return places;
	}

	/** Starts the tasks that were given placements; false: there were none. */
	private beginAll(places: gangs.MemberPlace[]): boolean {
		for (const { session, place } of places) this.begin(place.task, session, place);
		return places.length > 0;
	}

	private begin(task: jobs.Task, session: sessions.WorkerSession, place: types.Placement): void {
		const { clock, events } = this.opts;
		this.ready.delete(task);
		task.state = 'placed';
		task.waitedMs = clock.now() - task.waitingSince;
		task.run = place.run;
		task.worker = session.id;
		task.crashes?.noteTry(place.run, session.id);
		this.places.set(task, session);
		events.emit('task.placed', {
			task: task.name,
			run: place.run,
			worker: session.id,
			epoch: this.opts.epoch,
			waitedMs: Math.round(clock.now() - task.readyAt),
		});
		this.opts.start(session, place, this.choices.ticketFor(task.step, session.id));
	}

	private nextRun(task: jobs.Task): number {
		return Math.max(task.run, (this.opts.epoch - 1) * runsPerEpoch) + 1;
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

/** Minimum time until a step that found no placement is tried again, in milliseconds. */
function retryMs(step: jobs.StepRun): number {
	return step.spec.lasting || step.spec.fills ? settings.patientRetryMs : 0;
}
