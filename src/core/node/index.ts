/** What the three long-running programs share: log, platform, peers, membership, configuration, health and metrics. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as h3 from 'h3';
import * as clocks from '../clock.js';
import * as config from '../config/index.js';
import * as errors from '../errors/index.js';
import * as events from '../events/index.js';
import * as membership from '../membership/index.js';
import * as metrics from '../metrics/index.js';
import * as platform from '../platform/index.js';
import * as results from '../result.js';
import * as wire from '../wire/index.js';
import type * as common from '../settings/common.js';

/** Default interval between gossip rounds, for a process that reports no demand, in milliseconds. */
const defaultGossipIntervalMs = 1_000;

/** Timeout of a gossip message, in milliseconds. */
const gossipTimeoutMs = 900;

/** Largest header block of a request, in bytes. */
const maxHeaderBytes = 16 * 1024;

/** Timeout for receiving a caller's headers, in milliseconds. */
const headersTimeoutMs = 10_000;

/** The parts that a program adds to the shared node. */
export interface NodeOptions {
	role: membership.Role;
	/** Answers peers' requests other than gossip, configuration and events. */
	onPeer: (req: wire.PeerReq) => Promise<results.Result<unknown, errors.Failure>>;
	onMembers?: () => void;
	onConfig?: (record: wire.ConfigRecord) => void;
	/** Fields that this process adds to its gossip. */
	gossip?: () => Partial<wire.Gossip>;
	onGossip?: (gossip: wire.Gossip) => void;
	gossipIntervalMs?: number;
	/** Gossip partners; by default every process of the zone. */
	partners?: (members: membership.Membership) => membership.Member[];
	/**
	 * Serves the requests under a path prefix with the Node server itself, bypassing h3, which ends each response a second
	 * time (docs/decisions/0006-libraries.md).
	 */
	rawHttp?: { prefix: string; serve: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void> };
	gauges?: () => Record<string, number>;
	/** Where callers or operators connect, if that is not the HTTP address. */
	serves?: string;
}

/** A running process of the system. */
export class Node {
	readonly clock = clocks.systemClock;
	readonly metrics = metrics.Metrics.create();
	readonly boot: string;
	stopping = false;
	readonly events: events.EventLog;
	readonly store: platform.EtcdStore;
	readonly peers: wire.PeerClient<wire.PeerReq>;
	members!: membership.Membership;
	config!: config.ConfigFollower;
	private server!: wire.PeerServer<wire.PeerReq>;
	private http!: http.Server;
	private gossipTimer: clocks.Timer | undefined;

	private constructor(
		readonly settings: common.CommonSettings,
		private readonly parts: NodeOptions,
	) {
		this.boot = `${settings.box}/${parts.role}/${crypto.randomUUID().slice(0, 8)}`;
		this.events = events.EventLog.create(this.boot, this.clock, settings.log, settings['log-level']);
		this.store = platform.EtcdStore.create(settings.platform);
		this.peers = wire.PeerClient.create(this.clock, this.events);
	}

	/** Creates the node without starting it, so that the program's part can hold a reference to it. */
	static create(settings: common.CommonSettings, options: NodeOptions): Node {
		return new Node(settings, options);
	}

	/** Starts to listen, registers as a member, and starts to follow members and configuration. */
	async start(): Promise<void> {
		const [peerHost, peerPort] = splitAddress(this.settings['peer-listen']);
		this.server = await wire.PeerServer.create(peerHost, peerPort, this.events, wire.parsePeerReq, (req) =>
			this.onPeer(req),
		);
		const httpAddress = await this.listenHttp();
		const self: membership.Member = {
			box: this.settings.box,
			role: this.parts.role,
			zone: this.settings.zone,
			boot: this.boot,
			peer: this.server.address,
			serves: this.parts.serves ?? httpAddress,
		};
		this.members = membership.Membership.create(self, this.store, this.clock, this.events, () => {
			this.parts.onMembers?.();
		});
		this.config = config.ConfigFollower.create({
			store: this.store,
			clock: this.clock,
			events: this.events,
			peers: this.peers,
			zonePeers: () => this.peerAddresses(),
			onApplied: (record) => this.parts.onConfig?.(record),
		});
		const partners = this.parts.partners ?? ((members: membership.Membership) => members.zonePeers());
		this.gossipTimer = clocks.every(
			this.clock,
			this.parts.gossipIntervalMs ?? defaultGossipIntervalMs,
			() => {
				this.sendGossip(partners(this.members));
			},
		);
		this.querySeeds();
		this.events.emit('process.started', { peer: self.peer, serves: self.serves });
	}

	/** Leaves the system: peers and platform are notified at once. The program itself finishes callers' connections. */
	async leave(): Promise<void> {
		this.gossipTimer?.cancel();
		this.config.stop();
		await this.members.leave();
	}

