/**
 * Learns how much neighbours interfere with a serving task, by pairs of images.
 *
 * A serving task is modelled as a queue. Its tail latency is `idle / (1 - busy)`. Its busy part is its step's load, times
 * one plus the sum over its neighbours of the pair's slope times the neighbour's share of the worker. The slopes are learned
 * by ridge regression over all reports. Image names mean nothing beyond a day, so everything is learned anew from a cautious
 * initial guess. docs/decisions/0011-interference.md has the measurements behind the model.
 */
import * as imageModel from './image-model.js';
import * as stored from './knowledge.js';
import * as loadWave from './load-wave.js';
import * as neighbours from './neighbours.js';
import * as placements from './placements.js';
import type * as clocks from '../clock.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';
import type * as waveFit from './wave-fit.js';

/** Time that a reading covers, in milliseconds. A neighbour that started within it counts in part. */
const readingMs = 600;

/** Maximum age of a worker's cached profile, in milliseconds: loads and slopes change slowly. */
const profileMs = 250;

/** How far ahead loads are predicted, in milliseconds: half of a preemptible task's usual run time. */
const aheadMs = 900;

/**
 * Bounds for how much busier a task is expected to be than its target allows. Below the first, no such task exceeds its
 * target during the next seconds; above the second, all do. In between, the share rises about linearly.
 */
const surelyUnder = -0.16;
const surelyOver = 0.24;

/** Maximum age of a load that an earlier owner learned, in milliseconds: one or two of its periods. */
const inheritedMs = 20_000;

/** Above this share of a worker's cores in use, every serving task there suffers interference, whatever uses the cores. */
const crowdedUse = 0.9;

/** The share of its reservation that a long-running task of unknown load uses. */
const usualUse = 0.5;

/**
 * After a task's tail latency exceeded its target, readings stay high for a while whatever the neighbours do, because the
 * queue has to be worked off. Nothing is learned from readings during this time, in milliseconds.
 */
const overloadMs = 1_800;

/** A reading below this share of the target shows that a task no longer exceeds the target. */
const clearlyUnderPart = 0.8;

/** Below this load, a tail latency is too close to that of an idle task to be informative. */
const leastLoad = 0.35;

/** Mean difference of slopes from which two serving images count as entirely dissimilar. */
const unlikeSlope = 1;

/** A serving task with its predicted load, and how much its neighbours raise its busy part. */
interface ServingProfile {
	image: string;
	load: number;
	disturbance: number;
	/** How much contention raises its busy part, per whole worker of cores in use beyond `contentionThreshold`. */
	crowdingSlope: number;
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
interface UnlikeShares {
	revision: number;
	at: number;
	byImage: Map<string, number | undefined>;
}

/** What ran beside a worker's serving tasks during its newest readings. */
interface Surroundings {
	shares: imageModel.Shares;
	/** The neighbours did not change while the readings were taken. */
	steady: boolean;
	/** Clock time at which a neighbour was last throttled or taken away. */
	relievedAt: number;
	now: number;
}

/** Estimates of interference, over all workers of one owner. */
export class Interference {
	private readonly models = new Map<string, imageModel.ImageModel>();
	private readonly profiles = new WeakMap<sessions.WorkerSession, Profile>();
	private readonly unlikeShares = new WeakMap<sessions.WorkerSession, UnlikeShares>();
	private readonly waves = new Map<jobs.StepRun, loadWave.LoadWave>();
	/** Loads of ended steps whose tasks may still be stopping. They are kept only as long as the step itself. */
	private readonly endedWaves = new WeakMap<jobs.StepRun, loadWave.LoadWave>();
	/** By image: the loads of its steps oscillate with the same period, each with its own phase. */
	private readonly periods = new Map<string, loadWave.LoadPeriod>();

	/** Dissimilarities by pair of images, cached for `profileMaxAgeMs`: each choice of a worker reads hundreds of them. */
	private readonly unlikenesses = new Map<string, number>();
	private unlikenessAt = -Infinity;

