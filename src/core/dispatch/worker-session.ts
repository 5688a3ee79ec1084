/**
 * The session with one incarnation of a worker. It polls the worker for reports, renews its lease, and accounts for the
 * placements there. A placement is freed only on proof that its run has exited: the worker lists the exit, another
 * incarnation answers in its place, or the lease on everything there has expired.
 */
import * as availability from './worker-availability.js';
import * as clocks from '../clock.js';
import * as errorStacks from '../errors/stacks.js';
import * as unconfirmed from './unconfirmed-runs.js';
import * as failures from '../fleet/failures.js';
import * as health from './worker-health.js';
import * as leases from './worker-lease.js';
import * as exits from './unacknowledged-exits.js';
import * as incarnations from '../fleet/incarnations.js';
import * as placements from './placements.js';
import * as settings from './settings.js';
import * as responsiveness from './worker-responsiveness.js';
import * as results from '../result.js';
import type * as fleet from '../fleet/types.js';
import type * as jobs from '../jobs/index.js';
import type * as types from './types.js';

/** A call as it is sent. */
export interface SentCall {
	target: fleet.WorkerTarget;
	/** The fencing token that it carries. */
	token: number;
	/** Clock time at which its answer is due. */
	dueAt: number;
}

/** A worker under this owner's epoch. */
export class WorkerSession {
	readonly placements = new Map<string, types.Placement>();
	readonly used: fleet.Capacity = { milliCores: 0, memoryMb: 0, accelerators: 0 };
	/** Millicores requested by preemptible tasks. */
	preemptibleMilliCores = 0;
	/** Millicores reserved by long-running tasks that are not preemptible. */
	longRunningMilliCores = 0;
	/**
	 * Whether the worker's entry in the stored roster is open: it names no tasks, so a successor assumes that any task may
	 * be there.
	 */
	hasOpenRosterEntry = false;
	/** The tasks that its entry in the stored roster names; undefined: the entry is open, or there is none. */
	rosteredTasks: ReadonlySet<string> | undefined;
	/**
	 * Whether no run of an earlier owner can be there unknown to this one: no earlier owner used the worker, it has reported
	 * under this epoch, or it is proved to run nothing.
	 */
	isReconciled: boolean;
	/**
	 * Whether it ended, or its leases expired, before it had reported under this epoch: what earlier owners started there is
	 * unknown.
	 */
	lostBeforeFirstReport = false;
	/** Names of the tasks whose runs ended with it. */
	lostTasks: string[] = [];
	/** Whether this incarnation is proved to have ended. */
	hasEnded = false;
	/** Whether its machine is about to go down: it gets no new work. */
	isBeingVacated = false;
	/** Whether the newest list of workers no longer has it. */
	isUnlisted = false;
	readonly health: health.WorkerHealth;
	/** Exits that it lists and that have not been acknowledged to it. */
	readonly unacknowledgedExits: exits.UnacknowledgedExits;
	/** Sequence number of the newest exit that has been processed; 0: none. */
	seenUpTo = 0;
	/**
	 * Number of runs in the newest report that have no placement and are being stopped; the resources that they use are not
	 * accounted for.
	 */
	orphanedRunCount = 0;
	/** Clock time at which the worker's drain period ends; undefined: it does not drain. */
	drainEndsAt: number | undefined;
	/** Clock time at which a start was last sent there; `-Infinity`: none was. */
	lastStartSentAt = -Infinity;
	/** A run suspected of crashing workers. Nothing is started beside it until it is cleared; undefined: there is none. */
	runOnProbation: types.Placement | undefined;
	/** Incremented whenever a placement there is added or removed, or its pace changes. */
	revision = 0;
	/** Whether all preemptible tasks there have to be paused for a serving task, as of the newest report. */
	mustPausePreemptible = false;
	/** Clock time at which a preemptible task there last exited or was throttled; `-Infinity`: none has. */
	preemptibleLoadReducedAt = -Infinity;
	/** Clock time at which a run there last started, exited or changed its pace; `-Infinity`: none has. */
	neighboursChangedAt = -Infinity;
	private readonly lease: leases.WorkerLease;
	private readonly responsiveness: responsiveness.WorkerResponsiveness;
	private closed = false;
	/**
	 * Whether another incarnation has answered in its place. Which of its runs are still there is known once the report of
	 * that incarnation is processed.
	 */
	private superseded = false;
	/** The fencing token of commands to it. */
	private token: number;
	private readonly createdAt: number;
	/** Whether a report was processed under the current token, and no higher token had been seen there. */
	hasReportedUnderToken = false;
	/**
	 * The newest report, also one whose processing was deferred; undefined: there is none, or everything that it lists is
	 * over.
	 */
	private lastReport: fleet.WorkerReport | undefined;
	/** Clock time at which the newest report arrived; `-Infinity`: none has. */
	lastReportAt = -Infinity;
	/** How late the newest report came, in milliseconds: the time that it took beyond the wait that was requested. */
	reportDelayMs = 0;
	/** How long the worker had left polls unanswered before the poll that brought the newest report, in milliseconds. */
	unansweredBeforeReportMs = 0;
	/**
	 * Clock time at which the last report had been processed and the next poll was due; `-Infinity`: there was no report.
	 */
	private nextPollDueAt = -Infinity;
	/** Runs that are presumed lost while their start may still be in flight. */
	readonly unconfirmedRuns: unconfirmed.UnconfirmedRuns;
	/** Whether the unconfirmed runs are being stopped. */
	private isStoppingUnconfirmedRuns = false;
	/**
	 * Whether no lease may be granted because its expiry was published to the other boxes. A roster write voids what was
	 * published.
	 */
	isLeaseWithheld = false;
	/** Whether the last poll was not answered. A lease sent with the next one could never be proved to have expired. */
	private wasLastPollUnanswered = false;
	/** Whether the last report could not be processed. Such a worker counts as one that does not answer. */
	private wasLastReportUnusable = false;

