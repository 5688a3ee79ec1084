/** Settings of `woodcross-entry`. */
import * as zod from 'zod';
import * as common from '../settings/common.js';
import * as settings from '../settings/index.js';

/** Settings by flag name. */
export const entrySettings = {
	...common.commonSettings,
	'max-body-bytes': settings.setting({
		schema: common.count,
		default: '8388608',
		text: "Largest body of a caller's request, in bytes.",
		example: '1048576',
	}),
	'slot-sharing': settings.setting({
		schema: zod.z.enum(['demand', 'fixed', 'none'], 'expected demand, fixed or none'),
		default: 'demand',
		text: 'How the entry boxes of a zone share the slots of its backend servers: demand, fixed or none.',
		example: 'fixed',
	}),
	'drain-ms': settings.setting({
		schema: common.milliseconds,
		default: '2000',
		text: 'Milliseconds of a planned stop in which the load balancer can notice that this box is stopping; requests are still accepted.',
		example: '5000',
	}),
} as const satisfies settings.SettingTable;

/** Validated settings of the entry process. */
export type EntrySettings = settings.Settings<typeof entrySettings>;
