/**
 * The task that owns one shard: it takes requests and workers' reports, decides, stores the decisions as one entry,
 * and only then replies and gives orders. One append is in flight at a time; whatever arrives meanwhile rides in the
 * next one (group commit). docs/decisions/0002-shard-log.md weighs it against one write a decision.
 */
import * as clocks from '../clock.js';
import * as errors from '../errors/index.js';
import * as results from '../result.js';
import * as shards from '../shard/index.js';
import * as boxes from './boxes.js';
import * as commands from './commands.js';
import * as contacts from './contacts.js';
import * as effects from './effects.js';
import * as placing from './placing.js';
import * as report from './report.js';
import * as retention from './retention.js';
import * as reports from './reports.js';
import * as requests from './requests.js';
import * as silence from './silence.js';
import * as tasks from '../task/index.js';
import * as waiting from './request-queue.js';
import type * as events from '../events/index.js';
import type * as placement from '../placement/index.js';
import type * as types from './types.js';
import type * as platform from '../platform/index.js';
import type * as workers from '../worker/index.js';

/** What an owner needs. */
export interface OwnerDeps {
	shard: string;
	/** Box and boot of this process. */
	owner: string;
	store: platform.Store;
	clock: clocks.Clock;
	events: events.EventLog;
	exchange: workers.Exchange;
	opts: types.OwnerOptions;
	/** Rates workers for placement. */
	score: placement.Score;
	nextShard: (part: shards.JobRecord['part']) => string | undefined;
	holderGone: (holder: string) => boolean;
	/** Called once when the shard turns out to be someone else's. */
	onLost: () => void;
	metrics: OwnerMetrics;
}

/** Counters of all owners of a process. */
export interface OwnerMetrics {
	appends: number;
	decisions: number;
	bytes: number;
	exchanges: number;
	starts: number;
	recordCommitMs: (ms: number) => void;
}

interface Batch {
	changes: shards.Change[];
	replies: { waiter: waiting.Waiter; reply: results.Result<unknown, errors.Failure> }[];
}

/** How often silence and placement are looked at without being asked, in milliseconds. */
const tickMs = 200;

/** Answers of claimed requests held in memory, at most. */
const maxAnswers = 1_000;

/** How often retention is looked at, in milliseconds. */
const retentionMs = 60_000;

type OwnerStage = 'owning' | 'releasing' | 'lost';

type OwnerEvent = 'release' | 'released' | 'supersede';

/** The stages of an owner, `charts/owner.json`. */
const ownerChart = tasks.loadChart<OwnerStage, OwnerEvent>('charts/owner.json');

/** One owned shard. */
export class ShardOwner {
	private readonly contacts: contacts.WorkerContacts;
	private readonly queue: waiting.RequestQueue;
	private readonly uncommitted = new Set<string>();
	private readonly answers = new Map<string, requests.ClaimAnswer>();
	private readonly placing: placing.Placing;
	private listRead = false;
	private pastHorizon = false;
	private lastRetention = -Infinity;
	private stage = ownerChart.initial;
	private beatNow = false;
	private dirty = false;
	private wake: () => void = () => undefined;
	private readonly loop: Promise<void>;

	private constructor(
		private readonly deps: OwnerDeps,
		private readonly log: shards.ShardLog,
		private readonly takeover: silence.Takeover,
	) {
		this.queue = waiting.RequestQueue.create(deps.shard, deps.clock, deps.opts.requestWaitMs);
		this.placing = placing.Placing.create({
			score: deps.score,
			incarnationOf: (worker) => this.contacts.views.get(worker)?.incarnation,
			onEvicted: (worker) => {
				this.contacts.kick(worker);
			},
		});
		this.contacts = contacts.WorkerContacts.create({
			...deps,
			epoch: () => this.epoch,
			orders: (view, until) => this.orders(view, until),
			mayHoldPlace: (worker) => this.mayHoldPlace(worker),
			onNews: () => {
				this.signal();
			},
			onNewerEpoch: () => {
				this.beatNow = true;
				this.signal();
			},
		});
		this.loop = this.run();
	}

