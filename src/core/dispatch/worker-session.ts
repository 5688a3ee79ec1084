/**
 * One life of a worker: the task that asks it for reports and keeps its lease, and the account of what is placed
 * there. A place is freed only on a proof that its run has ended: the worker lists the end, another life answers
 * in its place, or the lease of everything there has run out.
 */
import * as availability from './worker-availability.js';
import * as clocks from '../clock.js';
import * as unconfirmed from './unconfirmed-runs.js';
import * as failures from '../fleet/failures.js';
import * as fencing from './fencing-tokens.js';
import * as health from './worker-health.js';
import * as leases from './worker-lease.js';
import * as exits from './unacknowledged-exits.js';
import * as incarnations from '../fleet/incarnations.js';
import * as placements from './placements.js';
import * as settings from './settings.js';
import * as responsiveness from './worker-responsiveness.js';
import type * as fleet from '../fleet/types.js';
import type * as jobs from '../jobs/index.js';
import type * as types from './types.js';

/** A worker under this owner's epoch. */
export class WorkerSession {
	readonly placements = new Map<string, types.Placement>();
	readonly used: fleet.Capacity = { milliCores: 0, memoryMb: 0, accelerators: 0 };
	/** Thousandths of a core asked for by tasks that fill. */
	preemptibleMilliCores = 0;
	/** Thousandths of a core reserved by lasting tasks. */
	longRunningMilliCores = 0;
	/** The worker's entry in the stored roster is open, so a successor would take any task to be there. */
	hasOpenRosterEntry = false;
	/** The tasks that its entry in the stored roster names; undefined: the entry is open, or there is none. */
	rosteredTasks: ReadonlySet<string> | undefined;
	/** No earlier owner used it, or it has answered this epoch, or is proved to run nothing. */
	isReconciled: boolean;
	/** It went down, or its leases ran out, before it had answered this epoch: what earlier owners started there is unknown. */
	lostBeforeFirstReport = false;
	/** Tasks that went down with it. */
	lostTasks: string[] = [];
	/** This life has ended. */
	hasEnded = false;
	/** Its machine is to go down: it gets no new work. */
	isBeingVacated = false;
	/** Missing from a list of workers that is known to be fresh. */
	isUnlisted = false;
	/** Clock time of the last answer. */
	lastAnsweredAt = -Infinity;
	readonly health: health.WorkerHealth;
	/** Ends that it lists and has not been let forget. */
	readonly unacknowledgedExits: exits.UnacknowledgedExits;
	/** Ends up to here have been taken in. */
	seenUpTo = 0;
	/** Runs in the newest report that are being stopped and have no place: what they take is not counted. */
	orphanedRunCount = 0;
	/** Clock time from which this worker's drain leaves no time to finish; undefined: it does not drain. */
	drainEndsAt: number | undefined;
	/** Clock time at which a start was last sent there. */
	lastStartSentAt = -Infinity;
	/** A run under suspicion of crashing workers, beside which nothing is started until it is cleared; undefined: none. */
	runOnProbation: types.Placement | undefined;
	/** Counts changes of what is placed there, and at which pace. */
	revision = 0;
	/** All that fills has to stand still for a task that serves there, as of the newest report. */
	mustPausePreemptible = false;
	/** Clock time at which a task that fills last ended here or was slowed. */
	preemptibleLoadReducedAt = -Infinity;
	/** Clock time at which a neighbour of what serves there last came, went or changed its pace. */
	neighboursChangedAt = -Infinity;
	private readonly lease: leases.WorkerLease;
	private readonly responsiveness: responsiveness.WorkerResponsiveness;
	private closed = false;
	/** Another life has answered in its place; what is there of its runs is known once that one's report is taken. */
	private superseded = false;
	/** Orders to it carry this token. */
	private token: number;
	private readonly createdAt: number;
	/** A report of it was taken in, under a token that nothing has been seen above. */
	hasReportedUnderToken = false;
	/** The newest report, also one that was put off; undefined: none, or all that it tells of is over. */
	private lastReport: fleet.WorkerReport | undefined;
	/** Clock time at which it came. */
	lastReportAt = -Infinity;
	/** How much longer than it was to wait the newest report took, in milliseconds. */
	reportDelayMs = 0;
	/** How long questions had no answer before the newest report was asked for, in milliseconds. */
	unansweredBeforeReportMs = 0;
	/** Clock time at which the last report had been dealt with, and the next question was due. */
	private nextPollDueAt = -Infinity;
	/** Runs taken for lost whose start may still be under way. */
	readonly unconfirmedRuns: unconfirmed.UnconfirmedRuns;
	/** They are being stopped. */
	private isStoppingUnconfirmedRuns = false;
	/** The other boxes were told when the leases here end: none is given until a roster write voids that. */
	private isLeaseWithheld = false;
	/** The last question was not answered; a lease sent with the next would never be known to run out. */
	private wasLastPollUnanswered = false;

