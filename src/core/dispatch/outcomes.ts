/** Updates jobs and tasks as runs start, exit, fail or are lost. */
import * as jobs from '../jobs/index.js';
import * as locations from './task-locations.js';
import * as settings from './settings.js';
import type * as crashAttribution from './crash-attribution.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as fleet from '../fleet/types.js';
import type * as interference from './interference.js';
import type * as jobRegistry from './job-registry.js';
import type * as placer from './placer.js';
import type * as probation from './probation.js';
import type * as saver from './progress-saver.js';
import type * as sessions from './worker-session.js';
import type * as starter from './starter.js';
import type * as types from './types.js';

/** What outcomes read and change. */
export interface OutcomesOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	registry: jobRegistry.JobRegistry;
	placer: placer.Placer;
	progress: saver.ProgressSaver;
	crashAttribution: crashAttribution.CrashAttribution;
	probations: probation.Probations;
	starter: starter.Starter;
	policyOf: (job: jobs.ActiveJob) => jobs.QueuePolicy;
	interferenceModel: interference.InterferenceModel;
	/** Whether a worker may have crashed under a run of the task that this owner never got a report of. */
	mayHaveCrashedUnreported: (task: jobs.Task) => boolean;
	/** What became of a run that an earlier owner may have started on a worker, and that is not running anywhere. */
	tryOutcomeOn: (worker: string) => jobs.TryOutcome;
}

/**
 * A worker that carries out a start answers within this many milliseconds, or within the time that starts of this owner
 * usually take, unless the start crashes it first.
 */
const maxStartAnswerMs = 50;

/** Applies outcomes of runs to jobs and to the other tasks of a gang. */
export class Outcomes {
	private constructor(private readonly opts: OutcomesOptions) {}

	static create(opts: OutcomesOptions): Outcomes {
		return new Outcomes(opts);
	}

	/** A run of the job is known to have started. */
	started(job: jobs.ActiveJob): void {
		if (job.state === 'pending') job.state = 'running';
	}

	/** A worker refused a start: the run will never start. */
	notStarted(session: sessions.WorkerSession, placement: types.Placement, err: fleet.WorkerFailure): void {
		const { task, run } = placement;
		this.opts.events.emit('start.refused', {
			task: task.name,
			run,
			worker: session.id,
			reason: err.kind,
		});
		this.noteNeverStarted(task, run);
		if (err.kind !== 'stale-run') session.health.backOff(settings.refusalBackoffMs);
		this.opts.placer.requeue(task);
		this.stopGang(task);
	}

	/** A start was given up, and its run is being stopped. Its task is placed again once the run is known to be gone. */
	startGivenUp(task: jobs.Task): void {
		this.stopGang(task);
	}

	/** A start was withdrawn before it was sent, because its placement is no longer valid. */
	withdrawn(session: sessions.WorkerSession, placement: types.Placement, reason: string): void {
		const { task, run } = placement;
		this.opts.events.emit('start.withdrawn', { task: task.name, run, worker: session.id, reason });
		this.noteNeverStarted(task, run);
		this.opts.placer.requeue(task);
		this.stopGang(task);
	}

	/**
	 * Removes a start that was counted in the store before it was sent. Otherwise the next owner would take it for a run that
	 * crashed its worker, if that is lost.
	 */
	private noteNeverStarted({ crashes, step }: jobs.Task, run: number): void {
		if (crashes?.noteNotStarted(run) === true) this.opts.progress.mark(step.job);
	}

	/** A worker ceased to answer, and has crashed if that is proved later: stores which runs may have caused it. */
	contactLost(session: sessions.WorkerSession): void {
		for (const { task, run } of this.opts.crashAttribution.blamed(session.id)) {
			if (task.step.job.ended || task.state === 'finished') continue;
			task.crashes ??= jobs.CrashHistory.create();
			task.crashes.noteSuspected(run, session.id);
			this.opts.progress.mark(task.step.job);
		}
	}

