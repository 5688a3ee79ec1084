/** Requests between boxes. The owner answers them; any other box answers that it is not the owner. */
import * as zod from 'zod/mini';
import * as ledger from '../ledger/index.js';
import * as results from '../result.js';
import type * as admission from '../admission/index.js';
import type * as heartbeats from '../heartbeats/index.js';
import type * as forecasts from '../forecast/index.js';
import type * as sharing from './configuration-sharing.js';
import type * as jobs from '../jobs/index.js';

const z = zod;

const record = z.custom<jobs.JobRecord>((value: unknown) => ledger.isJobRecord(value));

const request = z.discriminatedUnion('type', [
	/** Held for `waitMs`, so that a broken connection is noticed at once. */
	z.object({
		type: z.literal('owner.ping'),
		waitMs: z.number(),
		/** The box that pings, and its processor in cores. */
		candidate: z.object({
			box: z.string(),
			processor: z.number(),
			storeReachable: z.boolean(),
			/** Its failure domain; absent: handovers are not confirmed there, or it runs an older release. */
			zone: z.optional(z.string()),
			/** Whether its planned stop has begun; absent as for `zone`: then the box is not named as a successor. */
			stopping: z.optional(z.boolean()),
		}),
		/** The box has read all that an owner needs and may replace this generation; absent: it is not prepared. */
		prepared: z.optional(z.number()),
		/** Version of the configuration in force there; absent: that box has none, or runs an older release. */
		configuration: z.optional(z.number()),
		/** What it refused since its last ping, and what it has booked; validated by the owner, so that the ping counts anyway. */
		refused: z.optional(z.unknown()),
		booked: z.optional(z.unknown()),
	}),
	/** That box has taken over from the one that gets this. */
	z.object({
		type: z.literal('owner.taken'),
		owner: z.object({ box: z.string(), peer: z.string(), generation: z.number() }),
	}),
	/** A job was stored. */
	z.object({ type: z.literal('job.stored'), record }),
	/** Store this job for a box whose writes the store does not take. */
	z.object({ type: z.literal('job.accept'), record }),
	/** A cancellation was stored. */
	z.object({ type: z.literal('job.cancelled'), job: z.string() }),
	/** Store this cancellation for a box whose writes the store does not take. */
	z.object({ type: z.literal('job.cancel'), job: z.string() }),
	z.object({ type: z.literal('job.state'), job: z.string() }),
	z.object({ type: z.literal('queue.pending'), queue: z.string() }),
	/** Read the configuration in force at the owner, for a box that the store does not answer. */
	z.object({ type: z.literal('configuration.read') }),
]);

/** A request of a box. */
export type BoxReq = zod.infer<typeof request>;

/** A ping of the owner. */
export type PingReq = Extract<BoxReq, { type: 'owner.ping' }>;

/** The answer to `owner.ping`. */
export interface PingReply {
	generation: number;
	/** Whether the store answers the owner. */
	storeReachable: boolean;
	/** The highest processor, in cores, of the owner and the boxes that ping it. */
	strongest: number;
	/** The outstanding work; absent: the owner runs an older release. */
	backlog?: admission.Backlog;
	/** The owner's forecast, validated by the receiver; absent: nothing is decided by it, or an older release. */
	forecast?: forecasts.Forecast;
	/** Capacity into which the box may book refused callers, validated by the box; absent: nothing is shared. */
	returns?: admission.SharedSeconds;
	/** The newest heartbeat that the owner has sent; absent: it runs an older release, which sends none. */
	heartbeat?: heartbeats.SentHeartbeat;
	/** Leases at unresponsive workers; absent: no worker is unresponsive. */
	silent?: UnresponsiveWorkers;
	/** The configuration in force at the owner; absent: it has none, or runs an older release. */
	configuration?: sharing.AdvertisedConfiguration;
	/** The box that is to take over; absent: none is named. */
	successor?: string;
	/** The box that pings may replace the owner of this generation; absent: it may not. */
	mayReplace?: number;
	/** The box that answers is not the owner, and this one is; only to boxes that report whether they stop. */
	movedTo?: ledger.OwnerRecord;
}

/**
 * The answer to `configuration.read`; without a value the owner has no configuration, or its rate limit does not allow it
 * yet.
 */
export interface ConfigurationReply {
	/** Encoded as in the store. */
	value?: Uint8Array;
}

/**
 * What an owner reports of workers that do not answer it. Until its next roster write it grants none of them a lease, so the
 * next owner need not count their leases from its own takeover.
 */
export interface UnresponsiveWorkers {
	/** Version of the roster in the store, as the owner knows it; a later write of the roster voids this report. */
	rosterVersion: number;
	/** By worker: how long until every lease there has expired, in milliseconds. */
	leftMs: Record<string, number>;
}

/** The answer to `job.state`; without a state the owner does not know the job. */
export type StateReply = Partial<jobs.JobView>;

/** Validates a request of a box. */
export function parseBoxReq(body: unknown): results.Result<BoxReq, string> {
	const req = request.safeParse(body);
	if (req.success) return results.ok(req.data);
	const issue = req.error.issues[0];
	return results.fail(`request field ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
}