	private constructor(
		/** Where it is reached. */
		public target: fleet.WorkerTarget,
		public entry: fleet.WorkerEntry | undefined,
		private readonly deps: types.SessionDeps,
		private readonly handlers: types.SessionHandlers,
		inheritedLeasesEndAt: number,
		unconfirmedRuns: readonly unconfirmed.UnconfirmedRun[],
	) {
		this.createdAt = deps.clock.now();
		this.token = deps.tokens.next();
		this.health = health.WorkerHealth.create({ ...deps, worker: target.id });
		this.lease = leases.WorkerLease.create(deps, inheritedLeasesEndAt);
		this.responsiveness = responsiveness.WorkerResponsiveness.create(deps.clock);
		this.unconfirmedRuns = unconfirmed.UnconfirmedRuns.create(unconfirmedRuns);
		this.unacknowledgedExits = exits.UnacknowledgedExits.create(deps.recordTime ?? (() => undefined));
		this.isReconciled = inheritedLeasesEndAt === -Infinity;
	}

	/**
	 * `inheritedUntil`: clock time by which leases given by earlier owners have run out; `inDoubt`: what an earlier session
	 * with this life left in doubt.
	 */
	static create(
		target: fleet.WorkerTarget,
		entry: fleet.WorkerEntry | undefined,
		deps: types.SessionDeps,
		handlers: types.SessionHandlers,
		inheritedLeasesEndAt: number,
		unconfirmedRuns: readonly unconfirmed.UnconfirmedRun[] = [],
	): WorkerSession {
		const session = new WorkerSession(target, entry, deps, handlers, inheritedLeasesEndAt, unconfirmedRuns);
		void session.run();
		return session;
	}

	get id(): string {
		return this.target.id;
	}

	/** What an order to it is sent under now. */
	stamp(): fencing.TokenStamp {
		return this.deps.tokens.stamp(this.token);
	}

	/** Takes a token above all that were given out. */
	renewToken(): void {
		this.token = this.deps.tokens.next();
	}

	/**
	 * Orders to another life of the name were seen there, so this one may be over: nothing is started before it has answered
	 * under a token above theirs.
	 */
	private renewTokenAndAwaitReport(): void {
		this.renewToken();
		this.hasReportedUnderToken = false;
	}

	/** Whether orders to it carry a lower token than those to another session. */
	hasLowerTokenThan(other: WorkerSession): boolean {
		return this.token < other.token;
	}

	/** How long it takes until every lease there has run out, in milliseconds. */
	get leaseLeftMs(): number {
		return this.lease.leftMs;
	}

	/** Clock time of the first call since the last answer that failed; undefined: none has. */
	get firstFailureAt(): number | undefined {
		return this.responsiveness.firstFailureAt;
	}

	/** Whether it went on accepting connections after it had ceased to answer, so it did not go down at that moment. */
	get isHanging(): boolean {
		return this.responsiveness.isHanging;
	}

	/** Whether it answers, as far as is known. */
	get answering(): boolean {
		return this.deps.clock.now() - this.lastAnsweredAt < settings.unresponsiveAfterMs;
	}

	/** How long since its last answer, in whole milliseconds; undefined: it has not answered this owner. */
	get silentMs(): number | undefined {
		if (this.lastAnsweredAt === -Infinity) return undefined;
		return Math.round(this.deps.clock.now() - this.lastAnsweredAt);
	}

	/** When something was last seen there, later by the time since in which questions had no answer. */
	excludeUnansweredTime(seenAt: number): number {
		return seenAt === -Infinity
			? seenAt
			: Math.min(this.deps.clock.now(), seenAt + this.unansweredBeforeReportMs);
	}

