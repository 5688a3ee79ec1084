/** The numbered events that processes log. docs/EVENTS.md is made from this table. */

/** Severity of an event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** One row of the catalogue. */
export interface EventRow {
	/** Never reused: 1xxx process, 2xxx shards, 3xxx tasks, 4xxx requests, 5xxx configuration, 6xxx wire. */
	id: number;
	level: EventLevel;
	/** What happened, and what an operator should make of it. */
	text: string;
}

/** The catalogue, by event name. */
export const eventCatalogue = {
	'process.started': { id: 1001, level: 'info', text: 'A process listens and is ready.' },
	'process.stopping': {
		id: 1002,
		level: 'info',
		text: 'A planned stop began; work in flight is finished first.',
	},
	'process.stopped': { id: 1003, level: 'info', text: 'A planned stop ended.' },
	'platform.unavailable': {
		id: 1101,
		level: 'warn',
		text: "A call to the platform's key-value service failed; it is tried again.",
	},
	'platform.available': { id: 1102, level: 'info', text: "The platform's key-value service answers again." },
	'members.changed': { id: 1201, level: 'info', text: 'The set of known processes changed.' },
	'shard.taken': { id: 2001, level: 'info', text: 'This scheduler owns a shard, under the epoch given.' },
	'shard.lost': { id: 2002, level: 'warn', text: 'Another scheduler owns the shard; this one steps down.' },
	'shard.released': { id: 2003, level: 'info', text: 'This scheduler handed a shard over.' },
	'shard.horizon': {
		id: 2004,
		level: 'warn',
		text: 'The renewal horizon passed without a committed entry; batch leases are no longer renewed.',
	},
	'shard.snapshot': { id: 2005, level: 'debug', text: 'A snapshot of the shard was stored.' },
	'shard.readback': {
		id: 2006,
		level: 'info',
		text: 'An append had no answer; reading the slot back settled what became of it.',
	},
	'job.submitted': { id: 3001, level: 'info', text: 'A job was committed.' },
	'job.cancelled': { id: 3002, level: 'info', text: 'The cancellation of a job was committed.' },
	'job.ended': { id: 3003, level: 'info', text: 'A job reached its end; the state says which.' },
	'task.placed': {
		id: 3101,
		level: 'info',
		text: 'The placement of a task was committed; the worker is told next.',
	},
	'task.running': { id: 3102, level: 'info', text: 'A worker reports that a task runs.' },
	'task.finished': { id: 3103, level: 'info', text: 'The end of a task was committed.' },
	'task.failed': { id: 3104, level: 'warn', text: 'A failed attempt was committed; the reason is given.' },
	'task.evicted': {
		id: 3105,
		level: 'info',
		text: 'A task gave its place back; it resumes from the checkpoint given.',
	},
	'task.lost': { id: 3106, level: 'warn', text: 'A task is proved not to run any more; the proof is given.' },
	'task.stopped': { id: 3107, level: 'info', text: 'A cancelled task is confirmed as stopped.' },
	'worker.reached': {
		id: 3201,
		level: 'info',
		text: 'A worker answered for the first time, or again, or with a new incarnation.',
	},
	'worker.unreachable': {
		id: 3202,
		level: 'warn',
		text: "A worker doesn't answer; its tasks keep their places until they are proved stopped.",
	},
	'worker.quarantined': {
		id: 3203,
		level: 'warn',
		text: 'Several distinct jobs failed on a worker; it gets no new work.',
	},
	'worker.released': {
		id: 3204,
		level: 'info',
		text: 'A quarantined worker came back with a new incarnation and gets work again.',
	},
	'request.refused': {
		id: 4001,
		level: 'debug',
		text: 'A request was answered without being run; the reason is given.',
	},
	'request.failed': {
		id: 4002,
		level: 'warn',
		text: 'A request failed after it was sent to a backend server.',
	},
	'request.retried': {
		id: 4003,
		level: 'debug',
		text: 'A request that is safe to repeat was tried once more elsewhere.',
	},
	'backend.leaving': {
		id: 4101,
		level: 'info',
		text: 'A backend server is leaving; it gets no new requests.',
	},
	'backend.added': { id: 4102, level: 'info', text: 'A backend server may get requests.' },
	'backend.removed': { id: 4103, level: 'info', text: 'A backend server is gone from the list and idle.' },
	'config.applied': { id: 5001, level: 'info', text: 'A configuration version is in force in this process.' },
	'config.accepted': { id: 5002, level: 'info', text: "An operator's change is stored and accepted." },
	'wire.rejected': {
		id: 6001,
		level: 'warn',
		text: 'A connection was closed because of what came over it; the reason is given.',
	},
} as const satisfies Record<string, EventRow>;

/** Name of an event. */
export type EventName = keyof typeof eventCatalogue;
