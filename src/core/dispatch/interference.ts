/**
 * Learns how much the tasks beside it disturb a task that serves users, by pairs of images.
 *
 * A serving task is taken for a queue: its tail is `idle / (1 - busy)`, and its busy part is its step's load, times one
 * plus the sum over its neighbours of a pair's slope times the neighbour's share of the worker. The slopes are learnt
 * by ridge regression over all reports; names of images mean nothing beyond a day, so all is learnt anew from a
 * cautious first guess. docs/decisions/0011-interference.md has the measurements behind the form.
 */
import * as imageModel from './image-model.js';
import * as learnedModels from './learned-models.js';
import * as loadWave from './load-wave.js';
import * as neighbours from './neighbours.js';
import * as placements from './placements.js';
import type * as clocks from '../clock.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';
import type * as waveFit from './wave-fit.js';

/** A reading covers so long, in milliseconds: a neighbour that started in between counts in part. */
const readingWindowMs = 600;

/** A profile of a worker is worked out anew after so long, in milliseconds: loads and slopes move slowly. */
const profileMaxAgeMs = 250;

/** Loads are predicted for so long ahead, in milliseconds: half of what a filling task usually runs. */
const predictionMs = 900;

/**
 * Of the tasks that are expected this much busier than their target allows, none, and all, go over it during the next
 * seconds; in between the part rises about evenly.
 */
const neverOverMargin = -0.16;
const alwaysOverMargin = 0.24;

/** A load that an earlier owner learnt is of use for so long, in milliseconds: one or two of its periods. */
const inheritedMaxAgeMs = 20_000;

/** Above this part of a worker's cores in use, every serving task there is disturbed, whatever uses them. */
const contentionThreshold = 0.9;

/** The part of its reservation that a lasting task of unknown load uses. */
const defaultLoad = 0.5;

/**
 * After a tail went over its target, readings stay high for a while whatever the neighbours do: what has queued up
 * has to be worked off. Nothing is learnt from readings for so long, in milliseconds.
 */
const overloadRecoveryMs = 1_800;

/** A reading under this part of its target shows that a task is not over it any more. */
const clearlyUnderFactor = 0.8;

/** Under this load a tail is too close to that of an idle task to tell anything. */
const minLoad = 0.35;

/** Mean difference of slopes from which two serving images count as wholly unlike. */
const fullDissimilaritySlope = 1;

/** A serving task, its load when a neighbour placed now is at work, and how much those there raise its busy part. */
interface ServingProfile {
	image: string;
	load: number;
	interference: number;
	/** How much a whole worker of cores in use beyond `crowdedUse` raises it further. */
	contentionSlope: number;
	/** Busy part from which it is over its target. */
	limit: number;
}

/** The serving tasks of a worker, worked out for one state of it. */
interface Profile {
	revision: number;
	at: number;
	tasks: ServingProfile[];
	/** Part of the worker's cores in use. */
	use: number;
}

/** Unlike shares of a worker, worked out for one state of it. */
interface DissimilarShares {
	revision: number;
	at: number;
	byImage: Map<string, number | undefined>;
}

/** What stood beside a worker's serving tasks during its newest readings. */
interface NeighbourReadings {
	shares: imageModel.Shares;
	/** Nothing changed while the readings were taken. */
	steady: boolean;
	/** When a neighbour was last slowed or taken away. */
	relievedAt: number;
	now: number;
}

/** Estimates of disturbance, over all workers of one owner. */
export class InterferenceModel {
	private readonly imageModels = new Map<string, imageModel.ImageModel>();
	private readonly profiles = new WeakMap<sessions.WorkerSession, Profile>();
	private readonly dissimilarShares = new WeakMap<sessions.WorkerSession, DissimilarShares>();
	private readonly waves = new Map<jobs.StepInstance, loadWave.LoadWave>();
	/** Of steps that have ended, whose tasks may still be stopping: kept no longer than the step. */
	private readonly endedWaves = new WeakMap<jobs.StepInstance, loadWave.LoadWave>();
	/** By image: its steps swing alike, each in a phase of its own. */
	private readonly periods = new Map<string, loadWave.LoadPeriod>();

	/** By pair of images, as of a moment ago: each choice asks for hundreds of them. */
	private readonly dissimilarities = new Map<string, number>();
	private dissimilaritiesAt = -Infinity;

