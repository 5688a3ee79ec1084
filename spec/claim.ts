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
	told: '' | 'answer' | 'not-run' | 'may-have-run';
	ran: boolean;
	boxDead: boolean;
	/** A request to the backend server that may still arrive. */
	underWay: boolean;
}

interface LateEnd {
	holder: number;
	outcome: 'done' | 'not-run' | 'may-have-run';
}

/** A state of the model. */
export interface ClaimState {
	claim: { holder: number; outcome: shards.ClaimOutcome } | null;
	tries: Try[];
	/** Ends of claims in flight; each may arrive more than once. */
	ends: LateEnd[];
	wrong: string;
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
		listRead: true,
		nextShard: () => undefined,
		answers: new Map(),
		holderGone: (holder) => state.tries[Number(holder)]?.boxDead ?? false,
	});
	for (const change of decision.changes) shards.applyChange(shard, change, 0);
	const claim = shard.claims.get(key);
	state.claim = claim === undefined ? null : { holder: Number(claim.holder), outcome: claim.outcome };
	return decision;
}

/** The model with the given number of tries of one request. */
export function claimModel(name: string, tries: number, guards: ClaimGuards): explore.Model<ClaimState> {
	const fresh: Try = { phase: 'new', told: '', ran: false, boxDead: false, underWay: false };
	const initial: ClaimState = {
		claim: null,
		tries: Array.from({ length: tries }, () => ({ ...fresh })),
		ends: [],
		wrong: '',
	};

	const begin = (next: ClaimState, index: number): string => {
		const running = next.claim?.outcome === 'running' && next.claim.holder !== index;
		if (running && !guards.neverRegrant && next.tries[next.claim?.holder ?? 0]?.boxDead) {
			next.claim = { holder: index, outcome: 'running' };
			return 'granted';
		}
		const req = { type: 'claim.begin', shard: '', key, bodyHash: '', holder: String(index) } as const;
		const { reply } = decide(next, req);
		if (!reply.ok) return 'refused';
		const value = reply.value as requests.ClaimReply;
		return value.claim === 'granted' ? 'granted' : value.outcome;
	};

	const end = (next: ClaimState, late: LateEnd): void => {
		if (!guards.holderEnds && next.claim) {
			next.claim.outcome = late.outcome;
			return;
		}
		decide(next, { type: 'claim.end', shard: '', key, holder: String(late.holder), outcome: late.outcome });
	};

	const tell = (next: ClaimState, index: number, told: Try['told'], outcome?: LateEnd['outcome']): void => {
		const one = next.tries[index];
		if (!one) return;
		one.phase = 'over';
		one.told = told;
		if (outcome !== undefined) next.ends.push({ holder: index, outcome });
	};

	const run = (next: ClaimState, index: number): void => {
		const one = next.tries[index];
		if (!one) return;
		one.ran = true;
		one.underWay = false;
	};

	const judge = (next: ClaimState): void => {
		if (next.tries.filter((one) => one.ran).length > 1) next.wrong = 'the request ran twice';
		if (next.tries.some((one) => one.ran && one.told === 'not-run'))
			next.wrong = 'told "not run", and it ran';
	};

	const steps = (state: ClaimState): { name: string; next: ClaimState }[] => {
		const out: { name: string; next: ClaimState }[] = [];
		if (state.wrong !== '') return out;
		const add = (step: string, change: (next: ClaimState) => void): void => {
			const next = structuredClone(state);
			change(next);
			judge(next);
			out.push({ name: step, next });
		};
		for (const [index, one] of state.tries.entries()) trySteps(state, index, one, add);
		for (const [position, late] of state.ends.entries()) {
			const what = `the end of claim ${late.holder} (${late.outcome})`;
			add(`${what} arrives`, (next) => {
				next.ends.splice(position, 1);
				end(next, late);
			});
			add(`${what} arrives, and will again`, (next) => {
				end(next, late);
			});
			add(`${what} is lost`, (next) => {
				next.ends.splice(position, 1);
			});
		}
		return out;
	};

	type Add = (name: string, change: (next: ClaimState) => void) => void;

	const trySteps = (state: ClaimState, index: number, one: Try, add: Add): void => {
		// The caller tries again only after its previous try has ended.
		const before = state.tries[index - 1];
		if (one.phase === 'new' && before !== undefined && before.phase !== 'over') return;
		if (one.phase === 'new') {
			add(`try ${index} arrives`, (next) => {
				const arrived = next.tries[index];
				if (arrived) arrived.phase = guards.claimFirst ? 'claiming' : 'held';
			});
		}
		if (one.phase === 'claiming') claimSteps(index, add);
		if (one.phase === 'held') sendSteps(index, add);
		if (one.phase === 'sent') answerSteps(one, index, add);
		if (one.underWay && one.phase === 'over') {
			add(`the late request of try ${index} runs`, (next) => {
				run(next, index);
			});
		}
		if (one.phase !== 'new' && one.phase !== 'over') {
			add(`the box of try ${index} dies`, (next) => {
				const dead = next.tries[index];
				if (dead) Object.assign(dead, { phase: 'over', boxDead: true });
			});
		}
	};

	const claimSteps = (index: number, add: Add): void => {
		add(`try ${index} claims`, (next) => {
			const outcome = begin(next, index);
			const one = next.tries[index];
			if (outcome === 'granted' && one) one.phase = 'held';
			if (outcome === 'done' || outcome === 'may-have-run') tell(next, index, 'may-have-run');
		});
		add(`try ${index} claims, the answer is lost until its deadline`, (next) => {
			begin(next, index);
			tell(next, index, 'not-run', 'not-run');
		});
		add(`try ${index} claims, the answer is lost, it will ask again`, (next) => {
			const outcome = begin(next, index);
			if (outcome === 'granted' && !guards.askerGivesBack)
				next.ends.push({ holder: index, outcome: 'not-run' });
		});
		add(`try ${index} can't claim before its deadline`, (next) => {
			tell(next, index, 'not-run');
		});
		add(`try ${index} finds the claim running until its deadline`, (next) => {
			if (next.claim?.outcome === 'running' && next.claim.holder !== index) tell(next, index, 'may-have-run');
		});
	};

	const sendSteps = (index: number, add: Add): void => {
		add(`try ${index} can't connect to a backend server`, (next) => {
			tell(next, index, 'not-run', 'not-run');
		});
		add(`try ${index} is sent`, (next) => {
			const one = next.tries[index];
			if (one) Object.assign(one, { phase: 'sent', underWay: true });
		});
	};

	const answerSteps = (one: Try, index: number, add: Add): void => {
		if (one.underWay) {
			add(`try ${index} runs`, (next) => {
				run(next, index);
			});
			add(`the backend server refuses try ${index}`, (next) => {
				const refused = next.tries[index];
				if (refused) refused.underWay = false;
				tell(next, index, 'not-run', 'not-run');
			});
		}
		if (one.ran) {
			add(`the answer of try ${index} arrives`, (next) => {
				tell(next, index, 'answer', 'done');
			});
		}
		add(`try ${index} hears nothing until its deadline`, (next) => {
			const word = guards.silenceMayHaveRun ? 'may-have-run' : 'not-run';
			tell(next, index, word, word);
		});
	};

	return {
		name,
		bounds: `${tries} tries of one request through boxes that die, messages lost, late or doubled`,
		initial,
		steps,
		wrong: (state) => (state.wrong === '' ? undefined : state.wrong),
	};
}
