/** Decides for one shard: turns requests, reports, unreachable workers and free capacity into the changes of one entry. */
import * as batches from './batch.js';
import * as boxes from './boxes.js';
import * as forgetting from './forgetting.js';
import * as reports from './reports.js';
import * as requests from './requests.js';
import * as silence from './silence.js';
import type * as claimAnswers from './claim-answers.js';
import type * as horizons from './horizon.js';
import type * as owners from './owner-deps.js';
import type * as placement from '../placement/index.js';
import type * as placing from './placing.js';
import type * as shards from '../shard/index.js';
import type * as types from './types.js';
import type * as uncommitted from './uncommitted.js';
import type * as waiting from './request-queue.js';

/** What decisions depend on, and what they affect. */
export interface DeciderDeps {
	owner: Pick<owners.OwnerDeps, 'shard' | 'clock' | 'events' | 'opts' | 'nextShard' | 'holderGone'>;
	state: shards.ShardState;
	takeover: silence.Takeover;
	views: ReadonlyMap<string, types.WorkerView>;
	answers: claimAnswers.ClaimAnswers;
	horizon: horizons.Horizon;
	placing: placing.Placing;
	uncommitted: uncommitted.Uncommitted;
}

/** Makes the decisions of one shard. */
export class Decider {
	/** Whether the platform's list of workers has been read. */
	listRead = false;
	private readonly forgetting: forgetting.Forgetting;

	private constructor(private readonly deps: DeciderDeps) {
		const { clock, opts } = deps.owner;
		this.forgetting = forgetting.Forgetting.create(clock, opts);
	}

	static create(deps: DeciderDeps): Decider {
		return new Decider(deps);
	}

	/** Decides the given requests, and everything else that is due. */
	decide(waiters: waiting.Waiter[]): batches.Batch {
		const { owner, state, views, horizon, placing } = this.deps;
		const batch = batches.Batch.create({ ...this.deps, clock: owner.clock });
		for (const waiter of waiters) this.decideRequest(batch, waiter);
		this.takeReports(batch);
		batch.adopt(this.silenceChanges());
		batch.adopt(reports.quarantineChanges(state, views, owner.opts.quarantineJobs));
		batch.adopt(placing.round(state, this.boxes()));
		batch.adopt(this.forgetting.round(state));
		if (batch.changes.length === 0 && horizon.isBeatDue()) batch.adopt([{ type: 'beat' }]);
		horizon.decided();
		return batch;
	}

	/** The workers as placement sees them. */
	boxes(): placement.Box[] {
		const { owner, state, takeover, views } = this.deps;
		return boxes.boxesOf(state, views, { takeover, waits: owner.opts, now: owner.clock.now() });
	}

	private decideRequest(batch: batches.Batch, waiter: waiting.Waiter): void {
		const { owner, state, views, answers } = this.deps;
		const decision = requests.decideRequest(state, waiter.req, {
			views,
			listRead: this.listRead,
			nextShard: owner.nextShard,
			answers: answers.byKey,
			holderGone: owner.holderGone,
		});
		batch.adopt(decision.changes);
		batch.reply(waiter, decision.reply);
	}

	private takeReports(batch: batches.Batch): void {
		const { state, views } = this.deps;
		const byWorker = reports.tasksByWorker(state);
		for (const view of views.values()) {
			if (!view.fresh) continue;
			view.fresh = false;
			batch.adopt(reports.reportChanges(state, view, byWorker.get(view.listed.id) ?? []));
		}
	}

	private silenceChanges(): shards.Change[] {
		const { owner, state, takeover, views } = this.deps;
		const now = owner.clock.now();
		return [...views.values()].flatMap((view) => {
			this.noteSilence(view, now);
			return silence.silenceChanges(state, view, takeover, owner.opts, now);
		});
	}

	private noteSilence(view: types.WorkerView, now: number): void {
		const { owner, takeover } = this.deps;
		if (view.unreachable || !silence.isUnreachable(view, takeover, owner.opts, now)) return;
		view.unreachable = true;
		owner.events.emit('worker.unreachable', { shard: owner.shard, worker: view.listed.id });
	}
}
