/**
 * Settings of a binary: flags, environment variables, `--help` and validation come from one table. A flag takes precedence
 * over its environment variable, which takes precedence over the default.
 */
import * as cmd from 'cmd-ts';
import * as zod from 'zod';
import * as results from '../result.js';

/** A row of the table. */
export interface Setting<T> {
	schema: zod.ZodType<T>;
	/** Default in text form; undefined: the setting is required. */
	default?: string;
	/** Description, with its unit. */
	text: string;
	example: string;
}

/** The settings of a binary by flag name (`heartbeat-ms`). */
export type SettingTable = Record<string, Setting<unknown>>;

/** Validated settings, by flag name. */
export type Settings<T extends SettingTable> = { [K in keyof T]: T[K] extends Setting<infer V> ? V : never };

/** Name of a setting's environment variable: `heartbeat-ms` is `WOODCROSS_HEARTBEAT_MS`. */
export function envName(flag: string): string {
	return `WOODCROSS_${flag.toUpperCase().replaceAll('-', '_')}`;
}

/** Declares a setting and keeps its exact value type. */
export function setting<T>(row: Setting<T>): Setting<T> {
	return row;
}

/** Validates raw strings against the table. Each problem names the setting, the value and what was expected. */
export function checkSettings<T extends SettingTable>(
	table: T,
	raw: Record<string, string | undefined>,
): results.Result<Settings<T>, string[]> {
	const problems: string[] = [];
	const values: Record<string, unknown> = {};
	for (const [flag, row] of Object.entries(table)) {
		const text = raw[flag] ?? row.default;
		const name = `--${flag} (${envName(flag)})`;
		if (text === undefined) {
			problems.push(`${name}: not given; expected ${row.text} For example: ${row.example}`);
			continue;
		}
		const parsed = row.schema.safeParse(text);
		if (parsed.success) values[flag] = parsed.data;
		else
			problems.push(
				`${name}: got '${text}', ${parsed.error.issues[0]?.message ?? 'not allowed'}. ${row.text}`,
			);
	}
	return problems.length > 0 ? results.fail(problems) : results.ok(values as Settings<T>);
}

/**
 * Reads flags and environment variables. Prints the help or a clear error and exits (0 or 2) if the process must not go on.
 */
export async function readSettings<T extends SettingTable>(
	binary: string,
	description: string,
	table: T,
	argv: string[],
): Promise<Settings<T>> {
	const args: Record<string, ReturnType<typeof toOption>> = {};
	for (const [flag, row] of Object.entries(table)) args[flag] = toOption(flag, row);
	const command = cmd.command({ name: binary, description, args, handler: (raw) => raw });
	const parsed = await cmd.runSafely(command, argv);
	if (parsed._tag === 'error') exitWith(parsed.error);
	const checked = checkSettings(table, parsed.value as Record<string, string | undefined>);
	if (checked.ok) return checked.value;
	for (const problem of checked.err) process.stderr.write(`${binary}: ${problem}\n`);
	process.stderr.write(`Try '${binary} --help'.\n`);
	process.exit(2);
}

/** What cmd-ts returns in place of parsed arguments; it does not export the type. */
type CommandExit = Extract<Awaited<ReturnType<typeof cmd.runSafely>>, { _tag: 'error' }>['error'];

/** Prints the message of cmd-ts and exits: 0 after `--help`, 2 after a usage error (cmd-ts itself would exit with 1). */
export function exitWith(err: CommandExit): never {
	const { into, message, exitCode } = err.config;
	process[into].write(`${message}\n`);
	process.exit(exitCode === 0 ? 0 : 2);
}

function toOption(
	flag: string,
	row: Setting<unknown>,
): ReturnType<typeof cmd.option<ReturnType<typeof cmd.optional>>> {
	const fallback = row.default === undefined ? 'required' : `default: ${row.default}`;
	return cmd.option({
		type: cmd.optional(cmd.string) as ReturnType<typeof cmd.optional>,
		long: flag,
		env: envName(flag),
		description: `${row.text} (${fallback}; example: ${row.example})`,
	});
}
