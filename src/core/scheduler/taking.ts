/** Takes a shard over: reads its log and stores the entry that starts the next epoch. */
import * as effects from './effects.js';
import * as results from '../result.js';
import * as shards from '../shard/index.js';
import type * as owners from './owner-deps.js';
import type * as silence from './silence.js';

/** A shard that this process has taken over. */
export interface TakenShard {
	log: shards.ShardLog;
	takeover: silence.Takeover;
}

/** Reads the shard's log and takes the shard over under the next epoch. */
export async function takeShard(deps: owners.OwnerDeps): Promise<results.Result<TakenShard, string>> {
	const read = await readLog(deps);
	if (!read.ok) return results.fail(read.err.reason);
	const log = read.value;
	const { released } = log.state;
	const stored = await openEpoch(deps, log);
	if (!stored.ok) return stored;
	return results.ok({ log, takeover: { at: deps.clock.now(), released } });
}

function readLog(deps: owners.OwnerDeps): ReturnType<typeof shards.ShardLog.read> {
	const { shard, owner, store, clock, events, metrics } = deps;
	const onWrite = (bytes: number): void => {
		metrics.bytes += bytes;
	};
	return shards.ShardLog.read({ shard, owner, store, clock, events, onWrite });
}

/** Stores the takeover and applies it to the log's state. Stores a snapshot first if the ring is full. */
async function openEpoch(
	deps: owners.OwnerDeps,
	log: shards.ShardLog,
): Promise<results.Result<undefined, string>> {
	const epoch = log.state.epoch + 1;
	const taken: shards.Change = { type: 'shard.taken', owner: deps.owner, epoch };
	if (log.full) {
		const kept = await log.snapshot();
		if (kept !== 'committed') return results.fail(`snapshot ${kept}`);
	}
	const outcome = await log.append(epoch, [taken]);
	if (outcome !== 'committed') return results.fail(outcome);
	shards.applyChange(log.state, taken, deps.clock.wall());
	effects.logChange(deps.events, deps.shard, taken, log.state);
	return results.ok(undefined);
}
