/** The workers that the owner deals with: one session each, the roster in the store, and who was heard of. */
import * as clocks from '../clock.js';
import * as sessions from './worker-session.js';
import * as settings from './settings.js';
import type * as doubts from './runs-in-doubt.js';
import type * as fleet from '../fleet/types.js';
import type * as ledger from '../ledger/index.js';
import type * as types from './types.js';

/** A takeover that waits for workers is told of no more often than this, in milliseconds. */
const waitingLogGapMs = 1_000;

/** Workers named in one line, at most. */
const mostNamed = 5;

/** Lives whose runs in doubt are remembered, at most: some hundred bytes each; each has died with a start under way. */
const mostDoubtful = 10_000;

/** Settings of a pool. */
export interface WorkerPoolOptions extends types.DispatchDeps {
	saveRoster: (roster: ledger.RosterEntry[]) => Promise<ledger.WriteOutcome>;
	handlers: types.SessionHandlers;
	/** More workers may take work. */
	onOpened: () => void;
	/** Clock time by which all leases at a worker are over, where the owner before said so. */
	leaseEnds: ReadonlyMap<string, number>;
}

/** All workers under one owner. */
export class WorkerPool {
	private readonly workers = new Map<string, sessions.WorkerSession>();
	/** Workers that may still run what an earlier owner started. */
	private readonly unsettled = new Set<sessions.WorkerSession>();
	/** Runs in doubt on lives that left the list and may come back, by worker. */
	private readonly doubtful = new Map<string, readonly doubts.RunInDoubt[]>();
	private rosterDirty = false;
	private rosterSaving = false;
	private confirming = false;
	private closed = false;
	/** Clock time from which the next line about unsettled workers may be written. */
	private nextWaitingLogAt: number;

	private constructor(private readonly opts: WorkerPoolOptions) {
		this.nextWaitingLogAt = opts.clock.now() + waitingLogGapMs;
	}

	/** Opens a session with every worker that earlier owners used. */
	static create(opts: WorkerPoolOptions, roster: ledger.RosterEntry[]): WorkerPool {
		const pool = new WorkerPool(opts);
		const longest = opts.maxLeaseMs / (1 - settings.clockSlowness);
		const inheritedUntil = opts.clock.now() + settings.renewalHorizonMs + longest + settings.leaseMarginMs;
		for (const entry of roster) {
			const isEmpty = entry.tasks?.length === 0;
			const until = Math.min(inheritedUntil, opts.leaseEnds.get(entry.id) ?? Infinity);
			const session = pool.open(entry, undefined, isEmpty ? -Infinity : until);
			session.rostered = entry.tasks === undefined;
			session.rosteredTasks = entry.tasks && new Set(entry.tasks);
			if (!session.settled) pool.unsettled.add(session);
		}
		return pool;
	}

	/** A worker's session by its id. */
	get(id: string): sessions.WorkerSession | undefined {
		return this.workers.get(id);
	}

	/** All sessions. */
	all(): sessions.WorkerSession[] {
		return [...this.workers.values()];
	}

	/** Whether every worker of earlier owners was heard of, or is proved to run nothing. */
	get settled(): boolean {
		return this.unsettled.size === 0;
	}

	/** Whether a run that an earlier owner started may be on any worker, unknown to this owner. */
	mayHide(task: string): boolean {
		for (const session of this.unsettled) if (session.mayHide(task)) return true;
		return false;
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
	}

	/** What went down with a dead worker is stored, or is nothing: no successor has to hear of that worker. */
	forget(session: sessions.WorkerSession): void {
		if (!session.gone || this.workers.get(session.id) !== session) return;
		this.workers.delete(session.id);
		this.rosterDirty = true;
	}

	/** A worker reported, or is proved to run nothing. */
	heard(session: sessions.WorkerSession): void {
		if (this.unsettled.delete(session) && this.unsettled.size === 0)
			this.opts.events.emit('takeover.settled', { epoch: this.opts.epoch });
	}

	/** By worker that is silent, or has not answered yet: how long until every lease there is over, in milliseconds. None is given meanwhile. */
	withholdSilent(): Record<string, number> {
		const stated = this.all().filter((one) => one.isLeaseStated);
		return Object.fromEntries(stated.map((one) => [one.id, one.withholdLease()]));
	}

