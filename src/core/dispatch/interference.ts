/**
 * Learns how much neighbours interfere with a serving task, by pairs of images.
 *
 * A serving task is modelled as a queue. Its tail latency is `idle / (1 - busy)`. Its busy part is its step's load, times
 * one plus the sum over its neighbours of the pair's slope times the neighbour's share of the worker. The slopes are learned
 * by ridge regression over all reports. Image names mean nothing beyond a day, so everything is learned anew from a cautious
 * initial guess. docs/decisions/0011-interference.md has the measurements behind the model.
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

/** Time that a reading covers, in milliseconds. A neighbour that started within it counts in part. */
const readingWindowMs = 600;

/** Maximum age of a worker's cached profile, in milliseconds: loads and slopes change slowly. */
const profileMaxAgeMs = 250;

/** How far ahead loads are predicted, in milliseconds: half of a preemptible task's usual run time. */
const predictionMs = 900;

/**
 * Bounds for how much busier a task is expected to be than its target allows. Below the first, no such task exceeds its
 * target during the next seconds; above the second, all do. In between, the share rises about linearly.
 */
const neverOverMargin = -0.16;
const alwaysOverMargin = 0.24;

/** Maximum age of a load that an earlier owner learned, in milliseconds: one or two of its periods. */
const inheritedMaxAgeMs = 20_000;

/** Above this share of a worker's cores in use, every serving task there suffers interference, whatever uses the cores. */
const contentionThreshold = 0.9;

/** The share of its reservation that a long-running task of unknown load uses. */
const defaultLoad = 0.5;

/**
 * After a task's tail latency exceeded its target, readings stay high for a while whatever the neighbours do, because the
 * queue has to be worked off. Nothing is learned from readings during this time, in milliseconds.
 */
const overloadRecoveryMs = 1_800;

/** A reading below this share of the target shows that a task no longer exceeds the target. */
const clearlyUnderFactor = 0.8;

/** Below this load, a tail latency is too close to that of an idle task to be informative. */
const minLoad = 0.35;

/** Mean difference of slopes from which two serving images count as entirely dissimilar. */
const fullDissimilaritySlope = 1;

/** A serving task with its predicted load, and how much its neighbours raise its busy part. */
interface ServingProfile {
	image: string;
	load: number;
	interference: number;
	/** How much contention raises its busy part, per whole worker of cores in use beyond `contentionThreshold`. */
	contentionSlope: number;
	/** Busy part above which it exceeds its target. */
	limit: number;
}

/** The serving tasks of a worker, computed for one revision of its placements. */
interface Profile {
	revision: number;
	at: number;
	tasks: ServingProfile[];
	/** Share of the worker's cores in use. */
	use: number;
}

/** Dissimilar shares of a worker by image, computed for one revision of its placements. */
interface DissimilarShares {
	revision: number;
	at: number;
	byImage: Map<string, number | undefined>;
}

/** What ran beside a worker's serving tasks during its newest readings. */
interface NeighbourReadings {
	shares: imageModel.Shares;
	/** The neighbours did not change while the readings were taken. */
	steady: boolean;
	/** Clock time at which a neighbour was last throttled or taken away. */
	relievedAt: number;
	now: number;
}

/** Estimates of interference, over all workers of one owner. */
export class InterferenceModel {
	private readonly imageModels = new Map<string, imageModel.ImageModel>();
	private readonly profiles = new WeakMap<sessions.WorkerSession, Profile>();
	private readonly dissimilarShares = new WeakMap<sessions.WorkerSession, DissimilarShares>();
	private readonly waves = new Map<jobs.StepInstance, loadWave.LoadWave>();
	/** Loads of ended steps whose tasks may still be stopping. They are kept only as long as the step itself. */
	private readonly endedWaves = new WeakMap<jobs.StepInstance, loadWave.LoadWave>();
	/** By image: the loads of its steps oscillate with the same period, each with its own phase. */
	private readonly periods = new Map<string, loadWave.LoadPeriod>();

	/** Dissimilarities by pair of images, cached for `profileMaxAgeMs`: each choice of a worker reads hundreds of them. */
	private readonly dissimilarities = new Map<string, number>();
	private dissimilaritiesAt = -Infinity;

	/** Loads that an earlier owner learned, of steps that have not reported to this owner yet. */
	private readonly inheritedLoads = new Map<string, waveFit.WaveSums>();
	/**
	 * Offset from the monotonic clock to the wall clock, taken at creation so that later jumps of the wall clock change
	 * nothing.
	 */
	private readonly wallOffset: number;

