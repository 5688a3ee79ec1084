/** `woodcross-entry`: forwards callers' requests to backend servers, those of its own availability zone first. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as backends from './backends.js';
import * as boxes from '../boxes/index.js';
import * as caller from './caller.js';
import * as claims from './claims.js';
import * as clocks from '../clock.js';
import * as dispatcher from './dispatcher.js';
import * as errors from '../errors/index.js';
import * as forward from './forward.js';
import * as node from '../node/index.js';
import * as platform from '../platform/index.js';
import * as results from '../result.js';
import * as retries from './retry-budget.js';
import * as shares from './shares.js';
import type * as settings from './settings.js';
import type * as wire from '../wire/index.js';

/** Interval between rounds in which the entry boxes of a zone exchange their demand, in milliseconds. */
const shareIntervalMs = 100;

/** Rounds without a report after which a box gets no share. */
const maxMissedRounds = 10;

/** Maximum number of attempts per request, including those that a backend server refused. */
const maxAttempts = 4;

/** Retry delay sent to callers while this box knows no configuration, in milliseconds. */
const notReadyRetryAfterMs = 100;

interface PeerDemand {
	demand: Record<string, number>;
	receivedAt: number;
}

/** A request in progress. */
interface ActiveRequest extends caller.ParsedRequest {
	req: forward.CallerRequest;
	deadlineAt: number;
}

/** The entry process. */
export class Entry {
	private readonly node: node.Node;
	private readonly backends: backends.Backends;
	private readonly dispatcher: dispatcher.Dispatcher;
	private readonly retryBudget: retries.RetryBudget;
	private readonly peerDemand = new Map<string, PeerDemand>();
	private readonly listFollowers: platform.Follower[] = [];
	private shareTimer: clocks.Timer | undefined;
	private inFlight = 0;
	private onIdle: () => void = () => undefined;

	private constructor(private readonly settings: settings.EntrySettings) {
		this.node = node.Node.create(settings, {
			role: 'entry',
			onPeer: (req) =>
				Promise.resolve(
					results.fail(errors.failure('InvalidRequest', `${req.type} requests are not for an entry process`)),
				),
			gossip: () => ({ demand: this.dispatcher.demand(), leaving: this.leavingIds() }),
			onGossip: (gossip) => {
				this.onGossip(gossip);
			},
			gossipIntervalMs: shareIntervalMs,
			partners: (members) => members.zonePeers('entry'),
			rawHttp: { prefix: '/services/', serve: (req, res) => this.serve(req, res) },
			gauges: () => ({ in_flight: this.inFlight, backends: this.backends.all.length }),
		});
		this.backends = backends.Backends.create(this.node.clock, this.node.events);
		this.dispatcher = dispatcher.Dispatcher.create({
			backends: this.backends,
			clock: this.node.clock,
			zone: settings.zone,
			random: Math.random,
			queuePerSlot: () => this.node.config.number('entry.queuePerSlot'),
		});
		this.retryBudget = retries.RetryBudget.create(() => this.node.config.number('entry.retryBudgetPercent'));
	}

	static create(checkedSettings: settings.EntrySettings): Entry {
		return new Entry(checkedSettings);
	}

	async start(): Promise<void> {
		await this.node.start();
		for (const zone of this.settings.zones) this.listFollowers.push(this.followBackendList(zone));
		this.shareTimer = clocks.every(this.node.clock, shareIntervalMs, () => {
			this.updateShares();
		});
	}

	/**
	 * Planned stop: the health check fails first, then no new connection is accepted, then requests in flight are finished.
	 */
	async stop(): Promise<void> {
		this.node.stopping = true;
		this.node.events.emit('process.stopping', { inFlight: this.inFlight });
		await clocks.sleep(this.node.clock, this.settings['drain-ms']);
		this.node.httpServer.close();
		this.node.httpServer.closeIdleConnections();
		while (this.inFlight > 0) await new Promise<void>((resolve) => (this.onIdle = resolve));
		this.shareTimer?.cancel();
		for (const list of this.listFollowers) list.stop();
		await this.node.leave();
		await this.backends.close();
		await this.node.close();
	}

	private followBackendList(zone: string): platform.Follower {
		return platform.Follower.create(this.node.store, this.node.clock, {
			prefix: boxes.backendsKey(zone),
			relistMs: boxes.boxesRelistMs,
			onView: (view) => {
				const listed = boxes.parseBackends(view.get(boxes.backendsKey(zone)));
				if (listed === undefined) return;
				this.backends.applyZoneList(zone, listed);
				this.updateShares();
			},
		});
	}

