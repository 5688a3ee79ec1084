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
	'store.lost': {
		id: 1103,
		level: 'warn',
		text: 'The store does not answer this box, or refuses it; the call, the reason and how long it has lasted are given, again every five seconds.',
	},
	'store.regained': { id: 1104, level: 'info', text: 'The store answers this box again.' },
	'call.unanswered': {
		id: 1110,
		level: 'warn',
		text: 'A call to the platform or a worker was given up; how long it waited, what of an answer came and how long ago that address last sent anything are given, at most once a second and address.',
	},
	'process.stalled': {
		id: 1111,
		level: 'warn',
		text: 'The process did nothing for so long: it stood still, or was busy with one thing; time limits that passed meanwhile say nothing of others.',
	},
	'clock.jumped': {
		id: 1112,
		level: 'warn',
		text: 'The wall clock has run ahead of the monotonic one: it was set, or the machine was suspended; what was known before is asked for once more.',
	},
	'box.ready': {
		id: 1105,
		level: 'info',
		text: 'The box takes callers, or no longer does; the reason is given.',
	},
	'log.dropped': {
		id: 1106,
		level: 'warn',
		text: 'So many lines were left out because the reader of the log was too slow, or gone.',
	},
	'figures.unserved': { id: 1109, level: 'warn', text: 'The address for figures could not be used.' },
	'settings.refused': {
		id: 1107,
		level: 'error',
		text: 'A settings file could not be taken over; the former settings stay in force.',
	},
	'callers.closed': {
		id: 1113,
		level: 'info',
		text: 'A planned stop closes the address for callers; connections that were still queued there, how long it took to accept them and whether the queue was empty then are given.',
	},
	'settings.read': { id: 1108, level: 'info', text: 'The settings file was read again.' },
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
	'owner.found': {
		id: 2101,
		level: 'info',
		text: 'This box knows the owner of the dispatching: its box and generation.',
	},
	'owner.missed': {
		id: 2102,
		level: 'warn',
		text: 'The owner does not answer this box; the reason is given.',
	},
	'owner.taken': {
		id: 2103,
		level: 'info',
		text: 'This box owns the dispatching, under the generation given.',
	},
	'owner.not-taken': {
		id: 2104,
		level: 'info',
		text: 'A try to own the dispatching came to nothing; the reason is given.',
	},
	'owner.lost': {
		id: 2105,
		level: 'warn',
		text: 'This box no longer owns the dispatching; the reason is given.',
	},
	'owner.handed-over': {
		id: 2109,
		level: 'info',
		text: 'This box handed the dispatching over to a stronger box, which is named.',
	},
	'owner.released': { id: 2106, level: 'info', text: 'This box handed the dispatching over, as it stops.' },
	'owner.load': {
		id: 2114,
		level: 'info',
		text: "The owner's last second: starts sent and answered, other orders, reports and what they took, tasks finished, runs abandoned, rounds of placing and what they took, processor, tasks that wait, starts on their way and their limit, ends that workers still list.",
	},
	'takeover.settled': {
		id: 2107,
		level: 'info',
		text: 'Every worker that an earlier owner used has been heard of; inherited tasks may start.',
	},
	'takeover.heard': {
		id: 2113,
		level: 'info',
		text: 'A worker that an earlier owner used reported to this one for the first time; what it runs is named, and how much of it was taken over.',
	},
	'takeover.waiting': {
		id: 2112,
		level: 'info',
		text: 'Inherited tasks still wait for these workers to answer, or for their leases to run out; once a second.',
	},
	'learnt.adopted': {
		id: 2110,
		level: 'info',
		text: 'A new owner goes on from what earlier ones learnt of disturbance and loads; how much is given.',
	},
	'learnt.unstored': {
		id: 2111,
		level: 'warn',
		text: 'What an owner learnt could not be stored; the next write, seconds later, holds it too.',
	},
	'progress.unsaved': {
		id: 2108,
		level: 'warn',
		text: "A write of jobs' progress failed; it is tried again.",
	},
	'job.accepted': { id: 3011, level: 'info', text: 'A job was stored, so it is accepted.' },
	'job.refused': {
		id: 3012,
		level: 'info',
		text: 'A job was not taken, or it is not known whether it was; the answer and the reason are given.',
	},
	'job.turned-away': {
		id: 3016,
		level: 'info',
		text: 'A job was not taken in, because what is owed already takes too long; the wait, the limit and when the caller is to come back are given.',
	},
	'job.unreadable': {
		id: 3017,
		level: 'error',
		text: "A stored job can't be worked on, for the reason given; the others are.",
	},
	'progress.refused': {
		id: 3018,
		level: 'error',
		text: "The store refuses a job's progress, for its size or form; other jobs are stored, and this one is tried again after a while.",
	},
	'job.cancel': { id: 3013, level: 'info', text: 'A caller asked to cancel a job; the outcome is given.' },
	'job.state': {
		id: 3014,
		level: 'debug',
		text: 'A caller asked how a job stands; source and age are given.',
	},
	'job.taken': {
		id: 3015,
		level: 'info',
		text: 'The owner works on a job; its age at that moment is given.',
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
	'task.lost': {
		id: 3106,
		level: 'warn',
		text: 'A task is proved not to run any more; the proof is given, whether its start was answered, and how long after its placing the worker first failed to answer.',
	},
	'task.crashed': {
		id: 3116,
		level: 'warn',
		text: 'A worker went down under a run, or may have: how many did under this task so far, how many it seems to have brought down, and `lost`, how many in all may have.',
	},
	'task.cleared': {
		id: 3117,
		level: 'info',
		text: 'A task that was suspected of bringing workers down has worked for long enough; the reason is given.',
	},
	'task.given-up': {
		id: 3118,
		level: 'error',
		text: 'A task is not started again, as too many workers went down under it, and its job has failed; operators should look at what it runs.',
	},
	'task.stopped': { id: 3107, level: 'info', text: 'A cancelled task is confirmed as stopped.' },
	'run.ended': { id: 3108, level: 'info', text: 'A worker lists the end of a run; how it ended is given.' },
	'run.stray': {
		id: 3109,
		level: 'warn',
		text: 'A worker runs what nobody wants there; it is told to stop it.',
	},
	'start.refused': {
		id: 3110,
		level: 'warn',
		text: 'A start was not carried out; the reason is given, and the task is placed anew.',
	},
	'task.paced': {
		id: 3111,
		level: 'info',
		text: 'A task that fills was told to work at a share of its speed, for the users of its neighbours.',
	},
	'task.overloaded': {
		id: 3122,
		level: 'info',
		text: 'A task that serves users has been over its target for so long that all which fills beside it has to stand still: how long, for how long nothing had been heard of its worker before the newest report was asked for, and how many of its neighbours work by their own readings.',
	},
	'task.relieved': {
		id: 3123,
		level: 'info',
		text: 'Such a task is under its target again, or all that fills beside it stands still by its own readings; how long after it went over its target.',
	},
	'pace.unanswered': {
		id: 3124,
		level: 'warn',
		text: 'An order on the pace of a run was left without an answer or refused, so the worker may be at either pace.',
	},
	'pace.contradicted': {
		id: 3125,
		level: 'warn',
		text: "A run's own reading says that it does not work at the pace that its worker was last told: an older order was carried out late. How long ago that was told is given.",
	},
	'start.withdrawn': {
		id: 3119,
		level: 'info',
		text: 'A start was not sent, as its place is not what it was when it was taken: the worker is leaving, its room has shrunk, the list of workers is not read any more, or a run on probation stands there.',
	},
	'task.stop': { id: 3112, level: 'info', text: 'A run is told to stop; the reason is given.' },
	'step.waiting': {
		id: 3115,
		level: 'info',
		text: "A step's tasks have waited a second or longer; the reason is given when it changes, with how many workers stand in which way.",
	},
	'step.stalled': {
		id: 3120,
		level: 'info',
		text: "A step's task has waited for seconds and is told of again and again until it is placed: what holds it up at that moment, how many of its step run, how many workers of its pool are open, and why the others are not.",
	},
	'ends.unread': {
		id: 3121,
		level: 'warn',
		text: 'A worker lists ends from a number on that leaves out some which nobody has read: they are forgotten there.',
	},
	'advice.given': { id: 3113, level: 'info', text: 'The adviser said which workers may run a step.' },
	'advice.missed': {
		id: 3114,
		level: 'warn',
		text: 'The adviser gave no usable answer; it is asked again.',
	},
	'zone.evacuated': {
		id: 3304,
		level: 'info',
		text: 'An operator evacuates a zone: its workers get nothing more until that is taken back, and what runs there runs on. How many workers are listed there and how many runs are placed there are given.',
	},
	'zone.emptied': { id: 3305, level: 'info', text: 'Nothing runs any more in a zone that is evacuated.' },
	'zone.reopened': {
		id: 3306,
		level: 'info',
		text: 'An evacuation was taken back: the zone gets work again.',
	},
	'evacuation.rejected': {
		id: 3307,
		level: 'warn',
		text: 'An entry that evacuates a zone can not be read, which leaves the zone as it was, or names a zone that this deployment does not have; told once a change of it.',
	},
	'wave.taken': { id: 3301, level: 'info', text: 'An operator asks for a wave of upkeep.' },
	'machine.upkeep': {
		id: 3302,
		level: 'info',
		text: "A machine was told to begin its upkeep; the outcome is the platform's.",
	},
	'machines.unlisted': {
		id: 3303,
		level: 'warn',
		text: 'The list of machines could not be read; waves of upkeep wait.',
	},
	'worker.lost': {
		id: 3205,
		level: 'warn',
		text: 'Nothing that was placed on a worker runs there any more; the proof is given, the time since its last answer to this owner, if there was one, and how many runs a later life of it has.',
	},
	'worker.unanswered': {
		id: 3207,
		level: 'warn',
		text: 'A worker with tasks ceases to answer: how the first call failed, how long ago it was last heard, what was started there last and how long before.',
	},
	'worker.draining': {
		id: 3206,
		level: 'info',
		text: 'A worker drains; the time it stays at least is given.',
	},
	'worker.reached': {
		id: 3201,
		level: 'info',
		text: 'A worker answered for the first time, or again, or with a new incarnation.',
	},
	'lease.lapsed': {
		id: 3209,
		level: 'warn',
		text: 'Runs ended on a worker as their lease ran out: how long ago this owner gave the newest lease and heard the worker before, and why it gives none now.',
	},
	'worker.restarted': {
		id: 3208,
		level: 'warn',
		text: 'A later life of a worker, under the same name, answered in place of the one that was known; its clock is given. What ran there has ended, unless the later life reports it.',
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
	'config.applied': {
		id: 5001,
		level: 'info',
		text: 'A configuration version is in force in this process; where it was read (a list, a change, the owner), and at which revision of the store, are given.',
	},
	'config.unconfirmed': {
		id: 5004,
		level: 'warn',
		text: 'The store has not confirmed the configuration in force for so long; it may be out of date. Again every five seconds.',
	},
	'config.confirmed': {
		id: 5005,
		level: 'info',
		text: 'The store answers questions for the configuration again; how long it had not is given.',
	},
	'config.accepted': { id: 5002, level: 'info', text: "An operator's change is stored and accepted." },
	'config.rejected': {
		id: 5003,
		level: 'error',
		text: 'A stored configuration could not be read, and the former one stays in force; or a queue or pool of the version given could not, and the others are in force.',
	},
	'wire.rejected': {
		id: 6001,
		level: 'warn',
		text: 'A connection was closed because of what came over it; the reason is given.',
	},
} as const satisfies Record<string, EventRow>;

/** Name of an event. */
export type EventName = keyof typeof eventCatalogue;
