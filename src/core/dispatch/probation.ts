/**
 * Starts tasks suspected of crashing workers on probation: one to a worker, where a crash would lose little, and with no
 * other start on that worker until the run has outlasted the moment at which it seemed to crash the last one. A second crash
 * can then be attributed to that task alone, tasks that crashed together do not meet again, and a job of a thousand such
 * tasks crashes few workers at a time.
 */
import * as clocks from '../clock.js';
import * as placement from './placement.js';
import * as sortKeys from './sort-keys.js';
import * as waitingOrder from './waiting-order.js';
import type * as events from '../events/index.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * A run on probation passes after it has worked for this long, in milliseconds. For the same time before its start, nothing
 * else is started on its worker.
 */
const probationMs = 500;

/** Maximum share of the workers able to run suspects that have one at the same time, at first. At least one worker may. */
const initialShare = 0.1;

/**
 * Upper bound of that share. Each run that passes allows one more worker, until a run on probation crashes its worker. After
 * many coincidental crashes there are more suspects than the initial share could test in time.
 */
const maxShare = 0.5;

/**
 * A suspect that has waited for this long, in milliseconds, may be tried beyond the current share, up to the upper bound, if
 * its job has no other run on probation and none that crashed its worker. Otherwise suspects of sound jobs would wait for as
 * long as others keep crashing workers.
 */
const maxTurnWaitMs = 1_000;

/** Maximum number of a step's runs on probation at the same time: one, plus this many for each that has passed. */
const extraPerPass = 2;

/** A step with this many suspected tasks is suspected as a whole. */
const suspectStepThreshold = 2;

/** Delay of a task's next start after its second crash, in milliseconds. Each further crash adds the same again. */
const crashBackoffMs = 250;

/** Loss of a long-running task, or of a gang's member, as a multiple of its cores. */
const longRunningLossFactor = 4;
const gangLossFactor = 4;

/** What `Probations` needs: the clock, the workers, and where it reports changes. */
export interface ProbationOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	workers: () => sessions.WorkerSession[];
	/** Called when the stored state of a job has changed. */
	onChanged: (job: jobs.ActiveJob) => void;
}

/** Tasks under suspicion, and the runs on probation that test them. */
export class Probations {
	/** The tasks of each step to which a crash is attributed. */
	private readonly suspects = new WeakMap<jobs.StepInstance, Set<jobs.Task>>();
	/** Jobs of which a run on probation has crashed its worker. */
	private readonly crashingJobs = new WeakSet<jobs.ActiveJob>();
	/** Runs that have passed since a run on probation last crashed its worker. */
	private consecutivePasses = 0;

	private constructor(private readonly opts: ProbationOptions) {}

	static create(opts: ProbationOptions): Probations {
		return new Probations(opts);
	}

	/** Records that a worker crashed under a task. From its second crash on, the task's next start is delayed. */
	noteCrash(task: jobs.Task, onProbation: boolean): void {
		const { crashed = 0, blamed = 0 } = task.crashes ?? {};
		if (onProbation) {
			this.consecutivePasses = 0;
			this.crashingJobs.add(task.step.job);
		}
		task.retryNotBefore = this.opts.clock.now() + crashBackoffMs * (crashed - 1);
		if (blamed > 0) this.suspectsOf(task.step).add(task);
	}

	/** Whether a task is to be started on probation. Gangs never are: their members need each other. */
	isSuspect(task: jobs.Task): boolean {
		if (task.step.spec.gang) return false;
		const { observed = 0, blamed = 0 } = task.crashes ?? {};
		if (blamed > 0 || observed > 1) return true;
		const { step } = task;
		return step.passedProbations === 0 && this.suspectsOf(step).size >= suspectStepThreshold;
	}

	/** Whether one more run of a suspect's step may be on probation, in a pool with `workers` open workers. */
	mayStartOnProbation(task: jobs.Task, workers: number): boolean {
		const { step } = task;
		const withProbation = this.opts.workers().filter((one) => one.runOnProbation !== undefined);
		// A worker that stopped answering tests nothing any more, and it may take long until it is proved dead.
		const responsive = withProbation.filter((one) => one.firstFailureAt === undefined);
		if (responsive.length >= this.maxConcurrent(workers)) {
			if (responsive.length >= Math.floor(workers * maxShare) || !this.isOverdue(task)) return false;
			if (withProbation.some((one) => one.runOnProbation?.task.step.job === step.job)) return false;
		}
		// For short tasks they count until then, which limits the crashes of a step. A long-running task must not wait so long.
		const counted = step.spec.lasting ? responsive : withProbation;
		const ofStep = counted.filter((one) => one.runOnProbation?.task.step === step).length;
		return ofStep <= step.passedProbations * extraPerPass;
	}

	private isOverdue(task: jobs.Task): boolean {
		const hasWaitedLong = this.opts.clock.now() - task.readyAt >= maxTurnWaitMs;
		return hasWaitedLong && !this.crashingJobs.has(task.step.job);
	}

