#!/usr/bin/env node
/** The `woodcross-operator` binary. */
import * as node from '../../core/node/index.js';
import * as operator from '../../core/operator/index.js';
import * as settings from '../../core/settings/index.js';

const given = await settings.readSettings(
	'woodcross-operator',
	"Answers operators' remote procedure calls, described in proto/woodcross.proto.",
	operator.operatorSettings,
	process.argv.slice(2),
);
const program = operator.Operator.create(given);
await program.start();
node.stopOnSignals(() => program.stop());
