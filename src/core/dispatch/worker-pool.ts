/**
 * The workers of one owner: a session for each incarnation, the roster in the store, and which workers of earlier owners
 * have reported.
 */
import * as clocks from '../clock.js';
import * as incarnations from '../fleet/incarnations.js';
import * as sessions from './worker-session.js';
import * as settings from './settings.js';
import type * as unconfirmed from './unconfirmed-runs.js';
import type * as fleet from '../fleet/types.js';
import type * as heartbeats from '../heartbeats/index.js';
import type * as ledger from '../ledger/index.js';
import type * as types from './types.js';

/** Minimum interval between log lines about a takeover that waits for workers, in milliseconds. */
const waitingLogIntervalMs = 1_000;

/** Maximum number of workers named in one log line. */
const maxNamedWorkers = 5;

/**
 * Maximum number of unlisted incarnations whose unconfirmed runs are remembered: a few hundred bytes each. Each of them
 * disappeared while a start to it was in flight.
 */
const maxRememberedIncarnations = 10_000;

/** Settings of a pool. */
export interface WorkerPoolOptions extends types.SessionDeps {
	saveRoster: (roster: ledger.RosterEntry[]) => Promise<ledger.WriteOutcome>;
	handlers: types.ReportHandlers;
	/** Called when more workers may take work. */
	onWorkersAvailable: () => void;
	/** When all leases of earlier owners have expired. */
	inheritedLeases: heartbeats.InheritedLeaseEnd;
	/** Number of inherited long-running tasks that wait for workers of earlier owners; absent: it is not logged. */
	longRunningAwaited?: () => number;
	/** Clock time by which all leases at a worker have expired, by worker, where the previous owner published it. */
	leaseEnds: ReadonlyMap<string, number>;
}

/** All workers under one owner. */
export class WorkerPool {
	private readonly workers = new Map<string, sessions.WorkerSession>();
	/** The incarnations that have not been proved to have ended, by worker name. */
	private readonly byName = new Map<string, readonly sessions.WorkerSession[]>();
	private readonly handlers: types.SessionHandlers;
	/** Workers that may still run what an earlier owner started, unknown to this one. */
	private readonly unreconciled = new Set<sessions.WorkerSession>();
	/** Ids of workers of earlier owners that have reported what they run. */
	private readonly reportedWorkers = new Set<string>();
	/** Unconfirmed runs on incarnations that left the list and may come back, by worker id. */
	private readonly doubtful = new Map<string, readonly unconfirmed.UnconfirmedRun[]>();
	private rosterDirty = false;
	private rosterSaving = false;
	private confirming = false;
	private closed = false;
	/** Clock time from which the next log line about unreconciled workers may be written. */
	private nextWaitingLogAt: number;
	/** Clock time from which an answer of a worker without a lease has the roster written at once. */
	private nextLeaseWriteAt = -Infinity;

	private constructor(private readonly opts: WorkerPoolOptions) {
		this.nextWaitingLogAt = opts.clock.now() + waitingLogIntervalMs;
		this.handlers = {
			...opts.handlers,
			onReport: (session, received) => {
				const outcome = opts.handlers.onReport(session, received);
				if (opts.takeover?.writesRosterOnAnswer === true && session.answersWithoutLease) this.requestLeases();
				return outcome;
			},
			otherIncarnations: (session) => this.incarnationsOf(session.id).filter((one) => one !== session),
			onSuperseded: (session, later) => {
				this.openLaterIncarnation(session, later);
			},
		};
	}

	/** Opens a session with every worker that earlier owners used. */
	static create(opts: WorkerPoolOptions, roster: ledger.RosterEntry[]): WorkerPool {
		const pool = new WorkerPool(opts);
		for (const entry of opts.takeover?.sortRoster(roster) ?? roster) {
			const isEmpty = entry.tasks?.length === 0;
			const { endsAt, longestEndAt } = opts.inheritedLeases;
			const inheritedEndAt = incarnations.isStartKnown(entry.id) ? longestEndAt : endsAt;
			const leasesEndAt = Math.min(inheritedEndAt, opts.leaseEnds.get(entry.id) ?? Infinity);
			const session = pool.open(entry, undefined, isEmpty ? -Infinity : leasesEndAt);
			session.hasOpenRosterEntry = entry.tasks === undefined;
			session.rosteredTasks = entry.tasks && new Set(entry.tasks);
			if (!session.isReconciled) pool.unreconciled.add(session);
		}
		return pool;
	}