	/** Maximum number of runs on probation at the same time, in a pool with `workers` open workers. */
	private maxConcurrent(workers: number): number {
		const initial = Math.max(1, Math.floor(workers * initialShare));
		return Math.max(initial, Math.min(initial + this.consecutivePasses, Math.floor(workers * maxShare)));
	}

	/** The worker on which a crash under this suspect would lose the least. */
	chooseWorker(
		task: jobs.Task,
		choice: placement.PlacementContext,
	): sessions.WorkerSession | placement.PlacementFailure {
		const terms = placement.limitsOf(task, choice);
		const eligible = choice.workers.filter(
			(one) => one.open && placement.score(task, one, choice, terms) < Infinity,
		);
		const [first, ...others] = eligible;
		if (first === undefined) return choice.workers.length > 0 ? 'no-room' : 'no-worker-open';
		return others.reduce((best, one) => (potentialLossOn(one) < potentialLossOn(best) ? one : best), first);
	}

	/**
	 * Resolves once no other start was sent to the worker for the time of a probation. A crash would otherwise be attributed
	 * to an earlier start too.
	 */
	waitForQuiet(session: sessions.WorkerSession): Promise<void> {
		const ms = session.lastStartSentAt + probationMs - this.opts.clock.now();
		return ms > 0 ? clocks.sleep(this.opts.clock, ms) : Promise.resolve();
	}

	/** Clears the runs of a worker that have outlasted what they were suspected of. Called after each report. */
	checkRuns(session: sessions.WorkerSession): void {
		const { runOnProbation } = session;
		if (runOnProbation !== undefined && this.hasRunFor(runOnProbation, probationMs)) {
			session.runOnProbation = undefined;
			runOnProbation.onProbation = false;
			this.notePassed(runOnProbation, 'probation');
		}
		for (const place of session.placements.values()) {
			const { crashes } = place.task;
			if (crashes !== undefined && this.hasRunFor(place, crashes.clearedAfterMs)) this.clearSuspicion(place);
		}
	}

	/** Whether a run has been working for longer than `ms`. */
	private hasRunFor(place: types.Placement, ms: number): boolean {
		const isAtWork = place.phase === 'running' && place.confirmedAt > 0 && place.pace > 0;
		return isAtWork && this.opts.clock.now() - place.confirmedAt > ms;
	}

	private notePassed(place: types.Placement, reason: string): void {
		const { task, run } = place;
		task.step.passedProbations += 1;
		this.consecutivePasses += 1;
		this.suspectsOf(task.step).delete(task);
		task.crashes?.clearAttribution();
		this.opts.events.emit('task.cleared', { task: task.name, run, reason });
		this.opts.onChanged(task.step.job);
	}

	private clearSuspicion(place: types.Placement): void {
		place.task.crashes = undefined;
		this.notePassed(place, 'at work');
	}

	/** The suspects of a step, those of earlier owners included. */
	private suspectsOf(step: jobs.StepInstance): Set<jobs.Task> {
		const known = this.suspects.get(step);
		if (known !== undefined) return known;
		const restored = new Set(step.tasks.filter((task) => (task.crashes?.blamed ?? 0) > 0));
		this.suspects.set(step, restored);
		return restored;
	}
}

/**
 * Sorts the suspects of several steps in the order of their turns: steps with overdue long-running tasks first, then those of
 * the job that is due first, whether or not it is late. So no suspect waits behind those of jobs that come later. Of one step
 * the most suspect task comes first: one more crash under that one decides most.
 */
export function sortByTurn(suspects: jobs.Task[], now: number): jobs.Task[] {
	const overdueSteps = new Set(
		suspects.filter((task) => waitingOrder.isOverdue(task, now)).map(({ step }) => step),
	);
	const keyOf = (task: jobs.Task): number[] => [
		Number(!overdueSteps.has(task.step)),
		task.step.job.dueAt,
		task.step.number,
		-suspicionOf(task),
	];
	const keys = new Map(suspects.map((task) => [task, keyOf(task)]));
	return [...suspects].sort((a, b) => sortKeys.compare(keys.get(a) ?? [], keys.get(b) ?? []));
}

function suspicionOf({ crashes }: jobs.Task): number {
	return crashes === undefined ? 0 : crashes.blamed + crashes.crashed;
}

/**
 * What a crash of the worker would lose, in thousandths of a core. A task that can't resume elsewhere weighs more the
 * further it has progressed.
 */
function potentialLossOn(session: sessions.WorkerSession): number {
	let loss = 0;
	for (const { task, percent } of session.placements.values())
		loss += potentialLossOf(task.step.spec, percent);
	return loss;
}

function potentialLossOf(spec: jobs.StepSpec, percent: number): number {
	if (spec.lasting) return spec.milliCores * longRunningLossFactor;
	const share = spec.checkpoints ? 0.1 : 0.5 + percent / 200;
	return spec.milliCores * share * (spec.gang ? gangLossFactor : 1);
}
