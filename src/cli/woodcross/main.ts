#!/usr/bin/env node
/** The `woodcross` binary: the operators' command line. */
import * as cmd from 'cmd-ts';
import * as commands from './commands.js';
import * as settings from '../../core/settings/index.js';

const res = await cmd.runSafely(commands.woodcross, process.argv.slice(2));
if (res._tag === 'error') settings.exitWith(res.error);
