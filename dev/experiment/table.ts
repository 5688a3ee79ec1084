/**
 * Tables of an experiment, as Markdown: first the scenarios, then the means and differences by part, class, zone and window.
 */
import * as compare from './compare.js';
import type * as bench from '../../platform/bench.js';
import type * as types from './types.js';

/** A metric and its name in the table. */
interface NamedFigure {
	name: string;
	figure: compare.Figure;
}

/** The report of an experiment: both tables. */
export function report(results: types.PairedResult[], variants: string[]): string {
	const figures = figuresOf(results);
	return [plays(results, variants), differences(results, variants, figures)].join('\n\n');
}

/** A row for each scenario: the worth that each variant reached, and the rules that it violated. */
function plays(results: types.PairedResult[], variants: string[]): string {
	const rows = results.map((one) => [
		one.day,
		String(one.seed),
		...variants.map((variant) => cell(one.results.get(variant))),
	]);
	return markdown(['day', 'seed', ...variants], rows);
}

function cell(result: bench.BenchResult | undefined): string {
	if (result === undefined) return '-';
	const broken = Object.keys(result.broken);
	return [result.worth.toFixed(3), ...broken].join(' ');
}

/** A row for each metric: its mean for each variant, and the difference of the other variants from the first. */
function differences(results: types.PairedResult[], variants: string[], figures: NamedFigure[]): string {
	const [first = '', ...others] = variants;
	const header = ['figure', ...variants, ...others.map((name) => `${name} - ${first} (95%)`)];
	const rows = figures.map(({ name, figure }) => [
		name,
		...variants.map((variant) => mean(results, variant, figure)),
		...others.map((variant) => interval(compare.difference(results, first, variant, figure))),
	]);
	return markdown(header, rows);
}

function mean(results: types.PairedResult[], variant: string, figure: compare.Figure): string {
	const values = results.flatMap((one) => {
		const result = one.results.get(variant);
		return (result && figure(result)) ?? [];
	});
	return values.length === 0 ? '-' : compare.meanOf(values).toFixed(3);
}

function interval(found: types.Difference | undefined): string {
	if (found === undefined) return '-';
	const [middle, from, to] = [found.mean, found.from, found.to].map((one) => one.toFixed(3));
	return `${middle ?? ''} (${from ?? ''} to ${to ?? ''}, n ${String(found.count)})`;
}

/** The worth and the prices, then every part, class, zone and window that any result names. */
function figuresOf(results: types.PairedResult[]): NamedFigure[] {
	const all = results.flatMap((one) => [...one.results.values()]);
	const groups = ['parts', 'classes', 'zones', 'windows'] as const;
	const named = groups.flatMap((group) => {
		const names = new Set(all.flatMap((result) => Object.keys(result[group])));
		return [...names].map((name) => ({
			name: group === 'windows' ? `from second ${name}` : name,
			figure: (result: bench.BenchResult) => result[group][name],
		}));
	});
	return [
		{ name: 'worth', figure: (result) => result.worth },
		{ name: 'prices', figure: (result) => result.prices },
		...named,
	];
}

function markdown(header: string[], rows: string[][]): string {
	const line = (cells: string[]): string => `| ${cells.join(' | ')} |`;
	return [line(header), line(header.map(() => '---')), ...rows.map(line)].join('\n');
}
