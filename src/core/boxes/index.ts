/**
 * The platform's lists of live and leaving boxes, which lag: one key per zone and kind, JSON.
 * `platform/boxes/<zone>/workers` and `platform/boxes/<zone>/backend-servers`.
 */
import * as zod from 'zod';
import type * as platform from '../platform/index.js';

const z = zod.z;

const commonFields = {
	id: z.string(),
	/** `host:port`. */
	address: z.string(),
	state: z.enum(['live', 'leaving']),
};

const workerBox = z.object({
	...commonFields,
	rack: z.string(),
	cores: z.number(),
	memoryMb: z.number(),
	accelerators: z.number().int().default(0),
});

const backendBox = z.object({
	...commonFields,
	service: z.string(),
	/** Maximum number of requests that it runs at once. */
	slots: z.number().int().min(1),
	/** Maximum number of connections that it accepts. */
	connections: z.number().int().min(1),
});

/** A worker in the list. */
export type WorkerBox = zod.infer<typeof workerBox>;

/** A backend server in the list. */
export type BackendBox = zod.infer<typeof backendBox>;

/** Interval between full reads of a list, in milliseconds; a watch delivers the changes in between. */
export const boxesRelistMs = 10_000;

/** Key of a zone's workers. */
export function workersKey(zone: string): string {
	return `platform/boxes/${zone}/workers`;
}

/** Key of a zone's backend servers. */
export function backendsKey(zone: string): string {
	return `platform/boxes/${zone}/backend-servers`;
}

function parseList<T>(item: platform.Stored | undefined, schema: zod.ZodType<T>): T[] | undefined {
	if (item === undefined) return undefined;
	try {
		const parsed = z.array(schema).safeParse(JSON.parse(Buffer.from(item.value).toString('utf8')));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

/** A zone's workers; undefined if the list is absent or malformed. */
export function parseWorkers(item: platform.Stored | undefined): WorkerBox[] | undefined {
	return parseList(item, workerBox);
}

/** A zone's backend servers; undefined if the list is absent or malformed. */
export function parseBackends(item: platform.Stored | undefined): BackendBox[] | undefined {
	return parseList(item, backendBox);
}
