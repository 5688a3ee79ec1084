/** Prints tables on the terminal and saves the same figures as JSON under measurements/. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as assets from '../../src/core/assets.js';

/** One row of a table: figures by column. */
export type Row = Record<string, string | number>;

/** The result of a measurement. */
export interface Report {
	name: string;
	/** What the figures mean, with their units. */
	note: string;
	seeds: number[];
	rows: Row[];
}

/** Rounds a figure for display. */
export function round(value: number, digits = 2): number {
	return Number(value.toFixed(digits));
}

/** Minimum, median and maximum as text. Of an even number of values, the median is the lower middle one. */
export function spread(values: number[]): string {
	const sorted = [...values].sort((a, b) => a - b);
	const at = (index: number): string => String(round(sorted[index] ?? 0));
	return `${at(0)} / ${at(Math.floor((sorted.length - 1) / 2))} / ${at(sorted.length - 1)}`;
}

/**
 * Fits a straight line to points by least squares: `base` is its value at x = 0. The slope is 0 if all points have the same
 * x.
 */
export function fitLine(points: { x: number; y: number }[]): { base: number; slope: number } {
	const n = points.length;
	const meanX = points.reduce((sum, one) => sum + one.x, 0) / n;
	const meanY = points.reduce((sum, one) => sum + one.y, 0) / n;
	const above = points.reduce((sum, one) => sum + (one.x - meanX) * (one.y - meanY), 0);
	const below = points.reduce((sum, one) => sum + (one.x - meanX) ** 2, 0);
	const slope = below === 0 ? 0 : above / below;
	return { base: meanY - slope * meanX, slope };
}

/** Prints a report and saves it, with the time and a description of the machine. */
export function keep(report: Report): void {
	console.log(`\n${report.name}: ${report.note}`);
	console.table(report.rows);
	const cpus = os.cpus();
	const machine = {
		cores: cpus.length,
		model: cpus[0]?.model ?? '',
		memoryMb: Math.round(os.totalmem() / 2 ** 20),
		node: process.version,
	};
	const file = assets.assetPath(`measurements/${report.name}.json`);
	fs.writeFileSync(
		file,
		`${JSON.stringify({ ...report, at: new Date().toISOString(), machine }, null, '\t')}\n`,
	);
}
