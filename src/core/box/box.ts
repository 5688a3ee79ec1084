/** A box: answers callers, follows the configuration, and dispatches while it is the owner. */
import * as admission from '../admission/index.js';
import * as errors from '../errors/index.js';
import * as held from './held-pings.js';
import * as ledger from '../ledger/index.js';
import * as ownerRole from './owner-role.js';
import * as ownership from '../owner/index.js';
import * as pings from './owner-pings.js';
import * as configurations from './configuration.js';
import * as contacts from '../platform/contact.js';
import * as protocol from './peer-protocol.js';
import * as results from '../result.js';
import * as service from './job-service.js';
import * as wire from '../wire/frames-only.js';
import type * as adapters from './platform-adapter.js';
import type * as boxSettings from './settings.js';
import type * as clocks from '../clock.js';
import type * as dispatch from '../dispatch/index.js';
import type * as events from '../events/index.js';
import type * as queues from '../queues/index.js';
import type * as stores from '../platform/types.js';
import type * as upkeep from '../upkeep/index.js';

/** Time limit for fetching the configuration from the owner, in milliseconds: a megabyte takes 1.2 s at 7 Mbit/s. */
const configurationTimeoutMs = 2_500;

/** One box. `create` also starts it. */
export class Box {
	readonly service: service.JobService;
	private readonly store: stores.RecordStore;
	private readonly contact: contacts.StoreContact;
	private readonly peers: wire.PeerClient<protocol.BoxReq>;
	private configuration!: configurations.ConfigurationFollower;
	private ownership!: ownership.Ownership;
	private server!: wire.PeerServer<protocol.BoxReq>;
	/** Records times of exits and of long-running tasks while this box is the owner; does nothing until it is set. */
	recordTime: dispatch.RecordTime = () => undefined;
	/** Records how far forecasts were off while this box is the owner; does nothing until it is set. */
	recordForecastError: dispatch.RecordForecastError = () => undefined;
	/** The owner's part of this box; undefined while it is not the owner. */
	private role: ownerRole.OwnerRole | undefined;
	private readonly heldPings: held.HeldPings;
	private readonly pings: pings.OwnerPings;
	/** Books refused callers; undefined where nothing is decided by forecasts. */
	private readonly returns: admission.ReturnSchedule | undefined;
	private readonly waves = new Map<number, upkeep.Wave>();
	/** The boxes that ping this one while it is the owner. */
	private readonly candidates = ownership.Candidates.create(() => this.clock.now());
	private stopping = false;

	private constructor(
		readonly settings: boxSettings.BoxSettings,
		private readonly adapter: adapters.PlatformAdapter,
		private readonly clock: clocks.Clock,
		private readonly events: events.EventLog,
	) {
		const watched = contacts.monitorContact(adapter.store, events, () => clock.now());
		this.store = watched.store;
		this.contact = watched.contact;
		this.peers = wire.PeerClient.create(clock, events);
		const { contact, peers } = this;
		const { box, processor } = settings;
		this.returns = this.createReturns();
		this.pings = pings.OwnerPings.create({
			returns: this.returns,
			peers,
			contact,
			events,
			box,
			processor,
			now: () => clock.now(),
			configuration: () => this.configuration.version,
			onConfiguration: (advertised, sentAt, owner) => {
				void this.configuration.onAdvertised(advertised, sentAt, () => this.readConfiguration(owner));
			},
			handover: () => this.reportForHandover(),
			onReply: (reply, address) => {
				this.ownership.noteReply(reply, address);
			},
		});
		this.heldPings = held.HeldPings.create(clock);
		this.service = service.JobService.create({
			store: this.store,
			contact: this.contact,
			clock,
			events,
			dispatcher: () => this.role?.dispatcher,
			callOwner: (req, timeoutMs) => this.callOwner(req, timeoutMs),
			ownerGeneration: () => this.ownership.owner?.generation ?? 0,
			backlog: () => this.role?.backlog ?? this.pings.backlog,
			admission: this.admissionRule(),
			returns: this.returns,
			random: () => Math.random(),
			ownerReachesStore: () => this.ownership.reachable && this.pings.storeReachable,
		});
	}

	static async create(
		settings: boxSettings.BoxSettings,
		adapter: adapters.PlatformAdapter,
		clock: clocks.Clock,
		log: events.EventLog,
	): Promise<Box> {
		const box = new Box(settings, adapter, clock, log);
		await box.start();
		return box;
	}

	/** The configuration in force; undefined before the first is known. */
	get queues(): queues.QueueTable | undefined {
		return this.configuration.table;
	}

	/** Whether a newer configuration may already be in force elsewhere. */
	get isConfigurationInDoubt(): boolean {
		return this.configuration.mayBeStale;
	}

	/** How long ago the configuration was last confirmed, in milliseconds. */
	get configurationAgeMs(): number {
		return this.configuration.ageMs;
	}

	/** How long the store has been unresponsive to this box, in milliseconds; 0: it answers. */
	get storeUnresponsiveMs(): number {
		return this.contact.lostForMs;
	}