	/** Whether it has been given the time to answer and does not. */
	get silent(): boolean {
		return !this.answering && this.deps.clock.now() - this.createdAt >= settings.unresponsiveAfterMs;
	}

	/** Whether it gets no new work for a while, or never again: what may run there is known and grows no more. */
	get shouldCloseRosterEntry(): boolean {
		return this.isReconciled && (this.leaving || this.silent);
	}

	/** Whether it is to get no more work: it drains, left the list, or its machine is to go down. */
	get leaving(): boolean {
		return this.entry?.draining === true || this.isUnlisted || this.isBeingVacated;
	}

	/** Whether its end is planned: it drains, or its machine is to go down at our order. */
	get hasPlannedEnd(): boolean {
		return this.entry?.draining === true || this.isBeingVacated;
	}

	/** Tasks that a successor has to ask this worker about: placed or reported there, or ended there and not stored. */
	get tasksForSuccessor(): string[] {
		const { running = [], ended = [] } = this.lastReport ?? {};
		const unstoredExits = ended.filter((end) => end.seq > this.storedUpTo);
		const listedTasks = [...running, ...unstoredExits].map((one) => one.task);
		return [...new Set([...this.placements.keys(), ...listedTasks])];
	}

	/** Whether a run that an earlier owner started may be there, unknown to this one. */
	mayHaveUnreportedRun(task: string): boolean {
		return !this.isReconciled && (this.rosteredTasks?.has(task) ?? true);
	}

	/** Whether its zone is evacuated: it gets no new work until that is taken back, and what runs there runs on. */
	get isInEvacuatedZone(): boolean {
		return this.entry !== undefined && this.deps.isEvacuated(this.entry.zone);
	}

	/** Whether it may get new work now. */
	get open(): boolean {
		return this.closedReason === undefined;
	}

	/** Why it gets no new work now; undefined: it does. */
	get closedReason(): availability.ClosedReason | undefined {
		return availability.closedReasonOf(this);
	}

	/** Whether another life answered in its place, and nothing else has ended it. */
	get isSuperseded(): boolean {
		return this.superseded && !this.hasEnded && !this.closed;
	}

	/** Takes a place for a task. */
	place(task: jobs.Task, run: number, phase: types.Placement['phase']): types.Placement {
		const placement = placements.create(task, run, phase, this.deps.clock.now());
		this.placements.set(task.name, placement);
		this.updateReservations(task.step.spec, 1);
		return placement;
	}

	/** Gives a place back; the run there is proved to have ended, or never to start. */
	free(placement: types.Placement): void {
		if (this.placements.get(placement.task.name) !== placement) return;
		this.placements.delete(placement.task.name);
		if (this.runOnProbation === placement) this.runOnProbation = undefined;
		// Proved to be nowhere: a successor has to wait for no worker.
		if (placement.task.worker === this.id) placement.task.worker = '';
		this.updateReservations(placement.task.step.spec, -1);
		this.neighboursChangedAt = this.deps.clock.now();
		if (placement.task.step.spec.fills) this.preemptibleLoadReducedAt = this.neighboursChangedAt;
	}

	/** How long until every lease here is over, in milliseconds; from now on it does not grow. */
	withholdLease(): number {
		this.isLeaseWithheld = true;
		return this.leaseLeftMs;
	}

	/** What the other boxes were told is void: the roster has changed since. */
	allowLease(): void {
		this.isLeaseWithheld = false;
	}

	/** Whether it gets no lease for now. */
	private get isLeaseBlocked(): boolean {
		return this.isLeaseWithheld || this.unconfirmedRuns.hasAny;
	}

	/** Whether the other boxes are to know when the leases here end: nobody may be able to ask it by then. */
	get shouldPublishLeaseEnd(): boolean {
		// Without any lease there is nothing to tell.
		if (this.hasEnded || this.lease.allExpiredAt === -Infinity) return false;
		return (
			!this.isReconciled || this.deps.clock.now() - this.lastAnsweredAt >= settings.publishLeaseEndAfterMs
		);
	}

	/** Whether it answers and gets no lease. */
	get answersWithoutLease(): boolean {
		return this.isLeaseWithheld && this.answering;
	}

	/** Lease end to send with an order, on the worker's clock; undefined: none can or may be given. */
	grantLease(): number | undefined {
		return this.isLeaseBlocked ? undefined : this.lease.grant();
	}