	/** Closes the remaining connections. */
	async close(): Promise<void> {
		this.peers.close();
		await this.server.close();
		this.http.closeAllConnections();
		await new Promise<void>((resolve) => {
			this.http.close(() => {
				resolve();
			});
		});
		await this.store.close();
		this.events.emit('process.stopped');
	}

	/** Addresses of the zone's other processes, and of the seeds. */
	peerAddresses(): string[] {
		return [...new Set([...this.members.zonePeers().map((one) => one.peer), ...this.settings.peers])];
	}

	/** The plain HTTP server, for programs that count its connections. */
	get httpServer(): http.Server {
		return this.http;
	}

	private async listenHttp(): Promise<string> {
		const app = new h3.H3();
		app.get('/healthz', (event) => {
			const ready = this.config.known && !this.stopping;
			event.res.status = ready ? 200 : 503;
			return { ready, stopping: this.stopping, configVersion: this.config.record.version, boot: this.boot };
		});
		app.get('/metrics', (event) => {
			event.res.headers.set('content-type', 'text/plain; version=0.0.4');
			const { rss } = process.memoryUsage();
			const { user, system } = process.cpuUsage();
			const processGauges = {
				config_version: this.config.record.version,
				memory_bytes: rss,
				cpu_us: user + system,
			};
			return this.metrics.text({ ...processGauges, ...this.parts.gauges?.() });
		});
		const opts = { maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMs, requestTimeout: 0 };
		const h3Handler = h3.toNodeHandler(app);
		const { rawHttp } = this.parts;
		this.http = http.createServer(opts, (req, res) => {
			if (rawHttp !== undefined && req.url?.startsWith(rawHttp.prefix) === true) void rawHttp.serve(req, res);
			else void h3Handler(req, res);
		});
		const [host, port] = splitAddress(this.settings['http-listen']);
		await new Promise<void>((resolve, reject) => {
			this.http.once('error', reject);
			this.http.listen(port, host, resolve);
		});
		const bound = this.http.address() as net.AddressInfo;
		return `${bound.address}:${bound.port}`;
	}

	/** Requests the seeds' records while no record is known, because the platform is unavailable at the start. */
	private querySeeds(): void {
		if (this.config.known) return;
		for (const seed of this.settings.peers) void this.config.fetchIfNewer(Infinity, seed);
	}

	private sendGossip(partners: membership.Member[]): void {
		this.querySeeds();
		const message: wire.Gossip = {
			type: 'gossip',
			box: this.boot,
			role: this.parts.role,
			configVersion: this.config.record.version,
			...this.parts.gossip?.(),
		};
		for (const member of partners) {
			void this.peers.call<{ configVersion: number }>(member.peer, message, gossipTimeoutMs).then((res) => {
				if (res.ok && res.value.ok) void this.config.fetchIfNewer(res.value.value.configVersion, member.peer);
			});
		}
	}

	private async onPeer(req: wire.PeerReq): Promise<results.Result<unknown, errors.Failure>> {
		switch (req.type) {
			case 'gossip':
				this.noteGossip(req);
				return results.ok({ configVersion: this.config.record.version });
			case 'config.push':
				this.config.applyIfNewer(req.record, 'push');
				return results.ok({ version: this.config.record.version });
			case 'config.get':
				if (!this.config.known)
					return results.fail(errors.failure('PlatformUnavailable', 'no configuration record is known yet'));
				return results.ok(this.config.record);
			case 'events':
				return results.ok(this.selectEvents(req.about, req.limit));
			default:
				return this.parts.onPeer(req);
		}
	}

	private noteGossip(gossip: wire.Gossip): void {
		const sender = this.members.members.find((one) => one.boot === gossip.box);
		if (sender !== undefined) void this.config.fetchIfNewer(gossip.configVersion, sender.peer);
		this.parts.onGossip?.(gossip);
	}

	/** Events of this process about something, the newest `limit` of them; undefined: about anything. */
	selectEvents(about: string | undefined, limit: number): events.LoggedEvent[] {
		const matches = (event: events.LoggedEvent): boolean =>
			about === undefined || event.process.includes(about) || Object.values(event.fields).includes(about);
		return this.events.select(matches).slice(-limit);
	}
}

/** Splits `host:port`. */
export function splitAddress(address: string): [string, number] {
	const colonIndex = address.lastIndexOf(':');
	return [address.slice(0, colonIndex), Number(address.slice(colonIndex + 1))];
}

/** Runs `stop` once on SIGTERM or SIGINT, then exits with 0. */
export function stopOnSignals(stop: () => Promise<void>): void {
	let stopping = false;
	const once = (): void => {
		if (stopping) return;
		stopping = true;
		void stop().then(() => process.exit(0));
	};
	process.on('SIGTERM', once);
	process.on('SIGINT', once);
}
