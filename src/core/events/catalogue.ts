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
		text: "A call to the platform's key-value service failed; it is retried.",
	},
	'platform.available': { id: 1102, level: 'info', text: "The platform's key-value service answers again." },
	'store.lost': {
		id: 1103,
		level: 'warn',
		text: 'The store does not answer this box, or refuses its calls. The call, the reason and the duration so far are given; logged again every five seconds.',
	},
	'store.regained': { id: 1104, level: 'info', text: 'The store answers this box again.' },
	'call.unanswered': {
		id: 1110,
		level: 'warn',
		text: 'A call to the platform or a worker was abandoned. How long it waited, what part of an answer came and how long ago that address last sent anything are given; logged at most once per second and address.',
	},
	'process.stalled': {
		id: 1111,
		level: 'warn',
		text: 'The process did nothing for the time given: it was suspended, or busy with one operation. Time limits that passed meanwhile prove nothing about other processes.',
	},
	'clock.jumped': {
		id: 1112,
		level: 'warn',
		text: 'The wall clock has advanced further than the monotonic one: it was set, or the machine was suspended. What was known before is requested once more.',
	},
	'box.ready': {
		id: 1105,
		level: 'info',
		text: 'The box accepts callers, or no longer does; the reason is given.',
	},
	'log.dropped': {
		id: 1106,
		level: 'warn',
		text: 'The number of lines given was dropped because the reader of the log was too slow, or gone.',
	},
	'figures.unserved': { id: 1109, level: 'warn', text: 'The address for metrics could not be used.' },
	'settings.refused': {
		id: 1107,
		level: 'error',
		text: 'A settings file could not be applied; the previous settings stay in force.',
	},
	'callers.closed': {
		id: 1113,
		level: 'info',
		text: 'A planned stop closes the address for callers. The number of connections still queued there, the time needed to accept them and whether the queue was empty then are given.',
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
		text: 'An append had no answer; reading the slot back determined whether it was stored.',
	},
	'owner.found': {
		id: 2101,
		level: 'info',
		text: 'This box knows the owner of dispatching: its box and generation are given.',
	},
	'owner.missed': {
		id: 2102,
		level: 'warn',
		text: 'The owner does not answer this box; the reason is given.',
	},
	'owner.taken': {
		id: 2103,
		level: 'info',
		text: 'This box owns dispatching, under the generation given.',
	},
	'owner.not-taken': {
		id: 2104,
		level: 'info',
		text: 'An attempt to own dispatching failed; the reason is given.',
	},
	'owner.lost': {
		id: 2105,
		level: 'warn',
		text: 'This box no longer owns dispatching; the reason is given.',
	},
	'owner.handed-over': {
		id: 2109,
		level: 'info',
		text: 'This box handed dispatching over to a stronger box, which is named.',
	},
	'owner.released': { id: 2106, level: 'info', text: 'This box handed dispatching over because it stops.' },
	'handover.started': {
		id: 2125,
		level: 'info',
		text: 'The owner names a successor, which prepares to take over while the owner goes on dispatching; generation and cause are given.',
	},
	'handover.prepared': {
		id: 2126,
		level: 'info',
		text: 'The successor has read what an owner needs and may take over; how long that took is given.',
	},
	'handover.completed': {
		id: 2127,
		level: 'info',
		text: 'The successor has taken over; `gapMs` is the time for which neither box dispatched, as far as the former owner knows.',
	},
	'handover.failed': {
		id: 2128,
		level: 'warn',
		text: 'The box named did not take over, or none could be named; the reason is given.',
	},
	'owner.load': {
		id: 2114,
		level: 'info',
		text: "The owner's load in the last second: starts sent and answered, other commands, reports and their duration, tasks finished, runs abandoned, rounds of placement and their duration, processor time, waiting tasks, of these the short and the preemptible ones, starts in flight and their limit, exits that workers still list.",
	},
	'forecast.published': {
		id: 2115,
		level: 'info',
		text: 'The forecast that the owner reports to the boxes, once a second while work waits: by kind and priority the longest wait of what is on time, the wait of what is late, and the cores; the size of the message and the time that the computation took.',
	},
	'forecast.reduced': {
		id: 2129,
		level: 'warn',
		text: 'The forecast does not fit into its message, or has parts that the boxes would reject. The number of classes without the waits of their queues, of classes left out for the size, and of classes left out for their priority or pool name is given. At most once in 10 s.',
	},
	'forecast.rejected': {
		id: 2116,
		level: 'warn',
		text: 'A forecast of the owner was not understood; the field and its value are given. The previous one is used until it is too old.',
	},
	'returns.shared': {
		id: 2117,
		level: 'info',
		text: 'The owner shared out capacity into which boxes book refused callers, once a second while any is booked: the work booked, in core-milliseconds, and the number of boxes.',
	},
	'returns.rejected': {
		id: 2118,
		level: 'warn',
		text: 'What a box reported of refused or booked work, or its share of the capacity, was not understood; bookings stay. The reason is given.',
	},
	'takeover.settled': {
		id: 2107,
		level: 'info',
		text: 'Every worker that an earlier owner used has reported or is proved empty; inherited tasks may start.',
	},
	'takeover.leases': {
		id: 2131,
		level: 'info',
		text: 'How long a new owner waits for what earlier owners started on workers that do not answer, and what that is based on: when the last stored heartbeat was sent, the takeover if this box does not know that, or the longest lease if no heartbeat covers it.',
	},
	'takeover.heard': {
		id: 2113,
		level: 'info',
		text: 'A worker that an earlier owner used reported to this one for the first time. What it runs, and how much of that was taken over, are given.',
	},
	'takeover.waiting': {
		id: 2112,
		level: 'info',
		text: 'Inherited tasks still wait for these workers to answer, or for their leases to expire; logged once per second. The longest time until a lease is over and the number of long-running tasks that wait, if any do, are given.',
	},
	'learnt.adopted': {
		id: 2110,
		level: 'info',
		text: 'A new owner continues with the interference and load models of earlier owners, and where a feature needs them, with their run time factors and limits. How much each holds, the age of the record, and why a part is not used are given.',
	},
	'learnt.unstored': {
		id: 2111,
		level: 'warn',
		text: "An owner's learned models could not be stored; the next write, seconds later, contains them too.",
	},
	'progress.unsaved': {
		id: 2108,
		level: 'warn',
		text: "A write of jobs' progress failed; it is retried.",
	},
	'job.accepted': { id: 3011, level: 'info', text: 'A job was stored, so it is accepted.' },
	'job.refused': {
		id: 3012,
		level: 'info',
		text: 'A job was not accepted, or it is not known whether it was; the answer and the reason are given.',
	},
	'job.turned-away': {
		id: 3016,
		level: 'info',
		text: 'A job was not accepted because the outstanding work already takes too long. The cause, the wait, the limit and the retry delay sent to the caller are given; decided by a forecast, also its wait, finish and age, and the seconds until the second that was booked for it.',
	},
	'job.unreadable': {
		id: 3017,
		level: 'error',
		text: "A stored job can't be processed, for the reason given; the other jobs are.",
	},
	'progress.refused': {
		id: 3018,
		level: 'error',
		text: "The store refuses a job's progress because of its size or form. Other jobs are stored, and this one is retried after a delay.",
	},
	'job.cancel': {
		id: 3013,
		level: 'info',
		text: 'A caller requested the cancellation of a job; the outcome is given.',
	},
	'job.state': {
		id: 3014,
		level: 'debug',
		text: 'A caller requested the state of a job; source and age are given.',
	},
	'job.taken': {
		id: 3015,
		level: 'info',
		text: 'The owner starts processing a job; its age at that moment is given.',
	},
	'job.submitted': { id: 3001, level: 'info', text: 'A job was committed.' },
	'job.cancelled': { id: 3002, level: 'info', text: 'The cancellation of a job was committed.' },
	'job.ended': { id: 3003, level: 'info', text: 'A job ended; the state says how.' },
	'task.placed': {
		id: 3101,
		level: 'info',
		text: 'The placement of a task was committed; the worker is notified next.',
	},
	'task.running': { id: 3102, level: 'info', text: 'A worker reports that a task runs.' },
	'task.finished': { id: 3103, level: 'info', text: 'The exit of a finished task was committed.' },
	'task.failed': { id: 3104, level: 'warn', text: 'A failed attempt was committed; the reason is given.' },
	'task.evicted': {
		id: 3105,
		level: 'info',
		text: 'A task gave up its placement; it resumes from the checkpoint given.',
	},
	'task.lost': {
		id: 3106,
		level: 'warn',
		text: 'A task is proved not to run any more. The proof, whether its start was answered, and how long after its placement the worker first failed to answer are given.',
	},
	'task.crashed': {
		id: 3116,
		level: 'warn',
		text: 'A worker crashed under a run, or may have. Given are how many did so under this task so far, how many of them are attributed to it, and `lost`, how many in all may have.',
	},
	'task.cleared': {
		id: 3117,
		level: 'info',
		text: 'A task that was suspected of crashing workers has worked for long enough; the reason is given.',
	},
	'task.given-up': {
		id: 3118,
		level: 'error',
		text: 'A task is not started again because too many workers crashed under it, and its job has failed. Operators should check what it runs.',
	},
	'task.resumed': {
		id: 3131,
		level: 'info',
		text: 'A long-running task runs again after a time without a run; a warning if that took longer than it may, with `overMs`. Given are both workers, how the beginning of that time is known (`since`), and its phases as far as known: until this owner took over (0: it was the owner), until the former run was proved to be over, until a worker had capacity, until the start was answered.',
	},
	'task.without-run': {
		id: 3132,
		level: 'warn',
		text: 'A long-running task has had no run for longer than it may; logged every few seconds for those with the longest time. Given are how the beginning of that time is known, what the task waits for, with the worker and the time until its lease is over where it waits for that, and the number of such tasks.',
	},
	'task.stopped': { id: 3107, level: 'info', text: 'A cancelled task is confirmed as stopped.' },
	'run.ended': { id: 3108, level: 'info', text: 'A worker lists the exit of a run; its outcome is given.' },
	'run.stray': {
		id: 3109,
		level: 'warn',
		text: 'A worker runs an orphaned run, which nobody wants there; it is commanded to stop it.',
	},
	'start.refused': {
		id: 3110,
		level: 'warn',
		text: 'A start was not carried out; the reason is given, and the task is placed again.',
	},
	'start.repeated': {
		id: 3129,
		level: 'info',
		text: 'A start without an answer was sent once more while the earlier copies may still be in flight; the number of copies is given.',
	},
	'start.in-doubt': {
		id: 3130,
		level: 'warn',
		text: 'One copy of a start was refused, and another one may have been carried out, or may be later. The start is sent again or stopped, and its task is not placed elsewhere before it is known which.',
	},
	'task.paced': {
		id: 3111,
		level: 'info',
		text: 'A preemptible task was commanded to work at a share of its speed, for the users of its neighbours.',
	},
	'task.overloaded': {
		id: 3122,
		level: 'info',
		text: 'A serving task has been over its latency target for so long that all preemptible tasks beside it have to be paused. Given are how long, how long its worker had not reported before the newest report was requested, and how many of its neighbours work by their own readings.',
	},
	'limit.changed': {
		id: 3126,
		level: 'info',
		text: "A worker's limit on preemptible work was cut because the serving task named went over its target: the share of cores expected to be in use, the share that may be, and how far below its limit each predicted busy part has to stay. At most one every two seconds and worker.",
	},
	'limit.missed': {
		id: 3127,
		level: 'info',
		text: 'A preemptible run is migrated because it was throttled, so its placement was wrong: the limit and the predictions by which it was placed are given.',
	},
	'task.relieved': {
		id: 3123,
		level: 'info',
		text: 'An overloaded serving task is under its latency target again, or all preemptible tasks beside it are paused by their own readings; the time since it went over its target is given.',
	},
	'pace.unanswered': {
		id: 3124,
		level: 'warn',
		text: 'A command on the pace of a run was not answered, or was refused, so the worker may be at either pace.',
	},
	'pace.contradicted': {
		id: 3125,
		level: 'warn',
		text: "A run's own reading shows that it does not work at the pace last commanded: an older command was carried out late. The time since the last command is given.",
	},
	'start.withdrawn': {
		id: 3119,
		level: 'info',
		text: 'A start was not sent because its placement has changed since it was made: the worker is leaving, its free capacity has shrunk, the list of workers can no longer be read, or a run on probation is there.',
	},
	'task.stop': { id: 3112, level: 'info', text: 'A run is commanded to stop; the reason is given.' },
	'step.waiting': {
		id: 3115,
		level: 'info',
		text: "A step's tasks have waited for a second or longer. The reason is given when it changes, with the number of workers in each state.",
	},
	'step.stalled': {
		id: 3120,
		level: 'info',
		text: "A step's task has waited for seconds; logged repeatedly until it is placed. Given are what blocks it at that moment, how many tasks of its step run, how many workers of its pool are open, and why the others are not.",
	},
	'ends.unread': {
		id: 3121,
		level: 'warn',
		text: 'The exits that a worker lists begin after some that nobody has read; the worker no longer holds those.',
	},
	'advice.given': { id: 3113, level: 'info', text: 'The adviser reported which workers may run a step.' },
	'advice.missed': {
		id: 3114,
		level: 'warn',
		text: 'The adviser gave no usable answer; it is asked again.',
	},
	'zone.evacuated': {
		id: 3304,
		level: 'info',
		text: 'An operator evacuates a zone: its workers get nothing more until the evacuation is withdrawn, and runs there continue. The number of workers listed and of runs placed there are given.',
	},
	'zone.emptied': { id: 3305, level: 'info', text: 'Nothing runs any more in a zone that is evacuated.' },
	'zone.reopened': {
		id: 3306,
		level: 'info',
		text: 'An evacuation was withdrawn: the zone gets work again.',
	},
	'evacuation.rejected': {
		id: 3307,
		level: 'warn',
		text: "An entry that evacuates a zone can't be read, which leaves the zone as it was, or it names a zone that this deployment does not have; logged once per change of the entry.",
	},
	'wave.taken': { id: 3301, level: 'info', text: 'An operator requests a wave of upkeep.' },
	'machine.upkeep': {
		id: 3302,
		level: 'info',
		text: "A machine was commanded to begin its upkeep; the outcome is the platform's.",
	},
	'machines.unlisted': {
		id: 3303,
		level: 'warn',
		text: 'The list of machines could not be read; waves of upkeep wait.',
	},
	'worker.lost': {
		id: 3205,
		level: 'warn',
		text: 'Nothing that was placed on a worker runs there any more. The proof, the time since its last answer to this owner, if there was one, and the number of runs that a later incarnation of it has are given.',
	},
	'worker.unanswered': {
		id: 3207,
		level: 'warn',
		text: 'A worker with tasks stops answering. How the first call failed, the time since its last report, what was started there last and how long before are given; and what its crash would be attributed by: the number of runs that began just before, that of other workers that ceased to answer at the same moment, whether that moment is known, and the run on probation there.',
	},
	'worker.entry-unusable': {
		id: 3216,
		level: 'warn',
		text: "An entry in the platform's list of workers describes no worker that can be used, so it counts as absent. Logged once until it can be read, however often it is written.",
	},
	'worker.report-unusable': {
		id: 3215,
		level: 'error',
		text: "A worker's report could not be processed, which is a fault of this program or of the worker. The worker counts as one that does not answer until a report can be processed. Logged once per worker until then, with the error and its place.",
	},
	'worker.draining': {
		id: 3206,
		level: 'info',
		text: 'A worker drains; the time for which it stays at least is given.',
	},
	'worker.reached': {
		id: 3201,
		level: 'info',
		text: 'A worker answered for the first time, or again, or with a new incarnation.',
	},
	'lease.lapsed': {
		id: 3209,
		level: 'warn',
		text: 'Runs exited on a worker because their lease expired. How long ago this owner granted the newest lease, how long the worker had not reported before, and why this owner grants none now are given.',
	},
	'worker.restarted': {
		id: 3208,
		level: 'warn',
		text: 'A later incarnation of a worker, under the same name, answered in place of the known one; its clock is given. What ran there has exited, unless the later incarnation reports it.',
	},
	'worker.unreachable': {
		id: 3202,
		level: 'warn',
		text: "A worker doesn't answer; its tasks keep their placements until they are proved stopped.",
	},
	'worker.quarantined': {
		id: 3203,
		level: 'warn',
		text: 'Several distinct jobs failed on a worker; it gets no new work.',
	},
	'worker.released': {
		id: 3204,
		level: 'info',
		text: 'A quarantined worker returned with a new incarnation and gets work again.',
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
	'request.unhandled': {
		id: 4004,
		level: 'error',
		text: 'The handling of a request of a caller or of another process failed unexpectedly, which is a fault of this program. The error and its place are given. A caller is told that the outcome is not known; another process gets no answer.',
	},
	'request.retried': {
		id: 4003,
		level: 'debug',
		text: 'A request that was certainly not run, or is safe to repeat, was retried on another backend server.',
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
		text: 'A configuration version is in force in this process. The source (a list, a change, the owner) and the revision of the store are given.',
	},
	'config.unconfirmed': {
		id: 5004,
		level: 'warn',
		text: 'The store has not confirmed the configuration in force for the time given; it may be out of date. Logged again every five seconds.',
	},
	'config.confirmed': {
		id: 5005,
		level: 'info',
		text: 'The store answers requests for the configuration again; how long it did not is given.',
	},
	'config.accepted': { id: 5002, level: 'info', text: "An operator's change is stored and accepted." },
	'config.rejected': {
		id: 5003,
		level: 'error',
		text: 'A stored configuration could not be read, and the previous one stays in force; or a queue or pool of the version given could not, and the others are in force.',
	},
	'wire.rejected': {
		id: 6001,
		level: 'warn',
		text: 'A connection was closed because of what was received on it; the reason is given.',
	},
} as const satisfies Record<string, EventRow>;

/** Name of an event. */
export type EventName = keyof typeof eventCatalogue;
