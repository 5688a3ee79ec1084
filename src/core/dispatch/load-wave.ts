/**
 * Estimates the load of a long-running step over time. The step's tasks share their users, so at any moment their busy parts
 * differ only by interference. Interference only raises a busy part, so the load lies low among them. Loads oscillate over
 * many seconds: a wave fitted to the past predicts the load of the next second better than the newest readings do.
 */
import * as waveFit from './wave-fit.js';

/** Periods with which a load may oscillate, in milliseconds, each a ninth longer than the one before. */
export const periodsMs = Array.from({ length: 19 }, (_, i) => 5_000 * (10 / 9) ** i);

/** Initial guess of a load: a queue that is half busy. */
const initialLoad = 0.5;

/** Bounds of an estimated load. */
const minLoad = 0.05;
const maxLoad = 0.95;

/** A busy part up to this much above the expected load counts as noise, one further above as interference. */
const noiseThreshold = 0.04;

/**
 * Weight of a sample with interference, relative to one at the load, right at the noise threshold. The weight falls with the
 * distance.
 */
const outlierWeight = 0.35;

/** Maximum age of a report that counts when tasks are compared, in milliseconds. */
const reportMaxAgeMs = 1_300;

/** Fewer tasks than this can't tell load from interference. */
const minTasks = 3;

/** A reading covers the last half second, so on average it shows the value of this long ago, in milliseconds. */
export const readingAgeMs = 250;

/** Times closer than this get the same load, in milliseconds: a load's period is five seconds at least. */
const cacheToleranceMs = 50;

/** Interval at which the period is chosen again, in milliseconds: it is a stable property of what runs. */
const choiceIntervalMs = 1_000;

/**
 * Time before the first choice of a period, in milliseconds. With a shorter history, a short period would fit the noise
 * better than the oscillation.
 */
const minHistoryMs = 9_000;

/**
 * How long the period chosen by an earlier owner is kept, in milliseconds: until the other periods have been observed as
 * well.
 */
const inheritedPeriodMs = 20_000;

/** Index of the initial period: the middle one, of 13 seconds. */
const initialPeriod = Math.floor(periodsMs.length / 2);

/**
 * Every sample enters the fit of the chosen period. The other periods are only compared, so their fits take one of this many
 * samples.
 */
const otherPeriodsInterval = 6;

/** The period with which the loads of one image oscillate, chosen over all its steps. */
export class LoadPeriod {
	private readonly waves = new Set<LoadWave>();

	/** `nextChoiceAt`: time of the next choice. */
	private constructor(
		private chosen: number,
		private nextChoiceAt: number,
	) {}

	static create(now: number): LoadPeriod {
		return new LoadPeriod(initialPeriod, now + minHistoryMs);
	}

	/** Continues with the period that an earlier owner chose. */
	static restore(chosen: number, now: number): LoadPeriod {
		return new LoadPeriod(chosen, now + inheritedPeriodMs);
	}

	/** Adds a step whose load oscillates with this period. `sums`: what an earlier owner learned of its load. */
	createWave(sums?: waveFit.WaveSums): LoadWave {
		const wave = LoadWave.create(this, sums && { period: this.chosen, sums });
		this.waves.add(wave);
		return wave;
	}

	/** Removes the load of an ended step. */
	remove(wave: LoadWave): void {
		this.waves.delete(wave);
	}

	/** Index of the period whose fits leave the least unexplained. */
	chosenIndex(now: number): number {
		if (now < this.nextChoiceAt) return this.chosen;
		this.nextChoiceAt = now + choiceIntervalMs;
		const unexplained = periodsMs.map((_, i) => {
			let sum = 0;
			for (const wave of this.waves) sum += wave.unexplained(i);
			return sum;
		});
		this.chosen = unexplained.indexOf(Math.min(...unexplained));
		return this.chosen;
	}
}

/** What an earlier owner learned of a load, with the index of its period. */
interface InheritedWave {
	period: number;
	sums: waveFit.WaveSums;
}

/** The load of one step. */
export class LoadWave {
	private readonly fits: waveFit.WaveFit[];
	/** Number of samples taken. */
	private samples = 0;
	/** The newest result of `loadAt`. Every worker that holds a task of the step asks for the same moment. */
	private newest: { time: number; load: number } | undefined;
	/** Time of each task's newest report. */
	private readonly reportedAt = new Map<number, number>();

	private constructor(
		private readonly period: LoadPeriod,
		inherited: InheritedWave | undefined,
	) {
		this.fits = periodsMs.map((periodMs, i) =>
			inherited?.period === i
				? waveFit.WaveFit.restore(periodMs, initialLoad, inherited.sums)
				: waveFit.WaveFit.create(periodMs, initialLoad),
		);
	}

	static create(period: LoadPeriod, inherited: InheritedWave | undefined): LoadWave {
		return new LoadWave(period, inherited);
	}

	/** Takes in a task's busy part from a new reading. */
	addReading(task: number, busy: number, now: number): void {
		const at = now - readingAgeMs;
		const excess = busy - this.loadAt(at, now);
		const weight = excess <= noiseThreshold ? 1 : (outlierWeight * noiseThreshold) / excess;
		const chosen = this.period.chosenIndex(now);
		this.newest = undefined;
		this.samples += 1;
		const isForAll = this.samples % otherPeriodsInterval === 0;
		this.fits.forEach((fit, i) => {
			if (i === chosen) fit.addSample(busy, weight, at);
			else if (isForAll) fit.addSample(busy, weight * otherPeriodsInterval, at);
		});
		this.reportedAt.set(task, now);
	}

	/** The load at a time close to `now`. */
	loadAt(time: number, now: number): number {
		const { newest } = this;
		if (newest !== undefined && Math.abs(time - newest.time) < cacheToleranceMs) return newest.load;
		const fitted = this.fits[this.period.chosenIndex(now)]?.at(time) ?? initialLoad;
		const load = Math.min(maxLoad, Math.max(minLoad, fitted));
		this.newest = { time, load };
		return load;
	}

	/** Whether enough tasks have reported to tell load from interference. */
	isComparable(now: number): boolean {
		let fresh = 0;
		for (const at of this.reportedAt.values()) if (now - at < reportMaxAgeMs) fresh += 1;
		return fresh >= minTasks;
	}

	/** Mean squared error that a wave of the period with that index leaves. */
	unexplained(period: number): number {
		return this.fits[period]?.unexplained ?? 0;
	}

	/** What was learned of the load with the chosen period; undefined: nothing yet. */
	learned(now: number): waveFit.WaveSums | undefined {
		const sums = this.fits[this.period.chosenIndex(now)]?.learned;
		return sums?.updatedAt === undefined ? undefined : sums;
	}
}
