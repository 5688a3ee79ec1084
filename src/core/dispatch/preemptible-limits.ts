/**
 * The adaptive limits on preemptible work, one for each worker. They follow the workers' reports; a worker without data
 * starts from the limits of the serving images there.
 */
import * as limit from './preemptible-limit.js';
import * as overloads from './recent-overloads.js';
import * as outlooks from './serving-outlook.js';
import * as neighbours from './neighbours.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as limitTypes from './limit-types.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Score of each serving task that is expected to exceed its target. */
const violationWeight = 5;

/** Score of what a task adds to busy parts: among workers within their limits, the one that it disturbs least comes first. */
const addedWeight = 3;

/**
 * After a cut, a worker's limit stays for this time, in milliseconds: a task that exceeds its target does so for two seconds
 * whatever its neighbours do, and another task's excess in that time has the same cause.
 */
const cutHoldMs = 2_000;

/** Preemptible work that left a worker this long ago may still be the cause of an excess, in milliseconds. */
const causeMs = 1_000;

/** Weight of a worker's newest limit in that of a serving image: about the last fifty changes count. */
const imageLimitWeight = 0.02;

/** Maximum number of serving images for which a limit is kept; the one longest unchanged is forgotten first. */
const maxImages = 512;

/** A worker's limit and what it depends on. */
interface LimitState {
	limit: limit.WorkerLimit;
	/** Whether it has kept a task away since the worker's last report. */
	hasTurnedAway: boolean;
	/** Clock time of its last cut. */
	cutAt: number;
	/** Its newest outlook. */
	outlook: outlooks.WorkerOutlook | undefined;
}

/** By what a task was placed, for the log in case that the placement proves wrong. */
interface PlacementInputs extends limit.WorkerLimit {
	/** Highest use and excess over the task's expected run, as predicted right after its placement. */
	use: number;
	excess: number;
	expectedMs: number;
}

export interface AdaptiveLimitOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	epoch: number;
	estimates: interference.InterferenceModel;
	/** Expected time of one run, in milliseconds. */
	expectedMs: outlooks.ExpectedMs;
}

/** The limits of one owner's workers. */
export class AdaptiveLimit implements limitTypes.PreemptibleLimit {
	private readonly outlooks: outlooks.Outlooks;
	private readonly states = new WeakMap<sessions.WorkerSession, LimitState>();
	private readonly imageLimits = new Map<string, limit.WorkerLimit>();
	private readonly inputs = new WeakMap<types.Placement, PlacementInputs>();
	private readonly upperSlope: overloads.SlopeOf = (serving, image) =>
		this.opts.estimates.upperSlope(serving, image);
	private cuts = 0;
	private misses = 0;

	private constructor(private readonly opts: AdaptiveLimitOptions) {
		this.outlooks = outlooks.Outlooks.create(opts.clock, opts.estimates, opts.expectedMs);
	}

	static create(opts: AdaptiveLimitOptions): AdaptiveLimit {
		return new AdaptiveLimit(opts);
	}

	/** The limit does not depend on the wait; a task that has waited too long is exempt from it. */
	toleranceFor(): number {
		return 0;
	}

	usePenalty(task: jobs.Task, worker: sessions.WorkerSession, ignoreInterference: boolean): number {
		const state = this.stateOf(worker);
		const { use } = this.outlookOf(worker, state);
		const first = (use[0] ?? 0) + neighbours.coreShareOf(task.step.spec, worker);
		if (ignoreInterference) return first;
		if (first <= state.limit.maxUse) return first;
		state.hasTurnedAway = true;
		return Infinity;
	}

	interferencePenalty(
		task: jobs.Task,
		worker: sessions.WorkerSession,
		check: limitTypes.InterferenceCheck,
	): number {
		const state = this.stateOf(worker);
		const effect = this.effectOf(task, worker, state);
		const isLimited = !check.ignoreInterference;
		if (isLimited && this.obstacleOf(task, worker, { state, effect, now: check.now }) !== undefined) {
			state.hasTurnedAway = true;
			return Infinity;
		}
		return effect.violations * violationWeight + effect.added * addedWeight;
	}

	obstacleAt(
		task: jobs.Task,
		worker: sessions.WorkerSession,
		now: number,
	): limitTypes.LimitObstacle | undefined {
		const state = this.stateOf(worker);
		return this.obstacleOf(task, worker, { state, effect: this.effectOf(task, worker, state), now });
	}

	notePlaced(worker: sessions.WorkerSession, place: types.Placement): void {
		const expectedMs = this.opts.expectedMs(place.task.step);
		const points = outlooks.pointsWithin(expectedMs);
		const state = this.stateOf(worker);
		const outlook = this.outlookOf(worker, state);
		const use = Math.max(...outlook.use.slice(0, points));
		const excess = Math.max(-1, ...outlook.tasks.map((one) => limit.highestExcess(one, outlook.use, points)));
		this.inputs.set(place, { ...state.limit, use, excess, expectedMs });
	}

	noteReport(worker: sessions.WorkerSession): void {
		const serving = neighbours.servingPlacements(worker);
		if (serving.length === 0) {
			// The limit depends on who is served there, so the next serving tasks begin with that of their images.
			this.states.delete(worker);
			return;
		}
		const state = this.stateOf(worker);
		const now = this.opts.clock.now();
		const over = serving.find((place) => place.overTargetSince !== undefined);
		const isHeld = now - state.cutAt < cutHoldMs;
		if (over !== undefined && !isHeld && mayBeCause(worker, now)) this.cut(worker, state, over);
		else if (over === undefined && !isHeld && state.hasTurnedAway) this.raise(state, serving);
		state.hasTurnedAway = false;
	}