	private constructor(private readonly clock: clocks.Clock) {
		this.wallOffset = clock.wall() - clock.now();
	}

	static create(clock: clocks.Clock): InterferenceModel {
		return new InterferenceModel(clock);
	}

	/** Everything learned so far. */
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

	/** Continues from what another owner learned; false: it is stored in another format version. */
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
		// Until the platform has listed the worker, its size is not known.
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
	 * Expected number of serving tasks on a worker that one more neighbour would push over their targets, in addition to
	 * those that exceed them already. A task that exceeds its target for a part of the time counts for that part.
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

	/** Share of a worker's cores that is expected to be in use while a neighbour placed at this moment works. */
	expectedUtilization(session: sessions.WorkerSession): number {
		return this.profile(session).use;
	}

	/** How much a neighbour that takes a whole worker raises a serving image's busy part, as a multiple of its load. */
	slope(serving: string, neighbour: string): number {
		return this.model(serving).slope(neighbour);
	}

	/**
	 * How differently two serving images react to their neighbours, 0 to 1. It is 1 if a neighbour that one tolerates
	 * overloads the other, or if nothing is known.
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
	 * Share of the worker's serving cores whose images react to other neighbours than `image` does; undefined: no serving
	 * task is placed there.
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
		// After a neighbour was removed or throttled, the task still has to work off its queue.
		if (wasJustRelieved && now - placement.lastOverTargetAt < overloadRecoveryMs) return;
		const busy = model.busyPart(placement.reading, targetMs);
		const wave = this.wave(placement.task.step);
		const time = this.wallTime();
		wave.addReading(placement.task.index, busy, time);
		if (!wave.isComparable(time)) return;
		const load = wave.loadAt(time - loadWave.readingAgeMs, time);
		if (load <= minLoad) return;
		// A reading taken while neighbours changed is evidence only if it exceeds the target.
		if (steady || isOver) model.learn(shares, busy / load - 1);
	}

	/** Sets the load of an ended long-running step aside: it is of no use to other steps. */
	forget(step: jobs.StepInstance): void {
		const wave = this.waves.get(step);
		this.waves.delete(step);
		if (wave !== undefined) this.retire(step, wave);
	}

	/** The serving tasks of a worker as they affect the placement of a neighbour; cached for `profileMaxAgeMs`. */
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

	/**
	 * Share of a worker's cores in use at a time. Preemptible and short tasks use all they reserve; long-running ones use a
	 * part that follows their load.
	 */
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

	/** Wall-clock time by the monotonic clock, in which loads are kept. */
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

	/** Keeps an ended step's load out of the choice of the period. It is still read until the step's tasks have stopped. */
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

/** Name of a step at one occurrence of its job. */
function nameOf(step: jobs.StepInstance): string {
	return `${step.job.id}.${String(step.occurrence)}.${String(step.number)}`;
}

/** Share of the newest reading's time in which a neighbour was working. */
function shareOfReading(placement: types.Placement, now: number): number {
	if (placement.confirmedAt === 0) return 0;
	return Math.min(1, (now - Math.max(placement.confirmedAt, placement.paceChangedAt)) / readingWindowMs);
}

/** Share of the next seconds during which a task exceeds its target, given the interference with it. */
function violationShare(task: ServingProfile, interference: number): number {
	const beyond = task.load * (1 + interference) - task.limit;
	return Math.min(1, Math.max(0, (beyond - neverOverMargin) / (alwaysOverMargin - neverOverMargin)));
}

/** Share of a worker's cores in use beyond the contention threshold. */
function contentionAt(use: number): number {
	return Math.max(0, use - contentionThreshold);
}

/**
 * Records whether a task exceeds its target, and since when. It may have done so since the worker's previous report.
 * Readings are noisy: a single one just below the target does not end the excess.
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
	// Time without reports does not count as time below the target.
	placement.lastOverTargetAt = session.excludeUnansweredTime(placement.lastOverTargetAt);
	placement.hasDippedUnderTarget =
		overTargetSince !== undefined && !hasDippedUnderTarget && reading > targetMs * clearlyUnderFactor;
	if (!placement.hasDippedUnderTarget) placement.overTargetSince = undefined;
}

/** Clock time before which a run can't have exceeded its target. */
function earliestOverAt(placement: types.Placement): number {
	return placements.isAdopted(placement) ? -Infinity : placement.confirmedAt;
}
