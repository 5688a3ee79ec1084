/** How a new owner takes over the workers of earlier owners: chosen when its dispatcher is created. */
import * as firstReportTurns from './first-report-turns.js';
import * as prioritizedTurns from './prioritized-turns.js';
import * as takeoverOrder from './takeover-order.js';
import type * as ledger from '../ledger/index.js';
import type * as options from './options.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** What of a takeover differs by the feature `takeover`. */
export interface TakeoverPolicy {
	/** When each worker is polled for its first report. */
	turns: types.ReportTurns;
	/** The roster in the order in which its workers request their turns. */
	sortRoster: (roster: readonly ledger.RosterEntry[]) => readonly ledger.RosterEntry[];
	/** Whether a worker that answers while its lease is withheld has the roster written at once. */
	writesRosterOnAnswer: boolean;
	/** Why a worker that is open in all other respects gets no new work, for lack of a lease; undefined: it gets some. */
	closedReason: (session: sessions.WorkerSession) => 'lease-withheld' | undefined;
	/** Why a start is withdrawn before it is sent, for lack of a lease; undefined: it is sent, or fails as `too-late`. */
	leaseObstacle: (session: sessions.WorkerSession) => string | undefined;
}

/** The options that the choice depends on. */
export type TakeoverOptions = Pick<
	options.DispatcherOptions,
	'clock' | 'features' | 'leaseEnds' | 'table' | 'unresponsiveWorkers'
>;

/** The policy that the features call for. `contents`: what the owner read at its takeover. */
export function choose(opts: TakeoverOptions, contents: takeoverOrder.InheritedContents): TakeoverPolicy {
	return opts.features?.takeover === 'prioritized' ? prioritized(opts, contents) : inRosterOrder(opts);
}

function inRosterOrder({ clock }: TakeoverOptions): TakeoverPolicy {
	return {
		turns: firstReportTurns.FirstReportTurns.create(clock),
		sortRoster: (roster) => roster,
		writesRosterOnAnswer: false,
		closedReason: () => undefined,
		leaseObstacle: () => undefined,
	};
}

function prioritized(opts: TakeoverOptions, contents: takeoverOrder.InheritedContents): TakeoverPolicy {
	const order = takeoverOrder.TakeoverOrder.create({
		contents,
		priorityOf: (record) => opts.table()?.policyOf(record).priority ?? record.queue.priority,
		leaseEnds: opts.leaseEnds,
		unresponsiveWorkers: opts.unresponsiveWorkers ?? new Set(),
	});
	return {
		turns: prioritizedTurns.PrioritizedTurns.create(opts.clock, (worker) => order.mayBeUnresponsive(worker)),
		sortRoster: (roster) => order.sort(roster),
		writesRosterOnAnswer: true,
		// Without a clock reading or with unconfirmed runs a worker is closed anyway, and without a recent confirmation of
		// the epoch nothing is placed at all.
		closedReason: (session) => (session.isLeaseWithheld ? 'lease-withheld' : undefined),
		leaseObstacle: leaseObstacleOf,
	};
}

function leaseObstacleOf({ leaseDenial }: sessions.WorkerSession): string | undefined {
	return leaseDenial === 'withheld' ? 'lease-withheld' : leaseDenial;
}