	/** A worker's session by its id. */
	get(id: string): sessions.WorkerSession | undefined {
		return this.workers.get(id);
	}

	/** The incarnations of a worker name that have not been proved to have ended. */
	named(name: string): readonly sessions.WorkerSession[] {
		return this.byName.get(name) ?? [];
	}

	all(): sessions.WorkerSession[] {
		return [...this.workers.values()];
	}

	/** Number of workers listed in a zone, and number of runs placed there. */
	inZone(zone: string): { workers: number; runs: number } {
		const there = this.listedIn(zone);
		return { workers: there.length, runs: there.reduce((sum, one) => sum + one.placements.size, 0) };
	}

	/**
	 * Number of exits that workers list and that have not been acknowledged, and time since the oldest was first listed, in
	 * milliseconds.
	 */
	exitLoad(): { listedEnds: number; oldestEndMs: number } {
		const now = this.opts.clock.now();
		let listedEnds = 0;
		let oldestEndMs = 0;
		for (const { unacknowledgedExits: exits } of this.workers.values()) {
			listedEnds += exits.count;
			oldestEndMs = Math.max(oldestEndMs, now - (exits.oldestAt ?? now));
		}
		return { listedEnds, oldestEndMs: Math.round(oldestEndMs) };
	}

	/**
	 * Whether nothing runs in a zone. False while a worker there may run what an earlier owner started and has not reported
	 * it.
	 */
	isEmpty(zone: string): boolean {
		return this.listedIn(zone).every(
			(one) => one.isReconciled && one.placements.size === 0 && one.orphanedRunCount === 0,
		);
	}

	private listedIn(zone: string): sessions.WorkerSession[] {
		return this.all().filter((one) => one.entry?.zone === zone && !one.isSessionOver);
	}

	/** Whether every worker of earlier owners has reported, or is proved to run nothing. */
	get isReconciled(): boolean {
		return this.unreconciled.size === 0;
	}

	/** Whether a run of the task that an earlier owner started may be on any worker, unknown to this owner. */
	mayHaveUnreportedRun(task: string): boolean {
		for (const session of this.unreconciled) if (session.mayHaveUnreportedRun(task)) return true;
		return false;
	}

	/**
	 * Takes in the platform's list of workers, in part or `whole`; `removed`: names of workers that are not listed any more.
	 */
	setWorkers(entries: Iterable<fleet.WorkerEntry>, removed: Iterable<string>, whole: boolean): void {
		const listed = new Set<sessions.WorkerSession>();
		for (const entry of entries) listed.add(this.updateWorker(entry));
		for (const name of removed) for (const one of this.named(name)) one.isUnlisted = true;
		if (whole) for (const one of this.workers.values()) if (!listed.has(one)) one.isUnlisted = true;
		if (this.rosterDirty) void this.saveRoster();
	}

	/**
	 * Drops an incarnation that has ended. The losses that it caused are stored, or there were none, so no successor has to
	 * know of it.
	 */
	forget(session: sessions.WorkerSession): void {
		if (!session.hasEnded || this.workers.get(session.id) !== session) return;
		this.workers.delete(session.id);
		this.rosterDirty = true;
	}

	/** Removes an incarnation that is proved to have ended from those of its name. */
	private removeIncarnation(session: sessions.WorkerSession): void {
		const name = incarnations.nameOf(session.id);
		const others = this.named(name).filter((one) => one !== session);
		if (others.length > 0) this.byName.set(name, others);
		else this.byName.delete(name);
	}

	/** Notes that a worker has reported, or is proved to run nothing. */
	noteReconciled(session: sessions.WorkerSession): void {
		if (session.hasEnded) this.removeIncarnation(session);
		if (!this.unreconciled.delete(session)) return;
		if (!session.lostBeforeFirstReport) this.reportedWorkers.add(session.id);
		if (this.unreconciled.size === 0) this.opts.events.emit('takeover.settled', { epoch: this.opts.epoch });
	}

	/** Whether a worker of earlier owners has reported what it runs. */
	hasReported(worker: string): boolean {
		return this.reportedWorkers.has(worker);
	}

	/**
	 * For each worker that is unresponsive or has not reported yet: time until every lease there has expired, in
	 * milliseconds, by worker id. None is granted from then on.
	 */
	withholdUnresponsiveLeases(): Record<string, number> {
		const unresponsive = this.all().filter((one) => one.shouldPublishLeaseEnd);
		return Object.fromEntries(unresponsive.map((one) => [one.id, one.withholdLease()]));
	}

