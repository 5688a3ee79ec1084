#!/usr/bin/env node
/** The `woodcross-scheduler` binary. */
import * as node from '../../core/node/index.js';
import * as scheduler from '../../core/scheduler/index.js';
import * as settings from '../../core/settings/index.js';

const given = await settings.readSettings(
	'woodcross-scheduler',
	'Owns shards of its availability zone: places tasks on workers and keeps their leases.',
	scheduler.schedulerSettings,
	process.argv.slice(2),
);
const program = scheduler.Scheduler.create(given);
await program.start();
node.stopOnSignals(() => program.stop());