	/** Address at which the other boxes connect, `host:port`. */
	get peerAddress(): string {
		return this.server.address;
	}

	/**
	 * Whether the box takes callers: it is not stopping, the configuration is known, and the owner or the store is
	 * reachable.
	 */
	get ready(): boolean {
		if (this.stopping || this.queues === undefined) return false;
		return this.contact.reachable || this.ownership.reachable;
	}

	/** Whether this box is the owner. */
	get owning(): boolean {
		return this.role !== undefined;
	}

	/** Whether a planned stop has begun. */
	get leaving(): boolean {
		return this.stopping;
	}

	/** The owner's load in the last second; undefined: this box is not the owner, or has just become it. */
	get ownerLoad(): ownerRole.OwnerLoad | undefined {
		return this.role?.load;
	}

	/**
	 * Begins a planned stop: callers go elsewhere, and another box takes over dispatching. Resolves when this box has given up
	 * ownership.
	 */
	async prepareToStop(): Promise<void> {
		this.stopping = true;
		this.events.emit('process.stopping');
		await this.ownership.release();
	}

	/** What decides on jobs where it is not the outstanding work. */
	private admissionRule(): admission.AdmissionRule | undefined {
		if (this.settings.features?.admission !== 'forecast') return undefined;
		return (record) => {
			const forecast = this.role === undefined ? this.pings.forecast.current : this.role.forecast?.current;
			return admission.decideByForecast(record, forecast);
		};
	}

	private createReturns(): admission.ReturnSchedule | undefined {
		if (this.settings.features?.admission !== 'forecast') return undefined;
		return admission.ReturnSchedule.create(
			() => this.clock.now(),
			() => Math.random(),
		);
	}

	private async start(): Promise<void> {
		this.server = await this.listen();
		this.configuration = configurations.ConfigurationFollower.create({
			store: this.store,
			clock: this.clock,
			events: this.events,
			adapter: this.adapter,
			contact: this.contact,
			applyMs: this.settings.bounds.applyMs,
			onWave: (wave) => {
				this.waves.set(wave.number, wave);
				this.role?.addWave(wave);
			},
		});
		this.ownership = ownership.Ownership.create({
			store: this.store,
			clock: this.clock,
			events: this.events,
			box: this.settings.box,
			peer: this.server.address,
			leaseMs: Math.max(ownership.settings.leaseMs, this.settings.minLeaseMs),
			processor: this.settings.processor,
			highestKnownProcessor: () => this.pings.strongest,
			strongerBox: () => this.candidates.stronger(this.settings.processor)?.box,
			ping: (address) => this.pings.ping(address),
			ownerLacksStore: () => !this.pings.storeReachable && this.contact.reachable,
			onAcquired: (owned, contents) => {
				this.startOwnerRole(owned, contents);
			},
			onLost: () => {
				this.endOwnerRole();
			},
			random: (below) => Math.random() * below,
			handover: this.confirmedHandover(),
		});
	}

	/** What confirmed handovers need; undefined where ownership is released. */
	private confirmedHandover(): ownership.ConfirmedHandover | undefined {
		const { zone, bounds, features } = this.settings;
		if (features?.handover !== 'confirmed') return undefined;
		return {
			zone,
			candidates: this.candidates,
			keepForMs: bounds.graceMs - ownership.settings.releaseBeforeKillMs,
			storeLostForMs: () => this.contact.lostForMs,
			answerPings: () => {
				this.heldPings.release();
			},
			pingNow: (address) => this.pings.pingNow(address),
			notifyTaken: async (address, owner) => {
				const req = { type: 'owner.taken' as const, owner };
				return (await this.peers.call(address, req, ownership.settings.permissionTimeoutMs)).ok;
			},
		};
	}

	private reportForHandover(): pings.ReportedForHandover {
		const { prepared, reportedStopping: stopping } = this.ownership;
		return stopping === undefined ? {} : { zone: this.settings.zone, stopping, prepared };
	}

	/** Listens for the other boxes on the first free port of `peerPorts`. */
	private async listen(): Promise<wire.PeerServer<protocol.BoxReq>> {
		const [first, last] = this.settings.peerPorts;
		for (let port = first; ; port += 1) {
			try {
				return await wire.PeerServer.create(
					this.settings.ip,
					port,
					this.events,
					protocol.parseBoxReq,
					(req) => this.onPeerRequest(req),
				);
			} catch (err) {
				if (port >= last) throw err;
				this.events.emit('wire.rejected', { reason: `port ${port}: ${String(err)}` });
			}
		}
	}

	private async callOwner<T>(
		req: protocol.BoxReq,
		timeoutMs: number,
	): Promise<results.Result<T, service.OwnerFailure>> {
		const owner = this.ownership.owner;
		if (owner === undefined) return results.fail({ sent: false, reason: 'no owner is known' });
		const res = await this.peers.call<T>(owner.peer, req, timeoutMs);
		if (!res.ok) return results.fail({ sent: res.err.effect === 'unknown', reason: res.err.reason });
		if (!res.value.ok) return results.fail({ sent: false, reason: errors.toLine(res.value.err) });
		return results.ok(res.value.value);
	}