	/** Reads the shard's log and takes it over under the next epoch. */
	static async take(deps: OwnerDeps): Promise<results.Result<ShardOwner, string>> {
		const { shard, owner, store, clock } = deps;
		const onWrite = (bytes: number): void => {
			deps.metrics.bytes += bytes;
		};
		const log = await shards.ShardLog.read({ shard, owner, store, clock, events: deps.events, onWrite });
		if (!log.ok) return results.fail(log.err.reason);
		const { state } = log.value;
		const released = state.released;
		const epoch = state.epoch + 1;
		const taken: shards.Change = { type: 'shard.taken', owner, epoch };
		if (log.value.full) {
			const kept = await log.value.snapshot();
			if (kept !== 'committed') return results.fail(`snapshot ${kept}`);
		}
		const outcome = await log.value.append(epoch, [taken]);
		if (outcome !== 'committed') return results.fail(outcome);
		shards.applyChange(state, taken, clock.wall());
		effects.logChange(deps.events, shard, taken, state);
		return results.ok(new ShardOwner(deps, log.value, { at: clock.now(), released }));
	}

	get epoch(): number {
		return this.log.state.epoch;
	}

	/** The platform's newest list of this shard's workers. */
	setWorkers(listed: types.ListedWorker[]): void {
		this.listRead = true;
		this.contacts.setWorkers(listed);
		this.signal();
	}

	/** Answers a request; waits for its entry where it needs one. */
	request(req: requests.ShardReq): Promise<results.Result<unknown, errors.Failure>> {
		if (this.stage !== 'owning') return Promise.resolve(results.fail(this.notOwner()));
		this.holdAnswer(req);
		const answered = this.queue.add(req);
		this.signal();
		return answered;
	}

	status(): report.ShardStatus {
		const { state } = this.log;
		return {
			shard: this.deps.shard,
			owner: this.deps.owner,
			epoch: state.epoch,
			entries: state.n,
			jobs: report.jobStatuses(state, this.contacts.views, this.uncommitted),
			workers: this.boxes().map((box) => ({
				id: box.id,
				state: box.closed ?? 'live',
				tasks: box.residents.length,
				silentMs: Math.round(
					this.deps.clock.now() - (this.contacts.views.get(box.id)?.answeredAt ?? -Infinity),
				),
			})),
		};
	}

	explain(task: string): report.TaskExplanation | undefined {
		const { state } = this.log;
		const record = state.tasks.get(task);
		if (record === undefined) return undefined;
		const { waitsFor } = this.placing;
		return report.explainTask(this.deps.shard, record, this.contacts.views, waitsFor, this.uncommitted);
	}

	/** Planned stop: gives no more orders, says so in the log, and resolves. */
	async release(): Promise<void> {
		if (!this.step('release')) return;
		this.signal();
		// An append may be under way while the platform is out; the stop does not wait for it for ever.
		this.deps.clock.after(this.deps.opts.requestWaitMs, () => {
			this.log.abandon();
		});
		await this.loop;
		await this.contacts.stop();
		if (this.stageNow() === 'lost') return;
		const change: shards.Change = { type: 'shard.released' };
		const outcome = await this.log.append(this.epoch, [change]);
		if (outcome === 'committed') effects.logChange(this.deps.events, this.deps.shard, change, this.log.state);
		this.step('released');
	}

	/** Something is to be decided: now if the loop waits, else as soon as the append in flight is settled. */
	private signal(): void {
		this.dirty = true;
		this.wake();
	}

	/** Takes a step of the chart; false if the stage does not allow it. */
	private step(event: OwnerEvent): boolean {
		const next = ownerChart.next(this.stage, event);
		if (next === undefined) return false;
		this.stage = next;
		return true;
	}

	/** The stage, which may have changed during an `await` where the compiler thinks it can't. */
	private stageNow(): OwnerStage {
		return this.stage;
	}

	private notOwner(): errors.Failure {
		return errors.failure('NotOwner', this.deps.shard, { retryAfterMs: 500, run: 'not-run' });
	}

	private orders(view: types.WorkerView, until: number): commands.Orders {
		return commands.ordersFor(
			this.log.state,
			view,
			this.placing.wishes,
			this.uncommitted,
			this.mayRenew(),
			until,
		);
	}

	private mayHoldPlace(worker: string): boolean {
		const all = [...this.log.state.tasks.values()];
		return all.some((task) => task.worker === worker || task.held.some((place) => place.worker === worker));
	}