	/** How long ago the newest lease was given, in whole milliseconds; undefined: none was. */
	get leaseAgeMs(): number | undefined {
		const { grantedAt } = this.lease;
		return grantedAt === -Infinity ? undefined : Math.round(this.deps.clock.now() - grantedAt);
	}

	/** Why it gets no lease now; undefined: it does. */
	get leaseDenial(): 'withheld' | 'in-doubt' | leases.LeaseDenial | undefined {
		if (this.isLeaseWithheld) return 'withheld';
		return this.unconfirmedRuns.hasAny ? 'in-doubt' : this.lease.denial;
	}

	/** Ends up to here are stored. */
	get storedUpTo(): number {
		return this.unacknowledgedExits.storedUpTo;
	}

	/** Ends up to `upTo` are stored, so the worker may forget them. */
	noteStored(upTo: number): void {
		this.unacknowledgedExits.noteStored(upTo, this.deps.clock.now());
	}

	/** Takes in the worker's clock from an answer. */
	noteAnswer(reading: fleet.ClockReading): void {
		this.lastAnsweredAt = this.deps.clock.now();
		this.responsiveness.noteAnswer();
		this.lease.noteClock(reading);
	}

	/** A call was not answered. A crash breaks connections, so the first failure is the closest to its moment. */
	private noteFailedCall(err: fleet.WorkerFailure): void {
		if (this.responsiveness.noteFailure()) this.handlers.onUnanswered(this, err);
	}

	/** The platform lists it so from now on. */
	updateEntry(entry: fleet.WorkerEntry): void {
		this.entry = entry;
		this.isUnlisted = false;
		if (entry.address !== this.target.address) this.target = { id: this.id, address: entry.address };
	}

	/** Sorts out a failed call to `at`, sent under `stamp`; true: the session is over. */
	ended(err: fleet.WorkerFailure, at: fleet.WorkerTarget, stamp: fencing.TokenStamp): boolean {
		if (failures.isUnanswered(err)) this.noteFailedCall(err);
		// Under an older token the refusal may come of an order of our own.
		const isReplaced = err.kind === 'fenced' && stamp.isNewest;
		if (isReplaced) this.deps.onFenced();
		else if (err.kind === 'fenced' && !this.isSessionOver) this.renewTokenAndAwaitReport();
		// At an address that it has left, a worker of another name proves nothing.
		if (err.kind === 'other-life' && at.address === this.target.address)
			this.end('another life of the worker answers at its address');
		return this.isSessionOver || isReplaced;
	}

	/** Asks whether this life is still there, beside the question under way, which may wait for seconds. */
	async checkIncarnation(): Promise<void> {
		const { target, deps } = this;
		const stamp = this.stamp();
		const res = await deps.calls.requestReport(target, { token: stamp.token, acknowledgeUpTo: 0, waitMs: 0 });
		if (this.isSessionOver) return;
		if (!res.ok) this.ended(res.err, target, stamp);
		else if (!this.isFromThisIncarnation(res.value)) this.supersede(res.value);
	}

	/** Whether no order to it makes sense any more. */
	get isSessionOver(): boolean {
		return this.hasEnded || this.closed || this.superseded;
	}

	/** Ends the session: this life of the worker is over. `moved`: runs that are not lost, as another life has them. */
	end(proof: string, carriedOver: readonly types.Placement[] = []): void {
		if (this.hasEnded) return;
		this.hasEnded = true;
		this.close();
		this.markAllLost(proof, carriedOver);
	}

	/**
	 * Ends the session, as a later life of the worker has reported under a token above this one's. Orders to this life may
	 * have been carried out by that one: runs that it lists are not lost with this one.
	 */
	endForLaterIncarnation(report: fleet.WorkerReport): void {
		if (this.hasEnded) return;
		const listed = new Set([...report.running, ...report.ended].map(({ task, run }) => runKey(task, run)));
		const carriedOver = [...this.placements.values()].filter((one) =>
			listed.has(runKey(one.task.name, one.run)),
		);
		for (const placement of carriedOver) this.free(placement);
		this.end('a later life of the worker answers', carriedOver);
	}

