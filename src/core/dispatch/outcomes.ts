/** Updates jobs and tasks as runs start, exit, fail or are lost. */
import * as jobs from '../jobs/index.js';
import * as locations from './task-locations.js';
import * as settings from './settings.js';
import type * as blame from './crash-blame.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as fleet from '../fleet/types.js';
import type * as interference from './interference.js';
import type * as jobBook from './job-book.js';
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
	book: jobBook.JobBook;
	placer: placer.Placer;
	progress: saver.ProgressSaver;
	blame: blame.CrashBlame;
	probations: probation.Probations;
	starter: starter.Starter;
	policyOf: (job: jobs.ActiveJob) => jobs.QueuePolicy;
	estimates: interference.Interference;
	/** Whether a worker may have crashed under a run of the task that this owner never got a report of. */
	mayHaveCrashed: (task: jobs.Task) => boolean;
	/** What became of a run that an earlier owner may have started on a worker, and that is not running anywhere. */
	fateOn: (worker: string) => jobs.TryFate;
}

/** A worker that carries out a start answers within this many milliseconds, unless the start crashes it first. */
const mostAnswerMs = 50;

/** Stands for the run of an earlier owner whose number is not known. */
const unseenRun = 0;

/** Applies outcomes of runs to jobs and to the other tasks of a gang. */
export class Outcomes {
	private constructor(private readonly opts: OutcomesOptions) {}

	static create(opts: OutcomesOptions): Outcomes {
		return new Outcomes(opts);
	}

	/** A run of the job is known to have started. */
	begun(job: jobs.ActiveJob): void {
		if (job.state === 'pending') job.state = 'running';
	}

	/** A worker refused a start: the run will never start. */
	notStarted(session: sessions.WorkerSession, place: types.Placement, err: fleet.WorkerFailure): void {
		const { task, run } = place;
		this.opts.events.emit('start.refused', {
			task: task.name,
			run,
			worker: session.id,
			reason: err.kind,
		});
		task.crashes?.noteNotStarted(run);
		if (err.kind !== 'stale-run') session.health.pause(settings.refusalPauseMs);
		this.opts.placer.addAgain(task);
		this.breakGang(task);
	}

	/** A start was withdrawn before it was sent, because its placement is no longer valid. */
	withdrawn(session: sessions.WorkerSession, place: types.Placement, reason: string): void {
		const { task, run } = place;
		this.opts.events.emit('start.withdrawn', { task: task.name, run, worker: session.id, reason });
		task.crashes?.noteNotStarted(run);
		this.opts.placer.addAgain(task);
		this.breakGang(task);
	}

	/** Runs were lost with their worker, or may have been. */
	lost(session: sessions.WorkerSession, places: readonly types.Placement[]): void {
		const blamed = this.opts.blame.blamed(session.id);
		for (const place of places) {
			const { task } = place;
			if (mayHaveCrashed(session, place)) this.noteCrash(session, place, blamed.has(place));
			else this.survived(task, place.run);
			this.opts.placer.add(task);
			this.breakGang(task);
		}
	}

	/** A run exited without crashing its worker: the worker is up, or it crashed for another reason. */
	survived(task: jobs.Task, run: number): void {
		task.crashes?.noteEnd(run);
		if (task.crashes?.empty === true) task.crashes = undefined;
	}

	/**
	 * A worker crashed before it reported what earlier owners had started there. Returns the jobs that may have had a run on
	 * it. They have to be stored, because a later owner won't know of that worker.
	 */
	lostUnheard(session: sessions.WorkerSession): Set<jobs.ActiveJob> {
		const found = new Set<jobs.ActiveJob>();
		const mayHaveCrashed = (task: jobs.Task): boolean => locations.mayHaveCrashedOn(session, task);
		for (const job of this.opts.book.inherited())
			for (const step of job.steps)
				for (const task of step.tasks)
					if (this.settleTryOn(session.id, task) || this.noteUnseenCrash(task, mayHaveCrashed))
						found.add(job);
		for (const job of found) this.opts.progress.mark(job);
		return found;
	}