	/** Loads that an earlier owner learned, of steps that have not reported to this owner yet. */
	private readonly inherited = new Map<string, waveFit.WaveSums>();
	/**
	 * Offset from the monotonic clock to the wall clock, taken at creation so that later jumps of the wall clock change
	 * nothing.
	 */
	private readonly wallOffset: number;

	private constructor(private readonly clock: clocks.Clock) {
		this.wallOffset = clock.wall() - clock.now();
	}

	static create(clock: clocks.Clock): Interference {
		return new Interference(clock);
	}

	/** Everything learned so far. */
	knowledge(): stored.Knowledge {
		const time = this.time();
		const images = [...this.models].map(([image, model]) => [image, model.learnt] as const);
		const periods = [...this.periods].map(([image, period]) => [image, period.index(time)] as const);
		const loads = [...this.waves].flatMap(([step, wave]) => {
			const sums = wave.learnt(time);
			return sums === undefined ? [] : [[nameOf(step), sums] as const];
		});
		return {
			format: stored.format,
			images: Object.fromEntries(images),
			periods: Object.fromEntries(periods),
			loads: Object.fromEntries([...this.inherited, ...loads]),
		};
	}

	/** Continues from what another owner learned; false: it is stored in another format version. */
	adopt(knowledge: stored.Knowledge): boolean {
		if (knowledge.format !== stored.format) return false;
		const { images, periods, loads } = knowledge;
		for (const [image, learnt] of Object.entries(images))
			this.models.set(image, imageModel.ImageModel.restore(learnt));
		for (const [image, period] of Object.entries(periods))
			this.periods.set(image, loadWave.LoadPeriod.restore(period, this.time()));
		const since = this.time() - inheritedMs;
		this.inherited.clear();
		for (const [name, sums] of Object.entries(loads))
			if ((sums.updatedAt ?? 0) >= since) this.inherited.set(name, sums);
		return true;
	}

	/** Learns from a worker's newest readings. */
	observe(session: sessions.WorkerSession): void {
		const atWork = neighbours
			.servingOf(session)
			.filter((place) => place.reading > 0 && place.percent === 100);
		const now = this.clock.now();
		for (const place of atWork) noteOver(session, place, now);
		// Until the platform has listed the worker, its size is not known.
		if (atWork.length === 0 || session.entry === undefined) return;
		const shares = neighbours.sharesOf(session, (place) => partOfReading(place, now));
		const crowding = crowdingAt(this.useOf(session, this.time() - loadWave.readingAgeMs));
		const around: Surroundings = {
			shares: shares.set(neighbours.crowding, crowding),
			steady: now - session.neighboursChangedAt > readingMs,
			relievedAt: session.relievedAt,
			now,
		};
		for (const place of atWork) this.observeTask(place, around);
	}

	/**
	 * Expected number of serving tasks on a worker that one more neighbour would push over their targets, in addition to
	 * those that exceed them already. A task that exceeds its target for a part of the time counts for that part.
	 */
	harmOf(session: sessions.WorkerSession, image: string, share: number): number {
		const { tasks, use } = this.profile(session);
		const crowding = crowdingAt(use + share) - crowdingAt(use);
		let harm = 0;
		for (const one of tasks) {
			const more = this.slope(one.image, image) * share + one.crowdingSlope * crowding;
			harm += harmAt(one, one.disturbance + more) - harmAt(one, one.disturbance);
		}
		return harm;
	}

