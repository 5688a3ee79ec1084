/**
 * Tokens of orders to workers, which refuse an order with a lower token than the highest they have seen. They rise with
 * the epoch, and under one owner with each session: a life of a worker that has seen an order of its own session refuses
 * whatever was sent to the life before and is still under way.
 */

/** Tokens of one epoch; those of the next one lie above. */
const tokensPerEpoch = 2 ** 32;

/** A token as it was when an order was sent. */
export interface Stamp {
	token: number;
	/** No higher one had been given out: a worker that refuses it has seen a newer owner's. */
	isNewest: boolean;
}

/** The tokens of one owner. */
export class FencingTokens {
	private given: number;

	private constructor(
		private readonly epoch: number,
		private readonly onSpent: () => void,
	) {
		this.given = epoch * tokensPerEpoch;
	}

	/** `onSpent`: all tokens of the epoch are given out, and the owner has to be replaced. */
	static create(epoch: number, onSpent: () => void): FencingTokens {
		return new FencingTokens(epoch, onSpent);
	}

	/** A token above all that were given out before. */
	next(): number {
		if (this.given === lastOf(this.epoch)) this.onSpent();
		else this.given += 1;
		return this.given;
	}

	/** What an order with this token is sent under. */
	stamp(token: number): Stamp {
		return { token, isNewest: token === this.given };
	}
}

/** The highest token of an epoch. */
export function lastOf(epoch: number): number {
	return (epoch + 1) * tokensPerEpoch - 1;
}

/** The epoch of the owner that gave out a token. */
export function epochOf(token: number): number {
	return Math.floor(token / tokensPerEpoch);
}
