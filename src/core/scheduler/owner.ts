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
import * as claimAnswers from './claim-answers.js';
import * as commands from './commands.js';
import * as contacts from './contacts.js';
import * as effects from './effects.js';
import * as horizons from './horizon.js';
import * as placing from './placing.js';
import * as report from './report.js';
import * as retention from './retention.js';
import * as reports from './reports.js';
import * as requests from './requests.js';
import * as silence from './silence.js';
import * as taking from './taking.js';
import * as tasks from '../task/index.js';
import * as turns from './turns.js';
import * as waiting from './request-queue.js';
import type * as owners from './owner-deps.js';
import type * as placement from '../placement/index.js';
import type * as types from './types.js';

interface Batch {
	changes: shards.Change[];
	replies: { waiter: waiting.Waiter; reply: results.Result<unknown, errors.Failure> }[];
}

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
	private readonly answers = claimAnswers.ClaimAnswers.create();
	private readonly placing: placing.Placing;
	private readonly horizon: horizons.Horizon;
	private readonly turns: turns.Turns;
	private listRead = false;
	private lastRetention = -Infinity;
	private stage = ownerChart.initial;
	private readonly loop: Promise<void>;

	private constructor(
		private readonly deps: owners.OwnerDeps,
		private readonly log: shards.ShardLog,
		private readonly takeover: silence.Takeover,
	) {
		const { shard, clock, events, opts } = deps;
		this.queue = waiting.RequestQueue.create(shard, clock, opts.requestWaitMs);
		this.turns = turns.Turns.create(clock, opts.appendGapMs);
		this.horizon = horizons.Horizon.create({
			shard,
			clock,
			events,
			horizonMs: opts.horizonMs,
			lastCommitSentAt: () => log.lastCommitSentAt,
		});
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
				this.turns.signal();
			},
			onNewerEpoch: () => {
				this.horizon.wantBeat();
				this.turns.signal();
			},
		});
		this.loop = this.run();
	}

	/** Reads the shard's log and takes it over under the next epoch. */
	static async take(deps: owners.OwnerDeps): Promise<results.Result<ShardOwner, string>> {
		const taken = await taking.takeShard(deps);
		return taken.ok ? results.ok(new ShardOwner(deps, taken.value.log, taken.value.takeover)) : taken;
	}

	get epoch(): number {
		return this.log.state.epoch;
	}

	/** The platform's newest list of this shard's workers. */
	setWorkers(listed: types.ListedWorker[]): void {
		this.listRead = true;
		this.contacts.setWorkers(listed);
		this.turns.signal();
	}

	/** Answers a request; waits for its entry where it needs one. */
	request(req: requests.ShardReq): Promise<results.Result<unknown, errors.Failure>> {
		if (this.stage !== 'owning') return Promise.resolve(results.fail(this.notOwner()));
		this.answers.hold(req);
		const answered = this.queue.add(req);
		this.turns.signal();
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
		this.turns.signal();
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
			this.horizon.mayRenew(),
			until,
		);
	}

	private mayHoldPlace(worker: string): boolean {
		const all = [...this.log.state.tasks.values()];
		return all.some((task) => task.worker === worker || task.held.some((place) => place.worker === worker));
	}

	private async run(): Promise<void> {
		while (this.stage === 'owning') {
			await this.turns.next();
			if (this.stageNow() !== 'owning') break;
			const batch = this.decide();
			if (batch.changes.length === 0) {
				this.answerAll(batch);
				continue;
			}
			this.turns.noteAppend();
			if (!(await this.commit(batch))) break;
			await this.keepSnapshots();
		}
		this.queue.refuseAll(this.notOwner());
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
			await clocks.sleep(this.deps.clock, turns.tickMs);
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
				answers: this.answers.byKey,
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
		if (batch.changes.length === 0 && this.horizon.isBeatDue()) this.adopt(batch, [{ type: 'beat' }]);
		this.horizon.decided();
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
