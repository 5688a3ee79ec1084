/** The boxes that ask the owner, and how strong they are: who could dispatch in its place. */
import * as settings from './settings.js';
import * as strength from './strength.js';

/** What a box tells of itself with each question to the owner. */
export interface Candidate {
	box: string;
	/** Cores' worth of processor that it may use. */
	processor: number;
	/** The store answers it. */
	storeReachable: boolean;
}

interface TrackedCandidate extends Candidate {
	/** Clock time since which it has asked without a gap. */
	pingingSince: number;
	/** Clock time of its newest question. */
	at: number;
}

/** Boxes heard of lately. */
export class Candidates {
	private readonly seen = new Map<string, TrackedCandidate>();

	private constructor(private readonly now: () => number) {}

	static create(now: () => number): Candidates {
		return new Candidates(now);
	}

	/** A box asked. */
	notePing(candidate: Candidate): void {
		const at = this.now();
		const before = this.seen.get(candidate.box);
		const isContinuous = before !== undefined && isRecent(before, at);
		this.seen.set(candidate.box, { ...candidate, pingingSince: isContinuous ? before.pingingSince : at, at });
	}

	/** The strongest processor among the boxes heard of lately, and `own`. */
	strongest(own: number): number {
		return Math.max(own, ...this.recent().map((one) => one.processor));
	}

	/** A box that is clearly stronger than `own`, has been up for a while and reaches the store. */
	stronger(own: number): Candidate | undefined {
		const at = this.now();
		const proven = this.recent().filter(
			(one) =>
				one.storeReachable &&
				at - one.pingingSince >= settings.minCandidateUptimeMs &&
				strength.isWeaker(own, one.processor),
		);
		return proven.sort((a, b) => b.processor - a.processor)[0];
	}

	private recent(): TrackedCandidate[] {
		const at = this.now();
		return [...this.seen.values()].filter((one) => isRecent(one, at));
	}
}

function isRecent(one: TrackedCandidate, at: number): boolean {
	return at - one.at < settings.candidateTimeoutMs;
}
