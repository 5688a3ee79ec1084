/**
 * Regression model of one serving image: how much each neighbour image raises the busy part of its tasks.
 *
 * The unknowns are the slopes, one a neighbour image, learnt by ridge regression: each starts from a first guess that
 * enters the sums as evidence of a small weight, and old evidence fades.
 */

/** First guess of a pair's slope. */
const initialSlope = 0.7;

/** Weight of the first guess, in squared shares; a tenth of a worker seen for five reports outweighs it. */
const initialWeight = 0.05;

/** Part of the evidence that each new report keeps: about the last two thousand reports count. */
const evidenceDecay = 0.9995;

/** First guess of the tail of an idle task, as a part of its target. */
const initialIdleShare = 1 / 6;

/** The lowest tail seen is about that of an idle task; readings are rough. */
const idleToLowestRatio = 0.95;

/** A busy part raised by more than this is taken for this: an overload shows how far only roughly. */
const maxIncrease = 1.5;

/** Share of the worker by neighbour image. */
export type Shares = ReadonlyMap<string, number>;

/** What was learnt of one serving image, in a form that another owner can go on from. */
export interface LearnedImage {
	/** Lowest tail seen, in milliseconds. */
	lowest: number;
	/** Neighbour images in the order of the unknowns. */
	images: string[];
	/** Weighted sums of products of the inputs. */
	products: number[][];
	/** Weighted sums of products of each input and the result. */
	results: number[];
}

/**
 * The equations are solved anew once so many new reports, as a part of those that count, have come in. Solving takes
 * thousands of steps and one report of many moves a slope by less than this part.
 */
const newReportsShare = 0.01;

/** So many reports count, old ones having faded. */
const maxEffectiveReports = 2_000;

/** The model of one serving image. */
export class ImageModel {
	/** Slope by neighbour image; undefined: to be solved for. */
	private slopes: ReadonlyMap<string, number> | undefined;
	private readonly known: Set<string>;
	/** Reports that count, and those among them that came after the newest solution. */
	private reports = 0;
	private newReports = 0;

	private constructor(private readonly sums: LearnedImage) {
		this.known = new Set(sums.images);
	}

	static create(): ImageModel {
		return new ImageModel({ lowest: Infinity, images: [], products: [], results: [] });
	}

	/** Goes on from what another owner learnt. */
	static restore(learned: LearnedImage): ImageModel {
		return new ImageModel(structuredClone(learned));
	}

	/** What was learnt so far; its lists stay in use here, so whoever goes on from them copies them. */
	get learned(): LearnedImage {
		return { ...this.sums };
	}

	/** Neighbour images that are known. */
	get neighbours(): readonly string[] {
		return this.sums.images;
	}

	/** Takes in a tail, in milliseconds. */
	noteTail(tail: number): void {
		this.sums.lowest = Math.min(this.sums.lowest, tail);
	}

	/** Busy part of a task with this tail and target, in milliseconds. */
	busyPart(tail: number, targetMs: number): number {
		return Math.max(0, 1 - this.idleTail(targetMs) / tail);
	}

	/** Learns that neighbours with these shares raised the busy part by `raised`, as a part of the load. */
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

	/** How much a whole worker of a neighbour raises the busy part; a neighbour never lowers it. */
	slope(neighbour: string): number {
		return (this.slopes ?? this.solve()).get(neighbour) ?? initialSlope;
	}

	/** How much all these neighbours together raise the busy part. */
	interferenceOf(shares: Shares): number {
		let sum = 0;
		for (const [image, share] of shares) sum += this.slope(image) * share;
		return sum;
	}

	/** Tail of an idle task, in milliseconds. */
	private idleTail(targetMs: number): number {
		return Math.min(targetMs * initialIdleShare, this.sums.lowest * idleToLowestRatio);
	}

	/** Adds an image's unknown, with the first guess of its slope. */
	private addImage(image: string): void {
		const { images, products, results } = this.sums;
		this.known.add(image);
		images.push(image);
		for (const row of products) row.push(0);
		products.push([...images.slice(1).map(() => 0), initialWeight]);
		results.push(initialWeight * initialSlope);
		this.slopes = undefined;
	}

	/** Solves the equations by elimination; the first guesses keep them regular. */
	private solve(): ReadonlyMap<string, number> {
		const { images, products, results } = this.sums;
		const size = results.length;
		const rows = products.map((row, i) => [...row, results[i] ?? 0]);
		for (let pivot = 0; pivot < size; pivot += 1) eliminate(rows, pivot);
		const solved = rows.map((row, i) => Math.max(0, (row[size] ?? 0) / (row[i] ?? 1)));
		this.slopes = new Map(images.map((image, i) => [image, solved[i] ?? initialSlope]));
		this.newReports = 0;
		return this.slopes;
	}
}

/** Clears a column in every row but its own; the matrix is positive definite, so no rows change places. */
function eliminate(rows: number[][], pivot: number): void {
	const pivotRow = rows[pivot] ?? [];
	const head = pivotRow[pivot] ?? 1;
	for (const [i, row] of rows.entries()) {
		const factor = (row[pivot] ?? 0) / head;
		if (i === pivot || factor === 0) continue;
		for (let j = pivot; j < row.length; j += 1) row[j] = (row[j] ?? 0) - factor * (pivotRow[j] ?? 0);
	}
}
