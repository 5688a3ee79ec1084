/** Settings of `woodcross-operator`. */
import * as common from '../settings/common.js';
import * as settings from '../settings/index.js';

/** Settings by flag name. */
export const operatorSettings = {
	...common.commonSettings,
	'grpc-listen': settings.setting({
		schema: common.address,
		default: '127.0.0.1:0',
		text: "Address for operators' remote procedure calls, host:port.",
		example: '127.0.0.1:7400',
	}),
} as const satisfies settings.SettingTable;

/** Validated settings of the operator process. */
export type OperatorSettings = settings.Settings<typeof operatorSettings>;