	private leavingIds(): string[] {
		return this.backends.all.filter((one) => one.leaving).map((one) => one.box.id);
	}

	private onGossip(gossip: wire.Gossip): void {
		if (gossip.role !== 'entry') return;
		this.peerDemand.set(gossip.box, { demand: gossip.demand ?? {}, receivedAt: this.node.clock.now() });
		for (const id of gossip.leaving ?? []) this.backends.markLeaving(id);
	}

	/** Recomputes the shares from the newest demand reported by the zone's entry boxes. */
	private updateShares(): void {
		const now = this.node.clock.now();
		for (const [box, peer] of this.peerDemand) {
			if (now - peer.receivedAt > maxMissedRounds * shareIntervalMs) this.peerDemand.delete(box);
		}
		const own = this.dispatcher.demand();
		const percent = this.node.config.number('entry.overflowPercent');
		const entryMembers = this.node.members.members.filter((one) => one.role === 'entry');
		for (const backend of this.backends.all) {
			const { id, service, slots } = backend.box;
			if (backend.zone === this.settings.zone) {
				const demands = [{ box: this.node.boot, demand: own[service] ?? 0 }];
				for (const [box, peer] of this.peerDemand) demands.push({ box, demand: peer.demand[service] ?? 0 });
				const reserved = this.settings.zones.length > 1 ? shares.slotsForOtherZones(slots, percent) : 0;
				const rule = shares.shareRules[this.settings['slot-sharing']];
				const ownShare = rule(id, slots - reserved, demands).get(this.node.boot) ?? 0;
				backend.share.update(ownShare);
				continue;
			}
			const otherZoneBoxes = entryMembers.filter((one) => one.zone !== backend.zone).map((one) => one.boot);
			const reserved = shares.slotsForOtherZones(slots, percent);
			backend.share.update(shares.shareForOtherZone(id, reserved, otherZoneBoxes, this.node.boot));
		}
		this.dispatcher.assignFreeSlots();
	}

