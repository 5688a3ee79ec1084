/** `woodcross-operator`: serves operators' remote procedure calls. */
import * as grpc from '@grpc/grpc-js';
import * as config from '../config/index.js';
import * as errors from '../errors/index.js';
import * as jobs from './jobs.js';
import * as node from '../node/index.js';
import * as results from '../result.js';
import * as schema from './schema.js';
import * as views from './views.js';
import type * as settings from './settings.js';
import type * as types from './types.js';
import type * as wire from '../wire/index.js';

/** Timeout for storing a configuration change, in milliseconds. */
const storeTimeoutMs = 6_000;

/** How long processes may take to confirm a new version before the operator is answered, in milliseconds. */
const confirmTimeoutMs = 1_000;

/** Maximum number of events in a timeline. */
const maxTimelineEvents = 20_000;

/** Number of events in a timeline if the operator gives no limit. */
const defaultTimelineEvents = 500;

type Outcome<T> = Promise<results.Result<T, errors.Failure>>;

/** The operator process. */
export class Operator {
	private node!: node.Node;
	private readonly server = new grpc.Server({ 'grpc.max_receive_message_length': schema.maxMessageBytes });

	private constructor(private readonly settings: settings.OperatorSettings) {}

	static create(checkedSettings: settings.OperatorSettings): Operator {
		return new Operator(checkedSettings);
	}

	async start(): Promise<void> {
		this.server.addService(schema.loadService().service, {
			submit: unary((req: types.SubmitRequest) => this.submit(req)),
			cancel: unary((req: types.CancelRequest) => jobs.cancelJob(this.jobDeps(), req.job)),
			status: unary(async (req: types.StatusRequest) =>
				results.ok(await views.status(this.jobDeps(), req.team)),
			),
			explain: unary((req: types.ExplainRequest) => views.explain(this.jobDeps(), req.task)),
			getConfig: unary(() => Promise.resolve(results.ok(this.getConfig()))),
			setConfig: unary((req: types.SetConfigRequest) => this.setConfig(req)),
			boxes: unary(async () => results.ok(await views.boxes(this.processDeps()))),
			timeline: unary((req: types.TimelineRequest) => this.timeline(req)),
		});
		const address = await this.listen();
		this.node = node.Node.create(this.settings, {
			role: 'operator',
			onPeer: (req) =>
				Promise.resolve(
					results.fail(
						errors.failure('InvalidRequest', `${req.type} requests are not for an operator process`),
					),
				),
			serves: address,
		});
		await this.node.start();
	}

	/** Planned stop: calls in progress are finished. */
	async stop(): Promise<void> {
		this.node.stopping = true;
		this.node.events.emit('process.stopping');
		await this.node.leave();
		await new Promise<void>((resolve) => {
			this.server.tryShutdown(() => {
				resolve();
			});
		});
		await this.node.close();
	}

	private listen(): Promise<string> {
		const [host] = node.splitAddress(this.settings['grpc-listen']);
		return new Promise((resolve, reject) => {
			this.server.bindAsync(
				this.settings['grpc-listen'],
				grpc.ServerCredentials.createInsecure(),
				(err, port) => {
					if (err) reject(err);
					else resolve(`${host}:${port}`);
				},
			);
		});
	}

	private async submit(req: types.SubmitRequest): Outcome<types.PartsReply> {
		const spec = jobs.parseSpec(req.specJson, this.settings.zones);
		if (!spec.ok) return spec;
		return jobs.submitJob(this.jobDeps(), spec.value);
	}

	private getConfig(): types.ConfigReply {
		const { record } = this.node.config;
		const entries = Object.entries(config.configKeys).map(([key, row]) => ({
			key,
			value: JSON.stringify(record.values[key] ?? row.default),
			isDefault: !(key in record.values),
			text: row.text,
		}));
		const history = record.history.map((change) => ({ ...change, value: JSON.stringify(change.value) }));
		return { version: record.version, entries, history };
	}

	private async setConfig(req: types.SetConfigRequest): Outcome<types.SetConfigReply> {
		const { store, clock } = this.node;
		const seen = req.seenVersion > 0 ? req.seenVersion : undefined;
		const change = { key: req.key, value: req.value, by: req.by || 'unnamed', seen };
		const stored = await config.changeRecord(store, clock, change, storeTimeoutMs);
		if (!stored.ok) return stored;
		const { version, record } = stored.value;
		this.node.events.emit('config.accepted', { version, key: req.key, reason: change.by });
		this.node.config.applyIfNewer(record, 'asked');
		return results.ok({ version, ...(await this.pushConfig(record)) });
	}

	/**
	 * Pushes the record to every known process directly, so that an outage right after the write does not delay the change.
	 */
	private async pushConfig(
		record: wire.ConfigRecord,
	): Promise<{ confirmed: string[]; unconfirmed: string[] }> {
		const confirmed: string[] = [];
		const unconfirmed: string[] = [];
		const pushes = this.node.members.members.map(async (member) => {
			const isSelf = member.boot === this.node.boot;
			const req = { type: 'config.push', record } as const;
			const res = isSelf
				? undefined
				: await this.node.peers.call<{ version: number }>(member.peer, req, confirmTimeoutMs);
			const version = res?.ok === true && res.value.ok ? res.value.value.version : 0;
			(isSelf || version >= record.version ? confirmed : unconfirmed).push(member.boot);
		});
		await Promise.all(pushes);
		return { confirmed: confirmed.sort(), unconfirmed: unconfirmed.sort() };
	}

	private async timeline(req: types.TimelineRequest): Outcome<types.TimelineReply> {
		const limit = req.limit === 0 ? defaultTimelineEvents : req.limit;
		if (limit < 0 || limit > maxTimelineEvents) {
			return results.fail(
				errors.failure('InvalidRequest', `limit: ${limit} is not between 1 and ${maxTimelineEvents}`),
			);
		}
		return results.ok(await views.timeline(this.processDeps(), req.about, limit));
	}

	private jobDeps(): jobs.JobDeps {
		return {
			peers: this.node.peers,
			clock: this.node.clock,
			members: () => this.node.members.members,
			zones: this.settings.zones,
			shardsPerZone: this.settings['shards-per-zone'],
		};
	}

	private processDeps(): views.ProcessDeps {
		return {
			peers: this.node.peers,
			members: () => this.node.members.members,
			ownEvents: (about) => this.node.selectEvents(about, maxTimelineEvents),
			self: this.node.members.self,
			ownVersion: () => this.node.config.record.version,
		};
	}
}

/** Wraps a handler as a unary gRPC method. The failure's row in the error catalogue gives the status code. */
function unary<Req, Res>(handler: (req: Req) => Outcome<Res>): grpc.handleUnaryCall<Req, Res> {
	return (call, done) => {
		void handler(call.request).then((outcome) => {
			if (outcome.ok) done(null, outcome.value);
			else done(toStatus(outcome.err));
		});
	};
}

function toStatus(err: errors.Failure): Partial<grpc.StatusObject> {
	const metadata = new grpc.Metadata();
	metadata.set('woodcross-error', err.name);
	if (err.retryAfterMs !== undefined) metadata.set('woodcross-retry-after-ms', String(err.retryAfterMs));
	return { code: grpc.status[errors.rowOf(err).grpc], details: errors.toLine(err), metadata };
}
