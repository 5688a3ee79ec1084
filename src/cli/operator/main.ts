#!/usr/bin/env node
/** The `woodcross-operator` binary. */
import * as operator from '../../core/operator/index.js';
import * as program from '../program.js';

await program.run({
	binary: 'woodcross-operator',
	description: "Answers operators' remote procedure calls, described in proto/woodcross.proto.",
	settings: operator.operatorSettings,
	create: (given) => operator.Operator.create(given),
});