	private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const startedAt = this.node.clock.now();
		const receivedId = req.headers[forward.requestIdHeader];
		const id =
			typeof receivedId === 'string' && /^[\w.-]{1,128}$/.test(receivedId) ? receivedId : crypto.randomUUID();
		this.inFlight += 1;
		this.node.metrics.count('requests');
		// A stopping box closes each connection with its answer, so that no request arrives on a closing connection.
		if (this.node.stopping) res.setHeader('connection', 'close');
		const err = await this.handle(req, res, id, startedAt);
		if (err !== undefined) this.reportProblem(res, err, id);
		this.node.metrics.recordLatency('request', this.node.clock.now() - startedAt);
		this.inFlight -= 1;
		if (this.inFlight === 0) this.onIdle();
	}

	private reportProblem(res: http.ServerResponse, err: errors.Failure, id: string): void {
		const name = err.run === 'may-have-run' ? 'request.failed' : 'request.refused';
		this.node.metrics.count(err.run === 'may-have-run' ? 'requests_may_have_run' : 'requests_not_run');
		this.node.events.emit(name, { request: id, reason: `${err.name}: ${err.detail}` });
		caller.writeProblem(res, err, id);
	}

	private async handle(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		id: string,
		startedAt: number,
	): Promise<errors.Failure | undefined> {
		if (!this.node.config.known) {
			const detail = 'the configuration is not known yet';
			return errors.failure('Stopping', detail, { retryAfterMs: notReadyRetryAfterMs, run: 'not-run' });
		}
		const parsed = caller.parseRequest(req, this.node.config.number('entry.deadlineMs'));
		if (!parsed.ok) return parsed.err;
		const body = await caller.readBody(req, this.settings['max-body-bytes']);
		if (!body.ok) return body.err;
		const { path, deadlineMs } = parsed.value;
		const headers = forward.endToEndHeaders(req.headers);
		const active: ActiveRequest = {
			...parsed.value,
			req: { id, method: req.method ?? 'GET', path, headers, body: body.value },
			deadlineAt: startedAt + deadlineMs,
		};
		return active.key === undefined ? this.run(active, res) : this.runClaimed(active, active.key, res);
	}

	/**
	 * Handles a request with an Idempotency-Key: claims the key, so that at most one request is sent under it, and reports
	 * the outcome to the claim.
	 */
	private async runClaimed(
		active: ActiveRequest,
		key: string,
		res: http.ServerResponse,
	): Promise<errors.Failure | undefined> {
		const deps = this.claimDeps();
		const name = claims.claimKey(active.service, active.caller, key);
		const hash = claims.requestHash(active.req.method, active.req.path, active.req.body);
		const claimed = await claims.beginClaim(deps, name, hash, active.req.id, active.deadlineAt);
		if (!claimed.ok) return claimed.err;
		if (claimed.value.kind === 'answered') {
			const { status, contentType, body } = claimed.value.answer;
			caller.writeWhole(res, active.req.id, { status, headers: { 'content-type': contentType }, body });
			return undefined;
		}
		const { claim } = claimed.value;
		let answer: { status: number; contentType: string; body: Uint8Array } | undefined;
		const err = await this.run(active, res, (whole) => {
			answer = {
				status: whole.status,
				contentType: String(whole.headers['content-type'] ?? ''),
				body: whole.body,
			};
		});
		const outcome = err === undefined ? 'done' : (err.run ?? 'may-have-run');
		void claims.endClaim(deps, claim, outcome, answer);
		return err;
	}

	/** Sends a request, retries it on another backend server if that is allowed and useful, and writes the answer. */
	private async run(
		active: ActiveRequest,
		res: http.ServerResponse,
		onWhole: (answer: Extract<forward.SendOutcome, { kind: 'whole' }>) => void = () => undefined,
	): Promise<errors.Failure | undefined> {
		this.retryBudget.first();
		let avoid: string | undefined;
		let mayHaveRun = false;
		for (let attempt = 1; ; attempt += 1) {
			const granted = await this.dispatcher.acquire(active.service, active.deadlineAt, avoid);
			if (!granted.ok) return mayHaveRun ? { ...granted.err, run: 'may-have-run' } : granted.err;
			const { backend, release } = granted.value;
			const outcome = await forward.send(backend.pool, active.req, active.deadlineAt - this.node.clock.now());
			if (outcome.kind === 'whole') {
				release('answered');
				onWhole(outcome);
				caller.writeWhole(res, active.req.id, outcome);
				return undefined;
			}
			if (outcome.kind === 'large') return this.streamLarge(active, res, outcome, release);
			release(outcome.kind);
			const notRun = outcome.kind === 'refused' || outcome.run === 'not-run';
			if (outcome.kind === 'refused' && outcome.leaving) this.backends.markLeaving(backend.box.id);
			mayHaveRun ||= !notRun;
			const reason = outcome.kind === 'refused' ? 'refused: all its slots are in use' : outcome.reason;
			avoid = backend.box.id;
			if (attempt >= maxAttempts || !this.mayRetry(active, notRun))
				return this.failed(active, backend.box.id, reason, mayHaveRun);
			this.node.metrics.count('retries');
			this.node.events.emit('request.retried', { request: active.req.id, backend: avoid, reason });
		}
	}

	/**
	 * Whether another attempt is allowed, which needs time before the deadline. A request that was certainly not run may be
	 * retried a few times, since it cost no backend server any work. One that may have run is retried only if it is safe to
	 * repeat and the retry budget allows it.
	 */
	private mayRetry(active: ActiveRequest, notRun: boolean): boolean {
		if (this.node.clock.now() >= active.deadlineAt) return false;
		return notRun || (active.repeatable && this.retryBudget.takeRetry());
	}

	private failed(
		active: ActiveRequest,
		backend: string,
		reason: string,
		mayHaveRun: boolean,
	): errors.Failure {
		const run = mayHaveRun ? 'may-have-run' : 'not-run';
		const isPastDeadline = this.node.clock.now() >= active.deadlineAt;
		if (!mayHaveRun)
			return errors.failure('NoBackend', `${backend}: ${reason}`, { retryAfterMs: 1_000, run });
		return errors.failure(isPastDeadline ? 'DeadlineExceeded' : 'BackendFailed', `${backend}: ${reason}`, {
			run,
		});
	}

	private async streamLarge(
		active: ActiveRequest,
		res: http.ServerResponse,
		answer: Extract<forward.SendOutcome, { kind: 'large' }>,
		release: dispatcher.SlotGrant['release'],
	): Promise<errors.Failure | undefined> {
		const isComplete = await caller.writeLarge(res, active.req.id, answer);
		release(isComplete ? 'answered' : 'failed');
		if (isComplete) return undefined;
		return errors.failure('BackendFailed', 'a large answer broke off', { run: 'may-have-run' });
	}

	private claimDeps(): claims.ClaimDeps {
		return {
			peers: this.node.peers,
			clock: this.node.clock,
			members: () => this.node.members.members,
			zones: this.settings.zones,
			shardsPerZone: this.settings['shards-per-zone'],
			boot: this.node.boot,
		};
	}
}