	private constructor(
		/** Where commands to it are sent. */
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
		this.lease = leases.WorkerLease.create(deps, inheritedLeasesEndAt, incarnations.isStartKnown(target.id));
		this.responsiveness = responsiveness.WorkerResponsiveness.create(deps.clock);
		this.unconfirmedRuns = unconfirmed.UnconfirmedRuns.create(unconfirmedRuns);
		this.unacknowledgedExits = exits.UnacknowledgedExits.create(deps.recordTime ?? (() => undefined));
		this.isReconciled = inheritedLeasesEndAt === -Infinity;
	}

	/**
	 * `inheritedLeasesEndAt`: clock time by which leases granted by earlier owners have expired, `-Infinity` if there are
	 * none; `unconfirmedRuns`: those that an earlier session with this incarnation left behind.
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

	/** A call to be sent now. `waitMs`: how long its answer may wait at the worker, in milliseconds. */
	newCall(waitMs = 0): SentCall {
		return { target: this.target, token: this.token, dueAt: this.deps.clock.now() + waitMs };
	}

	/** Takes a token above all that were issued. */
	renewToken(): void {
		this.token = this.deps.tokens.next();
	}

	/**
	 * Handles that commands to another incarnation of the same worker name were seen there, so this one may have ended.
	 * Nothing is started before it has reported under a token above theirs.
	 */
	private renewTokenAndAwaitReport(): void {
		this.renewToken();
		this.hasReportedUnderToken = false;
	}

	/** Whether commands to it carry a lower token than those to another session. */
	hasLowerTokenThan(other: WorkerSession): boolean {
		return this.token < other.token;
	}

	/** Time until every lease there has expired, in milliseconds. */
	get leaseLeftMs(): number {
		return this.lease.leftMs;
	}

	/** Clock time of the last answer; `-Infinity`: it has not answered this owner. */
	get lastAnsweredAt(): number {
		return this.responsiveness.lastAnsweredAt;
	}

	/** Clock time of the first failed call since the last answer; undefined: none has failed. */
	get firstFailureAt(): number | undefined {
		return this.responsiveness.firstFailureAt;
	}