	/** Runs were lost with their worker, or may have been. */
	lost(session: sessions.WorkerSession, placements: readonly types.Placement[]): void {
		const blamed = this.opts.crashAttribution.blamed(session.id);
		for (const placement of placements) {
			const { task } = placement;
			if (this.mayHaveCausedCrash(session, placement))
				this.noteCrash(session, placement, blamed.has(placement));
			else this.exitedWithoutCrash(task, placement.run);
			this.opts.placer.add(task, idleSince(session, task));
			this.stopGang(task);
		}
	}

	/** A run exited without crashing its worker: the worker is up, or it crashed for another reason. */
	exitedWithoutCrash(task: jobs.Task, run: number): void {
		task.crashes?.noteExit(run);
		if (task.crashes?.isEmpty === true) task.crashes = undefined;
	}

	/**
	 * A worker crashed before it reported what earlier owners had started there. Returns the jobs that may have had a run on
	 * it. They have to be stored, because a later owner won't know of that worker.
	 */
	lostBeforeFirstReport(session: sessions.WorkerSession): Set<jobs.ActiveJob> {
		const affectedJobs = new Set<jobs.ActiveJob>();
		const mayHaveCrashedHere = (task: jobs.Task): boolean => locations.mayHaveCrashedOn(session, task);
		const overdueSince = this.opts.clock.now() - settings.longRunningOverdueMs;
		for (const job of this.opts.registry.unfinishedInherited())
			for (const step of job.steps)
				for (const task of step.tasks) {
					// It has been without a run since before the takeover.
					if (step.spec.lasting && mayHaveCrashedHere(task))
						task.readyAt = Math.min(task.readyAt, overdueSince);
					if (this.resolveTryOn(session.id, task) || this.noteUnreportedCrash(task, mayHaveCrashedHere))
						affectedJobs.add(job);
				}
		for (const job of affectedJobs) this.opts.progress.mark(job);
		return affectedJobs;
	}

	/** Whether a task may be started again, given what happened to its earlier workers. If not, it is abandoned. */
	mayStartAgain(task: jobs.Task): boolean {
		this.noteUnreportedCrash(task, this.opts.mayHaveCrashedUnreported);
		const { crashes } = task;
		if (crashes === undefined) return true;
		crashes.resolveTries(this.opts.tryOutcomeOn);
		return !this.abandonIfCrashLimitReached(task, crashes);
	}

	/** Resolves a task's stored start on a worker that crashed before its first report; false: there was none. */
	private resolveTryOn(worker: string, { crashes }: jobs.Task): boolean {
		if (crashes?.wasTriedOn(worker) !== true) return false;
		crashes.resolveTries((one) => (one === worker ? this.opts.tryOutcomeOn(worker) : undefined));
		return true;
	}

	/** Counts a possible crash under a run that this owner got no report of; false: there was none to count. */
	private noteUnreportedCrash(task: jobs.Task, mayHave: (task: jobs.Task) => boolean): boolean {
		if (task.state === 'finished' || task.crashes !== undefined) return false;
		if (!mayHave(task)) return false;
		task.crashes = jobs.CrashHistory.create();
		task.crashes.noteUnreportedCrash();
		return true;
	}

	/** Whether a run that was lost with its worker may have crashed it. */
	private mayHaveCausedCrash(session: sessions.WorkerSession, placement: types.Placement): boolean {
		const { startSentAt, confirmedAt } = placement;
		const { silentSince = Infinity } = session;
		// A planned end of the worker was caused by no run, and a start that was never sent caused nothing.
		if (startSentAt === undefined || session.hasPlannedEnd) return false;
		// The worker had stopped answering before the start was sent.
		if (silentSince <= startSentAt) return false;
		// The start was not carried out if it went unanswered for longer than this.
		const { usualStartDelayMs } = this.opts.crashAttribution;
		if (confirmedAt === 0) return silentSince - startSentAt <= Math.max(maxStartAnswerMs, usualStartDelayMs);
		// A run that has worked this long clears its task of suspicion, so it did not cause the crash itself.
		return session.lastAnsweredAt - confirmedAt < jobs.maxTimeToClearMs;
	}