	/** Whether a report comes of this life. */
	private isFromThisIncarnation({ born }: fleet.WorkerReport): boolean {
		return incarnations.idOf(incarnations.nameOf(this.id), born) === this.id;
	}

	/** Another life answered in this one's place, so this one is over; it is sent nothing more. */
	private supersede({ born, clockMs }: fleet.WorkerReport): void {
		this.superseded = true;
		const later = incarnations.idOf(incarnations.nameOf(this.id), born);
		this.deps.events.emit('worker.restarted', { worker: this.id, later, clockMs: Math.round(clockMs) });
		this.handlers.onSuperseded(this, later);
	}

	/** Stops asking; the owner steps down or the session is over. */
	close(): void {
		this.closed = true;
	}

	/**
	 * Called now and then: what a silent worker held is over once its lease is. A successor that reaches the worker may
	 * have renewed that lease, so the epoch has to be shown in force by a call sent after the lease's end. True: it was
	 * not yet.
	 */
	checkLease(): boolean {
		if (this.answering || this.closed || this.lease.leftMs > 0) return false;
		if (this.isReconciled && this.tasksForSuccessor.length === 0) return false;
		if (this.deps.epochConfirmedAt() < this.lease.allExpiredAt) return true;
		this.markAllLost('the lease has run out');
		return false;
	}

	private markAllLost(proof: string, carriedOver: readonly types.Placement[] = []): void {
		const lost = [...this.placements.values()];
		this.unconfirmedRuns.add(lost);
		for (const placement of lost) this.free(placement);
		this.lostTasks = [...lost, ...carriedOver].map((placement) => placement.task.name);
		this.lastReport = undefined;
		this.orphanedRunCount = 0;
		this.lostBeforeFirstReport = !this.isReconciled;
		this.isReconciled = true;
		this.handlers.onLost(this, { lost, carriedOver, proof });
	}

	private updateReservations(spec: jobs.StepSpec, sign: 1 | -1): void {
		this.revision += 1;
		if (spec.fills) this.preemptibleMilliCores += sign * spec.milliCores;
		else this.used.milliCores += sign * spec.milliCores;
		if (spec.lasting && !spec.fills) this.longRunningMilliCores += sign * spec.milliCores;
		this.used.memoryMb += sign * spec.memoryMb;
		this.used.accelerators += sign * spec.accelerators;
	}

	private async run(): Promise<void> {
		let endTurn: (() => void) | undefined = await this.deps.firstReportTurns.acquire();
		while (!this.isSessionOver) {
			const sentAt = this.deps.clock.now();
			const { target } = this;
			const stamp = this.stamp();
			const others = this.handlers.otherIncarnations(this);
			const waitMs = this.waitMs();
			const poll = { at: sentAt, waitMs };
			const acknowledgeUpTo = this.acknowledgeableUpTo();
			this.unacknowledgedExits.noteAcknowledging(acknowledgeUpTo);
			const res = await this.deps.calls.requestReport(target, {
				token: stamp.token,
				acknowledgeUpTo,
				leaseUntil: this.wasLastPollUnanswered ? undefined : this.grantLease(),
				waitMs,
				onConnected: () => {
					this.responsiveness.noteConnected();
				},
				onRepeat: () => {
					poll.at = this.deps.clock.now();
					poll.waitMs = 0;
				},
			});
			endTurn?.();
			endTurn = undefined;
			if (this.isSessionOverNow()) return;
			this.wasLastPollUnanswered = !res.ok;
			if (res.ok && !this.isFromThisIncarnation(res.value)) {
				this.supersede(res.value);
				return;
			}
			if (res.ok) {
				this.reportDelayMs = Math.max(0, this.deps.clock.now() - poll.at - poll.waitMs);
				this.unansweredBeforeReportMs = Math.max(0, poll.at - this.nextPollDueAt);
				this.unacknowledgedExits.noteAcknowledged(acknowledgeUpTo, sentAt);
				await this.takeReport(res.value, sentAt, others);
				this.nextPollDueAt = this.deps.clock.now();
				continue;
			}
			this.responsiveness.notePollFailed();
			// Whether a worker that ceases to answer still accepts connections is to be known at once.
			const isFirstFailure = failures.isUnanswered(res.err) && this.firstFailureAt === undefined;
			if (this.ended(res.err, target, stamp)) return;
			if (res.err.kind !== 'fenced' && !isFirstFailure)
				await clocks.sleep(this.deps.clock, settings.pollRetryMs);
		}
	}