	/** Clock time by which it had ceased to answer; undefined: no call has failed since the last answer. */
	get silentSince(): number | undefined {
		return this.responsiveness.silentSince;
	}

	/** Whether it ceased to answer at the moment of the first failed call, rather than some time before. */
	get isFailureTimeKnown(): boolean {
		return this.responsiveness.isFailureTimeKnown;
	}

	/** Whether it still accepted connections after it had ceased to answer, so it did not crash at that moment. */
	get isHanging(): boolean {
		return this.responsiveness.isHanging;
	}

	/** Whether it has answered recently. */
	get answering(): boolean {
		return this.deps.clock.now() - this.lastAnsweredAt < settings.unresponsiveAfterMs;
	}

	/** Time since its last answer, in whole milliseconds; undefined: it has not answered this owner. */
	get silentMs(): number | undefined {
		if (this.lastAnsweredAt === -Infinity) return undefined;
		return Math.round(this.deps.clock.now() - this.lastAnsweredAt);
	}

	/**
	 * Shifts the clock time at which something was last observed there by the time in which polls were left unanswered
	 * since, so that this time does not count. `-Infinity` stays as it is.
	 */
	excludeUnansweredTime(seenAt: number): number {
		return seenAt === -Infinity
			? seenAt
			: Math.min(this.deps.clock.now(), seenAt + this.unansweredBeforeReportMs);
	}

	/** Whether it has had the time to answer and does not. */
	get silent(): boolean {
		return !this.answering && this.deps.clock.now() - this.createdAt >= settings.unresponsiveAfterMs;
	}

	/**
	 * Whether its roster entry should be closed: it gets no new work for a while, or never again, so the set of tasks that
	 * may run there is known and cannot grow.
	 */
	get shouldCloseRosterEntry(): boolean {
		return this.isReconciled && (this.leaving || this.silent);
	}

	/** Whether it gets no more work: it drains, has left the list, or its machine is about to go down. */
	get leaving(): boolean {
		return this.entry?.draining === true || this.isUnlisted || this.isBeingVacated;
	}

	/** Whether its end is planned: it drains, or the owner is about to take its machine down. */
	get hasPlannedEnd(): boolean {
		return this.entry?.draining === true || this.isBeingVacated;
	}

	/**
	 * Tasks that a successor has to query this worker about: placed or reported there, or exited there with the exit not yet
	 * stored.
	 */
	get tasksForSuccessor(): string[] {
		const { running = [], ended = [] } = this.lastReport ?? {};
		const unstoredExits = ended.filter((end) => end.seq > this.storedUpTo);
		const listedTasks = [...running, ...unstoredExits].map((one) => one.task);
		return [...new Set([...this.placements.keys(), ...listedTasks])];
	}

	/** Whether a run of the task that an earlier owner started may be there, unknown to this owner. */
	mayHaveUnreportedRun(task: string): boolean {
		return !this.isReconciled && (this.rosteredTasks?.has(task) ?? true);
	}

	/** Whether its zone is evacuated: it gets no new work until the evacuation is revoked, and its runs continue. */
	get isInEvacuatedZone(): boolean {
		return this.entry !== undefined && this.deps.isEvacuated(this.entry.zone);
	}

	/** Whether it may get new work. */
	get open(): boolean {
		return this.closedReason === undefined;
	}

	/** Why it gets no new work; undefined: it may get some. */
	get closedReason(): availability.ClosedReason | undefined {
		return availability.closedReasonOf(this) ?? this.deps.takeover?.closedReason(this);
	}

	/** Whether another incarnation has answered in its place, and nothing else has ended the session. */
	get isSuperseded(): boolean {
		return this.superseded && !this.hasEnded && !this.closed;
	}

	/** Creates a placement for a task and reserves its resources. */
	place(task: jobs.Task, run: number, phase: types.Placement['phase']): types.Placement {
		const placement = placements.create(task, run, phase, this.deps.clock.now());
		this.placements.set(task.name, placement);
		this.updateReservations(task.step.spec, 1);
		return placement;
	}

