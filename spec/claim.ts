/**
 * Model of keyed requests: a caller sends the same request several times through different boxes; boxes die, and messages
 * are lost, late or duplicated. The rules of claims are the program's own (`decideRequest`). The lease model shows that the
 * log behind them is a single log.
 */
import * as requests from '../src/core/scheduler/requests.js';
import * as shards from '../src/core/shard/index.js';
import type * as explore from './explore.js';

/** The guards of the protocol, which has them all; each mutant leaves one out. `spec/expected.json` contains these names. */
export interface ClaimGuards {
	/** A request is sent only once its claim is granted. */
	claimFirst: boolean;
	/** A running claim is never granted to another, even if its holder is gone. */
	neverRegrant: boolean;
	/** A request that gets no answer after it was sent counts as "may have run". */
	silenceMayHaveRun: boolean;
	/** Only the holder of a claim can end it. */
	holderEnds: boolean;
	/** An owner whose grant got lost does not take the claim back by itself: the requester may be repeating the call. */
	askerGivesBack: boolean;
}

/** Every guard on. */
export const allClaimGuards: ClaimGuards = {
	claimFirst: true,
	neverRegrant: true,
	silenceMayHaveRun: true,
	holderEnds: true,
	askerGivesBack: true,
};

type Phase = 'new' | 'claiming' | 'held' | 'sent' | 'over';

interface Try {
	phase: Phase;
	/** What was reported to the caller; empty: nothing yet. */
	reportedOutcome: '' | 'answer' | 'not-run' | 'may-have-run';
	ran: boolean;
	hasBoxCrashed: boolean;
	/** A request to the backend server that may still arrive. */
	isInFlight: boolean;
}

interface LateClaimEnd {
	holder: number;
	outcome: 'done' | 'not-run' | 'may-have-run';
}

/** A state of the model. */
export interface ClaimState {
	claim: { holder: number; outcome: shards.ClaimOutcome } | null;
	tries: Try[];
	/** Ends of claims in flight; each may arrive more than once. */
	claimEnds: LateClaimEnd[];
	violation: string;
}

const key = 'key';

/** Runs a claim request through the program's own decision. */
function decide(state: ClaimState, req: requests.ShardReq): requests.Decision {
	const shard = shards.emptyState();
	if (state.claim !== null) {
		const { holder, outcome } = state.claim;
		shard.claims.set(key, { key, bodyHash: '', holder: String(holder), outcome, at: 0 });
	}
	const decision = requests.decideRequest(shard, req, {
		views: new Map(),
		isWorkerListRead: true,
		nextShard: () => undefined,
		answers: new Map(),
		holderGone: (holder) => state.tries[Number(holder)]?.hasBoxCrashed ?? false,
	});
	for (const change of decision.changes) shards.applyChange(shard, change, 0);
	const claim = shard.claims.get(key);
	state.claim = claim === undefined ? null : { holder: Number(claim.holder), outcome: claim.outcome };
	return decision;
}

