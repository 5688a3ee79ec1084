/** The owner's work: which task starts on which worker, and what becomes of it. */
import * as clocks from '../clock.js';
import * as ends from './ends.js';
import * as interference from './interference.js';
import * as jobs from '../jobs/index.js';
import * as placement from './placement.js';
import * as preemption from './preemption.js';
import * as pressure from './pressure.js';
import * as saver from './progress-saver.js';
import * as sessions from './worker-session.js';
import * as settings from './settings.js';
import * as starter from './starter.js';
import type * as fleet from '../fleet/types.js';
import type * as ledger from '../ledger/index.js';
import type * as queues from '../queues/index.js';
import type * as types from './types.js';

/** What a dispatcher needs beyond its calls to workers. */
export interface DispatcherOptions extends types.DispatchDeps {
	saveProgress: saver.SaveProgress;
	saveRoster: (roster: ledger.RosterEntry[]) => Promise<ledger.WriteOutcome>;
	clearJobs: (ids: string[]) => Promise<ledger.WriteOutcome>;
	table: () => queues.QueueTable | undefined;
	/** A finished job's state is kept this long, in milliseconds. */
	keepStateMs: number;
	/** Longest time over its target that a serving task may be kept by what fills beside it. */
	harmMs: number;
}

/** Run numbers that one owner may use for a task; the next owner's begin above. */
const runsPerEpoch = 100_000;

/** Ended jobs cleared from the store in one write: three keys each of 32. */
const clearBatch = 10;

/** Dispatches all jobs under one epoch. */
export class Dispatcher {
	private readonly jobsById = new Map<string, jobs.ActiveJob>();
	private readonly workers = new Map<string, sessions.WorkerSession>();
	private readonly ready = new Set<jobs.Task>();
	private readonly places = new Map<jobs.Task, sessions.WorkerSession>();
	/** Scheduled jobs whose next time has not come. */
	private readonly scheduled = new Set<jobs.ActiveJob>();
	/** Workers that may still run what an earlier owner started. */
	private readonly unsettled = new Set<sessions.WorkerSession>();
	private readonly progress: saver.ProgressSaver;
	private readonly starter: starter.Starter;
	private readonly estimates: interference.Interference;
	private readonly pressure: pressure.PressureControl;
	private readonly ticks: clocks.Timer;
	private readonly reportContext: ends.ReportContext;
	private rosterDirty = false;
	private rosterSaving = false;
	private roundDue = false;
	private lastRoundAt = -Infinity;
	private closed = false;

	private constructor(private readonly opts: DispatcherOptions) {
		this.progress = saver.ProgressSaver.create({
			clock: opts.clock,
			save: opts.saveProgress,
			onSaved: (job, state) => {
				job.storedState = state;
			},
			onSuperseded: opts.onFenced,
			onFailure: (outcome) => {
				opts.events.emit('progress.unsaved', { epoch: opts.epoch, reason: outcome });
			},
		});
		this.starter = starter.Starter.create(opts, {
			onStarted: (session, place) => {
				this.onStarted(session, place);
			},
			onNotStarted: (session, place, err) => {
				this.onNotStarted(session, place, err);
			},
		});
		this.estimates = interference.Interference.create(() => opts.clock.now());
		this.pressure = pressure.PressureControl.create(opts, this.estimates, opts.harmMs);
		this.reportContext = this.createReportContext();
		this.ticks = clocks.every(opts.clock, settings.tickMs, () => {
			this.tick();
		});
	}

	/** Starts work under a new epoch: asks every worker of the roster what it runs. */
	static create(
		opts: DispatcherOptions,
		contents: ledger.LedgerContents,
		knowledge?: interference.Knowledge,
	): Dispatcher {
		const dispatcher = new Dispatcher(opts);
		if (knowledge !== undefined) dispatcher.estimates.adopt(knowledge);
		const now = opts.clock.now();
		const longest = opts.maxLeaseMs / (1 - settings.clockSlowness);
		const inheritedUntil = now + settings.renewalHorizonMs + longest + settings.leaseMarginMs;
		for (const stored of contents.jobs.values()) dispatcher.addStored(stored);
		for (const entry of contents.roster) {
			const session = dispatcher.openSession(entry, undefined, inheritedUntil);
			session.rostered = true;
			dispatcher.unsettled.add(session);
		}
		return dispatcher;
	}