	/** Share of a worker's cores that is expected to be in use while a neighbour placed at this moment works. */
	expectedUse(session: sessions.WorkerSession): number {
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
	unlikeness(one: string, other: string): number {
		if (one === other) return 0;
		const now = this.clock.now();
		if (now - this.unlikenessAt >= profileMs) {
			this.unlikenesses.clear();
			this.unlikenessAt = now;
		}
		const key = `${one}\n${other}`;
		const known = this.unlikenesses.get(key);
		if (known !== undefined) return known;
		const found = this.compare(one, other);
		this.unlikenesses.set(key, found);
		return found;
	}

	/**
	 * Share of the worker's serving cores whose images react to other neighbours than `image` does; undefined: no serving
	 * task is placed there.
	 */
	unlikeShare(image: string, session: sessions.WorkerSession): number | undefined {
		const known = this.unlikeShares.get(session);
		const now = this.clock.now();
		const isFresh = known?.revision === session.revision && now - known.at < profileMs;
		const kept = isFresh
			? known
			: { revision: session.revision, at: now, byImage: new Map<string, number | undefined>() };
		if (!isFresh) this.unlikeShares.set(session, kept);
		if (kept.byImage.has(image)) return kept.byImage.get(image);
		const share = this.workOutUnlikeShare(image, session);
		kept.byImage.set(image, share);
		return share;
	}

	private workOutUnlikeShare(image: string, session: sessions.WorkerSession): number | undefined {
		let serving = 0;
		let unlike = 0;
		for (const { task } of session.placements.values()) {
			const { spec } = task.step;
			if (spec.targetMs === 0) continue;
			serving += spec.milliCores;
			unlike += spec.milliCores * this.unlikeness(image, spec.image);
		}
		return serving === 0 ? undefined : unlike / serving;
	}

	private compare(one: string, other: string): number {
		const images = new Set([...this.model(one).neighbours, ...this.model(other).neighbours]);
		images.delete(neighbours.ordinary);
		images.delete(neighbours.crowding);
		if (images.size === 0) return 1;
		let sum = 0;
		for (const image of images) sum += Math.abs(this.slope(one, image) - this.slope(other, image));
		return Math.min(1, sum / images.size / unlikeSlope);
	}

	private observeTask(place: types.Placement, around: Surroundings): void {
		const { shares, steady, relievedAt, now } = around;
		const { image, targetMs } = place.task.step.spec;
		const model = this.model(image);
		model.noteTail(place.reading);
		const isOver = place.reading > targetMs;
		const relievedLately = now - relievedAt < overloadMs;
		// After a neighbour was removed or throttled, the task still has to work off its queue.
		if (relievedLately && now - place.overAt < overloadMs) return;
		const busy = model.busyPart(place.reading, targetMs);
		const wave = this.wave(place.task.step);
		const time = this.time();
		wave.note(place.task.index, busy, time);
		if (!wave.isComparable(time)) return;
		const load = wave.loadAt(time - loadWave.readingAgeMs, time);
		if (load <= leastLoad) return;
		// A reading taken while neighbours changed is evidence only if it exceeds the target.
		if (steady || isOver) model.learn(shares, busy / load - 1);
	}

	/** Sets the load of an ended long-running step aside: it is of no use to other steps. */
	forget(step: jobs.StepRun): void {
		const wave = this.waves.get(step);
		this.waves.delete(step);
		if (wave !== undefined) this.setAside(step, wave);
	}

	/** The serving tasks of a worker as they affect the placement of a neighbour; cached for `profileMaxAgeMs`. */
	private profile(session: sessions.WorkerSession): Profile {
		const known = this.profiles.get(session);
		const now = this.clock.now();
		if (known?.revision === session.revision && now - known.at < profileMs) return known;
		const time = this.time() + aheadMs;
		const use = this.useOf(session, time);
		const shares = neighbours.sharesOf(session, () => 1);
		shares.set(neighbours.crowding, crowdingAt(use));
		const tasks = neighbours.servingOf(session).map((place) => {
			const { image, targetMs } = place.task.step.spec;
			const model = this.model(image);
			const load = this.loadOf(place.task.step, time);
			return {
				image,
				load,
				disturbance: model.disturbance(shares),
				crowdingSlope: model.slope(neighbours.crowding),
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
	private useOf(session: sessions.WorkerSession, time: number): number {
		let idle = 0;
		for (const { task } of session.placements.values()) {
			const { lasting, fills, milliCores } = task.step.spec;
			if (lasting && !fills) idle += milliCores * (1 - this.loadOf(task.step, time));
		}
		const capacity = session.entry?.capacity.milliCores ?? 1;
		return (session.fillMilliCores + session.used.milliCores - idle) / capacity;
	}

	private loadOf(step: jobs.StepRun, time: number): number {
		if (step.spec.targetMs === 0) return usualUse;
		return this.wave(step).loadAt(time, this.time());
	}

	/** Wall-clock time by the monotonic clock, in which loads are kept. */
	private time(): number {
		return this.clock.now() + this.wallOffset;
	}

	private wave(step: jobs.StepRun): loadWave.LoadWave {
		const known = this.waves.get(step) ?? this.endedWaves.get(step);
		if (known !== undefined) return known;
		const created = this.period(step.spec.image).createWave(this.takeInherited(step));
		if (step.job.ended) this.setAside(step, created);
		else this.waves.set(step, created);
		return created;
	}

	/** Keeps an ended step's load out of the choice of the period. It is still read until the step's tasks have stopped. */
	private setAside(step: jobs.StepRun, wave: loadWave.LoadWave): void {
		this.period(step.spec.image).remove(wave);
		this.endedWaves.set(step, wave);
	}

	private period(image: string): loadWave.LoadPeriod {
		const known = this.periods.get(image);
		if (known !== undefined) return known;
		const created = loadWave.LoadPeriod.create(this.time());
		this.periods.set(image, created);
		return created;
	}

	private takeInherited(step: jobs.StepRun): waveFit.WaveSums | undefined {
		const name = nameOf(step);
		const sums = this.inherited.get(name);
		this.inherited.delete(name);
		return sums;
	}

	private model(image: string): imageModel.ImageModel {
		const known = this.models.get(image);
		if (known !== undefined) return known;
		const created = imageModel.ImageModel.create();
		this.models.set(image, created);
		return created;
	}
}

/** Name of a step at one occurrence of its job. */
function nameOf(step: jobs.StepRun): string {
	return `${step.job.id}.${String(step.time)}.${String(step.number)}`;
}

/** Share of the newest reading's time in which a neighbour was working. */
function partOfReading(place: types.Placement, now: number): number {
	if (place.confirmedAt === 0) return 0;
	return Math.min(1, (now - Math.max(place.confirmedAt, place.pacedAt)) / readingMs);
}

/** Share of the next seconds during which a task exceeds its target, given the interference with it. */
function harmAt(task: ServingProfile, disturbance: number): number {
	const beyond = task.load * (1 + disturbance) - task.limit;
	return Math.min(1, Math.max(0, (beyond - surelyUnder) / (surelyOver - surelyUnder)));
}

/** Share of a worker's cores in use beyond the contention threshold. */
function crowdingAt(use: number): number {
	return Math.max(0, use - crowdedUse);
}

/**
 * Records whether a task exceeds its target, and since when. It may have done so since the worker's previous report.
 * Readings are noisy: a single one just below the target does not end the excess.
 */
function noteOver(session: sessions.WorkerSession, place: types.Placement, now: number): void {
	const { reading, overSince, hasDipped } = place;
	const { targetMs } = place.task.step.spec;
	if (reading > targetMs) {
		place.overAt = now;
		place.overSince = overSince ?? Math.max(now - session.unheardMs, knownSince(place));
		place.hasDipped = false;
		return;
	}
	// Time without reports does not count as time below the target.
	place.overAt = session.withoutUnheard(place.overAt);
	place.hasDipped = overSince !== undefined && !hasDipped && reading > targetMs * clearlyUnderPart;
	if (!place.hasDipped) place.overSince = undefined;
}

/** Clock time before which a run can't have exceeded its target. */
function knownSince(place: types.Placement): number {
	return placements.isFound(place) ? -Infinity : place.confirmedAt;
}