	/** Leases are renewed only within the horizon of the last committed entry, counted from its send. */
	private mayRenew(): boolean {
		const age = this.deps.clock.now() - this.log.lastCommitSentAt;
		const may = age <= this.deps.opts.horizonMs;
		if (!may && !this.pastHorizon)
			this.deps.events.emit('shard.horizon', { shard: this.deps.shard, ageMs: Math.round(age) });
		this.pastHorizon = !may;
		return may;
	}

	private async run(): Promise<void> {
		let lastAppendAt = -Infinity;
		while (this.stage === 'owning') {
			await this.nextTurn(lastAppendAt);
			if (this.stageNow() !== 'owning') break;
			const batch = this.decide();
			if (batch.changes.length === 0) {
				this.answerAll(batch);
				continue;
			}
			lastAppendAt = this.deps.clock.now();
			if (!(await this.commit(batch))) break;
			await this.keepSnapshots();
		}
		this.queue.refuseAll(this.notOwner());
	}

	/** Waits for something to do, and then for the shard's turn at the platform's write rate. */
	private async nextTurn(lastAppendAt: number): Promise<void> {
		await new Promise<void>((resolve) => {
			const timer = this.deps.clock.after(tickMs, resolve);
			this.wake = () => {
				timer.cancel();
				resolve();
			};
			if (this.dirty) this.wake();
		});
		this.dirty = false;
		const wait = lastAppendAt + this.deps.opts.appendGapMs - this.deps.clock.now();
		if (wait > 0) await clocks.sleep(this.deps.clock, wait);
	}

	private async commit(batch: Batch): Promise<boolean> {
		const { clock, metrics } = this.deps;
		const startedAt = clock.now();
		const outcome = await this.log.append(this.epoch, batch.changes);
		if (outcome !== 'committed') {
			for (const { waiter } of batch.replies) this.queue.leaveOpen(waiter);
			this.loseShard();
			return false;
		}
		metrics.appends += 1;
		metrics.decisions += batch.changes.length;
		metrics.recordCommitMs(clock.now() - startedAt);
		this.uncommitted.clear();
		for (const change of batch.changes)
			effects.logChange(this.deps.events, this.deps.shard, change, this.log.state);
		effects.logEnded(this.deps.events, this.deps.shard, batch.changes, this.log.state);
		this.answerAll(batch);
		this.kickFor(batch.changes);
		return true;
	}

	private async keepSnapshots(): Promise<void> {
		if (!this.log.snapshotDue) return;
		let outcome = await this.log.snapshot();
		while (this.log.full && outcome !== 'superseded' && this.stageNow() === 'owning') {
			await clocks.sleep(this.deps.clock, tickMs);
			outcome = await this.log.snapshot();
		}
		if (outcome === 'superseded') this.loseShard();
	}

	private loseShard(): void {
		if (!this.step('supersede')) return;
		this.deps.events.emit('shard.lost', { shard: this.deps.shard, epoch: this.epoch });
		void this.contacts.stop();
		this.deps.onLost();
	}

	private decide(): Batch {
		const batch: Batch = { changes: [], replies: [] };
		const { state } = this.log;
		for (const waiter of this.queue.take()) {
			const decision = requests.decideRequest(state, waiter.req, {
				views: this.contacts.views,
				listRead: this.listRead,
				nextShard: this.deps.nextShard,
				answers: this.answers,
				holderGone: this.deps.holderGone,
			});
			this.adopt(batch, decision.changes);
			batch.replies.push({ waiter, reply: decision.reply });
		}
		const byWorker = tasksByWorker(state);
		for (const view of this.contacts.views.values()) {
			if (!view.fresh) continue;
			view.fresh = false;
			this.adopt(batch, reports.reportChanges(state, view, byWorker.get(view.listed.id) ?? []));
		}
		this.adopt(batch, this.silenceChanges());
		this.adopt(batch, reports.quarantineChanges(state, this.contacts.views, this.deps.opts.quarantineJobs));
		this.adopt(batch, this.place());
		this.adopt(batch, this.retention());
		if (batch.changes.length === 0 && this.beatDue()) this.adopt(batch, [{ type: 'beat' }]);
		this.beatNow = false;
		return batch;
	}

