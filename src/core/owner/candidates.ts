/** The boxes that ping the owner, and the processor that each may use: they could dispatch in its place. */
import * as settings from './settings.js';
import * as strength from './strength.js';

/** What a box reports of itself with each ping of the owner. */
export interface Candidate {
	box: string;
	/** Processor that it may use, in cores. */
	processor: number;
	/** Whether the store answers it. */
	storeReachable: boolean;
	/** Its failure domain; absent: not reported. */
	zone?: string;
	/** Whether its planned stop has begun; absent: it can't be named as a successor, or runs an older release. */
	stopping?: boolean;
}

/** A box that has pinged, and since when. */
export interface TrackedCandidate extends Candidate {
	/** Clock time since which it has pinged without interruption. */
	pingingSince: number;
	/** Clock time of its newest ping. */
	at: number;
}

/** Boxes that have pinged lately. */
export class Candidates {
	private readonly seen = new Map<string, TrackedCandidate>();

	private constructor(private readonly now: () => number) {}

	static create(now: () => number): Candidates {
		return new Candidates(now);
	}

	/** Records a ping of a box. */
	notePing(candidate: Candidate): void {
		const at = this.now();
		const before = this.seen.get(candidate.box);
		const isContinuous = before !== undefined && isRecent(before, at);
		this.seen.set(candidate.box, { ...candidate, pingingSince: isContinuous ? before.pingingSince : at, at });
	}

	/** Processor of the strongest box, in cores: the maximum of `own` and of the boxes that have pinged lately. */
	strongest(own: number): number {
		return Math.max(own, ...this.recent().map((one) => one.processor));
	}

	/**
	 * The box with the most processor that is clearly stronger than `own`, has been up for a while and reaches the store;
	 * undefined: there is none.
	 */
	stronger(own: number): Candidate | undefined {
		const at = this.now();
		const proven = this.recent().filter(
			(one) =>
				one.storeReachable &&
				one.stopping !== true &&
				at - one.pingingSince >= settings.minCandidateUptimeMs &&
				strength.isWeaker(own, one.processor),
		);
		return proven.sort((a, b) => b.processor - a.processor)[0];
	}

	/** The boxes that have pinged lately. */
	recent(): TrackedCandidate[] {
		const at = this.now();
		return [...this.seen.values()].filter((one) => isRecent(one, at));
	}
}

function isRecent(one: TrackedCandidate, at: number): boolean {
	return at - one.at < settings.candidateTimeoutMs;
}