	/** To be called now and then: silent workers lose what they held once their leases are over. */
	tick(): void {
		// After a suspension nothing is started until the epoch is shown in force, and the next question is due late.
		if (this.opts.confirmedAt() <= this.opts.clock.resumedAt()) this.confirm();
		for (const session of this.all()) {
			if (session.checkLease()) this.confirm();
			// What it holds is asked last: it has to be gathered.
			const hasLeft = session.unlisted && !session.answering && session.settled;
			if (hasLeft && session.concerned.length === 0) this.dismiss(session);
		}
		this.logUnsettled();
		if (this.all().some(isRosterOutdated)) this.rosterDirty = true;
		if (this.rosterDirty) void this.saveRoster();
	}

	close(): void {
		this.closed = true;
		for (const session of this.workers.values()) session.close();
	}

	/** A life left the list and holds nothing. The list may be wrong, so what is in doubt there is kept for its return. */
	private dismiss(session: sessions.WorkerSession): void {
		if (session.inDoubt.any) this.doubtful.set(session.id, session.inDoubt.all());
		const [oldest] = this.doubtful.keys();
		if (oldest !== undefined && this.doubtful.size > mostDoubtful) this.doubtful.delete(oldest);
		session.end('it left the list and holds nothing');
	}

	/** Asks the store whether the epoch is in force, one question at a time. */
	private confirm(): void {
		if (this.confirming) return;
		this.confirming = true;
		void this.opts.confirm().finally(() => {
			this.confirming = false;
		});
	}

	/** Names the workers that hold up what was inherited. */
	private logUnsettled(): void {
		const { clock, events, epoch } = this.opts;
		const now = clock.now();
		if (this.settled || now < this.nextWaitingLogAt) return;
		this.nextWaitingLogAt = now + waitingLogGapMs;
		const ids = [...this.unsettled].slice(0, mostNamed).map((session) => session.id);
		const leftMs = Math.max(...[...this.unsettled].map((session) => session.leaseLeftMs));
		events.emit('takeover.waiting', {
			epoch,
			workers: this.unsettled.size,
			named: ids.join(' '),
			leftMs: Math.round(leftMs),
		});
	}

	private setWorker(entry: fleet.WorkerEntry): void {
		const known = this.workers.get(entry.id);
		if (known !== undefined) {
			if (entry.draining && known.entry?.draining !== true) this.noteDrain(known, entry);
			if (entry.address !== known.target.address) this.rosterDirty = true;
			known.list(entry);
			return;
		}
		// Addresses are used again before the entry of the life that ended there lapses: the list may name either of them
		// last, and taking the living one for gone would start its tasks a second time. Only an answer tells.
		for (const other of this.all()) if (other.target.address === entry.address) void other.checkLife();
		const session = this.open(entry, entry, -Infinity);
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

	private open(
		target: fleet.WorkerTarget,
		entry: fleet.WorkerEntry | undefined,
		inheritedUntil: number,
	): sessions.WorkerSession {
		const { id, address } = target;
		const session = sessions.WorkerSession.create(
			{ id, address },
			entry,
			this.opts,
			this.opts.handlers,
			inheritedUntil,
			this.doubtful.get(id),
		);
		this.doubtful.delete(id);
		this.workers.set(id, session);
		return session;
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
					session.rostered = session.rosteredTasks === undefined;
					session.releaseLease();
				});
				this.opts.onOpened();
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
}

/**
 * A worker's entry for the roster. One that gets no new work is closed: it names what may run there, so that a successor
 * has to wait for nothing else. From now on nothing is started there until the entry is open again.
 */
function toRosterEntry(session: sessions.WorkerSession): ledger.RosterEntry {
	if (session.gone) return { ...session.target, tasks: session.lostTasks };
	if (session.withdrawn) {
		session.rostered = false;
		return { ...session.target, tasks: session.concerned };
	}
	// Nothing new is known of a worker that has not answered yet.
	if (!session.settled && session.rosteredTasks !== undefined)
		return { ...session.target, tasks: [...session.rosteredTasks] };
	return session.target;
}

/**
 * Whether a worker's stored entry should be closed, or opened again, or names many tasks that are not there any more; or
 * the roster has to change for the worker to get leases again.
 */
function isRosterOutdated(session: sessions.WorkerSession): boolean {
	const { rosteredTasks } = session;
	if (session.gone) return false;
	if (session.lacksLease) return true;
	if (!session.settled) return false;
	if (session.withdrawn !== (rosteredTasks !== undefined)) return true;
	// Not for each task that leaves it: as often as their number has halved.
	return rosteredTasks !== undefined && session.concerned.length < rosteredTasks.size / 2;
}
