/** Names of shards, and which shard takes care of what; computed alike by every process. */
import * as hash from '../hash.js';
import type * as tasks from '../task/index.js';

/** Shards of one zone: `<zone>.<number>`. */
export function shardsOfZone(zone: string, perZone: number): string[] {
	return Array.from({ length: perZone }, (_, index) => `${zone}.${index}`);
}

/** The zone of a shard. */
export function zoneOfShard(shard: string): string {
	return shard.slice(0, shard.lastIndexOf('.'));
}

/** The shard of a worker: racks are spread over their zone's shards, and a rack never moves while the count stays. */
export function shardOfRack(zone: string, rack: string, perZone: number): string {
	return hash.rendezvous(`${zone}/${rack}`, shardsOfZone(zone, perZone))[0] ?? '';
}

/** Shards that may take care of a job part, the home first. */
export function shardOrder(part: tasks.JobPart, zones: readonly string[], perZone: number): string[] {
	const allowed = part.spec.zones ?? zones;
	const all = allowed.filter((zone) => zones.includes(zone)).flatMap((zone) => shardsOfZone(zone, perZone));
	return hash.rendezvous(part.id, all);
}

/** The shard that holds a caller's Idempotency-Key: over all zones, so that every entry box asks the same one. */
export function shardOfClaim(key: string, zones: readonly string[], perZone: number): string {
	const all = zones.flatMap((zone) => shardsOfZone(zone, perZone));
	return hash.rendezvous(key, all)[0] ?? '';
}

/** The parts of a job: a service has one in each of its zones, a batch job a single one. */
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
