/** Second tries may only be a few per cent of first tries, so that they never multiply a failing zone's load. */

/** Second tries that may be saved up while none is needed. */
const maxSavedRetries = 10;

/** A budget of second tries. */
export class RetryBudget {
	private savedRetries = 1;

	private constructor(private readonly percent: () => number) {}

	/** `percent` is read at each first try, so that a configuration change holds at once. */
	static create(percent: () => number): RetryBudget {
		return new RetryBudget(percent);
	}

	/** Counts a first try. */
	first(): void {
		this.savedRetries = Math.min(maxSavedRetries, this.savedRetries + this.percent() / 100);
	}

	/** Takes a second try, if one is left. */
	takeRetry(): boolean {
		if (this.savedRetries < 1) return false;
		this.savedRetries -= 1;
		return true;
	}
}
