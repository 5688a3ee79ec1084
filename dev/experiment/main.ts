/**
 * `npm run experiment -- --bench PATH --site PATH --variant NAME=CHECKOUT ... --day NAME ... --seed N ... --why TEXT`: runs
 * the same days and seeds with several checkouts, compares each with the first, and writes a table and a plot.
 */
import * as cmd from 'cmd-ts';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as experimentRuns from './runs.js';
import * as plot from './plot.js';
import * as table from './table.js';
import type * as types from './types.js';

const variantType: cmd.Type<string[], types.Variant[]> = {
	from: (pairs) =>
		Promise.resolve(
			pairs.map((pair) => {
				const [name = '', checkout = ''] = pair.split('=');
				if (checkout === '') throw new Error(`expected a variant as NAME=CHECKOUT, got '${pair}'`);
				return { name, checkout };
			}),
		),
};

const command = cmd.command({
	name: 'experiment',
	description: 'Compares checkouts on the same days and seeds of a deployment.',
	args: {
		bench: cmd.option({ type: cmd.string, long: 'bench', env: 'WOODCROSS_BENCH' }),
		site: cmd.option({ type: cmd.string, long: 'site' }),
		variants: cmd.multioption({ type: variantType, long: 'variant', description: 'NAME=CHECKOUT' }),
		days: cmd.multioption({ type: cmd.array(cmd.string), long: 'day' }),
		seeds: cmd.multioption({ type: cmd.array(cmd.number), long: 'seed', description: "0: the day's own" }),
		jobs: cmd.option({ type: cmd.number, long: 'jobs', defaultValue: () => 4 }),
		why: cmd.option({ type: cmd.string, long: 'why' }),
		folder: cmd.option({ type: cmd.string, long: 'out', defaultValue: () => 'target/experiment' }),
	},
	handler: async (args) => {
		const seeds = args.seeds.length === 0 ? [0] : args.seeds;
		const scenarios = seeds.flatMap((seed) => args.days.map((day) => ({ day, seed })));
		const results = await experimentRuns.runAll({ ...args, benchPath: args.bench, scenarios });
		const text = table.report(
			results,
			args.variants.map(({ name }) => name),
		);
		const base = path.join(args.folder, path.basename(args.site, '.toml'));
		fs.writeFileSync(`${base}.md`, `${args.why}\n\n${text}\n`);
		fs.writeFileSync(`${base}.svg`, await plot.svg(results, args.why));
		console.log(text);
	},
});

await cmd.run(command, process.argv.slice(2));
