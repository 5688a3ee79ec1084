/**
 * The load of a lasting step over time. Its tasks share their users, so at one moment their busy parts differ only by
 * what disturbs each, and disturbances only raise them: the load lies low among them. Loads swing in waves of many
 * seconds, so a wave that fits the past tells the load of the next second better than the newest readings do.
 */
import * as waveFit from './wave-fit.js';

/** Periods that a load may swing in, in milliseconds, each a ninth longer than the one before. */
const periodsMs = Array.from({ length: 19 }, (_, i) => 5_000 * (10 / 9) ** i);

/** First guess of a load: a queue that is half busy. */
const initialLoad = 0.5;

/** The least and most that a load is taken for. */
const minLoad = 0.05;
const maxLoad = 0.95;

/** A busy part so far above the expected load is taken for noise; one further above, for a disturbance. */
const noiseThreshold = 0.04;

/** Weight of a disturbed sample next to one at the load, at the limit of the noise; it falls with the distance. */
const outlierWeight = 0.35;

/** A report counts for so long when tasks are compared, in milliseconds. */
const reportMaxAgeMs = 1_300;

/** Fewer tasks than this can't tell a load from a disturbance. */
const minTasks = 3;

/** A reading covers the last half second: it tells the value of so long ago, in milliseconds. */
export const readingAgeMs = 250;

/** Times so close are one moment to a load, in milliseconds: it swings over five seconds at least. */
const cacheToleranceMs = 50;

/** The period is chosen anew after so long, in milliseconds: it is a lasting property of what runs. */
const choiceIntervalMs = 1_000;

/** Before loads were seen for so long, in milliseconds, a short period would fit their noise better than their swing. */
const minHistoryMs = 9_000;

/** A period that an earlier owner chose is taken for so long, in milliseconds: until the others are seen as well. */
const inheritedPeriodMs = 20_000;

/** Number of the period that is taken at first: the middle one, of 13 seconds. */
const initialPeriod = Math.floor(periodsMs.length / 2);

/**
 * A sample enters the fit of the chosen period; those of the other periods take one of so many, as they only serve to
 * choose.
 */
const otherPeriodsInterval = 6;

/** The period that the loads of one image swing in, chosen over all its steps. */
export class LoadPeriod {
	private readonly waves = new Set<LoadWave>();

	/** `choiceAt`: time of the next choice. */
	private constructor(
		private chosen: number,
		private nextChoiceAt: number,
	) {}

	static create(now: number): LoadPeriod {
		return new LoadPeriod(initialPeriod, now + minHistoryMs);
	}

	/** Goes on with the period that an earlier owner chose. */
	static restore(chosen: number, now: number): LoadPeriod {
		return new LoadPeriod(chosen, now + inheritedPeriodMs);
	}

	/** A step whose load swings in this period; `sums`: what an earlier owner learnt of it. */
	createWave(sums?: waveFit.WaveSums): LoadWave {
		const wave = LoadWave.create(this, sums && { period: this.chosen, sums });
		this.waves.add(wave);
		return wave;
	}

	/** A step has ended. */
	remove(wave: LoadWave): void {
		this.waves.delete(wave);
	}

	/** Number of the period that leaves least unexplained. */
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

/** What an earlier owner learnt of a load in one period. */
interface InheritedWave {
	period: number;
	sums: waveFit.WaveSums;
}

/** One step's load. */
export class LoadWave {
	private readonly fits: waveFit.WaveFit[];
	/** How many samples were taken. */
	private samples = 0;
	/** The newest answer of `loadAt`, which is asked for the same moment by every worker that holds a task. */
	private newest: { time: number; load: number } | undefined;
	/** When each task last reported. */
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

	/** Takes in a task's busy part from a reading that was just reported. */
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

	/** The load at a time not far from now. */
	loadAt(time: number, now: number): number {
		const { newest } = this;
		if (newest !== undefined && Math.abs(time - newest.time) < cacheToleranceMs) return newest.load;
		const fitted = this.fits[this.period.chosenIndex(now)]?.at(time) ?? initialLoad;
		const load = Math.min(maxLoad, Math.max(minLoad, fitted));
		this.newest = { time, load };
		return load;
	}

	/** Whether enough tasks report to tell the load from a disturbance. */
	isComparable(now: number): boolean {
		let fresh = 0;
		for (const at of this.reportedAt.values()) if (now - at < reportMaxAgeMs) fresh += 1;
		return fresh >= minTasks;
	}

	/** What a wave of the period with that number leaves unexplained, as a mean of squares. */
	unexplained(period: number): number {
		return this.fits[period]?.unexplained ?? 0;
	}

	/** What was learnt of the load in its period; undefined: nothing yet. */
	learned(now: number): waveFit.WaveSums | undefined {
		const sums = this.fits[this.period.chosenIndex(now)]?.learned;
		return sums?.updatedAt === undefined ? undefined : sums;
	}
}
