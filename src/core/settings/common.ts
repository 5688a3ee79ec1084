/** Settings common to all processes. */
import * as zod from 'zod';
import * as settings from './index.js';

const z = zod.z;

/** `host:port`. */
export const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, 'expected host:port');

/** A list of names, comma-separated. */
export const nameList = z
	.string()
	.transform((text) => text.split(',').filter((part) => part.length > 0))
	.pipe(z.array(z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'expected lower-case names separated by commas')));

/** A whole number of milliseconds above zero. */
export const milliseconds = z.coerce
	.number<string>('expected a whole number of milliseconds')
	.int()
	.positive();

/** A whole number above zero. */
export const count = z.coerce.number<string>('expected a whole number').int().positive();

/** Common settings by flag name. */
export const commonSettings = {
	box: settings.setting({
		schema: z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'expected lower-case letters, digits and "-"'),
		text: 'Name of the box this process runs on.',
		example: 'entry-rennes-1',
	}),
	zone: settings.setting({
		schema: z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'expected lower-case letters, digits and "-"'),
		text: 'Availability zone of the box.',
		example: 'rennes',
	}),
	zones: settings.setting({
		schema: nameList,
		text: 'All availability zones of the deployment, separated by commas.',
		example: 'rennes,brest,vannes',
	}),
	platform: settings.setting({
		schema: z.url({ protocol: /^https?$/, error: 'expected an http:// address' }),
		text: "Address of the platform's key-value service.",
		example: 'http://127.0.0.1:2379',
	}),
	'peer-listen': settings.setting({
		schema: address,
		default: '127.0.0.1:0',
		text: 'Address for the other processes of the system, host:port; port 0 lets the kernel choose.',
		example: '127.0.0.1:7300',
	}),
	'http-listen': settings.setting({
		schema: address,
		default: '127.0.0.1:0',
		text: 'Address for callers, health and metrics, host:port.',
		example: '127.0.0.1:8080',
	}),
	peers: settings.setting({
		schema: z
			.string()
			.transform((text) => text.split(',').filter((part) => part.length > 0))
			.pipe(z.array(address)),
		default: '',
		text: 'Peers to ask for the configuration if the platform is unavailable at the start, host:port, separated by commas.',
		example: '127.0.0.1:7300,127.0.0.1:7301',
	}),
	'shards-per-zone': settings.setting({
		schema: count,
		default: '1',
		text: 'Number of shards per zone, the same on every process; about one per hundred workers.',
		example: '9',
	}),
	log: settings.setting({
		schema: z.enum(['pretty', 'json', 'silent'], 'expected pretty, json or silent'),
		default: 'pretty',
		text: 'How events are printed: pretty, json or silent.',
		example: 'json',
	}),
	'log-level': settings.setting({
		schema: z.enum(['debug', 'info', 'warn', 'error'], 'expected debug, info, warn or error'),
		default: 'info',
		text: 'Lowest severity of events that are printed: debug, info, warn or error.',
		example: 'warn',
	}),
} as const satisfies settings.SettingTable;

/** Validated common settings. */
export type CommonSettings = settings.Settings<typeof commonSettings>;