	/** Takes in an accepted job; a job known already changes nothing. */
	addJob(record: jobs.JobRecord): void {
		if (this.jobsById.has(record.id)) return;
		this.addActive(record, undefined, { cancelled: false, inherited: false });
		this.wake();
	}

	/** Takes in a stored cancellation. */
	cancelJob(id: string): void {
		const job = this.jobsById.get(id);
		if (job === undefined || job.ended) return;
		job.cancelled = true;
		this.endJob(job, 'cancelled');
	}

	/** How a job stands; undefined: not known here. */
	stateOf(id: string): jobs.JobState | undefined {
		const job = this.jobsById.get(id);
		if (job === undefined) return undefined;
		if (job.cancelled) return job.storedState === 'completed' ? 'completed' : 'cancelled';
		// An end is told once it is stored: a successor must not run the job again.
		if (job.ended && job.storedState !== job.state) return 'running';
		return job.state;
	}

	/** Jobs of a queue of which no task has begun. */
	pendingOf(queue: string): number {
		let count = 0;
		for (const job of this.jobsById.values())
			if (job.record.queue.name === queue && job.state === 'pending') count += 1;
		return count;
	}

	/** The platform's list of workers, in part or whole. */
	setWorkers(entries: Iterable<fleet.WorkerEntry>, removed: Iterable<string>, whole: boolean): void {
		const listed = new Set<string>();
		for (const entry of entries) {
			listed.add(entry.id);
			this.setWorker(entry);
		}
		for (const id of removed) this.unlist(id);
		if (whole) for (const id of this.workers.keys()) if (!listed.has(id)) this.unlist(id);
		if (this.rosterDirty) void this.saveRoster();
		this.wake();
	}

	/** What was learnt of how tasks disturb each other, for the next owner. */
	knowledge(): interference.Knowledge {
		return this.estimates.knowledge();
	}

	/** Gives no more orders. What runs goes on under its leases until another owner takes over. */
	close(): void {
		this.closed = true;
		this.ticks.cancel();
		this.progress.close();
		for (const session of this.workers.values()) session.close();
	}

	private addStored(stored: ledger.StoredJob): void {
		const { record, progress, cancelled } = stored;
		const job = this.addActive(record, progress, { cancelled, inherited: true });
		if (cancelled && !job.ended) this.endJob(job, 'cancelled');
	}

	private addActive(
		record: jobs.JobRecord,
		progress: jobs.ProgressRecord | undefined,
		opts: { cancelled: boolean; inherited: boolean },
	): jobs.ActiveJob {
		const { clock } = this.opts;
		const now = clock.now();
		const age = Math.max(0, clock.wall() - record.acceptedAt);
		const job = jobs.ActiveJob.create(record, progress, { ...opts, now, age });
		this.jobsById.set(record.id, job);
		if (job.ended) return job;
		this.opts.events.emit('job.taken', {
			job: job.id,
			queue: record.queue.name,
			ageMs: Math.round(age),
			state: job.state,
		});
		this.openTimes(job);
		return job;
	}

	/** Makes the tasks of every time that has come. */
	private openTimes(job: jobs.ActiveJob): void {
		const { clock } = this.opts;
		for (;;) {
			const due = job.nextDue();
			if (due === undefined) {
				this.scheduled.delete(job);
				return;
			}
			if (due > clock.wall()) {
				this.scheduled.add(job);
				return;
			}
			for (const task of job.openNextTime(clock.now())) this.ready.add(task);
		}
	}

	private setWorker(entry: fleet.WorkerEntry): void {
		const known = this.workers.get(entry.id);
		if (known !== undefined) {
			if (entry.draining && known.entry?.draining !== true) this.noteDrain(known, entry);
			known.entry = entry;
			known.unlisted = false;
			return;
		}
		for (const other of this.workers.values())
			if (other.target.address === entry.address) other.end('another life is listed at its address');
		const session = this.openSession(entry, entry, -Infinity);
		if (entry.draining) this.noteDrain(session, entry);
		this.rosterDirty = true;
	}

	private noteDrain(session: sessions.WorkerSession, entry: fleet.WorkerEntry): void {
		const { clock, events } = this.opts;
		session.endsAt = clock.now() + (entry.remainingMs ?? 0);
		events.emit('worker.draining', { worker: entry.id, remainingMs: entry.remainingMs });
	}