	/** Frees a placement whose run is proved to have exited, or never to start. */
	free(placement: types.Placement): void {
		if (this.placements.get(placement.task.name) !== placement) return;
		this.placements.delete(placement.task.name);
		if (this.runOnProbation === placement) this.runOnProbation = undefined;
		// The task is proved to run nowhere, so a successor has to wait for no worker.
		if (placement.task.worker === this.id) placement.task.worker = '';
		this.updateReservations(placement.task.step.spec, -1);
		this.neighboursChangedAt = this.deps.clock.now();
		if (placement.task.step.spec.fills) this.preemptibleLoadReducedAt = this.neighboursChangedAt;
	}

	/** Returns the time until every lease here has expired, in milliseconds, and grants none from then on. */
	withholdLease(): number {
		this.isLeaseWithheld = true;
		return this.leaseLeftMs;
	}

	/** Allows leases again: the roster was written after the lease expiry was published, which voids it. */
	allowLease(): void {
		this.isLeaseWithheld = false;
	}

	/** Whether no lease may be granted. */
	private get isLeaseBlocked(): boolean {
		return this.isLeaseWithheld || this.unconfirmedRuns.hasAny;
	}

	/**
	 * Whether the other boxes need to know when the leases here expire, as nobody may be able to reach the worker by then.
	 */
	get shouldPublishLeaseEnd(): boolean {
		// No lease was ever granted, so there is no expiry to publish.
		if (this.hasEnded || this.lease.allExpiredAt === -Infinity) return false;
		const now = this.deps.clock.now();
		return (
			!this.isReconciled ||
			now - this.lastAnsweredAt >= settings.publishLeaseEndAfterMs ||
			now - (this.firstFailureAt ?? Infinity) >= settings.publishLeaseEndAfterFailureMs
		);
	}

	/** Whether it answers while its lease is withheld. */
	get answersWithoutLease(): boolean {
		return this.isLeaseWithheld && this.answering;
	}

	/** Lease expiry to send with a command, on the worker's clock; undefined: none can or may be granted. */
	grantLease(): number | undefined {
		return this.isLeaseBlocked ? undefined : this.lease.grant();
	}

	/** The same for a start, which extends the newest lease only if it ends soon. */
	grantLeaseForStart(): number | undefined {
		return this.isLeaseBlocked ? undefined : this.lease.grantForStart();
	}

	/** Time since the newest lease was granted, in whole milliseconds; undefined: none was. */
	get leaseAgeMs(): number | undefined {
		const { grantedAt } = this.lease;
		return grantedAt === -Infinity ? undefined : Math.round(this.deps.clock.now() - grantedAt);
	}

	/** Why no lease can be granted; undefined: one can. */
	get leaseDenial(): 'withheld' | 'in-doubt' | leases.LeaseDenial | undefined {
		if (this.isLeaseWithheld) return 'withheld';
		return this.unconfirmedRuns.hasAny ? 'in-doubt' : this.lease.denial;
	}

	/** Exits up to this sequence number are stored. */
	get storedUpTo(): number {
		return this.unacknowledgedExits.storedUpTo;
	}

	/** Exits up to `upTo` are stored, so they may be acknowledged to the worker. */
	noteStored(upTo: number): void {
		this.unacknowledgedExits.noteStored(upTo, this.deps.clock.now());
	}

	/** Notes an answer, which carries the worker's clock. */
	noteAnswer(reading: fleet.ClockReading): void {
		this.responsiveness.noteAnswer();
		this.lease.noteClock(reading);
	}

	/**
	 * Handles a call that was not answered. A crash breaks connections, so the first failure is closest to the time of the
	 * crash.
	 */
	private noteFailedCall(err: fleet.WorkerFailure, dueAt: number): void {
		if (this.responsiveness.noteFailure(dueAt)) this.handlers.onUnanswered(this, err);
	}