	/** Records that a worker crashed under a run. */
	private noteCrash(session: sessions.WorkerSession, placement: types.Placement, isBlamed: boolean): void {
		const { task, run, startSentAt = -Infinity } = placement;
		const { job } = task.step;
		if (job.ended || task.state === 'finished') return;
		const crashes = (task.crashes ??= jobs.CrashHistory.create());
		if (session.isHanging) crashes.notePossibleCrash(run);
		else crashes.noteCrash(run, isBlamed, (session.firstFailureAt ?? Infinity) - startSentAt);
		this.opts.probations.noteCrash(task, placement.onProbation);
		this.opts.progress.mark(job);
		const { crashed, blamed, lost } = crashes;
		this.opts.events.emit('task.crashed', { task: task.name, run, crashed, blamed, lost });
		this.abandonIfCrashLimitReached(task, crashes);
	}

	/** Abandons a task and fails its job if too many workers crashed under it, or may have; returns whether it did. */
	private abandonIfCrashLimitReached(task: jobs.Task, crashes: jobs.CrashHistory): boolean {
		const { abandonReason, crashed, blamed, lost } = crashes;
		if (abandonReason === undefined) return false;
		const { job } = task.step;
		job.failure = `${String(lost)} workers went down, or may have, under task ${task.name}: ${abandonReason}`;
		this.opts.events.emit('task.given-up', { task: task.name, crashed, blamed, reason: abandonReason });
		this.endJob(job, 'failed');
		return true;
	}

	/** A task is done, and tasks that depend on it may start. */
	finished(task: jobs.Task): void {
		// Members of a gang finish together: one member's exit stands for all.
		const finished = task.step.spec.gang ? task.step.tasks : [task];
		const { job } = task.step;
		for (const one of finished) {
			const next = job.finish(one, this.opts.clock.now());
			this.opts.placer.drop(one);
			for (const ready of next) this.opts.placer.add(ready);
		}
		if (job.ended) this.endJob(job, job.state);
	}

	/** A run failed without its worker crashing. */
	failed(session: sessions.WorkerSession, task: jobs.Task, run: number): void {
		const { job, spec, tasks } = task.step;
		// A gang fails as a whole, whichever member failed.
		const counted = spec.gang ? (tasks[0] ?? task) : task;
		counted.failures.add(run);
		task.failedOn.add(session.id);
		session.health.noteFailure(job.id);
		const { attempts } = this.opts.policyOf(job);
		if (spec.lasting || counted.failures.size < attempts) {
			this.stopGang(task);
			return;
		}
		job.failure = `task ${counted.name} failed ${String(counted.failures.size)} times`;
		this.endJob(job, 'failed');
	}

	/** Ends a job and stops its remaining runs. */
	endJob(job: jobs.ActiveJob, state: jobs.JobState): void {
		this.opts.registry.markEnded(job, state);
		for (const step of job.steps) {
			this.opts.interferenceModel.forget(step);
			for (const task of step.tasks) {
				this.opts.placer.drop(task);
				this.stop(task);
			}
		}
		this.opts.progress.mark(job);
	}

	/** Stops all members of a gang: without one member, the others would wait forever. */
	private stopGang(task: jobs.Task): void {
		if (!task.step.spec.gang) return;
		for (const other of task.step.tasks) this.stop(other);
	}

	private stop(task: jobs.Task): void {
		const session = this.opts.placer.sessionOf(task);
		const placement = session?.placements.get(task.name);
		if (session !== undefined && placement !== undefined) void this.opts.starter.stop(session, placement);
	}
}

/**
 * Clock time since which a task of a lost worker may have had no run, as the worker's leases had to expire first. Undefined:
 * only long-running tasks become more urgent by that time.
 */
function idleSince({ lastAnsweredAt }: sessions.WorkerSession, task: jobs.Task): number | undefined {
	return task.step.spec.lasting && lastAnsweredAt > -Infinity ? lastAnsweredAt : undefined;
}
