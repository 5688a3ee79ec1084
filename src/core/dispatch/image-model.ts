/**
 * Regression model of one serving image: how much each neighbour image raises the busy part of its tasks.
 *
 * The unknowns are the slopes, one for each neighbour image. They are learned by ridge regression: an initial guess enters
 * the sums as evidence with a small weight, and old evidence decays.
 */

/** Initial guess of a pair's slope. */
const initialSlope = 0.7;

/** Weight of the initial guess, in squared shares. Five reports of a neighbour with a tenth of the worker match it. */
const initialWeight = 0.05;

/** Factor by which each new report reduces earlier evidence: about the last two thousand reports count. */
const evidenceDecay = 0.9995;

/** Initial guess of an idle task's tail latency, as a share of its target. */
const initialIdleShare = 1 / 6;

/**
 * Tail latency of an idle task, as a share of the lowest one seen. The lowest is about that of an idle task; readings are
 * noisy.
 */
const idleToLowestRatio = 0.95;

/** Upper bound for an observed increase of the busy part: in an overload it can only be measured roughly. */
const maxIncrease = 1.5;

/**
 * Standard deviation of one report's increase of the busy part, as a multiple of the load. The fit of a load leaves 0.03 to
 * 0.1 of a busy part unexplained, and several tasks report together; a higher value keeps unknown pairs apart for too long.
 */
const reportDeviation = 0.08;

/** Upper estimate of the slope of a pair that was never observed. */
const initialUpperSlope = initialSlope + reportDeviation / Math.sqrt(initialWeight);

/** Share of the worker by neighbour image. */
export type Shares = ReadonlyMap<string, number>;

/** What was learned of one serving image, in the form from which another owner continues. */
export interface LearnedImage {
	/** Lowest tail latency seen, in milliseconds. */
	lowest: number;
	/** Neighbour images, in the order of the unknowns. */
	images: string[];
	/** Weighted sums of products of the inputs. */
	products: number[][];
	/** Weighted sums of products of each input and the result. */
	results: number[];
}

/**
 * Share of the counted reports that has to be new before the equations are solved again. Solving takes thousands of
 * operations, and one report among many moves a slope by less than this share.
 */
const newReportsShare = 0.01;

/** Number of reports that count; older ones have decayed. */
const maxEffectiveReports = 2_000;

/** The model of one serving image. */
export class ImageModel {
	/** Slope by neighbour image; undefined: the equations have to be solved again. */
	private slopes: ReadonlyMap<string, number> | undefined;
	/** Upper estimate by neighbour image, as of the last solution. */
	private upperSlopes: ReadonlyMap<string, number> = new Map();
	private readonly known: Set<string>;
	/** Number of reports that count, and of reports since the equations were last solved. */
	private reports = 0;
	private newReports = 0;

	private constructor(private readonly sums: LearnedImage) {
		this.known = new Set(sums.images);
	}

	static create(): ImageModel {
		return new ImageModel({ lowest: Infinity, images: [], products: [], results: [] });
	}

	/** Continues from what another owner learned. */
	static restore(learned: LearnedImage): ImageModel {
		return new ImageModel(structuredClone(learned));
	}

	/** What was learned so far. The lists in it are still updated here, so a caller that keeps them has to copy them. */
	get learned(): LearnedImage {
		return { ...this.sums };
	}

	/** Known neighbour images. */
	get neighbours(): readonly string[] {
		return this.sums.images;
	}

	/** Takes in an observed tail latency, in milliseconds. */
	noteTail(tail: number): void {
		this.sums.lowest = Math.min(this.sums.lowest, tail);
	}

	/** Busy part of a task with this tail latency and target, both in milliseconds. */
	busyPart(tail: number, targetMs: number): number {
		return Math.max(0, 1 - this.idleTail(targetMs) / tail);
	}

	/**
	 * Learns from one reading: neighbours with these shares raised the busy part by `increase`, as a multiple of the load.
	 */
	learn(shares: Shares, increase: number): void {
		for (const image of shares.keys()) if (!this.known.has(image)) this.addImage(image);
		const { images, products, results } = this.sums;
		const inputs = images.map((image) => shares.get(image) ?? 0);
		const result = Math.min(maxIncrease, increase);
		for (const [i, row] of products.entries()) {
			const input = inputs[i] ?? 0;
			for (let j = 0; j < row.length; j += 1)
				row[j] = (row[j] ?? 0) * evidenceDecay + input * (inputs[j] ?? 0);
			results[i] = (results[i] ?? 0) * evidenceDecay + input * result;
		}
		this.reports = Math.min(maxEffectiveReports, this.reports + 1);
		this.newReports += 1;
		if (this.newReports >= this.reports * newReportsShare) this.slopes = undefined;
	}

	/** How much a neighbour that takes a whole worker raises the busy part. A neighbour never lowers it. */
	slope(neighbour: string): number {
		return (this.slopes ?? this.solve()).get(neighbour) ?? initialSlope;
	}

	/**
	 * The slope plus one standard deviation of its estimate: little above it for a pair that was observed often, far above it
	 * for an unknown one.
	 */
	upperSlope(neighbour: string): number {
		if (this.slopes === undefined) this.solve();
		return this.upperSlopes.get(neighbour) ?? initialUpperSlope;
	}

	/** How much these neighbours together raise the busy part. */
	interferenceOf(shares: Shares): number {
		let sum = 0;
		for (const [image, share] of shares) sum += this.slope(image) * share;
		return sum;
	}

	/** Tail latency of an idle task, in milliseconds. */
	private idleTail(targetMs: number): number {
		return Math.min(targetMs * initialIdleShare, this.sums.lowest * idleToLowestRatio);
	}

	/** Adds the unknown of an image, with the initial guess of its slope. */
	private addImage(image: string): void {
		const { images, products, results } = this.sums;
		this.known.add(image);
		images.push(image);
		for (const row of products) row.push(0);
		products.push([...images.slice(1).map(() => 0), initialWeight]);
		results.push(initialWeight * initialSlope);
		this.slopes = undefined;
	}

	/** Solves the equations by elimination. The initial guesses keep the matrix regular. */
	private solve(): ReadonlyMap<string, number> {
		const { images, products, results } = this.sums;
		const size = results.length;
		const rows = products.map((row, i) => [...row, results[i] ?? 0]);
		for (let pivot = 0; pivot < size; pivot += 1) eliminate(rows, pivot);
		const solved = rows.map((row, i) => Math.max(0, (row[size] ?? 0) / (row[i] ?? 1)));
		this.slopes = new Map(images.map((image, i) => [image, solved[i] ?? initialSlope]));
		const weights = products.map((row, i) => Math.max(row[i] ?? 0, Number.EPSILON));
		const upper = solved.map((slope, i) => slope + reportDeviation / Math.sqrt(weights[i] ?? initialWeight));
		this.upperSlopes = new Map(images.map((image, i) => [image, upper[i] ?? initialUpperSlope]));
		this.newReports = 0;
		return this.slopes;
	}
}

/** Eliminates a column from every row but the pivot's. The matrix is positive definite, so no rows need swapping. */
function eliminate(rows: number[][], pivot: number): void {
	const pivotRow = rows[pivot] ?? [];
	const head = pivotRow[pivot] ?? 1;
	for (const [i, row] of rows.entries()) {
		const factor = (row[pivot] ?? 0) / head;
		if (i === pivot || factor === 0) continue;
		for (let j = pivot; j < row.length; j += 1) row[j] = (row[j] ?? 0) - factor * (pivotRow[j] ?? 0);
	}
}
