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
export function minMedianMax(values: number[]): string {
	const sorted = [...values].sort((a, b) => a - b);
	const valueAt = (index: number): string => String(round(sorted[index] ?? 0));
	return `${valueAt(0)} / ${valueAt(Math.floor((sorted.length - 1) / 2))} / ${valueAt(sorted.length - 1)}`;
}

/**
 * Fits a straight line to points by least squares: `base` is its value at x = 0. The slope is 0 if all points have the same
 * x.
 */
export function fitLine(points: { x: number; y: number }[]): { base: number; slope: number } {
	const n = points.length;
	const meanX = points.reduce((sum, point) => sum + point.x, 0) / n;
	const meanY = points.reduce((sum, point) => sum + point.y, 0) / n;
	const sumXY = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
	const sumXX = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
	const slope = sumXX === 0 ? 0 : sumXY / sumXX;
	return { base: meanY - slope * meanX, slope };
}

/** Prints a report and saves it, with the time and a description of the machine. */
export function printAndSave(report: Report): void {
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
