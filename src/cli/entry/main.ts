#!/usr/bin/env node
/** The `woodcross-entry` binary. */
import * as entry from '../../core/entry/index.js';
import * as node from '../../core/node/index.js';
import * as settings from '../../core/settings/index.js';

const given = await settings.readSettings(
	'woodcross-entry',
	'Answers callers over HTTP, forwarding to the backend servers of its availability zone first.',
	entry.entrySettings,
	process.argv.slice(2),
);
const program = entry.Entry.create(given);
await program.start();
node.stopOnSignals(() => program.stop());