	/** Fetches the configuration from an owner; undefined: it gave none. */
	private async readConfiguration(owner: string): Promise<Uint8Array | undefined> {
		const req = { type: 'configuration.read' as const };
		const res = await this.peers.call<protocol.ConfigurationReply>(owner, req, configurationTimeoutMs);
		return res.ok && res.value.ok ? res.value.value.value : undefined;
	}

	private startOwnerRole(owned: ledger.OwnerLedger, contents: ledger.LedgerContents): void {
		this.role = ownerRole.OwnerRole.create(
			{
				settings: this.settings,
				adapter: this.adapter,
				store: this.store,
				clock: this.clock,
				events: this.events,
				table: () => this.queues,
				returns: this.returns,
				previousOwnerHeardAt: this.pings.ownerHeardAt,
				recordTime: (name, ms) => {
					this.recordTime(name, ms);
				},
				recordForecastError: (queue, ratio) => {
					this.recordForecastError(queue, ratio);
				},
				onFenced: (reason) => {
					this.ownership.lose(reason);
				},
				onHeartbeat: () => {
					this.heldPings.release();
				},
			},
			owned,
			contents,
			this.pings.inheritedLeases(owned, contents.lastHeartbeat, this.settings.bounds.maxLeaseMs),
		);
		for (const wave of this.waves.values()) this.role.addWave(wave);
	}

	private endOwnerRole(): void {
		// What this owner knows of the boxes counts in the next race to become the owner.
		this.pings.strongest = this.candidates.strongest(this.settings.processor);
		if (this.role !== undefined) this.pings.heartbeats.note(this.role.generation, this.role.newestHeartbeat);
		this.pings.ownerHeardAt = this.clock.now();
		this.role?.close();
		this.role = undefined;
		this.heldPings.release();
	}

	private async onPeerRequest(req: protocol.BoxReq): Promise<results.Result<unknown, errors.Failure>> {
		if (req.type === 'owner.taken') {
			this.ownership.noteTaken(req.owner);
			return results.ok(null);
		}
		if (req.type === 'owner.ping') return this.answerPing(req);
		const dispatcher = this.role?.dispatcher;
		if (dispatcher === undefined) return this.notOwner();
		switch (req.type) {
			case 'job.stored':
				dispatcher.addJob(req.record);
				return results.ok(null);
			case 'job.cancelled':
				dispatcher.cancelJob(req.job);
				return results.ok(null);
			case 'job.accept':
				return results.ok(await ledger.accept(this.store, req.record));
			case 'job.cancel':
				return results.ok(await this.service.cancelForPeer(req.job));
			case 'job.state':
				return results.ok({ ...dispatcher.viewOf(req.job) });
			case 'queue.pending':
				return results.ok(dispatcher.pendingOf(req.queue));
			case 'configuration.read':
				return results.ok({ value: this.configuration.shareStored() });
		}
	}

	private notOwner(): results.Result<never, errors.Failure> {
		return results.fail(errors.failure('NotOwner', this.settings.box));
	}

	private async answerPing(
		req: protocol.PingReq,
	): Promise<results.Result<protocol.PingReply, errors.Failure>> {
		if (this.role === undefined) return this.answerFormerOwner(req);
		this.candidates.notePing(req.candidate);
		this.configuration.listIfNewer(req.configuration ?? 0);
		this.role.returns?.notePing(req.candidate.box, req.refused, req.booked);
		if (!this.ownership.isAwaitedBy(req.candidate.box)) await this.heldPings.hold(req.waitMs);
		// The role may have ended, or begun anew, during the wait.
		const role = this.role as ownerRole.OwnerRole | undefined;
		return role === undefined ? this.answerFormerOwner(req) : results.ok(this.pingReply(role, req));
	}

	/** Tells a box that confirms handovers who the owner is, if that is known here. */
	private answerFormerOwner({
		candidate,
	}: protocol.PingReq): results.Result<protocol.PingReply, errors.Failure> {
		const movedTo = candidate.stopping === undefined ? undefined : this.ownership.knownOwner;
		if (movedTo === undefined) return this.notOwner();
		const { generation } = movedTo;
		return results.ok({ generation, storeReachable: this.contact.reachable, strongest: 0, movedTo });
	}

	private pingReply(
		role: ownerRole.OwnerRole,
		{ candidate, prepared }: protocol.PingReq,
	): protocol.PingReply {
		return {
			generation: role.generation,
			strongest: this.candidates.strongest(this.settings.processor),
			storeReachable: this.contact.reachable,
			backlog: role.backlog,
			forecast: role.forecast?.message,
			returns: role.returns?.answerFor(candidate.box),
			silent: role.unresponsiveWorkers(),
			heartbeat: role.newestHeartbeat,
			configuration: this.configuration.advertisedConfiguration,
			...this.ownership.handoverReply(candidate.box, prepared),
		};
	}
}
