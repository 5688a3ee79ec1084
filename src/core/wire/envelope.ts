/** Envelope of a frame: a request, or the reply to the request with the same id. */
import * as zod from 'zod/mini';

const z = zod;

/** Schema of an envelope. */
export const envelope = z.object({
	id: z.int().check(z.gte(0)),
	/** Hybrid logical clock of the sender. */
	stamp: z.object({ ms: z.number(), count: z.int() }),
	kind: z.enum(['req', 'res']),
	body: z.unknown(),
});

/** A validated envelope. */
export type Envelope = zod.infer<typeof envelope>;