	/** Called periodically. Unresponsive workers lose what they held once their leases have expired. */
	tick(): void {
		// After a suspension nothing is started until the epoch is confirmed, and the next regular confirmation is far off.
		if (this.opts.epochConfirmedAt() <= this.opts.clock.resumedAt()) this.confirmEpoch();
		for (const session of this.all()) {
			if (session.checkLease()) this.confirmEpoch();
			// `tasksForSuccessor` is checked last, as it is costly to compute.
			const hasLeft = session.isUnlisted && !session.answering && session.isReconciled;
			if (hasLeft && session.tasksForSuccessor.length === 0) this.endUnlisted(session);
		}
		this.logUnreconciled();
		if (this.all().some(isRosterOutdated)) this.rosterDirty = true;
		if (this.rosterDirty) void this.saveRoster();
	}

	close(): void {
		this.closed = true;
		for (const session of this.workers.values()) session.close();
	}

	/**
	 * Ends the session with an incarnation that left the list and holds nothing. The list may be wrong, so its unconfirmed
	 * runs are kept for its return.
	 */
	private endUnlisted(session: sessions.WorkerSession): void {
		if (session.unconfirmedRuns.hasAny) this.doubtful.set(session.id, session.unconfirmedRuns.all());
		const [oldestId] = this.doubtful.keys();
		if (oldestId !== undefined && this.doubtful.size > maxRememberedIncarnations)
			this.doubtful.delete(oldestId);
		session.end('it is no longer listed and holds nothing');
	}

	/** Asks the store whether the epoch is still in force, one call at a time. */
	private confirmEpoch(): void {
		if (this.confirming) return;
		this.confirming = true;
		void this.opts.confirmEpoch().finally(() => {
			this.confirming = false;
		});
	}

	/** Logs the workers that delay the reconciliation of inherited tasks. */
	private logUnreconciled(): void {
		const { clock, events, epoch } = this.opts;
		const now = clock.now();
		if (this.isReconciled || now < this.nextWaitingLogAt) return;
		this.nextWaitingLogAt = now + waitingLogIntervalMs;
		const ids = [...this.unreconciled].slice(0, maxNamedWorkers).map((session) => session.id);
		let leftMs = 0;
		for (const session of this.unreconciled) leftMs = Math.max(leftMs, session.leaseLeftMs);
		const longRunning = this.opts.longRunningAwaited?.() ?? 0;
		events.emit('takeover.waiting', {
			epoch,
			workers: this.unreconciled.size,
			named: ids.join(' '),
			leftMs: Math.round(leftMs),
			...(longRunning > 0 && { longRunning }),
		});
	}

	/** Takes in one entry of the platform's list. Returns the session with the incarnation that it lists. */
	private updateWorker(entry: fleet.WorkerEntry): sessions.WorkerSession {
		const known = this.incarnationOf(entry);
		if (known !== undefined) {
			if (entry.draining && known.entry?.draining !== true) this.noteDrain(known, entry);
			if (entry.address !== known.target.address) this.rosterDirty = true;
			known.updateEntry({ ...entry, id: known.id });
			return known;
		}
		// A name has one entry, so earlier incarnations are not listed any more. Only an answer proves that they have ended.
		for (const other of this.incarnationsOf(entry.id)) other.isUnlisted = true;
		this.checkReusedAddress(entry);
		const session = this.open(entry, entry, -Infinity);
		if (entry.draining) this.noteDrain(session, entry);
		this.rosterDirty = true;
		return session;
	}

	/** The known incarnation that an entry lists. An entry without a start time lists whichever incarnation answers. */
	private incarnationOf(entry: fleet.WorkerEntry): sessions.WorkerSession | undefined {
		const known = this.workers.get(entry.id);
		if (known?.hasEnded === false) return known;
		return incarnations.isStartKnown(entry.id)
			? undefined
			: this.incarnationsOf(entry.id).findLast((one) => !one.isSessionOver);
	}

	/**
	 * Checks the other workers known at the address of an entry. An address may be reused before the entry of the
	 * incarnation that ended there expires, so the list may name either of them last. To presume that the living one has
	 * ended would start its tasks a second time, so only an answer counts as proof.
	 */
	private checkReusedAddress(entry: fleet.WorkerEntry): void {
		const name = incarnations.nameOf(entry.id);
		for (const other of this.all())
			if (other.target.address === entry.address && incarnations.nameOf(other.id) !== name)
				void other.checkIncarnation();
	}

	private incarnationsOf(id: string): readonly sessions.WorkerSession[] {
		return this.named(incarnations.nameOf(id));
	}

