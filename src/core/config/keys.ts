/** The configuration's keys: what operators may set at run time, each with its default, unit and range. */
import * as zod from 'zod';
import * as errors from '../errors/index.js';
import * as results from '../result.js';

const z = zod.z;

/** A value of the configuration. */
export type ConfigValue = number | string | boolean;

/** Definition of a key. */
export interface ConfigKey {
	schema: zod.ZodType<ConfigValue>;
	default: ConfigValue;
	/** Description, with its unit and range. */
	text: string;
}

/** Keys by name. */
export const configKeys = {
	'entry.deadlineMs': {
		schema: z.coerce.number().int().min(50).max(120_000),
		default: 10_000,
		text: 'Milliseconds within which a caller is answered, unless the request names a shorter deadline (50 to 120000).',
	},
	'entry.queuePerSlot': {
		schema: z.coerce.number().min(0).max(100),
		default: 4,
		text: 'Maximum number of queued requests per slot that this box holds (0 to 100).',
	},
	'entry.retryBudgetPercent': {
		schema: z.coerce.number().min(0).max(50),
		default: 5,
		text: 'Retries of safe requests, in per cent of first attempts (0 to 50).',
	},
	'entry.overflowPercent': {
		schema: z.coerce.number().min(0).max(50),
		default: 10,
		text: 'Share of the slots reserved for requests from other availability zones, in per cent (0 to 50).',
	},
	'scheduler.placement': {
		schema: z.enum(['mixed', 'spread', 'best-fit']),
		default: 'mixed',
		text: 'How workers are scored: mixed (services spread, batch packed), spread or best-fit.',
	},
} as const satisfies Record<string, ConfigKey>;

export type ConfigName = keyof typeof configKeys;

/** Whether `name` is a key. */
export function isConfigName(name: string): name is ConfigName {
	return Object.hasOwn(configKeys, name);
}

/** Validates a value that an operator wants to set; fails with `ConfigInvalid`. */
export function checkValue(name: string, value: unknown): results.Result<ConfigValue, errors.Failure> {
	if (!isConfigName(name)) {
		const knownKeys = Object.keys(configKeys).join(', ');
		return results.fail(errors.failure('ConfigInvalid', `unknown key ${name}; known keys: ${knownKeys}`));
	}
	const parsed = configKeys[name].schema.safeParse(value);
	if (parsed.success) return results.ok(parsed.data);
	const issue = parsed.error.issues[0]?.message ?? 'not allowed';
	return results.fail(errors.failure('ConfigInvalid', `${name} = ${String(value)}: ${issue}`));
}

/** A key's value in a record, or its default. */
export function valueOf(values: Record<string, ConfigValue>, name: ConfigName): ConfigValue {
	return values[name] ?? configKeys[name].default;
}

/** Value of a numeric key in a record, or its default. */
export function numberOf(values: Record<string, ConfigValue>, name: ConfigName): number {
	return Number(valueOf(values, name));
}