	/** What an earlier owner learnt of loads whose steps have not reported to this one yet. */
	private readonly inheritedLoads = new Map<string, waveFit.WaveSums>();
	/** From the steady clock to the wall clock, as it stood at the beginning: later jumps of that clock change nothing. */
	private readonly wallOffset: number;

	private constructor(private readonly clock: clocks.Clock) {
		this.wallOffset = clock.wall() - clock.now();
	}

	static create(clock: clocks.Clock): InterferenceModel {
		return new InterferenceModel(clock);
	}

	/** What was learnt so far. */
	exportLearned(): learnedModels.LearnedModels {
		const time = this.wallTime();
		const images = [...this.imageModels].map(([image, model]) => [image, model.learned] as const);
		const periods = [...this.periods].map(([image, period]) => [image, period.chosenIndex(time)] as const);
		const loads = [...this.waves].flatMap(([step, wave]) => {
			const sums = wave.learned(time);
			return sums === undefined ? [] : [[nameOf(step), sums] as const];
		});
		return {
			format: learnedModels.format,
			images: Object.fromEntries(images),
			periods: Object.fromEntries(periods),
			loads: Object.fromEntries([...this.inheritedLoads, ...loads]),
		};
	}

	/** Goes on from what another owner learnt; false: it is stored in the form of another version. */
	restore(learned: learnedModels.LearnedModels): boolean {
		if (learned.format !== learnedModels.format) return false;
		const { images, periods, loads } = learned;
		for (const [image, exported] of Object.entries(images))
			this.imageModels.set(image, imageModel.ImageModel.restore(exported));
		for (const [image, period] of Object.entries(periods))
			this.periods.set(image, loadWave.LoadPeriod.restore(period, this.wallTime()));
		const since = this.wallTime() - inheritedMaxAgeMs;
		this.inheritedLoads.clear();
		for (const [name, sums] of Object.entries(loads))
			if ((sums.updatedAt ?? 0) >= since) this.inheritedLoads.set(name, sums);
		return true;
	}

	/** Learns from a worker's newest readings. */
	observe(session: sessions.WorkerSession): void {
		const atWork = neighbours
			.servingPlacements(session)
			.filter((placement) => placement.reading > 0 && placement.percent === 100);
		const now = this.clock.now();
		for (const placement of atWork) noteOverTarget(session, placement, now);
		// Before the platform has named the worker, its size is not known.
		if (atWork.length === 0 || session.entry === undefined) return;
		const shares = neighbours.neighbourShares(session, (placement) => shareOfReading(placement, now));
		const contention = contentionAt(this.utilizationOf(session, this.wallTime() - loadWave.readingAgeMs));
		const neighbourReadings: NeighbourReadings = {
			shares: shares.set(neighbours.contention, contention),
			steady: now - session.neighboursChangedAt > readingWindowMs,
			relievedAt: session.preemptibleLoadReducedAt,
			now,
		};
		for (const placement of atWork) this.observeTask(placement, neighbourReadings);
	}

	/**
	 * How many serving tasks of a worker one more neighbour is expected to keep over their targets, beyond those that are
	 * so already; parts count for those that go over for a part of the time.
	 */
	expectedViolations(session: sessions.WorkerSession, image: string, share: number): number {
		const { tasks, use } = this.profile(session);
		const contention = contentionAt(use + share) - contentionAt(use);
		let violations = 0;
		for (const one of tasks) {
			const more = this.slope(one.image, image) * share + one.contentionSlope * contention;
			violations += violationShare(one, one.interference + more) - violationShare(one, one.interference);
		}
		return violations;
	}

	/** Part of a worker's cores that is in use when a neighbour placed now is at work. */
	expectedUtilization(session: sessions.WorkerSession): number {
		return this.profile(session).use;
	}

	/** How much a neighbour raises a serving image's busy part, a whole worker of it. */
	slope(serving: string, neighbour: string): number {
		return this.model(serving).slope(neighbour);
	}

	/**
	 * How differently two serving images are disturbed, 0 to 1: 1 where a neighbour that one does not mind overloads the
	 * other, or nothing is known.
	 */
	dissimilarity(one: string, other: string): number {
		if (one === other) return 0;
		const now = this.clock.now();
		if (now - this.dissimilaritiesAt >= profileMaxAgeMs) {
			this.dissimilarities.clear();
			this.dissimilaritiesAt = now;
		}
		const key = `${one}\n${other}`;
		const known = this.dissimilarities.get(key);
		if (known !== undefined) return known;
		const found = this.computeDissimilarity(one, other);
		this.dissimilarities.set(key, found);
		return found;
	}

