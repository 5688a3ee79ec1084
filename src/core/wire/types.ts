/** Messages between the project's own processes, checked on receipt. */
import * as zod from 'zod';
import * as taskSpec from '../task/spec.js';
import * as results from '../result.js';

const z = zod.z;

/** Whole requests waiting or running, by service: what an entry box would use if it could. */
const demand = z.record(z.string(), z.number().int().min(0));

/** What zone peers tell each other every round. */
const gossip = z.object({
	type: z.literal('gossip'),
	box: z.string(),
	role: z.enum(['entry', 'scheduler', 'operator']),
	configVersion: z.number().int(),
	demand: demand.optional(),
	/** Backend servers that this box knows to be leaving. */
	leaving: z.array(z.string()).optional(),
});

const claimBegin = z.object({
	type: z.literal('claim.begin'),
	shard: z.string(),
	/** Service, caller and the caller's Idempotency-Key. */
	key: z.string().min(1).max(512),
	/** SHA-256 of method, path and body. */
	bodyHash: z.string().max(64),
	/** The claim's holder: entry box and request id. */
	holder: z.string(),
});

const claimEnd = z.object({
	type: z.literal('claim.end'),
	shard: z.string(),
	key: z.string().min(1).max(512),
	holder: z.string(),
	outcome: z.enum(['done', 'not-run', 'may-have-run']),
	/** The answer, held in memory only, for a caller who asks again. */
	answer: z
		.object({
			status: z.number().int(),
			contentType: z.string(),
			body: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
		})
		.optional(),
});

/** The configuration record as it travels. */
export const configRecord = z.object({
	version: z.number().int().min(0),
	values: z.record(z.string(), z.union([z.number(), z.string(), z.boolean()])),
	history: z.array(
		z.object({
			version: z.number().int(),
			at: z.number(),
			by: z.string(),
			key: z.string(),
			value: z.union([z.number(), z.string(), z.boolean()]),
			nonce: z.string(),
		}),
	),
});

/** Every request a process may send to another. */
export const peerReq = z.discriminatedUnion('type', [
	gossip,
	z.object({ type: z.literal('config.push'), record: configRecord }),
	z.object({ type: z.literal('config.get') }),
	z.object({ type: z.literal('shard.submit'), shard: z.string(), job: taskSpec.jobPart }),
	z.object({ type: z.literal('shard.cancel'), shard: z.string(), job: z.string() }),
	z.object({ type: z.literal('shard.status'), shard: z.string(), team: z.string().optional() }),
	z.object({ type: z.literal('shard.explain'), shard: z.string(), task: z.string() }),
	claimBegin,
	claimEnd,
	z.object({
		type: z.literal('events'),
		/** Only events one of whose fields, or the process, has this value. */
		about: z.string().optional(),
		limit: z.number().int().min(1).max(20_000),
	}),
]);

/** A request to a peer. */
export type PeerReq = zod.infer<typeof peerReq>;

/** What zone peers tell each other. */
export type Gossip = zod.infer<typeof gossip>;

/** A claim of an Idempotency-Key. */
export type ClaimBegin = zod.infer<typeof claimBegin>;

/** The end of a claim. */
export type ClaimEnd = zod.infer<typeof claimEnd>;

/** The configuration record. */
export type ConfigRecord = zod.infer<typeof configRecord>;

/** Checks a request of a peer. */
export function parsePeerReq(body: unknown): results.Result<PeerReq, string> {
	const req = peerReq.safeParse(body);
	if (req.success) return results.ok(req.data);
	const issue = req.error.issues[0];
	return results.fail(`request field ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
}