	private unlist(id: string): void {
		const session = this.workers.get(id);
		if (session !== undefined) session.unlisted = true;
	}

	private openSession(
		target: fleet.WorkerTarget,
		entry: fleet.WorkerEntry | undefined,
		inheritedUntil: number,
	): sessions.WorkerSession {
		const session = sessions.WorkerSession.create(
			{ id: target.id, address: target.address },
			entry,
			this.opts,
			{
				onReport: (from, report, sentAt) => this.onReport(from, report, sentAt),
				onLost: (from, lost, proof) => {
					this.onLost(from, lost, proof);
				},
			},
			inheritedUntil,
		);
		this.workers.set(target.id, session);
		return session;
	}

	private async saveRoster(): Promise<void> {
		if (this.rosterSaving) return;
		this.rosterSaving = true;
		while (this.rosterDirty && !this.closed) {
			this.rosterDirty = false;
			const listed = [...this.workers.values()].filter((one) => !one.gone);
			const outcome = await this.opts.saveRoster(listed.map((one) => one.target));
			if (outcome === 'committed') {
				for (const session of listed) session.rostered = true;
				this.wake();
				continue;
			}
			if (outcome === 'superseded') {
				this.opts.onFenced();
				break;
			}
			this.rosterDirty = true;
			await clocks.sleep(this.opts.clock, settings.orderRetryMs);
		}
		this.rosterSaving = false;
	}

	private createReportContext(): ends.ReportContext {
		return {
			now: () => this.opts.clock.now(),
			findTask: (name) => this.findTask(name),
			sessionOf: (task) => this.sessionOf(task),
			adopt: (session, task, run) => this.adopt(session, task, run),
			stopStray: (session, task, run) => {
				this.opts.events.emit('run.stray', { worker: session.id, task, run });
				void this.opts.calls.stop(session.target, task, run, this.opts.epoch);
			},
			stop: (session, place) => {
				void this.starter.stop(session, place);
			},
			finished: (task) => {
				this.onFinished(task);
			},
			failed: (session, task, run) => {
				this.onFailed(session, task, run);
			},
			again: (task) => {
				this.makeReady(task);
			},
			logEnd: (session, end) => {
				this.opts.events.emit('run.ended', {
					task: end.task,
					run: end.run,
					worker: session.id,
					how: end.how,
				});
			},
		};
	}

	private async onReport(
		session: sessions.WorkerSession,
		report: fleet.WorkerReport,
		sentAt: number,
	): Promise<void> {
		const upTo = Math.max(session.seenUpTo, ...report.ended.map((end) => end.seq));
		const changed = ends.takeReport(this.reportContext, session, report, sentAt);
		for (const job of changed) this.progress.mark(job);
		this.pressure.look(session);
		if (this.unsettled.delete(session) && this.unsettled.size === 0) this.logSettled();
		this.wake();
		await this.progress.stored(changed);
		session.storedUpTo = Math.max(session.storedUpTo, upTo);
	}

	private onLost(session: sessions.WorkerSession, lost: types.Placement[], proof: string): void {
		this.opts.events.emit('worker.lost', { worker: session.id, tasks: lost.length, reason: proof });
		for (const one of lost) this.makeReady(one.task);
		if (session.gone) {
			this.workers.delete(session.id);
			this.rosterDirty = true;
		}
		if (this.unsettled.delete(session) && this.unsettled.size === 0) this.logSettled();
		this.wake();
	}

	private logSettled(): void {
		this.opts.events.emit('takeover.settled', { epoch: this.opts.epoch });
	}

	private findTask(name: string): jobs.Task | undefined {
		const parsed = jobs.parseTaskName(name);
		if (parsed === undefined) return undefined;
		return this.jobsById.get(parsed.job)?.findTask(parsed.time, parsed.step, parsed.index);
	}

	private sessionOf(task: jobs.Task): sessions.WorkerSession | undefined {
		const session = this.places.get(task);
		return session?.placements.has(task.name) === true ? session : undefined;
	}

