/** Operators' views, gathered from all processes: status, explanation, boxes and timeline. */
import * as errors from '../errors/index.js';
import * as events from '../events/index.js';
import * as jobs from './jobs.js';
import * as results from '../result.js';
import * as shardCalls from './shard-calls.js';
import * as shards from '../shard/index.js';
import type * as membership from '../membership/index.js';
import type * as scheduler from '../scheduler/index.js';
import type * as types from './types.js';
import type * as wire from '../wire/index.js';

/** Timeout of a query to one process or shard, in milliseconds. What does not answer in time is reported as missing. */
const queryTimeoutMs = 2_000;

/** Status of every shard; a shard that can't be reached is listed with the problem. */
export async function status(deps: jobs.JobDeps, team: string): Promise<types.StatusReply> {
	const all = deps.zones.flatMap((zone) => shards.shardsOfZone(zone, deps.shardsPerZone));
	const statuses = await Promise.all(all.map((shard) => shardStatus(deps, shard, team)));
	return { shards: statuses };
}

async function shardStatus(deps: jobs.JobDeps, shard: string, team: string): Promise<types.ShardStatus> {
	const res = await shardCalls.callShard<scheduler.ShardStatus>(
		deps,
		{ type: 'shard.status', shard },
		queryTimeoutMs,
	);
	if (!res.ok) {
		return { shard, owner: '', epoch: 0, entries: 0, jobs: [], workers: [], problem: errors.toLine(res.err) };
	}
	const matching = res.value.jobs.filter((job) => team === '' || job.id.startsWith(`${team}/`));
	return { ...res.value, jobs: matching, problem: '' };
}

/** Explains a task, whichever shard holds it. Fails with `JobUnknown` if none does. */
export async function explain(
	deps: jobs.JobDeps,
	task: string,
): Promise<results.Result<types.ExplainReply, errors.Failure>> {
	const job = task.replace(/\/\d+$/, '');
	let problem: errors.Failure = errors.failure('JobUnknown', task);
	for (const shard of jobs.candidateShards(deps, job)) {
		const req = { type: 'shard.explain', shard, task } as const;
		const res = await shardCalls.callShard<types.ExplainReply>(deps, req, queryTimeoutMs);
		if (res.ok) return res;
		if (res.err.name !== 'JobUnknown') problem = res.err;
	}
	return results.fail(problem);
}

/** Dependencies of the views that query processes. */
export interface ProcessDeps {
	peers: wire.PeerClient<wire.PeerReq>;
	members: () => readonly membership.Member[];
	/** Events of this process, for the timeline; `about` undefined: all. */
	ownEvents: (about: string | undefined) => events.LoggedEvent[];
	self: membership.Member;
	ownVersion: () => number;
}

/** Every known process: whether it answers, and its configuration version, 0 if it gives none. */
export async function boxes(deps: ProcessDeps): Promise<types.BoxesReply> {
	const queries = deps.members().map(async (member): Promise<types.BoxStatus> => {
		const version = member.boot === deps.self.boot ? deps.ownVersion() : await versionOf(deps, member);
		const { boot, box, role, zone, serves } = member;
		return { boot, box, role, zone, serves, reachable: version !== undefined, configVersion: version ?? 0 };
	});
	return { boxes: await Promise.all(queries) };
}

async function versionOf(deps: ProcessDeps, member: membership.Member): Promise<number | undefined> {
	const res = await deps.peers.call<wire.ConfigRecord>(member.peer, { type: 'config.get' }, queryTimeoutMs);
	if (!res.ok) return undefined;
	return res.value.ok ? res.value.value.version : 0;
}

/** The newest events about something, merged from all processes in one order. An empty `about` means all events. */
export async function timeline(
	deps: ProcessDeps,
	about: string,
	limit: number,
): Promise<types.TimelineReply> {
	const filter = about === '' ? undefined : about;
	const missing: string[] = [];
	const queries = deps.members().map(async (member): Promise<events.LoggedEvent[]> => {
		if (member.boot === deps.self.boot) return deps.ownEvents(filter);
		const req = { type: 'events', about: filter, limit } as const;
		const res = await deps.peers.call<events.LoggedEvent[]>(member.peer, req, queryTimeoutMs);
		if (res.ok && res.value.ok) return res.value.value;
		missing.push(member.boot);
		return [];
	});
	const all = (await Promise.all(queries)).flat();
	all.sort((a, b) => events.hlc.compareStamps(a.stamp, b.stamp) || (a.process < b.process ? -1 : 1));
	return { events: all.slice(-limit).map(toTimelineEvent), missing };
}

function toTimelineEvent(event: events.LoggedEvent): types.TimelineEvent {
	const fields: Record<string, string> = {};
	for (const [key, value] of Object.entries(event.fields)) {
		if (value !== undefined) fields[key] = String(value);
	}
	const { ms, count } = event.stamp;
	return { id: event.id, name: event.name, ms, count, process: event.process, fields };
}