	/** Updates the worker's entry from the platform's list. */
	updateEntry(entry: fleet.WorkerEntry): void {
		this.entry = entry;
		this.isUnlisted = false;
		if (entry.address !== this.target.address) this.target = { id: this.id, address: entry.address };
	}

	/** Handles a failed call. Returns whether the session is over. */
	ended(failure: fleet.WorkerFailure, { target, token, dueAt }: SentCall): boolean {
		const err = failures.reasonOf(failure);
		if (failures.isUnanswered(err)) this.noteFailedCall(err, dueAt);
		// The token is compared as the answer arrives: it may have been the newest as the command was sent.
		const isReplaced = err.kind === 'fenced' && this.deps.tokens.isNewest(token);
		if (isReplaced) this.deps.onFenced();
		else if (err.kind === 'fenced' && !this.isSessionOver) this.renewTokenAndAwaitReport();
		// If the worker has moved to another address, a worker of another name at the old one proves nothing.
		if (err.kind === 'other-life' && target.address === this.target.address) {
			this.responsiveness.noteReplaced();
			this.end('another life of the worker answers at its address');
		}
		return this.isSessionOver || isReplaced;
	}

	/** Checks whether this incarnation still answers. The call runs beside the pending poll, which may wait for seconds. */
	async checkIncarnation(): Promise<void> {
		const call = this.newCall();
		const { target, token } = call;
		const res = await this.deps.calls.requestReport(target, { token, acknowledgeUpTo: 0, waitMs: 0 });
		if (this.isSessionOver) return;
		if (!res.ok) this.ended(res.err, call);
		else if (!this.isFromThisIncarnation(res.value)) this.supersede(res.value);
	}

	/** Whether the session is over, so that no more commands are sent. */
	get isSessionOver(): boolean {
		return this.hasEnded || this.closed || this.superseded;
	}

	/**
	 * Ends the session: this incarnation is proved to have ended. `carriedOver`: runs that are not lost, as a later
	 * incarnation has them.
	 */
	end(proof: string, carriedOver: readonly types.Placement[] = []): void {
		if (this.hasEnded) return;
		this.hasEnded = true;
		this.close();
		this.markAllLost(proof, carriedOver);
	}

	/**
	 * Ends the session after a later incarnation has reported under a higher token. That incarnation may have carried out
	 * commands to this one, so runs that it lists are not lost.
	 */
	endForLaterIncarnation(report: fleet.WorkerReport): void {
		if (this.hasEnded) return;
		const listed = new Set([...report.running, ...report.ended].map(({ task, run }) => runKey(task, run)));
		const carriedOver = [...this.placements.values()].filter((one) =>
			listed.has(runKey(one.task.name, one.run)),
		);
		for (const placement of carriedOver) this.free(placement);
		this.end('a later incarnation of the worker answers', carriedOver);
	}

	/** Whether a report comes from this incarnation. */
	private isFromThisIncarnation({ born }: fleet.WorkerReport): boolean {
		return incarnations.idOf(incarnations.nameOf(this.id), born) === this.id;
	}

	/**
	 * Handles an answer from another incarnation in this one's place: this one has ended, and no more commands are sent to
	 * it.
	 */
	private supersede({ born, clockMs }: fleet.WorkerReport): void {
		this.superseded = true;
		const later = incarnations.idOf(incarnations.nameOf(this.id), born);
		this.deps.events.emit('worker.restarted', { worker: this.id, later, clockMs: Math.round(clockMs) });
		this.handlers.onSuperseded(this, later);
	}

	/** Stops polling, as the owner steps down or the session is over. */
	close(): void {
		this.closed = true;
	}

