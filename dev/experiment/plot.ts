/** A plot of an experiment: the worth of every run, with a column for each day and a colour for each variant. */
import * as vega from 'vega';
import * as vegaLite from 'vega-lite';
import type * as types from './types.js';

const width = 90;
const height = 260;

/** The plot as SVG. */
export async function svg(results: types.ScenarioResults[], title: string): Promise<string> {
	const values = results.flatMap((scenario) =>
		[...scenario.results].map(([variant, result]) => ({
			day: scenario.day,
			seed: scenario.seed,
			variant,
			worth: result.worth,
		})),
	);
	const spec: vegaLite.TopLevelSpec = {
		title,
		data: { values },
		mark: { type: 'point', filled: true },
		width,
		height,
		encoding: {
			column: { field: 'day', type: 'nominal' },
			x: { field: 'variant', type: 'nominal' },
			y: { field: 'worth', type: 'quantitative' },
			color: { field: 'variant', type: 'nominal' },
		},
	};
	const view = new vega.View(vega.parse(vegaLite.compile(spec).spec), { renderer: 'none' });
	return view.toSVG();
}