	/**
	 * Handles an answer from another incarnation than the one known before, so the one that answers is the later. Its token
	 * has to be above the earlier one's, which it may have seen. The list describes it, unless lists do not tell
	 * incarnations apart: then the earlier one's entry applies.
	 */
	private openLaterIncarnation(earlier: sessions.WorkerSession, id: string): void {
		const known = this.workers.get(id);
		if (known?.hasEnded === false) {
			if (known.hasLowerTokenThan(earlier)) known.renewToken();
			return;
		}
		const { entry } = earlier;
		const isListed = entry !== undefined && !incarnations.isStartKnown(earlier.id);
		this.open({ id, address: earlier.target.address }, isListed ? { ...entry, id } : undefined, -Infinity);
		this.rosterDirty = true;
	}

	private noteDrain(session: sessions.WorkerSession, entry: fleet.WorkerEntry): void {
		const { clock, events } = this.opts;
		session.drainEndsAt = clock.now() + (entry.remainingMs ?? 0);
		events.emit('worker.draining', { worker: session.id, remainingMs: entry.remainingMs });
	}

	private open(
		target: fleet.WorkerTarget,
		entry: fleet.WorkerEntry | undefined,
		inheritedLeasesEndAt: number,
	): sessions.WorkerSession {
		const { id, address } = target;
		const session = sessions.WorkerSession.create(
			{ id, address },
			entry,
			this.opts,
			this.handlers,
			inheritedLeasesEndAt,
			this.doubtful.get(id),
		);
		this.doubtful.delete(id);
		this.workers.set(id, session);
		this.byName.set(incarnations.nameOf(id), [...this.incarnationsOf(id), session]);
		return session;
	}

	/**
	 * Has the roster written, which allows leases again. The first answer has it written at once. Those that follow within a
	 * tick are covered by the write of the next tick, so there are no more writes a second than the ticks request.
	 */
	private requestLeases(): void {
		const now = this.opts.clock.now();
		if (now < this.nextLeaseWriteAt) return;
		this.nextLeaseWriteAt = now + settings.tickMs;
		this.rosterDirty = true;
		void this.saveRoster();
	}

	private async saveRoster(): Promise<void> {
		if (this.rosterSaving) return;
		this.rosterSaving = true;
		while (this.rosterDirty && !this.closed) {
			this.rosterDirty = false;
			const listed = this.all();
			const entries = listed.map(toRosterEntry);
			const outcome = await this.opts.saveRoster(entries);
			if (outcome === 'committed') {
				listed.forEach((session, index) => {
					session.rosteredTasks = entries[index]?.tasks && new Set(entries[index].tasks);
					session.hasOpenRosterEntry = session.rosteredTasks === undefined;
					session.allowLease();
				});
				this.opts.onWorkersAvailable();
				continue;
			}
			if (outcome === 'superseded') {
				this.opts.onFenced();
				break;
			}
			this.rosterDirty = true;
			await clocks.sleep(this.opts.clock, settings.commandRetryMs);
		}
		this.rosterSaving = false;
	}
}

/**
 * A worker's entry for the roster. The entry of a worker that gets no new work is closed: it names what may run there, so
 * that a successor has to wait for nothing else. From then on nothing is started there until the entry is open again.
 */
function toRosterEntry(session: sessions.WorkerSession): ledger.RosterEntry {
	if (session.hasEnded) return { ...session.target, tasks: session.lostTasks };
	if (session.shouldCloseRosterEntry) {
		session.hasOpenRosterEntry = false;
		return { ...session.target, tasks: session.tasksForSuccessor };
	}
	// Nothing new is known of a worker that has not reported yet.
	if (!session.isReconciled && session.rosteredTasks !== undefined)
		return { ...session.target, tasks: [...session.rosteredTasks] };
	return session.target;
}

/**
 * Whether a worker's stored entry has to be closed or opened, or names many tasks that are not there any more, or has to be
 * written for the worker to get leases again.
 */
function isRosterOutdated(session: sessions.WorkerSession): boolean {
	const { rosteredTasks } = session;
	if (session.hasEnded) return false;
	if (session.answersWithoutLease) return true;
	if (!session.isReconciled) return false;
	if (session.shouldCloseRosterEntry !== (rosteredTasks !== undefined)) return true;
	// Rewritten when the number of its tasks has halved, not for each task that leaves.
	return rosteredTasks !== undefined && session.tasksForSuccessor.length < rosteredTasks.size / 2;
}