	private adopt(session: sessions.WorkerSession, task: jobs.Task, run: number): types.Placement {
		this.ready.delete(task);
		task.state = 'placed';
		task.run = run;
		this.places.set(task, session);
		if (task.step.job.state === 'pending') task.step.job.state = 'running';
		return session.place(task, run, 'running');
	}

	private makeReady(task: jobs.Task, since = this.opts.clock.now()): void {
		if (task.state === 'finished' || task.step.job.ended) return;
		task.state = 'ready';
		task.readyAt = since;
		this.ready.add(task);
	}

	private onFinished(task: jobs.Task): void {
		const { job } = task.step;
		this.ready.delete(task);
		for (const next of job.finish(task, this.opts.clock.now())) this.ready.add(next);
		if (job.ended) this.endJob(job, job.state);
	}

	private onFailed(session: sessions.WorkerSession, task: jobs.Task, run: number): void {
		task.failures.add(run);
		task.failedOn.add(session.id);
		session.failuresInRow += 1;
		session.failedJobs.add(task.step.job.id);
		this.quarantine(session);
		const { attempts } = this.policyOf(task.step.job);
		if (!task.step.spec.lasting && task.failures.size >= attempts) this.endJob(task.step.job, 'failed');
	}

	/** A worker on which several jobs fail in a row gets no work for a while. */
	private quarantine(session: sessions.WorkerSession): void {
		if (session.failuresInRow < settings.quarantineFailures || session.failedJobs.size < 2) return;
		session.pausedUntil = this.opts.clock.now() + settings.quarantineMs;
		this.opts.events.emit('worker.quarantined', {
			worker: session.id,
			reason: `${session.failuresInRow} failures in a row of ${session.failedJobs.size} jobs`,
		});
	}

	private endJob(job: jobs.ActiveJob, state: jobs.JobState): void {
		job.state = state;
		job.endedAt = this.opts.clock.wall();
		this.scheduled.delete(job);
		this.opts.events.emit('job.ended', { job: job.id, reason: state });
		for (const step of job.steps)
			for (const task of step.tasks) {
				this.ready.delete(task);
				const session = this.sessionOf(task);
				const place = session?.placements.get(task.name);
				if (session !== undefined && place !== undefined) void this.starter.stop(session, place);
			}
		this.progress.mark(job);
	}

	private policyOf(job: jobs.ActiveJob): jobs.QueuePolicy {
		return this.opts.table()?.policyOf(job.record) ?? job.record.queue;
	}

	/** Asks for a round of placing; many asks come to one round. */
	private wake(): void {
		if (this.roundDue || this.closed) return;
		this.roundDue = true;
		const run = (): void => {
			this.roundDue = false;
			if (!this.closed) this.placeReady();
		};
		// While tasks wait for room, each round looks at all of them again.
		const wait = this.lastRoundAt + settings.roundGapMs - this.opts.clock.now();
		if (this.ready.size > 0 && wait > 0) this.opts.clock.after(wait, run);
		else setImmediate(run);
	}

	/** Places what is ready: by priority, then by the time left. */
	private placeReady(): void {
		if (this.ready.size === 0 || !this.opts.mayAct()) return;
		const waiting = [...this.ready].filter((task) => this.mayStart(task));
		const rank = new Map(waiting.map((task) => [task, this.policyOf(task.step.job).priority]));
		waiting.sort(
			(a, b) =>
				(rank.get(a) ?? 0) - (rank.get(b) ?? 0) ||
				Number(a.step.spec.lasting) - Number(b.step.spec.lasting) ||
				a.step.job.dueAt - b.step.job.dueAt ||
				a.step.number - b.step.number ||
				a.index - b.index,
		);
		const now = this.opts.clock.now();
		this.lastRoundAt = now;
		const full = new Set<jobs.StepRun>();
		for (const task of waiting) {
			if (full.has(task.step)) continue;
			const { pool } = this.policyOf(task.step.job);
			const chosen = placement.choose(task, pool, this.workers.values(), this.estimates, now);
			if (typeof chosen === 'string') full.add(task.step);
			else this.place(task, chosen);
		}
		this.preempt(waiting.filter((task) => task.state === 'ready'));
	}

