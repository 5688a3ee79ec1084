/**
 * Weighted least-squares fit of a constant plus one sine wave of a given period. Old samples decay. An initial guess counts
 * as a sample of small weight, so that the fit is defined from its first sample on.
 */

/** The constant, and the amplitudes of the wave's sine and cosine parts. */
type Coefficients = readonly [mean: number, sine: number, cosine: number];

/** Time in which a sample's weight falls to about a third, in milliseconds: one to four periods of the known loads. */
const decayMs = 20_000;

/** Weights of the initial guesses, in samples: of the mean, and of a wave with amplitude zero. */
const initialMeanWeight = 0.3;
const initialWaveWeight = 1;

/** The sums of a fit, in the form from which another owner continues. */
export interface WaveSums {
	/** Weighted sums of products of 1, sine and cosine: the upper half of a symmetric matrix, by rows. */
	products: number[];
	/** Weighted sums of the value times 1, sine and cosine. */
	results: number[];
	/** Weighted sum of the value's squares. */
	squares: number;
	/** Time of the newest sample, in milliseconds; absent before the first. */
	updatedAt?: number;
}

/** Fit with one period. */
export class WaveFit {
	private solution: Coefficients | undefined;

	private constructor(
		private readonly periodMs: number,
		private readonly firstMean: number,
		private readonly sums: WaveSums,
	) {}

	/** `firstMean`: initial guess of the constant. */
	static create(periodMs: number, firstMean: number): WaveFit {
		return new WaveFit(periodMs, firstMean, {
			products: [initialMeanWeight, 0, 0, initialWaveWeight, 0, initialWaveWeight],
			results: [initialMeanWeight * firstMean, 0, 0],
			squares: initialMeanWeight * firstMean ** 2,
		});
	}

	/** Continues from the sums of another fit with the same period. */
	static restore(periodMs: number, firstMean: number, sums: WaveSums): WaveFit {
		return new WaveFit(periodMs, firstMean, structuredClone(sums));
	}

	/** The sums so far. They are still updated here, so a caller that keeps them has to copy them. */
	get learned(): WaveSums {
		return this.sums;
	}

	/** Takes in a sample. */
	addSample(value: number, weight: number, at: number): void {
		this.decayTo(at);
		const [sine, cosine] = sineAndCosineAt(at, this.periodMs);
		const { products, results } = this.sums;
		products[0] = (products[0] ?? 0) + weight;
		products[1] = (products[1] ?? 0) + weight * sine;
		products[2] = (products[2] ?? 0) + weight * cosine;
		products[3] = (products[3] ?? 0) + weight * sine * sine;
		products[4] = (products[4] ?? 0) + weight * sine * cosine;
		products[5] = (products[5] ?? 0) + weight * cosine * cosine;
		results[0] = (results[0] ?? 0) + weight * value;
		results[1] = (results[1] ?? 0) + weight * value * sine;
		results[2] = (results[2] ?? 0) + weight * value * cosine;
		this.sums.squares += weight * value * value;
		this.solution = undefined;
	}

	/** The value at a time. */
	at(time: number): number {
		const [mean, sinePart, cosinePart] = this.solve();
		const [sine, cosine] = sineAndCosineAt(time, this.periodMs);
		return mean + sinePart * sine + cosinePart * cosine;
	}

	/** Weighted mean squared error of the fit. */
	get unexplained(): number {
		const [mean, sinePart, cosinePart] = this.solve();
		const { products, results, squares } = this.sums;
		const [byOne = 0, bySine = 0, byCosine = 0] = results;
		const sum = squares - mean * byOne - sinePart * bySine - cosinePart * byCosine;
		return Math.max(0, sum / (products[0] ?? 1));
	}

	/** Lets old samples decay. The initial guess gains the weight that they lose. */
	private decayTo(at: number): void {
		const { sums, firstMean } = this;
		const { products, results } = sums;
		const kept = Math.min(1, Math.exp(((sums.updatedAt ?? at) - at) / decayMs));
		sums.updatedAt = at;
		const gained = 1 - kept;
		for (let i = 0; i < products.length; i += 1) products[i] = (products[i] ?? 0) * kept;
		for (let i = 0; i < results.length; i += 1) results[i] = (results[i] ?? 0) * kept;
		products[0] = (products[0] ?? 0) + initialMeanWeight * gained;
		products[3] = (products[3] ?? 0) + initialWaveWeight * gained;
		products[5] = (products[5] ?? 0) + initialWaveWeight * gained;
		results[0] = (results[0] ?? 0) + initialMeanWeight * firstMean * gained;
		sums.squares = sums.squares * kept + initialMeanWeight * firstMean ** 2 * gained;
	}

	/** Solves the normal equations by Cholesky decomposition. The initial guess keeps them regular. */
	private solve(): Coefficients {
		if (this.solution !== undefined) return this.solution;
		const [a = 1, b = 0, c = 0, d = 1, e = 0, f = 1] = this.sums.products;
		const [p = 0, q = 0, r = 0] = this.sums.results;
		const l11 = Math.sqrt(a);
		const l21 = b / l11;
		const l31 = c / l11;
		const l22 = Math.sqrt(d - l21 * l21);
		const l32 = (e - l31 * l21) / l22;
		const l33 = Math.sqrt(f - l31 * l31 - l32 * l32);
		const y1 = p / l11;
		const y2 = (q - l21 * y1) / l22;
		const y3 = (r - l31 * y1 - l32 * y2) / l33;
		const x3 = y3 / l33;
		const x2 = (y2 - l32 * x3) / l22;
		const x1 = (y1 - l21 * x2 - l31 * x3) / l11;
		this.solution = [x1, x2, x3];
		return this.solution;
	}
}

/** Sine and cosine of the phase at a time. */
function sineAndCosineAt(time: number, periodMs: number): [number, number] {
	const angle = (2 * Math.PI * time) / periodMs;
	return [Math.sin(angle), Math.cos(angle)];
}
