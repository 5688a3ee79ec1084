/** Messages about the times at which refused callers may return: what boxes refused and booked, and what the owner gives them. */
import * as zod from 'zod/mini';
import * as forecasts from '../forecast/index.js';
import * as results from '../result.js';

const z = zod;

/** Number of seconds for which capacity is shared out: all that the forecast gives. */
export const sharedSeconds = forecasts.freeSeconds;

/** Largest plausible number of core-milliseconds of a second; anything above is a fault of the sender. */
const maxCoreMs = 1e9;

/** Largest plausible age of a message or distance of its first second, in milliseconds. */
const maxOffsetMs = 60_000;

const kind = z.enum(['reserved', 'preemptible']);
const coreMs = z.number().check(z.gte(0), z.lte(maxCoreMs));

/** Core-milliseconds in each of the 16 seconds that begin `fromMs` after the message was sent; negative: before. */
export const secondsMessage = z.object({
	fromMs: z.number().check(z.gte(-maxOffsetMs), z.lte(maxOffsetMs)),
	shares: z
		.array(z.object({ kind, coreMs: z.array(coreMs).check(z.length(sharedSeconds)) }))
		.check(z.maxLength(2)),
});

/** What a box refused since its last ping. */
export const refusedMessage = z.array(z.object({ kind, coreMs })).check(z.maxLength(2));

/** Field `returns` of the answer to `owner.ping`, and field `booked` of the ping. */
export type SharedSeconds = zod.infer<typeof secondsMessage>;

/** Field `refused` of `owner.ping`. */
export type RefusedWork = zod.infer<typeof refusedMessage>;

/** Kind of work. */
export type ReturnKind = RefusedWork[number]['kind'];

export const returnKinds = ['reserved', 'preemptible'] as const satisfies readonly ReturnKind[];

/** Validates a field; one wrong number rejects it as a whole. The error names the part, for people. */
export function parseSeconds(value: unknown): results.Result<SharedSeconds, string> {
	return parse(secondsMessage, value);
}

export function parseRefused(value: unknown): results.Result<RefusedWork, string> {
	return parse(refusedMessage, value);
}

function parse<T extends zod.ZodMiniType>(schema: T, value: unknown): results.Result<zod.infer<T>, string> {
	const parsed = schema.safeParse(value);
	if (parsed.success) return results.ok(parsed.data);
	const issue = parsed.error.issues[0];
	return results.fail(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
}
