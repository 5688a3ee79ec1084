/** Names of shards, and the assignment of workers, jobs and claims to shards; every process computes the same. */
import * as hash from '../hash.js';
import type * as tasks from '../task/index.js';

/** The shards of a zone, named `<zone>.<number>`. */
export function shardsOfZone(zone: string, perZone: number): string[] {
	return Array.from({ length: perZone }, (_, index) => `${zone}.${index}`);
}

/** The zone of a shard. */
export function zoneOfShard(shard: string): string {
	return shard.slice(0, shard.lastIndexOf('.'));
}

/**
 * The shard of a rack's workers. Racks are spread over the shards of their zone; a rack changes shard only if the number of
 * shards changes.
 */
export function shardOfRack(zone: string, rack: string, perZone: number): string {
	return hash.rendezvous(`${zone}/${rack}`, shardsOfZone(zone, perZone))[0] ?? '';
}

/** The shards that may take a job part, the preferred one first. */
export function shardOrder(part: tasks.JobPart, zones: readonly string[], perZone: number): string[] {
	const allowed = part.spec.zones ?? zones;
	const all = allowed.filter((zone) => zones.includes(zone)).flatMap((zone) => shardsOfZone(zone, perZone));
	return hash.rendezvous(part.id, all);
}

/** The shard that stores a caller's Idempotency-Key: chosen among all zones, so that every entry box asks the same shard. */
export function shardOfClaim(key: string, zones: readonly string[], perZone: number): string {
	const all = zones.flatMap((zone) => shardsOfZone(zone, perZone));
	return hash.rendezvous(key, all)[0] ?? '';
}

/** The parts of a job: a service has one in each of its zones, a batch job has a single one. */
export function partsOf(spec: tasks.JobSpec, zones: readonly string[]): tasks.JobPart[] {
	const id = `${spec.team}/${spec.name}`;
	if (spec.kind === 'batch') return [{ id, spec, tasks: spec.tasks }];
	const chosen = (spec.zones ?? [...zones]).slice(0, spec.tasks);
	const base = Math.floor(spec.tasks / chosen.length);
	const extra = spec.tasks % chosen.length;
	return chosen.map((zone, index) => ({
		id: `${id}@${zone}`,
		spec: { ...spec, zones: [zone] },
		tasks: base + (index < extra ? 1 : 0),
	}));
}
