#!/usr/bin/env node
/** The `woodcross-entry` binary. */
import * as entry from '../../core/entry/index.js';
import * as program from '../program.js';

await program.run({
	binary: 'woodcross-entry',
	description: 'Answers callers over HTTP, forwarding to the backend servers of its availability zone first.',
	settings: entry.entrySettings,
	create: (given) => entry.Entry.create(given),
});
