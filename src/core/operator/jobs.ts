/** Submits, cancels and looks up jobs across the shards responsible for their parts. */
import * as errors from '../errors/index.js';
import * as results from '../result.js';
import * as shardCalls from './shard-calls.js';
import * as shards from '../shard/index.js';
import * as tasks from '../task/index.js';
import type * as scheduler from '../scheduler/index.js';
import type * as types from './types.js';

/** Dependencies of the calls. */
export interface JobDeps extends shardCalls.ShardCallDeps {
	zones: readonly string[];
	shardsPerZone: number;
}

/** Timeout of a whole call, repeats included, in milliseconds. */
const callTimeoutMs = 8_000;

/** Parses and checks a declaration. Fails with `InvalidSpec`, which names the path of each fault. */
export function parseSpec(
	text: string,
	zones: readonly string[],
): results.Result<tasks.JobSpec, errors.Failure> {
	const invalid = (detail: string): results.Result<never, errors.Failure> =>
		results.fail(errors.failure('InvalidSpec', detail));
	let raw: unknown;
	try {
		raw = JSON.parse(text);
	} catch (err) {
		return invalid(`not JSON: ${String(err)}`);
	}
	const parsed = tasks.jobSpec.safeParse(raw);
	if (!parsed.success) {
		const issues = parsed.error.issues.map(
			(issue) => `${issue.path.join('.') || 'top level'}: ${issue.message}`,
		);
		return invalid(issues.join('; '));
	}
	const unknown = (parsed.data.zones ?? []).filter((zone) => !zones.includes(zone));
	if (unknown.length > 0)
		return invalid(`zones: ${unknown.join(', ')} are unknown; known zones: ${zones.join(', ')}`);
	return results.ok(parsed.data);
}

/** Submits every part. It is idempotent, so an operator may repeat it after any failure. */
export async function submitJob(
	deps: JobDeps,
	spec: tasks.JobSpec,
): Promise<results.Result<types.PartsReply, errors.Failure>> {
	const parts = shards.partsOf(spec, deps.zones);
	const replies = await Promise.all(parts.map((part) => submitPart(deps, part)));
	return collectParts(replies);
}

async function submitPart(
	deps: JobDeps,
	part: tasks.JobPart,
): Promise<results.Result<types.Part, errors.Failure>> {
	let shard = shards.shardOrder(part, deps.zones, deps.shardsPerZone)[0] ?? '';
	for (;;) {
		const req = { type: 'shard.submit', shard, job: part } as const;
		const res = await shardCalls.callShard<scheduler.SubmitReply>(deps, req, callTimeoutMs);
		if (!res.ok) return res;
		if (res.value.at === 'here') return results.ok({ id: part.id, shard, created: res.value.created });
		shard = res.value.shard;
	}
}

/**
 * Cancels every part of a job. Looks for each part in the shards in which submission may have placed it. Fails with
 * `JobUnknown` if no part is found.
 */
export async function cancelJob(
	deps: JobDeps,
	job: string,
): Promise<results.Result<types.PartsReply, errors.Failure>> {
	const ids = [job, ...deps.zones.map((zone) => `${job}@${zone}`)];
	const replies = await Promise.all(ids.map((id) => cancelPart(deps, id)));
	const found = replies.filter((one) => one.ok || one.err.name !== 'JobUnknown');
	if (found.length === 0) return results.fail(errors.failure('JobUnknown', job));
	return collectParts(found);
}

async function cancelPart(deps: JobDeps, id: string): Promise<results.Result<types.Part, errors.Failure>> {
	const req = (shard: string): shardCalls.ShardPeerReq => ({ type: 'shard.cancel', shard, job: id });
	let unreachable: errors.Failure | undefined;
	for (const shard of candidateShards(deps, id)) {
		const res = await shardCalls.callShard<{ at: string; shard?: string }>(deps, req(shard), callTimeoutMs);
		if (res.ok && res.value.at === 'here') return results.ok({ id, shard, created: false });
		if (!res.ok && res.err.name !== 'JobUnknown') unreachable = res.err;
	}
	return results.fail(unreachable ?? errors.failure('JobUnknown', id));
}

/** Shards that may hold the part with this id, most likely first. */
export function candidateShards(deps: JobDeps, id: string): string[] {
	const zone = /@([^/]+)/.exec(id)?.[1];
	const zones = zone === undefined ? deps.zones : [zone];
	const spec = { zones: [...zones] } as tasks.JobSpec;
	return shards.shardOrder({ id, spec, tasks: 1 }, deps.zones, deps.shardsPerZone);
}

function collectParts(
	replies: results.Result<types.Part, errors.Failure>[],
): results.Result<types.PartsReply, errors.Failure> {
	const parts: types.Part[] = [];
	for (const one of replies) {
		if (!one.ok) return one;
		parts.push(one.value);
	}
	return results.ok({ parts });
}
