/**
 * Learns how much the tasks beside it disturb a task that serves users, by pairs of images.
 *
 * A serving task is taken for a queue: its tail is `idle / (1 - busy)`, and its busy part is its step's load, times one
 * plus the sum over its neighbours of a pair's slope times the neighbour's share of the worker. The slopes are learnt
 * by ridge regression over all reports; names of images mean nothing beyond a day, so all is learnt anew from a
 * cautious first guess. docs/decisions/0011-interference.md has the measurements behind the form.
 */
import * as imageModel from './image-model.js';
import * as loadTrack from './load-track.js';
import * as neighbours from './neighbours.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** A reading covers so long, in milliseconds: a neighbour that started in between counts in part. */
const readingMs = 600;

/** A profile of a worker is worked out anew after so long, in milliseconds: loads and slopes move slowly. */
const profileMs = 500;

/** Measured: a task is over its target for so much of the time a unit of disturbance. */
const harmPerDisturbance = 0.5;

/** Less disturbance than this is none. */
const noDisturbance = 0.03;

/**
 * After a tail went over its target, readings stay high for a while whatever the neighbours do: what has queued up
 * has to be worked off. Nothing is learnt from readings for so long, in milliseconds.
 */
const overloadMs = 1_800;

/** Under this load a tail is too close to that of an idle task to tell anything. */
const leastLoad = 0.35;

/** Mean difference of slopes from which two serving images count as wholly unlike. */
const unlikeSlope = 1;

/** All that was learnt, by serving image; another owner may go on from it. */
export type Knowledge = Record<string, imageModel.LearntImage>;

/** A serving task, and how much all that is placed beside it raises its busy part. */
interface ServingProfile {
	image: string;
	disturbance: number;
}

/** The serving tasks of a worker, worked out for one state of it. */
interface Profile {
	revision: number;
	at: number;
	tasks: ServingProfile[];
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
	private readonly tracks = new WeakMap<jobs.StepRun, loadTrack.LoadTrack>();

	private constructor(private readonly now: () => number) {}

	static create(now: () => number): Interference {
		return new Interference(now);
	}

	/** What was learnt so far. */
	knowledge(): Knowledge {
		return Object.fromEntries([...this.models].map(([image, model]) => [image, model.learnt]));
	}

	/** Goes on from what another owner learnt. */
	adopt(knowledge: Knowledge): void {
		for (const [image, learnt] of Object.entries(knowledge))
			this.models.set(image, imageModel.ImageModel.restore(learnt));
	}

	/** Learns from a worker's newest readings. */
	observe(session: sessions.WorkerSession): void {
		const atWork = neighbours
			.servingOf(session)
			.filter((place) => place.reading > 0 && place.percent === 100);
		if (atWork.length === 0) return;
		const now = this.now();
		const around: Surroundings = {
			shares: neighbours.sharesOf(session, (place) => partOfReading(place, now)),
			steady: now - session.neighboursChangedAt > readingMs,
			relievedAt: session.relievedAt,
			now,
		};
		for (const place of atWork) this.observeTask(place, around);
	}

	/**
	 * How many serving tasks of a worker one more neighbour is expected to keep over their targets, beyond those that are
	 * so already; parts count for those that go over for a part of the time.
	 */
	harmOf(session: sessions.WorkerSession, image: string, share: number): number {
		let harm = 0;
		for (const one of this.profile(session)) {
			const more = this.slope(one.image, image) * share;
			if (more > 0) harm += harmAt(one.disturbance + more) - harmAt(one.disturbance);
		}
		return harm;
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
		const images = new Set([...this.model(one).neighbours, ...this.model(other).neighbours]);
		images.delete(neighbours.ordinary);
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
		noteOver(place, isOver, now);
		// Relieved of a neighbour, it still has to work off what has queued up.
		if (relievedLately && now - place.overAt < overloadMs) return;
		const busy = model.busyPart(place.reading, targetMs);
		const track = this.track(place.task.step);
		track.note(place.task.index, busy, now);
		const load = track.comparable;
		if (load === undefined || load <= leastLoad) return;
		// Of readings under changed neighbours, only those over the target are evidence.
		if (steady || isOver) model.learn(shares, busy / load - 1);
	}

	/** The serving tasks of a worker beside what is placed there. */
	private profile(session: sessions.WorkerSession): ServingProfile[] {
		const known = this.profiles.get(session);
		const now = this.now();
		if (known?.revision === session.revision && now - known.at < profileMs) return known.tasks;
		const shares = neighbours.sharesOf(session, () => 1);
		const tasks = neighbours.servingOf(session).map((place) => {
			const { image } = place.task.step.spec;
			return { image, disturbance: this.model(image).disturbance(shares) };
		});
		this.profiles.set(session, { revision: session.revision, at: now, tasks });
		return tasks;
	}

	private track(step: jobs.StepRun): loadTrack.LoadTrack {
		const known = this.tracks.get(step);
		if (known !== undefined) return known;
		const created = loadTrack.LoadTrack.create();
		this.tracks.set(step, created);
		return created;
	}

	private model(image: string): imageModel.ImageModel {
		const known = this.models.get(image);
		if (known !== undefined) return known;
		const created = imageModel.ImageModel.create();
		this.models.set(image, created);
		return created;
	}
}

/** Part of the newest reading during which a neighbour was at work. */
function partOfReading(place: types.Placement, now: number): number {
	if (place.confirmedAt === 0) return 0;
	return Math.min(1, (now - Math.max(place.confirmedAt, place.pacedAt)) / readingMs);
}

/** Part of the time that a task is over its target, by its disturbance. */
function harmAt(disturbance: number): number {
	return disturbance < noDisturbance ? 0 : Math.min(1, harmPerDisturbance * disturbance);
}

/** Notes whether a task's newest reading is over its target, and since when. */
function noteOver(place: types.Placement, isOver: boolean, now: number): void {
	if (isOver) place.overAt = now;
	place.overSince = isOver ? (place.overSince ?? now) : undefined;
}
