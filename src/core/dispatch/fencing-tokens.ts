/**
 * Tokens of orders to workers, which refuse an order with a lower token than the highest they have seen. They rise with
 * the epoch, and under one owner with each session: a life of a worker that has seen an order of its own session refuses
 * whatever was sent to the life before and is still under way.
 */

/** Tokens of one epoch; those of the next one lie above. */
const tokensPerEpoch = 2 ** 32;

/** A token as it was when an order was sent. */
export interface TokenStamp {
	token: number;
	/** No higher one had been given out: a worker that refuses it has seen a newer owner's. */
	isNewest: boolean;
}

/** The tokens of one owner. */
export class FencingTokens {
	private lastIssued: number;

	private constructor(
		private readonly epoch: number,
		private readonly onExhausted: () => void,
	) {
		this.lastIssued = epoch * tokensPerEpoch;
	}

	/** `onSpent`: all tokens of the epoch are given out, and the owner has to be replaced. */
	static create(epoch: number, onExhausted: () => void): FencingTokens {
		return new FencingTokens(epoch, onExhausted);
	}

	/** A token above all that were given out before. */
	next(): number {
		if (this.lastIssued === highestTokenOf(this.epoch)) this.onExhausted();
		else this.lastIssued += 1;
		return this.lastIssued;
	}

	/** What an order with this token is sent under. */
	stamp(token: number): TokenStamp {
		return { token, isNewest: token === this.lastIssued };
	}
}

/** The highest token of an epoch. */
export function highestTokenOf(epoch: number): number {
	return (epoch + 1) * tokensPerEpoch - 1;
}

/** The epoch of the owner that gave out a token. */
export function epochOf(token: number): number {
	return Math.floor(token / tokensPerEpoch);
}