/** The model with the given number of tries of one request. */
export function claimModel(name: string, tries: number, guards: ClaimGuards): explore.Model<ClaimState> {
	const newTry: Try = {
		phase: 'new',
		reportedOutcome: '',
		ran: false,
		hasBoxCrashed: false,
		isInFlight: false,
	};
	const initial: ClaimState = {
		claim: null,
		tries: Array.from({ length: tries }, () => ({ ...newTry })),
		claimEnds: [],
		violation: '',
	};

	const beginClaim = (next: ClaimState, index: number): string => {
		const isHeldByAnother = next.claim?.outcome === 'running' && next.claim.holder !== index;
		if (isHeldByAnother && !guards.neverRegrant && next.tries[next.claim?.holder ?? 0]?.hasBoxCrashed) {
			next.claim = { holder: index, outcome: 'running' };
			return 'granted';
		}
		const req = { type: 'claim.begin', shard: '', key, bodyHash: '', holder: String(index) } as const;
		const { reply } = decide(next, req);
		if (!reply.ok) return 'refused';
		const value = reply.value as requests.ClaimReply;
		return value.claim === 'granted' ? 'granted' : value.outcome;
	};

	const endClaim = (next: ClaimState, late: LateClaimEnd): void => {
		if (!guards.holderEnds && next.claim) {
			next.claim.outcome = late.outcome;
			return;
		}
		decide(next, { type: 'claim.end', shard: '', key, holder: String(late.holder), outcome: late.outcome });
	};

	const answerCaller = (
		next: ClaimState,
		index: number,
		reportedOutcome: Try['reportedOutcome'],
		outcome?: LateClaimEnd['outcome'],
	): void => {
		const one = next.tries[index];
		if (!one) return;
		one.phase = 'over';
		one.reportedOutcome = reportedOutcome;
		if (outcome !== undefined) next.claimEnds.push({ holder: index, outcome });
	};

	const runRequest = (next: ClaimState, index: number): void => {
		const one = next.tries[index];
		if (!one) return;
		one.ran = true;
		one.isInFlight = false;
	};

	const checkInvariants = (next: ClaimState): void => {
		if (next.tries.filter((one) => one.ran).length > 1) next.violation = 'the request ran twice';
		if (next.tries.some((one) => one.ran && one.reportedOutcome === 'not-run'))
			next.violation = 'told "not run", and it ran';
	};

	const steps = (state: ClaimState): { name: string; next: ClaimState }[] => {
		const out: { name: string; next: ClaimState }[] = [];
		if (state.violation !== '') return out;
		const add = (step: string, change: (next: ClaimState) => void): void => {
			const next = structuredClone(state);
			change(next);
			checkInvariants(next);
			out.push({ name: step, next });
		};
		for (const [index, one] of state.tries.entries()) trySteps(state, index, one, add);
		for (const [position, late] of state.claimEnds.entries()) {
			const what = `the end of claim ${late.holder} (${late.outcome})`;
			add(`${what} arrives`, (next) => {
				next.claimEnds.splice(position, 1);
				endClaim(next, late);
			});
			add(`${what} arrives, and will again`, (next) => {
				endClaim(next, late);
			});
			add(`${what} is lost`, (next) => {
				next.claimEnds.splice(position, 1);
			});
		}
		return out;
	};

	type AddStep = (name: string, change: (next: ClaimState) => void) => void;

	const trySteps = (state: ClaimState, index: number, one: Try, add: AddStep): void => {
		// The caller tries again only after its previous try has ended.
		const previous = state.tries[index - 1];
		if (one.phase === 'new' && previous !== undefined && previous.phase !== 'over') return;
		if (one.phase === 'new') {
			add(`try ${index} arrives`, (next) => {
				const arrived = next.tries[index];
				if (arrived) arrived.phase = guards.claimFirst ? 'claiming' : 'held';
			});
		}
		if (one.phase === 'claiming') claimSteps(index, add);
		if (one.phase === 'held') sendSteps(index, add);
		if (one.phase === 'sent') answerSteps(one, index, add);
		if (one.isInFlight && one.phase === 'over') {
			add(`the late request of try ${index} runs`, (next) => {
				runRequest(next, index);
			});
		}
		if (one.phase !== 'new' && one.phase !== 'over') {
			add(`the box of try ${index} dies`, (next) => {
				const crashed = next.tries[index];
				if (crashed) Object.assign(crashed, { phase: 'over', hasBoxCrashed: true });
			});
		}
	};

	const claimSteps = (index: number, add: AddStep): void => {
		add(`try ${index} claims`, (next) => {
			const outcome = beginClaim(next, index);
			const one = next.tries[index];
			if (outcome === 'granted' && one) one.phase = 'held';
			if (outcome === 'done' || outcome === 'may-have-run') answerCaller(next, index, 'may-have-run');
		});
		add(`try ${index} claims, the answer is lost until its deadline`, (next) => {
			beginClaim(next, index);
			answerCaller(next, index, 'not-run', 'not-run');
		});
		add(`try ${index} claims, the answer is lost, it will ask again`, (next) => {
			const outcome = beginClaim(next, index);
			if (outcome === 'granted' && !guards.askerGivesBack)
				next.claimEnds.push({ holder: index, outcome: 'not-run' });
		});
		add(`try ${index} can't claim before its deadline`, (next) => {
			answerCaller(next, index, 'not-run');
		});
		add(`try ${index} finds the claim running until its deadline`, (next) => {
			if (next.claim?.outcome === 'running' && next.claim.holder !== index)
				answerCaller(next, index, 'may-have-run');
		});
	};

	const sendSteps = (index: number, add: AddStep): void => {
		add(`try ${index} can't connect to a backend server`, (next) => {
			answerCaller(next, index, 'not-run', 'not-run');
		});
		add(`try ${index} is sent`, (next) => {
			const one = next.tries[index];
			if (one) Object.assign(one, { phase: 'sent', isInFlight: true });
		});
	};

	const answerSteps = (one: Try, index: number, add: AddStep): void => {
		if (one.isInFlight) {
			add(`try ${index} runs`, (next) => {
				runRequest(next, index);
			});
			add(`the backend server refuses try ${index}`, (next) => {
				const refused = next.tries[index];
				if (refused) refused.isInFlight = false;
				answerCaller(next, index, 'not-run', 'not-run');
			});
		}
		if (one.ran) {
			add(`the answer of try ${index} arrives`, (next) => {
				answerCaller(next, index, 'answer', 'done');
			});
		}
		add(`try ${index} hears nothing until its deadline`, (next) => {
			const presumedOutcome = guards.silenceMayHaveRun ? 'may-have-run' : 'not-run';
			answerCaller(next, index, presumedOutcome, presumedOutcome);
		});
	};

	return {
		name,
		bounds: `${tries} tries of one request through boxes that die, messages lost, late or doubled`,
		initial,
		steps,
		violation: (state) => (state.violation === '' ? undefined : state.violation),
	};
}
