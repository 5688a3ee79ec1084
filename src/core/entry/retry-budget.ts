/** Limits retries to a few per cent of first attempts, so that they never multiply the load on a failing zone. */

/** Maximum number of retries saved up while none is needed. */
const maxSavedRetries = 10;

/** A budget of retries. */
export class RetryBudget {
	private savedRetries = 1;

	private constructor(private readonly percent: () => number) {}

	/** `percent` is read at each first attempt, so that a configuration change takes effect at once. */
	static create(percent: () => number): RetryBudget {
		return new RetryBudget(percent);
	}

	/** Counts a first attempt. */
	first(): void {
		this.savedRetries = Math.min(maxSavedRetries, this.savedRetries + this.percent() / 100);
	}

	/** Takes one retry from the budget; false if none is left. */
	takeRetry(): boolean {
		if (this.savedRetries < 1) return false;
		this.savedRetries -= 1;
		return true;
	}
}
