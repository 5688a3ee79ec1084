#!/usr/bin/env node
/** The `woodcross-scheduler` binary. */
import * as scheduler from '../../core/scheduler/index.js';
import * as program from '../program.js';

await program.run({
	binary: 'woodcross-scheduler',
	description: 'Owns shards of its availability zone: places tasks on workers and keeps their leases.',
	settings: scheduler.schedulerSettings,
	create: (given) => scheduler.Scheduler.create(given),
});
