/** The operators' command line: one thin command per remote procedure call. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as cmd from 'cmd-ts';
import * as yaml from 'yaml';
import * as operator from '../../core/operator/index.js';
import * as results from '../../core/result.js';
import * as show from './show.js';

/** Exit status of a command whose arguments or input are wrong. */
const exitUsage = 2;

/** Exit status of a command that the system refused or could not carry out. */
const exitFailed = 1;

const address = cmd.option({
	long: 'operator',
	env: 'WOODCROSS_OPERATOR',
	defaultValue: () => '127.0.0.1:7400',
	defaultValueIsSerializable: true,
	description: 'Address of an operator process, host:port',
});

const json = cmd.flag({ long: 'json', description: 'Print the answer as JSON' });

const commonArgs = { operator: address, json };

interface CommonArgs {
	operator: string;
	json: boolean;
}

/** Makes one call and prints its answer. */
async function run<N extends operator.CallName>(
	args: CommonArgs,
	name: N,
	req: operator.Calls[N]['req'],
	print: (res: operator.Calls[N]['res']) => string,
): Promise<void> {
	const client = operator.OperatorClient.create(args.operator);
	const res = await client.call(name, req);
	client.close();
	if (!res.ok) {
		process.stderr.write(`${show.callError(res.err)}\n`);
		process.exitCode = exitFailed;
		return;
	}
	process.stdout.write(`${args.json ? JSON.stringify(res.value, null, 2) : print(res.value)}\n`);
}

/** Reads a declaration from a YAML or JSON file; a syntax error is reported with its line. */
function readSpec(file: string): results.Result<unknown, string> {
	let text: string;
	try {
		text = fs.readFileSync(file, 'utf8');
	} catch (err) {
		return results.fail(`${file}: ${err instanceof Error ? err.message : String(err)}`);
	}
	const doc = yaml.parseDocument(text);
	const first = doc.errors[0];
	if (first !== undefined) return results.fail(`${file}:${first.linePos?.[0].line ?? 1}: ${first.message}`);
	return results.ok(doc.toJS());
}

const submit = cmd.command({
	name: 'submit',
	description: 'Declare a service or a batch job from a YAML or JSON file',
	args: { ...commonArgs, file: cmd.positional({ type: cmd.string, displayName: 'file' }) },
	handler: async (args) => {
		const spec = readSpec(args.file);
		if (!spec.ok) {
			process.stderr.write(`${spec.err}\nNothing was stored.\n`);
			process.exitCode = exitUsage;
			return;
		}
		await run(args, 'submit', { specJson: JSON.stringify(spec.value) }, show.submitted);
	},
});

const cancel = cmd.command({
	name: 'cancel',
	description: 'Cancel a job and stop its tasks',
	args: { ...commonArgs, job: cmd.positional({ type: cmd.string, displayName: 'team/name' }) },
	handler: (args) => run(args, 'cancel', { job: args.job }, show.cancelled),
});

const status = cmd.command({
	name: 'status',
	description: 'Show the state of every job, shard and worker',
	args: {
		...commonArgs,
		team: cmd.option({ long: 'team', defaultValue: () => '', description: 'Only jobs of this team' }),
	},
	handler: (args) => run(args, 'status', { team: args.team }, show.status),
});

const explain = cmd.command({
	name: 'explain',
	description: 'Show where a task is, why it is there, and what it waits for',
	args: { ...commonArgs, task: cmd.positional({ type: cmd.string, displayName: 'team/name/number' }) },
	handler: (args) => run(args, 'explain', { task: args.task }, show.explained),
});

const configGet = cmd.command({
	name: 'get',
	description: 'Show the configuration in force',
	args: commonArgs,
	handler: (args) => run(args, 'getConfig', {}, show.config),
});

const configHistory = cmd.command({
	name: 'history',
	description: 'Show who changed what',
	args: commonArgs,
	handler: (args) => run(args, 'getConfig', {}, show.history),
});

const configSet = cmd.command({
	name: 'set',
	description: 'Change one key; accepted only once it is stored',
	args: {
		...commonArgs,
		key: cmd.positional({ type: cmd.string, displayName: 'key' }),
		value: cmd.positional({ type: cmd.string, displayName: 'value' }),
		by: cmd.option({
			long: 'by',
			defaultValue: () => os.userInfo().username,
			description: 'Name of the operator, recorded in the history',
		}),
		seen: cmd.option({
			long: 'seen',
			type: cmd.number,
			defaultValue: () => 0,
			description: 'Refuse unless this version is current',
		}),
	},
	handler: (args) =>
		run(
			args,
			'setConfig',
			{ key: args.key, value: args.value, by: args.by, seenVersion: args.seen },
			show.configSet,
		),
});

const boxes = cmd.command({
	name: 'boxes',
	description: "Show the system's processes and their configuration versions",
	args: commonArgs,
	handler: (args) => run(args, 'boxes', {}, show.boxes),
});

const timeline = cmd.command({
	name: 'timeline',
	description: 'Show the events of all processes in order of time',
	args: {
		...commonArgs,
		about: cmd.positional({
			type: cmd.optional(cmd.string),
			displayName: 'task, job, request, worker or box',
		}),
		limit: cmd.option({
			long: 'limit',
			type: cmd.number,
			defaultValue: () => 200,
			description: 'Maximum number of events; the newest are shown',
		}),
	},
	handler: (args) => run(args, 'timeline', { about: args.about ?? '', limit: args.limit }, show.timeline),
});

/** The command line. */
export const woodcross = cmd.subcommands({
	name: 'woodcross',
	description: 'Operate woodcross, a scheduler for colocated latency-critical and batch work',
	cmds: {
		submit,
		cancel,
		status,
		explain,
		config: cmd.subcommands({
			name: 'config',
			cmds: { get: configGet, set: configSet, history: configHistory },
		}),
		boxes,
		timeline,
	},
});
