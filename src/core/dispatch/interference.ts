/**
 * Learns how much the tasks beside it disturb a task that serves users, by pairs of images.
 *
 * A serving task is taken for a queue: its tail is `idle / (1 - busy)`, and its busy part is its step's load, times one
 * plus the sum over its neighbours of a pair's slope times the neighbour's share of the worker. The slopes are learnt
 * by ridge regression over all reports; names of images mean nothing beyond a day, so all is learnt anew from a
 * cautious first guess. docs/decisions/0011-interference.md has the measurements behind the form.
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

/** A reading covers so long, in milliseconds: a neighbour that started in between counts in part. */
const readingMs = 600;

/** A profile of a worker is worked out anew after so long, in milliseconds: loads and slopes move slowly. */
const profileMs = 250;

/** Loads are predicted for so long ahead, in milliseconds: half of what a filling task usually runs. */
const aheadMs = 900;

/**
 * Of the tasks that are expected this much busier than their target allows, none, and all, go over it during the next
 * seconds; in between the part rises about evenly.
 */
const surelyUnder = -0.16;
const surelyOver = 0.24;

/** A load that an earlier owner learnt is of use for so long, in milliseconds: one or two of its periods. */
const inheritedMs = 20_000;

/** Above this part of a worker's cores in use, every serving task there is disturbed, whatever uses them. */
const crowdedUse = 0.9;

/** The part of its reservation that a lasting task of unknown load uses. */
const usualUse = 0.5;

/**
 * After a tail went over its target, readings stay high for a while whatever the neighbours do: what has queued up
 * has to be worked off. Nothing is learnt from readings for so long, in milliseconds.
 */
const overloadMs = 1_800;

/** A reading under this part of its target shows that a task is not over it any more. */
const clearlyUnderPart = 0.8;

/** Under this load a tail is too close to that of an idle task to tell anything. */
const leastLoad = 0.35;

/** Mean difference of slopes from which two serving images count as wholly unlike. */
const unlikeSlope = 1;

/** A serving task, its load when a neighbour placed now is at work, and how much those there raise its busy part. */
interface ServingProfile {
	image: string;
	load: number;
	disturbance: number;
	/** How much a whole worker of cores in use beyond `crowdedUse` raises it further. */
	crowdingSlope: number;
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
interface UnlikeShares {
	revision: number;
	at: number;
	byImage: Map<string, number | undefined>;
}

/** What stood beside a worker's serving tasks during its newest readings. */
interface Surroundings {
	shares: imageModel.Shares;
	/** Nothing changed while the readings were taken. */
	steady: boolean;
	/** When a neighbour was last slowed or taken away. */
	relievedAt: number;
	now: number;
}

/** Estimates of disturbance, over all workers of one owner. */
export class Interference {
	private readonly models = new Map<string, imageModel.ImageModel>();
	private readonly profiles = new WeakMap<sessions.WorkerSession, Profile>();
	private readonly unlikeShares = new WeakMap<sessions.WorkerSession, UnlikeShares>();
	private readonly waves = new Map<jobs.StepRun, loadWave.LoadWave>();
	/** Of steps that have ended, whose tasks may still be stopping: kept no longer than the step. */
	private readonly endedWaves = new WeakMap<jobs.StepRun, loadWave.LoadWave>();
	/** By image: its steps swing alike, each in a phase of its own. */
	private readonly periods = new Map<string, loadWave.LoadPeriod>();

	/** By pair of images, as of a moment ago: each choice asks for hundreds of them. */
	private readonly unlikenesses = new Map<string, number>();
	private unlikenessAt = -Infinity;

	/** What an earlier owner learnt of loads whose steps have not reported to this one yet. */
	private readonly inherited = new Map<string, waveFit.WaveSums>();
	/** From the steady clock to the wall clock, as it stood at the beginning: later jumps of that clock change nothing. */
	private readonly wallOffset: number;

	private constructor(private readonly clock: clocks.Clock) {
		this.wallOffset = clock.wall() - clock.now();
	}

	static create(clock: clocks.Clock): Interference {
		return new Interference(clock);
	}

	/** What was learnt so far. */
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

	/** Goes on from what another owner learnt; false: it is stored in the form of another version. */
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
		// Before the platform has named the worker, its size is not known.
		if (atWork.length === 0 || session.entry === undefined) return;
		const shares = neighbours.sharesOf(session, (place) => partOfReading(place, now));
		const crowding = crowdingAt(this.useOf(session, this.time() - loadWave.readingAgeMs));
		const around: Surroundings = {
			shares: shares.set(neighbours.crowding, crowding),
			steady: now - session.neighboursChangedAt > readingMs,
			relievedAt: session.preemptibleLoadReducedAt,
			now,
		};
		for (const place of atWork) this.observeTask(place, around);
	}