	/**
	 * Part of the worker's serving cores whose images are disturbed by other neighbours than `image` is; undefined: nothing
	 * serves there.
	 */
	dissimilarShare(image: string, session: sessions.WorkerSession): number | undefined {
		const known = this.dissimilarShares.get(session);
		const now = this.clock.now();
		const isFresh = known?.revision === session.revision && now - known.at < profileMaxAgeMs;
		const kept = isFresh
			? known
			: { revision: session.revision, at: now, byImage: new Map<string, number | undefined>() };
		if (!isFresh) this.dissimilarShares.set(session, kept);
		if (kept.byImage.has(image)) return kept.byImage.get(image);
		const share = this.computeDissimilarShare(image, session);
		kept.byImage.set(image, share);
		return share;
	}

	private computeDissimilarShare(image: string, session: sessions.WorkerSession): number | undefined {
		let serving = 0;
		let dissimilar = 0;
		for (const { task } of session.placements.values()) {
			const { spec } = task.step;
			if (spec.targetMs === 0) continue;
			serving += spec.milliCores;
			dissimilar += spec.milliCores * this.dissimilarity(image, spec.image);
		}
		return serving === 0 ? undefined : dissimilar / serving;
	}

	private computeDissimilarity(one: string, other: string): number {
		const images = new Set([...this.model(one).neighbours, ...this.model(other).neighbours]);
		images.delete(neighbours.otherTasks);
		images.delete(neighbours.contention);
		if (images.size === 0) return 1;
		let sum = 0;
		for (const image of images) sum += Math.abs(this.slope(one, image) - this.slope(other, image));
		return Math.min(1, sum / images.size / fullDissimilaritySlope);
	}

	private observeTask(placement: types.Placement, neighbourReadings: NeighbourReadings): void {
		const { shares, steady, relievedAt, now } = neighbourReadings;
		const { image, targetMs } = placement.task.step.spec;
		const model = this.model(image);
		model.noteTail(placement.reading);
		const isOver = placement.reading > targetMs;
		const wasJustRelieved = now - relievedAt < overloadRecoveryMs;
		// Relieved of a neighbour, it still has to work off what has queued up.
		if (wasJustRelieved && now - placement.lastOverTargetAt < overloadRecoveryMs) return;
		const busy = model.busyPart(placement.reading, targetMs);
		const wave = this.wave(placement.task.step);
		const time = this.wallTime();
		wave.addReading(placement.task.index, busy, time);
		if (!wave.isComparable(time)) return;
		const load = wave.loadAt(time - loadWave.readingAgeMs, time);
		if (load <= minLoad) return;
		// Of readings under changed neighbours, only those over the target are evidence.
		if (steady || isOver) model.learn(shares, busy / load - 1);
	}

	/** A lasting step has ended: nothing that is learnt of its load from now on is of use to others. */
	forget(step: jobs.StepInstance): void {
		const wave = this.waves.get(step);
		this.waves.delete(step);
		if (wave !== undefined) this.retire(step, wave);
	}

	/** The serving tasks of a worker beside what is placed there. */
	private profile(session: sessions.WorkerSession): Profile {
		const known = this.profiles.get(session);
		const now = this.clock.now();
		if (known?.revision === session.revision && now - known.at < profileMaxAgeMs) return known;
		const time = this.wallTime() + predictionMs;
		const use = this.utilizationOf(session, time);
		const shares = neighbours.neighbourShares(session, () => 1);
		shares.set(neighbours.contention, contentionAt(use));
		const tasks = neighbours.servingPlacements(session).map((placement) => {
			const { image, targetMs } = placement.task.step.spec;
			const model = this.model(image);
			const load = this.loadOf(placement.task.step, time);
			return {
				image,
				load,
				interference: model.interferenceOf(shares),
				contentionSlope: model.slope(neighbours.contention),
				limit: model.busyPart(targetMs, targetMs),
			};
		});
		const profile: Profile = { revision: session.revision, at: now, tasks, use };
		this.profiles.set(session, profile);
		return profile;
	}