	/**
	 * Called periodically. Whatever an unresponsive worker held has ended once its lease has expired. A successor that
	 * reaches the worker may have renewed the lease, so a call sent after the expiry has to confirm the epoch first. Returns
	 * whether that confirmation is still missing.
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
		let endTurn: types.EndTurn | undefined = await this.deps.firstReportTurns.acquire(this.id);
		while (!this.isSessionOver) {
			await this.untilFirstLease();
			const sentAt = this.deps.clock.now();
			const others = this.handlers.otherIncarnations(this);
			const waitMs = this.waitMs();
			const call = this.newCall(waitMs);
			const poll = { at: sentAt, waitMs };
			const acknowledgeUpTo = this.acknowledgeableUpTo();
			this.unacknowledgedExits.noteAcknowledging(acknowledgeUpTo);
			const res = await this.deps.calls.requestReport(call.target, {
				token: call.token,
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
			endTurn?.(res.ok);
			endTurn = undefined;
			if (this.isSessionOverNow()) return;
			if (res.ok && !this.isFromThisIncarnation(res.value)) {
				this.supersede(res.value);
				return;
			}
			let failure = res.ok ? undefined : res.err;
			if (res.ok) {
				this.reportDelayMs = Math.max(0, this.deps.clock.now() - poll.at - poll.waitMs);
				this.unansweredBeforeReportMs = Math.max(0, poll.at - this.nextPollDueAt);
				this.unacknowledgedExits.noteAcknowledged(acknowledgeUpTo, sentAt);
				const taken = this.tryTakeReport(res.value, sentAt, others);
				if (!taken.ok) failure = taken.err;
				else await this.afterReport(taken.value);
			}
			this.wasLastPollUnanswered = failure !== undefined;
			if (failure === undefined) {
				this.nextPollDueAt = this.deps.clock.now();
				continue;
			}
			if (failures.reasonOf(failure).kind === 'other-life') this.responsiveness.noteReplaced();
			this.responsiveness.notePollFailed();
			// Polls again at once after the first failure, to learn whether a worker that ceases to answer still accepts
			// connections.
			const isFirstFailure = failures.isUnanswered(failure) && this.firstFailureAt === undefined;
			if (this.ended(failure, call)) return;
			if (failures.reasonOf(failure).kind !== 'fenced' && !isFirstFailure)
				await clocks.sleep(this.deps.clock, settings.pollRetryMs);
		}
	}

	/**
	 * Waits until the first lease may be granted, for a tick at most: leases of earlier owners may be about to expire, and the
	 * next poll may wait for an exit.
	 */
	private async untilFirstLease(): Promise<void> {
		const { clock, firstLeaseAllowed } = this.deps;
		const wasGranted = this.lease.grantedAt > -Infinity;
		if (firstLeaseAllowed === undefined || wasGranted || !this.lease.isClockKnown) return;
		await Promise.race([firstLeaseAllowed, clocks.sleep(clock, settings.tickMs)]);
	}

	/**
	 * Sequence number up to which exits may be acknowledged in the next poll; 0: none. If another incarnation answers, it
	 * drops its own exits instead. So the poll has to follow an answer of this incarnation in less time than a worker takes
	 * to restart and to finish a run. `takeReport` returns early where exits can be acknowledged, so that the poll follows
	 * at once.
	 */
	private acknowledgeableUpTo(): number {
		const [oldest] = this.lastReport?.ended ?? [];
		const isReportRecent = this.deps.clock.now() - this.lastReportAt <= settings.acknowledgeWithinMs;
		const isOldestStored = oldest !== undefined && oldest.seq <= this.storedUpTo;
		return isOldestStored && isReportRecent && this.firstFailureAt === undefined ? this.storedUpTo : 0;
	}

	/**
	 * How long the next report may wait for an exit, in milliseconds; shorter beside preemptible tasks, as their
	 * interference has to be measured more often.
	 */
	private waitMs(): number {
		// Polls without a wait, to learn at once whether the worker answers again, and then its clock, without which it gets
		// no lease.
		if (!this.lease.isClockKnown || this.wasLastPollUnanswered) return 0;
		// No lease may be granted yet by a new owner, or after a suspension.
		if (this.deps.leasesEndBy() === -Infinity) return settings.tickMs;
		if (this.isLeaseBlocked || this.runOnProbation !== undefined) return settings.tickMs;
		return this.preemptibleMilliCores > 0 ? settings.preemptiblePollWaitMs : settings.pollWaitMs;
	}