	/** Applies changes at once, so that the next decision of the batch sees them; orders wait for the commit. */
	private adopt(batch: Batch, changes: shards.Change[]): void {
		const at = this.deps.clock.wall();
		for (const change of changes) {
			shards.applyChange(this.log.state, change, at);
			batch.changes.push(change);
			if ('task' in change) this.uncommitted.add(change.task);
			if ('task' in change) this.placing.settled(change.task);
			if (change.type === 'job.submitted') this.uncommitted.add(change.part.id);
			if (change.type === 'job.cancelled') this.markJob(change.job);
		}
	}

	private markJob(id: string): void {
		this.uncommitted.add(id);
		const part = this.log.state.jobs.get(id)?.part;
		if (part === undefined) return;
		for (const task of shards.taskIds(part)) this.uncommitted.add(task);
	}

	private silenceChanges(): shards.Change[] {
		const now = this.deps.clock.now();
		const { state } = this.log;
		return [...this.contacts.views.values()].flatMap((view) => {
			this.noteSilence(view, now);
			return silence.silenceChanges(state, view, this.takeover, this.deps.opts, now);
		});
	}

	private noteSilence(view: types.WorkerView, now: number): void {
		if (view.unreachable || !silence.isUnreachable(view, this.takeover, this.deps.opts, now)) return;
		view.unreachable = true;
		this.deps.events.emit('worker.unreachable', { shard: this.deps.shard, worker: view.listed.id });
	}

	private boxes(): placement.Box[] {
		return boxes.boxesOf(this.log.state, this.contacts.views, {
			takeover: this.takeover,
			waits: this.deps.opts,
			now: this.deps.clock.now(),
		});
	}

	private place(): shards.Change[] {
		return this.placing.round(this.log.state, this.boxes());
	}

	/** Drops what has been kept long enough, ended jobs also when the snapshot grows large, the oldest first. */
	private retention(): shards.Change[] {
		const { state } = this.log;
		const now = this.deps.clock.now();
		const tight = shards.stateBytes(state) > shards.tightStateBytes;
		if (!tight && now - this.lastRetention < retentionMs) return [];
		this.lastRetention = now;
		const wall = this.deps.clock.wall();
		const changes = retention.droppedJobs(state, tight ? wall : wall - this.deps.opts.keepEndedMs);
		const before = wall - this.deps.opts.keepClaimsMs;
		const expired = [...state.claims.values()].some((claim) => claim.at < before);
		return expired ? [...changes, { type: 'claims.expired', before }] : changes;
	}

	private beatDue(): boolean {
		const age = this.deps.clock.now() - this.log.lastCommitSentAt;
		return this.beatNow || age > this.deps.opts.horizonMs / 3;
	}

	private kickFor(changes: shards.Change[]): void {
		const kicked = new Set<string>();
		for (const change of changes) {
			if (change.type === 'task.placed') kicked.add(change.worker);
			if (change.type === 'job.cancelled')
				for (const worker of this.workersOf(change.job)) kicked.add(worker);
		}
		for (const worker of kicked) this.contacts.kick(worker);
	}

	private workersOf(job: string): string[] {
		const part = this.log.state.jobs.get(job)?.part;
		const ids = part === undefined ? [] : shards.taskIds(part);
		return ids.flatMap((id) => this.log.state.tasks.get(id)?.worker ?? []);
	}

	private answerAll(batch: Batch): void {
		for (const { waiter, reply } of batch.replies) this.queue.settle(waiter, reply);
	}

	private holdAnswer(req: requests.ShardReq): void {
		if (req.type !== 'claim.end' || req.answer === undefined) return;
		this.answers.set(req.key, req.answer);
		const oldest = this.answers.keys().next().value;
		if (this.answers.size > maxAnswers && oldest !== undefined) this.answers.delete(oldest);
	}
}

/** Tasks that hold a place, by worker. */
function tasksByWorker(state: shards.ShardState): Map<string, shards.TaskRecord[]> {
	const byWorker = new Map<string, shards.TaskRecord[]>();
	for (const task of state.tasks.values()) {
		const workers = [task.worker, ...task.held.map((place) => place.worker)];
		for (const worker of new Set(workers)) {
			if (worker === undefined) continue;
			const here = byWorker.get(worker) ?? [];
			here.push(task);
			byWorker.set(worker, here);
		}
	}
	return byWorker;
}