	/**
	 * Ends that the worker may forget now; 0: none. Another life may answer, and would forget its own: so the question has
	 * to follow an answer of this one in less time than it takes to start again and to end a run. `takeReport` asks at once
	 * where that matters.
	 */
	private acknowledgeableUpTo(): number {
		const [oldest] = this.lastReport?.ended ?? [];
		const isReportRecent = this.deps.clock.now() - this.lastReportAt <= settings.acknowledgeWithinMs;
		const isOldestStored = oldest !== undefined && oldest.seq <= this.storedUpTo;
		return isOldestStored && isReportRecent && this.firstFailureAt === undefined ? this.storedUpTo : 0;
	}

	/** Where tasks that fill disturb others, their effect is looked at more often. */
	private waitMs(): number {
		// Whether it answers again, and then when it may have a lease, is to be known at once.
		if (!this.lease.isClockKnown || this.wasLastPollUnanswered) return 0;
		if (this.isLeaseBlocked || this.runOnProbation !== undefined) return settings.tickMs;
		return this.preemptibleMilliCores > 0 ? settings.preemptiblePollWaitMs : settings.pollWaitMs;
	}

	/** `others`: lives of the same name that were known when the report was asked for. */
	private async takeReport(
		report: fleet.WorkerReport,
		sentAt: number,
		others: readonly WorkerSession[],
	): Promise<void> {
		if (!this.answering)
			this.deps.events.emit('worker.reached', { worker: this.id, clockMs: report.clockMs });
		this.logLapsedLeases(report);
		this.noteAnswer(report);
		this.lastReport = report;
		this.lastReportAt = this.deps.clock.now();
		this.unacknowledgedExits.noteReported(report.ended, this.lastReportAt);
		const outcome = this.handlers.onReport(this, { report, sentAt, others });
		if (outcome.type === 'put-off') {
			await clocks.sleep(this.deps.clock, settings.deferredReportRetryMs);
			return;
		}
		if (!this.hasReportedUnderToken) this.lease.assumeLongestLease();
		this.hasReportedUnderToken = true;
		if (!report.hasMoreExits) this.isReconciled = true;
		// Beside the questions: a stop without an answer takes its whole time limit, and no end could be named after it.
		void this.stopUnconfirmedRuns();
		// Listed ends that are stored already can be named only right after an answer, so the others don't delay that.
		if (this.acknowledgeableUpTo() > 0) return;
		await Promise.race([outcome.stored, clocks.sleep(this.deps.clock, settings.exitsStoreWaitMs)]);
	}

	/** Tells of runs whose lease ran out at the worker, and whose delay that was. */
	private logLapsedLeases({ ended }: fleet.WorkerReport): void {
		const lapsed = ended.filter((end) => end.how === 'lapsed' && end.seq > this.seenUpTo);
		if (lapsed.length === 0) return;
		this.deps.events.emit('lease.lapsed', {
			worker: this.id,
			epoch: this.deps.epoch,
			runs: lapsed.length,
			leaseAgeMs: this.leaseAgeMs,
			silentMs: this.silentMs,
			reason: this.leaseDenial,
		});
	}

	/** Stops runs whose start may still be under way, unless that is being done. */
	private async stopUnconfirmedRuns(): Promise<void> {
		if (this.isStoppingUnconfirmedRuns) return;
		this.isStoppingUnconfirmedRuns = true;
		await this.unconfirmedRuns.stopEach((run) => this.stopUnconfirmedRun(run));
		this.isStoppingUnconfirmedRuns = false;
	}

	/** Stops a run whose start may still be under way; whether it was answered. */
	private async stopUnconfirmedRun({ task, run }: unconfirmed.UnconfirmedRun): Promise<boolean> {
		const { target } = this;
		const stamp = this.stamp();
		const res = await this.deps.calls.stop(target, task, run, stamp.token);
		if (!res.ok) this.ended(res.err, target, stamp);
		return res.ok;
	}

	/** Read after an `await`, where the compiler thinks that it can't have changed. */
	private isSessionOverNow(): boolean {
		return this.isSessionOver;
	}
}

function runKey(task: string, run: number): string {
	return `${task}#${String(run)}`;
}