	/**
	 * Processes a report. One whose processing throws counts as an unanswered poll: the worker gets no lease and no work, and
	 * its runs are presumed lost once their lease has expired. The owner and the other workers are not affected.
	 */
	private tryTakeReport(
		report: fleet.WorkerReport,
		sentAt: number,
		others: readonly WorkerSession[],
	): results.Result<types.ReportOutcome, fleet.WorkerFailure> {
		const reportBefore = this.lastReport;
		try {
			const outcome = this.takeReport(report, sentAt, others);
			if (this.wasLastReportUnusable) this.noteAnswer(report);
			this.wasLastReportUnusable = false;
			return results.ok(outcome);
		} catch (err) {
			this.lastReport = reportBefore;
			const reason = `its report can't be processed: ${String(err)}`;
			if (!this.wasLastReportUnusable)
				this.deps.events.emit('worker.report-unusable', {
					worker: this.id,
					reason,
					stack: errorStacks.placeOf(err),
				});
			this.wasLastReportUnusable = true;
			return results.fail({ kind: 'no-answer', reason });
		}
	}

	/** `others`: sessions with other incarnations of the same name that were known when the poll was sent. */
	private takeReport(
		report: fleet.WorkerReport,
		sentAt: number,
		others: readonly WorkerSession[],
	): types.ReportOutcome {
		if (!this.answering)
			this.deps.events.emit('worker.reached', { worker: this.id, clockMs: report.clockMs });
		this.logLapsedLeases(report);
		if (!this.wasLastReportUnusable) this.noteAnswer(report);
		this.lastReport = report;
		this.lastReportAt = this.deps.clock.now();
		this.unacknowledgedExits.noteReported(report.ended, this.lastReportAt);
		const outcome = this.handlers.onReport(this, { report, sentAt, others });
		if (outcome.type === 'put-off') return outcome;
		if (!this.hasReportedUnderToken) this.lease.assumeLongestLease();
		this.hasReportedUnderToken = true;
		if (!report.hasMoreExits) this.isReconciled = true;
		return outcome;
	}

	/** Waits until the next poll is due. */
	private async afterReport(outcome: types.ReportOutcome): Promise<void> {
		if (outcome.type === 'put-off') {
			await clocks.sleep(this.deps.clock, settings.deferredReportRetryMs);
			return;
		}
		// Runs beside the polls: an unanswered stop takes its whole timeout, and no exit could be acknowledged after that.
		void this.stopUnconfirmedRuns();
		// Stored exits can be acknowledged only right after an answer, so waiting for the other exits must not delay that.
		if (this.acknowledgeableUpTo() > 0) return;
		await Promise.race([outcome.stored, clocks.sleep(this.deps.clock, settings.exitsStoreWaitMs)]);
	}

	/** Logs runs whose lease expired at the worker, with the data that shows which side caused the delay. */
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

	/** Stops runs whose start may still be in flight, unless that is under way already. */
	private async stopUnconfirmedRuns(): Promise<void> {
		if (this.isStoppingUnconfirmedRuns) return;
		this.isStoppingUnconfirmedRuns = true;
		await this.unconfirmedRuns.stopEach((run) => this.stopUnconfirmedRun(run));
		this.isStoppingUnconfirmedRuns = false;
	}

	/** Stops a run whose start may still be in flight. Returns whether the stop was answered. */
	private async stopUnconfirmedRun({ task, run }: unconfirmed.UnconfirmedRun): Promise<boolean> {
		if (this.isSessionOver) return false;
		const call = this.newCall();
		const res = await this.deps.calls.stop(call.target, task, run, call.token);
		if (!res.ok) this.ended(res.err, call);
		return res.ok;
	}

	/** Re-reads `isSessionOver` after an `await`, where the compiler assumes that it is unchanged. */
	private isSessionOverNow(): boolean {
		return this.isSessionOver;
	}
}

function runKey(task: string, run: number): string {
	return `${task}#${String(run)}`;
}