	/**
	 * How many serving tasks of a worker one more neighbour is expected to keep over their targets, beyond those that are
	 * so already; parts count for those that go over for a part of the time.
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

	/** Part of a worker's cores that is in use when a neighbour placed now is at work. */
	expectedUse(session: sessions.WorkerSession): number {
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
	 * Part of the worker's serving cores whose images are disturbed by other neighbours than `image` is; undefined: nothing
	 * serves there.
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
		// Relieved of a neighbour, it still has to work off what has queued up.
		if (relievedLately && now - place.lastOverTargetAt < overloadMs) return;
		const busy = model.busyPart(place.reading, targetMs);
		const wave = this.wave(place.task.step);
		const time = this.time();
		wave.note(place.task.index, busy, time);
		if (!wave.isComparable(time)) return;
		const load = wave.loadAt(time - loadWave.readingAgeMs, time);
		if (load <= leastLoad) return;
		// Of readings under changed neighbours, only those over the target are evidence.
		if (steady || isOver) model.learn(shares, busy / load - 1);
	}

	/** A lasting step has ended: nothing that is learnt of its load from now on is of use to others. */
	forget(step: jobs.StepRun): void {
		const wave = this.waves.get(step);
		this.waves.delete(step);
		if (wave !== undefined) this.setAside(step, wave);
	}

	/** The serving tasks of a worker beside what is placed there. */
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

	/** Part of a worker's cores in use at a time: what fills and short tasks use all, lasting ones by their loads. */
	private useOf(session: sessions.WorkerSession, time: number): number {
		let idle = 0;
		for (const { task } of session.placements.values()) {
			const { lasting, fills, milliCores } = task.step.spec;
			if (lasting && !fills) idle += milliCores * (1 - this.loadOf(task.step, time));
		}
		const capacity = session.entry?.capacity.milliCores ?? 1;
		return (session.preemptibleMilliCores + session.used.milliCores - idle) / capacity;
	}

	private loadOf(step: jobs.StepRun, time: number): number {
		if (step.spec.targetMs === 0) return usualUse;
		return this.wave(step).loadAt(time, this.time());
	}

	/** Now, in the time that loads are kept in. */
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

	/** Until the tasks of an ended step have stopped, looks at their worker still ask for its load. */
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

/** Name of a step at one of its job's times. */
function nameOf(step: jobs.StepRun): string {
	return `${step.job.id}.${String(step.time)}.${String(step.number)}`;
}

/** Part of the newest reading during which a neighbour was at work. */
function partOfReading(place: types.Placement, now: number): number {
	if (place.confirmedAt === 0) return 0;
	return Math.min(1, (now - Math.max(place.confirmedAt, place.paceChangedAt)) / readingMs);
}

/** Part of the next seconds that a task is over its target, by its disturbance. */
function harmAt(task: ServingProfile, disturbance: number): number {
	const beyond = task.load * (1 + disturbance) - task.limit;
	return Math.min(1, Math.max(0, (beyond - surelyUnder) / (surelyOver - surelyUnder)));
}

/** Part of a worker's cores in use beyond what goes without disturbance. */
function crowdingAt(use: number): number {
	return Math.max(0, use - crowdedUse);
}

/**
 * Notes whether a task is over its target, and since when. It may have been over it for as long as nothing was heard of
 * its worker. Readings are rough: one just under the target ends nothing.
 */
function noteOver(session: sessions.WorkerSession, place: types.Placement, now: number): void {
	const { reading, overTargetSince: overSince, hasDippedUnderTarget: hasDipped } = place;
	const { targetMs } = place.task.step.spec;
	if (reading > targetMs) {
		place.lastOverTargetAt = now;
		place.overTargetSince = overSince ?? Math.max(now - session.unansweredBeforeReportMs, knownSince(place));
		place.hasDippedUnderTarget = false;
		return;
	}
	// Time without reports is no calm.
	place.lastOverTargetAt = session.excludeUnansweredTime(place.lastOverTargetAt);
	place.hasDippedUnderTarget = overSince !== undefined && !hasDipped && reading > targetMs * clearlyUnderPart;
	if (!place.hasDippedUnderTarget) place.overTargetSince = undefined;
}

/** Clock time before which a run cannot have been over its target. */
function knownSince(place: types.Placement): number {
	return placements.isAdopted(place) ? -Infinity : place.confirmedAt;
}
