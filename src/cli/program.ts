/** Runs a binary: reads its settings, starts it, and stops it on a signal. */
import * as node from '../core/node/index.js';
import * as settings from '../core/settings/index.js';

/** A program from its start to its planned stop. */
interface RunningProgram {
	start: () => Promise<void>;
	stop: () => Promise<void>;
}

/** Definition of a binary. */
export interface Program<T extends settings.SettingTable> {
	binary: string;
	/** One sentence, for `--help`. */
	description: string;
	settings: T;
	create: (given: settings.Settings<T>) => RunningProgram;
}

/** Runs a binary with the flags from the command line. */
export async function run<T extends settings.SettingTable>(program: Program<T>): Promise<void> {
	const { binary, description } = program;
	const checkedSettings = await settings.readSettings(
		binary,
		description,
		program.settings,
		process.argv.slice(2),
	);
	const running = program.create(checkedSettings);
	await running.start();
	node.stopOnSignals(() => running.stop());
}
