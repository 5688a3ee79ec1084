/** Decides for one shard: turns requests, reports, unreachable workers and free capacity into the changes of one entry. */
import * as batches from './batch.js';
import * as placementInput from './placement-input.js';
import * as retentionSchedules from './retention-schedule.js';
import * as workerReports from './worker-reports.js';
import * as requests from './requests.js';
import * as reachability from './reachability.js';
import type * as claimAnswers from './claim-answers.js';
import type * as horizons from './horizon.js';
import type * as ownerDeps from './owner-deps.js';
import type * as placement from '../placement/index.js';
import type * as placers from './placer.js';
import type * as shards from '../shard/index.js';
import type * as types from './types.js';
import type * as uncommitted from './uncommitted.js';
import type * as requestQueue from './request-queue.js';

/** What decisions depend on, and what they affect. */
export interface DeciderDeps {
	owner: Pick<ownerDeps.OwnerDeps, 'shard' | 'clock' | 'events' | 'opts' | 'nextShard' | 'holderGone'>;
	state: shards.ShardState;
	takeover: reachability.Takeover;
	views: ReadonlyMap<string, types.WorkerView>;
	answers: claimAnswers.ClaimAnswers;
	horizon: horizons.Horizon;
	placer: placers.Placer;
	uncommitted: uncommitted.Uncommitted;
}

/** Makes the decisions of one shard. */
export class Decider {
	/** Whether the platform's list of workers has been read. */
	isWorkerListRead = false;
	private readonly retention: retentionSchedules.RetentionSchedule;

	private constructor(private readonly deps: DeciderDeps) {
		const { clock, opts } = deps.owner;
		this.retention = retentionSchedules.RetentionSchedule.create(clock, opts);
	}

	static create(deps: DeciderDeps): Decider {
		return new Decider(deps);
	}

	/** Decides the given requests, and everything else that is due. */
	decide(queued: requestQueue.PendingRequest[]): batches.Batch {
		const { owner, state, views, horizon, placer } = this.deps;
		const batch = batches.Batch.create({ ...this.deps, clock: owner.clock });
		for (const request of queued) this.decideRequest(batch, request);
		this.applyReports(batch);
		batch.apply(this.unreachableChanges());
		batch.apply(workerReports.quarantineChanges(state, views, owner.opts.quarantineAfterJobs));
		batch.apply(placer.round(state, this.boxes()));
		batch.apply(this.retention.changesDue(state));
		if (batch.changes.length === 0 && horizon.isBeatDue()) batch.apply([{ type: 'beat' }]);
		horizon.noteDecision();
		return batch;
	}

	/** The workers as placement sees them. */
	boxes(): placement.Worker[] {
		const { owner, state, takeover, views } = this.deps;
		return placementInput.placementWorkers(state, views, {
			takeover,
			timing: owner.opts,
			now: owner.clock.now(),
		});
	}

	private decideRequest(batch: batches.Batch, request: requestQueue.PendingRequest): void {
		const { owner, state, views, answers } = this.deps;
		const decision = requests.decideRequest(state, request.req, {
			views,
			isWorkerListRead: this.isWorkerListRead,
			nextShard: owner.nextShard,
			answers: answers.byKey,
			holderGone: owner.holderGone,
		});
		batch.apply(decision.changes);
		batch.reply(request, decision.reply);
	}

	private applyReports(batch: batches.Batch): void {
		const { state, views } = this.deps;
		const byWorker = workerReports.tasksByWorker(state);
		for (const view of views.values()) {
			if (!view.hasNewAnswer) continue;
			view.hasNewAnswer = false;
			batch.apply(workerReports.changesFromReport(state, view, byWorker.get(view.listed.id) ?? []));
		}
	}

	private unreachableChanges(): shards.Change[] {
		const { owner, state, takeover, views } = this.deps;
		const now = owner.clock.now();
		return [...views.values()].flatMap((view) => {
			this.logUnreachable(view, now);
			return reachability.unreachableChanges(state, view, takeover, owner.opts, now);
		});
	}

	private logUnreachable(view: types.WorkerView, now: number): void {
		const { owner, takeover } = this.deps;
		if (view.isUnreachableLogged || !reachability.isUnreachable(view, takeover, owner.opts, now)) return;
		view.isUnreachableLogged = true;
		owner.events.emit('worker.unreachable', { shard: owner.shard, worker: view.listed.id });
	}
}