	noteSlowed(worker: sessions.WorkerSession, place: types.Placement): void {
		this.misses += 1;
		const { use = 0, excess = 0, expectedMs = 0, maxUse = 0, margin = 0 } = this.inputs.get(place) ?? {};
		this.opts.events.emit('limit.missed', {
			task: place.task.name,
			run: place.run,
			worker: worker.id,
			epoch: this.opts.epoch,
			ranMs: Math.round(this.opts.clock.now() - place.placedAt),
			expectedMs: Math.round(expectedMs),
			exempt: String(place.exempt),
			use: toHundredths(use),
			excess: toHundredths(excess),
			maxUse: toHundredths(maxUse),
			margin: toHundredths(margin),
		});
	}

	read(workers: readonly sessions.WorkerSession[]): limitTypes.LimitReading {
		const reading = { limitCuts: this.cuts, limitMisses: this.misses, limitCores: 0, usedCores: 0 };
		this.cuts = 0;
		this.misses = 0;
		for (const worker of workers) {
			const cores = (worker.entry?.capacity.milliCores ?? 0) / 1_000;
			const state = this.stateOf(worker);
			reading.limitCores += cores * state.limit.maxUse;
			reading.usedCores += cores * (this.outlookOf(worker, state).use[0] ?? 0);
		}
		return {
			...reading,
			limitCores: Math.round(reading.limitCores),
			usedCores: Math.round(reading.usedCores),
		};
	}

	exportLimits(): limitTypes.ImageLimits {
		return Object.fromEntries(this.imageLimits);
	}

	restore(limits: Readonly<Record<string, unknown>>): number {
		for (const [image, stored] of Object.entries(limits).slice(-maxImages)) {
			const parsed = limit.parse(stored);
			if (parsed !== undefined) this.imageLimits.set(image, parsed);
		}
		return this.imageLimits.size;
	}

	private outlookOf(worker: sessions.WorkerSession, state: LimitState): outlooks.WorkerOutlook {
		state.outlook = this.outlooks.of(worker, state.outlook);
		return state.outlook;
	}

	private effectOf(task: jobs.Task, worker: sessions.WorkerSession, state: LimitState): limit.Effect {
		const load: limit.Load = {
			image: task.step.spec.image,
			share: neighbours.coreShareOf(task.step.spec, worker),
			points: outlooks.pointsWithin(this.opts.expectedMs(task.step)),
		};
		return limit.effectOf(this.outlookOf(worker, state), load, this.upperSlope);
	}

	private obstacleOf(
		task: jobs.Task,
		worker: sessions.WorkerSession,
		{ state, effect, now }: { state: LimitState; effect: limit.Effect; now: number },
	): limitTypes.LimitObstacle | undefined {
		const { maxUse, margin } = state.limit;
		if (effect.use > maxUse) return 'cores-in-use';
		if (effect.excess > -margin) return 'harm';
		const { image } = task.step.spec;
		return overloads.interferesWithOverloaded(image, worker, this.upperSlope, now) ? 'overloaded' : undefined;
	}

	private cut(worker: sessions.WorkerSession, state: LimitState, over: types.Placement): void {
		const now = this.opts.clock.now();
		const use = this.outlookOf(worker, state).use[0] ?? 0;
		const { image } = over.task.step.spec;
		state.limit = limit.cut(state.limit, use);
		state.cutAt = now;
		this.noteImageLimit(image, state.limit);
		this.cuts += 1;
		this.opts.events.emit('limit.changed', {
			worker: worker.id,
			epoch: this.opts.epoch,
			task: over.task.name,
			image,
			use: toHundredths(use),
			maxUse: toHundredths(state.limit.maxUse),
			margin: toHundredths(state.limit.margin),
		});
	}

	private raise(state: LimitState, serving: readonly types.Placement[]): void {
		state.limit = limit.raise(state.limit);
		const images = new Set(serving.map((place) => place.task.step.spec.image));
		for (const image of images) this.noteImageLimit(image, state.limit);
	}

	private stateOf(worker: sessions.WorkerSession): LimitState {
		const known = this.states.get(worker);
		if (known !== undefined) return known;
		const serving = neighbours.servingPlacements(worker);
		const created = {
			limit: this.firstLimit(serving),
			hasTurnedAway: false,
			cutAt: -Infinity,
			outlook: undefined,
		};
		// What runs there is known once the worker has reported.
		if (worker.isReconciled && serving.length > 0) this.states.set(worker, created);
		return created;
	}

	/** The strictest limit of the serving images on a worker. */
	private firstLimit(serving: readonly types.Placement[]): limit.WorkerLimit {
		let first: limit.WorkerLimit | undefined;
		for (const { task } of serving) {
			const known = this.imageLimits.get(task.step.spec.image) ?? limit.initialLimit;
			first = first === undefined ? known : limit.stricter(first, known);
		}
		return first ?? limit.unsharedLimit;
	}

	private noteImageLimit(image: string, newest: limit.WorkerLimit): void {
		const known = this.imageLimits.get(image) ?? limit.initialLimit;
		// Re-inserted, so that the images stay in the order of their last change.
		this.imageLimits.delete(image);
		this.imageLimits.set(image, limit.blend(known, newest, imageLimitWeight));
		const [oldest] = this.imageLimits.keys();
		if (oldest !== undefined && this.imageLimits.size > maxImages) this.imageLimits.delete(oldest);
	}
}

/** Whether preemptible work on a worker may have pushed a serving task there over its target. */
function mayBeCause(worker: sessions.WorkerSession, now: number): boolean {
	return worker.preemptibleMilliCores > 0 || now - worker.preemptibleLoadReducedAt < causeMs;
}

function toHundredths(value: number): number {
	return Math.round(value * 100) / 100;
}