	/** Part of a worker's cores in use at a time: what fills and short tasks use all, lasting ones by their loads. */
	private utilizationOf(session: sessions.WorkerSession, time: number): number {
		let idle = 0;
		for (const { task } of session.placements.values()) {
			const { lasting, fills, milliCores } = task.step.spec;
			if (lasting && !fills) idle += milliCores * (1 - this.loadOf(task.step, time));
		}
		const capacity = session.entry?.capacity.milliCores ?? 1;
		return (session.preemptibleMilliCores + session.used.milliCores - idle) / capacity;
	}

	private loadOf(step: jobs.StepInstance, time: number): number {
		if (step.spec.targetMs === 0) return defaultLoad;
		return this.wave(step).loadAt(time, this.wallTime());
	}

	/** Now, in the time that loads are kept in. */
	private wallTime(): number {
		return this.clock.now() + this.wallOffset;
	}

	private wave(step: jobs.StepInstance): loadWave.LoadWave {
		const known = this.waves.get(step) ?? this.endedWaves.get(step);
		if (known !== undefined) return known;
		const created = this.period(step.spec.image).createWave(this.takeInherited(step));
		if (step.job.ended) this.retire(step, created);
		else this.waves.set(step, created);
		return created;
	}

	/** Until the tasks of an ended step have stopped, looks at their worker still ask for its load. */
	private retire(step: jobs.StepInstance, wave: loadWave.LoadWave): void {
		this.period(step.spec.image).remove(wave);
		this.endedWaves.set(step, wave);
	}

	private period(image: string): loadWave.LoadPeriod {
		const known = this.periods.get(image);
		if (known !== undefined) return known;
		const created = loadWave.LoadPeriod.create(this.wallTime());
		this.periods.set(image, created);
		return created;
	}

	private takeInherited(step: jobs.StepInstance): waveFit.WaveSums | undefined {
		const name = nameOf(step);
		const sums = this.inheritedLoads.get(name);
		this.inheritedLoads.delete(name);
		return sums;
	}

	private model(image: string): imageModel.ImageModel {
		const known = this.imageModels.get(image);
		if (known !== undefined) return known;
		const created = imageModel.ImageModel.create();
		this.imageModels.set(image, created);
		return created;
	}
}

/** Name of a step at one of its job's times. */
function nameOf(step: jobs.StepInstance): string {
	return `${step.job.id}.${String(step.occurrence)}.${String(step.number)}`;
}

/** Part of the newest reading during which a neighbour was at work. */
function shareOfReading(placement: types.Placement, now: number): number {
	if (placement.confirmedAt === 0) return 0;
	return Math.min(1, (now - Math.max(placement.confirmedAt, placement.paceChangedAt)) / readingWindowMs);
}

/** Part of the next seconds that a task is over its target, by its disturbance. */
function violationShare(task: ServingProfile, interference: number): number {
	const beyond = task.load * (1 + interference) - task.limit;
	return Math.min(1, Math.max(0, (beyond - neverOverMargin) / (alwaysOverMargin - neverOverMargin)));
}

/** Part of a worker's cores in use beyond what goes without disturbance. */
function contentionAt(use: number): number {
	return Math.max(0, use - contentionThreshold);
}

/**
 * Notes whether a task is over its target, and since when. It may have been over it for as long as nothing was heard of
 * its worker. Readings are rough: one just under the target ends nothing.
 */
function noteOverTarget(session: sessions.WorkerSession, placement: types.Placement, now: number): void {
	const { reading, overTargetSince, hasDippedUnderTarget } = placement;
	const { targetMs } = placement.task.step.spec;
	if (reading > targetMs) {
		placement.lastOverTargetAt = now;
		placement.overTargetSince =
			overTargetSince ?? Math.max(now - session.unansweredBeforeReportMs, earliestOverAt(placement));
		placement.hasDippedUnderTarget = false;
		return;
	}
	// Time without reports is no calm.
	placement.lastOverTargetAt = session.excludeUnansweredTime(placement.lastOverTargetAt);
	placement.hasDippedUnderTarget =
		overTargetSince !== undefined && !hasDippedUnderTarget && reading > targetMs * clearlyUnderFactor;
	if (!placement.hasDippedUnderTarget) placement.overTargetSince = undefined;
}

/** Clock time before which a run cannot have been over its target. */
function earliestOverAt(placement: types.Placement): number {
	return placements.isAdopted(placement) ? -Infinity : placement.confirmedAt;
}