	/** Whether a task may be started again, given what happened to its earlier workers. If not, it is abandoned. */
	mayStartAgain(task: jobs.Task): boolean {
		this.noteUnseenCrash(task, this.opts.mayHaveCrashed);
		const { crashes } = task;
		if (crashes === undefined) return true;
		crashes.settleTries(this.opts.fateOn);
		return !this.giveUpSpent(task, crashes);
	}

	/** Resolves a task's stored start on a worker that crashed before its first report; false: there was none. */
	private settleTryOn(worker: string, { crashes }: jobs.Task): boolean {
		if (crashes?.wasTriedOn(worker) !== true) return false;
		crashes.settleTries((one) => (one === worker ? this.opts.fateOn(worker) : undefined));
		return true;
	}

	/** Counts a possible crash under a run that this owner got no report of; false: there was none to count. */
	private noteUnseenCrash(task: jobs.Task, mayHaveCrashed: (task: jobs.Task) => boolean): boolean {
		if (task.state === 'finished' || task.crashes !== undefined) return false;
		if (!mayHaveCrashed(task)) return false;
		task.crashes = jobs.CrashHistory.create();
		task.crashes.noteCrash(unseenRun, false);
		return true;
	}

	/** Records that a worker crashed under a run. */
	private noteCrash(session: sessions.WorkerSession, place: types.Placement, isBlamed: boolean): void {
		const { task, run, sentAt = -Infinity } = place;
		const { job } = task.step;
		if (job.ended || task.state === 'finished') return;
		const crashes = (task.crashes ??= jobs.CrashHistory.create());
		if (session.isHanging) crashes.noteDoubtfulCrash(run);
		else crashes.noteCrash(run, isBlamed, (session.failedAt ?? Infinity) - sentAt);
		this.opts.probations.noteCrash(task, place.onProbation);
		this.opts.progress.mark(job);
		const { crashed, blamed, lost } = crashes;
		this.opts.events.emit('task.crashed', { task: task.name, run, crashed, blamed, lost });
		this.giveUpSpent(task, crashes);
	}

	/** Abandons a task and fails its job if too many workers crashed under it, or may have; returns whether it did. */
	private giveUpSpent(task: jobs.Task, crashes: jobs.CrashHistory): boolean {
		const { verdict, crashed, blamed, lost } = crashes;
		if (verdict === undefined) return false;
		const { job } = task.step;
		job.failure = `${String(lost)} workers went down, or may have, under task ${task.name}: ${verdict}`;
		this.opts.events.emit('task.given-up', { task: task.name, crashed, blamed, reason: verdict });
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
			this.breakGang(task);
			return;
		}
		job.failure = `task ${counted.name} failed ${String(counted.failures.size)} times`;
		this.endJob(job, 'failed');
	}

	/** Ends a job and stops its remaining runs. */
	endJob(job: jobs.ActiveJob, state: jobs.JobState): void {
		this.opts.book.close(job, state);
		for (const step of job.steps) {
			this.opts.estimates.forget(step);
			for (const task of step.tasks) {
				this.opts.placer.drop(task);
				this.stop(task);
			}
		}
		this.opts.progress.mark(job);
	}

	/** Stops all members of a gang: without one member, the others would wait forever. */
	private breakGang(task: jobs.Task): void {
		if (!task.step.spec.gang) return;
		for (const other of task.step.tasks) this.stop(other);
	}

	private stop(task: jobs.Task): void {
		const session = this.opts.placer.sessionOf(task);
		const place = session?.placements.get(task.name);
		if (session !== undefined && place !== undefined) void this.opts.starter.stop(session, place);
	}
}

/** Whether a run that was lost with its worker may have crashed it. */
function mayHaveCrashed(session: sessions.WorkerSession, place: types.Placement): boolean {
	const { sentAt, confirmedAt } = place;
	const { failedAt = Infinity } = session;
	// A planned end of the worker was caused by no run, and a start that was never sent caused nothing.
	if (sentAt === undefined || session.endsAsPlanned) return false;
	// The worker had stopped answering before the start was sent.
	if (failedAt <= sentAt) return false;
	// The start was not carried out if it went unanswered for longer than this.
	if (confirmedAt === 0) return failedAt - sentAt <= mostAnswerMs;
	// A run that has worked this long clears its task of suspicion, so it did not cause the crash itself.
	return session.answeredAt - confirmedAt < jobs.mostToClearMs;
}
