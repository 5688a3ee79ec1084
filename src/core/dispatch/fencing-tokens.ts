/**
 * Fencing tokens of commands to workers. A worker refuses a command with a lower token than the highest that it has seen.
 * Tokens rise with the epoch, and under one owner with each session. So an incarnation that has seen a command of its own
 * session refuses commands to the earlier incarnation that are still in flight.
 */

/** Number of tokens in one epoch; those of the next epoch are higher. */
const tokensPerEpoch = 2 ** 32;

/** The tokens of one owner. */
export class FencingTokens {
	private lastIssued: number;

	private constructor(
		private readonly epoch: number,
		private readonly onExhausted: () => void,
	) {
		this.lastIssued = epoch * tokensPerEpoch;
	}

	/** `onExhausted`: called when all tokens of the epoch are issued, so that the owner has to be replaced. */
	static create(epoch: number, onExhausted: () => void): FencingTokens {
		return new FencingTokens(epoch, onExhausted);
	}

	/** Issues a token above all that were issued before. */
	next(): number {
		if (this.lastIssued === highestTokenOf(this.epoch)) this.onExhausted();
		else this.lastIssued += 1;
		return this.lastIssued;
	}

	/**
	 * Whether no higher token has been issued. A worker that refuses a command under such a token has seen a newer owner's;
	 * otherwise it may have seen a later command of this one, which passed the refused one on its way.
	 */
	isNewest(token: number): boolean {
		return token === this.lastIssued;
	}
}

/** The highest token of an epoch. */
export function highestTokenOf(epoch: number): number {
	return (epoch + 1) * tokensPerEpoch - 1;
}

/** The epoch of the owner that issued a token. */
export function epochOf(token: number): number {
	return Math.floor(token / tokensPerEpoch);
}