	/** Stops others for short tasks that found no room. */
	private preempt(waiting: jobs.Task[]): void {
		const victims = preemption.chooseVictims(waiting, this.workers.values(), {
			now: this.opts.clock.now(),
			priorityOf: (job) => this.policyOf(job).priority,
			poolOf: (job) => this.policyOf(job).pool,
			estimates: this.estimates,
		});
		for (const { session, place } of victims) {
			this.opts.events.emit('task.stop', {
				task: place.task.name,
				worker: session.id,
				reason: 'room for short tasks',
			});
			void this.starter.stop(session, place);
		}
	}

	/** What an earlier owner may have started waits until every worker it used has been heard of. */
	private mayStart(task: jobs.Task): boolean {
		return !task.step.job.inherited || this.unsettled.size === 0;
	}

	private place(task: jobs.Task, session: sessions.WorkerSession): void {
		this.ready.delete(task);
		task.state = 'placed';
		task.run = Math.max(task.run, (this.opts.epoch - 1) * runsPerEpoch) + 1;
		this.places.set(task, session);
		const place = session.place(task, task.run, 'starting');
		this.opts.events.emit('task.placed', {
			task: task.name,
			run: task.run,
			worker: session.id,
			waitedMs: Math.round(this.opts.clock.now() - task.readyAt),
		});
		void this.starter.start(session, place);
	}

	private onStarted(_session: sessions.WorkerSession, place: types.Placement): void {
		const { job } = place.task.step;
		if (job.state === 'pending') job.state = 'running';
	}

	private onNotStarted(
		session: sessions.WorkerSession,
		place: types.Placement,
		err: fleet.WorkerFailure,
	): void {
		this.opts.events.emit('start.refused', {
			task: place.task.name,
			run: place.run,
			worker: session.id,
			reason: err.kind,
		});
		if (err.kind !== 'stale-run') session.pausedUntil = this.opts.clock.now() + settings.refusalPauseMs;
		// A refused start does not begin the wait anew: what a task may claim grows with it.
		this.makeReady(place.task, place.task.readyAt);
		this.wake();
	}

	private tick(): void {
		const now = this.opts.clock.now();
		for (const session of [...this.workers.values()]) {
			session.checkLease();
			if (session.endsAt !== undefined) this.evacuate(session, now);
			this.moveSlowed(session, now);
			if (session.unlisted && !session.answering && session.placements.size === 0 && session.settled)
				session.end('it left the list and holds nothing');
		}
		for (const job of [...this.scheduled]) this.openTimes(job);
		if (this.rosterDirty) void this.saveRoster();
		if (this.ready.size > 0) this.wake();
		this.clearOld();
	}

	/** Moves tasks that were slowed to almost nothing to workers where they would disturb nobody. */
	private moveSlowed(session: sessions.WorkerSession, now: number): void {
		for (const place of session.placements.values()) {
			const { spec } = place.task.step;
			if (place.phase !== 'running' || !spec.fills || !spec.checkpoints) continue;
			if (place.pace > settings.movedPace || now - place.pacedAt < settings.movedAfterMs) continue;
			const { pool } = this.policyOf(place.task.step.job);
			const others = [...this.workers.values()].filter((one) => one !== session);
			if (typeof placement.choose(place.task, pool, others, this.estimates, now) === 'string') continue;
			this.opts.events.emit('task.stop', { task: place.task.name, worker: session.id, reason: 'slowed' });
			void this.starter.stop(session, place);
			// One at a time: its place elsewhere has to be seen by the next choice.
			return;
		}
	}

	/** Moves work off a worker that is about to end: lasting tasks at once, others while a stop still saves them. */
	private evacuate(session: sessions.WorkerSession, now: number): void {
		const lastMoment = now >= (session.endsAt ?? Infinity) - settings.evacuateBeforeMs;
		for (const place of session.placements.values()) {
			if (place.phase !== 'running') continue;
			if (lastMoment || place.task.step.spec.lasting) void this.starter.stop(session, place);
		}
	}

	/** Forgets jobs that ended long ago, here and in the store. */
	private clearOld(): void {
		const before = this.opts.clock.wall() - this.opts.keepStateMs;
		const old = [...this.jobsById.values()]
			.filter((job) => job.ended && job.storedState === job.state && job.endedAt < before)
			.slice(0, clearBatch);
		if (old.length === 0) return;
		for (const job of old) this.jobsById.delete(job.id);
		void this.opts.clearJobs(old.map((job) => job.id));
	}
}
