/** Why a worker gets no new work. */
import type * as sessions from './worker-session.js';

/**
 * `superseded`: another incarnation has answered in its place. `unheard`: it has not reported to this owner under its newest
 * token. `unrostered`: its roster entry is not open, so a successor would not query it. `in-doubt`: starts of lost runs may
 * still be in flight. `strays`: its orphaned runs are being stopped. `lease-withheld`: it can be granted no lease, so every
 * start there would fail.
 */
export type ClosedReason =
	| 'gone'
	| 'superseded'
	| 'unlisted'
	| 'draining'
	| 'vacated'
	| 'zone-evacuated'
	| 'silent'
	| 'unheard'
	| 'unrostered'
	| 'probation'
	| 'in-doubt'
	| 'strays'
	| 'paused'
	| 'lease-withheld';

/** Why a worker gets no new work now; undefined: it does. */
export function closedReasonOf(session: sessions.WorkerSession): ClosedReason | undefined {
	const { entry } = session;
	if (session.isSessionOver) return session.isSuperseded ? 'superseded' : 'gone';
	if (entry === undefined || session.isUnlisted) return 'unlisted';
	if (entry.draining) return 'draining';
	if (session.isBeingVacated) return 'vacated';
	if (session.isInEvacuatedZone) return 'zone-evacuated';
	if (!session.answering) return 'silent';
	if (!session.isReconciled || !session.hasReportedUnderToken) return 'unheard';
	if (!session.hasOpenRosterEntry) return 'unrostered';
	if (session.runOnProbation !== undefined) return 'probation';
	if (session.unconfirmedRuns.hasAny) return 'in-doubt';
	if (session.orphanedRunCount > 0) return 'strays';
	return session.health.isBackingOff ? 'paused' : undefined;
}
