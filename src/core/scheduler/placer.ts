/** An owner's rounds of placing: which waiting tasks go where, and what is slowed or stopped to make that possible. */
import * as placementInput from './placement-input.js';
import * as placement from '../placement/index.js';
import type * as shards from '../shard/index.js';

/** Places given in one round at most: keeps an entry well under the platform's value limit. */
const maxPlacementsPerRound = 1_000;

/** What placing needs of its owner. */
export interface PlacerDeps {
	/** Rates workers for placement. */
	score: placement.Score;
	/** The life of a worker that was last heard of; undefined: none was. */
	incarnationOf: (worker: string) => string | undefined;
	/** A worker has a task to stop: it is to be told soon. */
	onEviction: (worker: string) => void;
}

/** What workers are to be told beyond starts and cancellations. */
export interface TaskAdjustments {
	/** Why a task is to be stopped, by task. */
	evictions: ReadonlyMap<string, string>;
	/** Share of its speed at which a task is to work, by task. */
	throttles: ReadonlyMap<string, number>;
}

/** The placing of one shard's tasks. */
export class Placer {
	/** What each waiting task waits for, as of the last round. */
	waitsFor = new Map<string, string>();
	private readonly evictions = new Map<string, string>();
	private throttles = new Map<string, number>();

	private constructor(private readonly deps: PlacerDeps) {}

	static create(deps: PlacerDeps): Placer {
		return new Placer(deps);
	}

	/** What workers are to be told now. */
	get adjustments(): TaskAdjustments {
		return { evictions: this.evictions, throttles: this.throttles };
	}

	/** Something was decided about a task: a wish to stop it is done with. */
	clearEviction(task: string): void {
		this.evictions.delete(task);
	}

	/** Relieves full workers, and places what waits. */
	round(state: shards.ShardState, workers: placement.Worker[]): shards.Change[] {
		this.relievePressure(state, workers);
		const pending = placementInput.pendingTasks(state);
		if (pending.length === 0) {
			this.waitsFor = new Map();
			return [];
		}
		const round = placement.placeRound(pending, workers, {
			score: this.deps.score,
			maxPlacements: maxPlacementsPerRound,
			evicting: new Set(this.evictions.keys()),
		});
		this.waitsFor = round.waiting;
		for (const one of round.evictions) this.evict(state, one.task, one.reason);
		return round.placements.flatMap((chosen) => this.placedChanges(state, chosen));
	}

	private placedChanges(state: shards.ShardState, chosen: placement.Placement): shards.Change[] {
		const task = state.tasks.get(chosen.task);
		const incarnation = this.deps.incarnationOf(chosen.box);
		if (task === undefined || incarnation === undefined) return [];
		const attempt = task.attempt + 1;
		return [
			{ type: 'task.placed', task: task.id, attempt, worker: chosen.box, incarnation, why: chosen.why },
		];
	}

	private relievePressure(state: shards.ShardState, workers: placement.Worker[]): void {
		const throttles = new Map<string, number>();
		// Attempts started before: a stand-in for work lost until workers report the age of a checkpoint.
		const lostProgressOf = (task: string): number => state.tasks.get(task)?.attempt ?? 0;
		for (const worker of workers) {
			const relief = placement.relievePressure(worker, lostProgressOf);
			for (const [task, share] of relief.throttles) throttles.set(task, share);
			for (const one of relief.evictions) this.evict(state, one.task, one.reason);
		}
		this.throttles = throttles;
	}

	private evict(state: shards.ShardState, task: string, reason: string): void {
		if (this.evictions.has(task)) return;
		this.evictions.set(task, reason);
		const worker = state.tasks.get(task)?.worker;
		if (worker !== undefined) this.deps.onEviction(worker);
	}
}
