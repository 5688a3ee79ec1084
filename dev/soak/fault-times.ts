/** When faults were under way, for checks that depend on calm. */

/** Times in seconds, as the checker counts them. A moment has the same `from` and `to`. */
export interface FaultTime {
	from: number;
	/** Infinity: still under way. */
	to: number;
}

/** Records the faults of a soak. */
export class FaultTimes {
	/** All faults. */
	readonly all: FaultTime[] = [];
	/** Those under which the store answered no box. */
	readonly storeOutages: FaultTime[] = [];

	private constructor(private readonly now: () => number) {}

	/** `now` returns the seconds from the start of the soak. */
	static create(now: () => number): FaultTimes {
		return new FaultTimes(now);
	}

	/** Records a fault that counts at its moment alone. */
	noteMoment(): void {
		const at = this.now();
		this.all.push({ from: at, to: at });
	}

	/** Records the start of a fault. The returned function records its end. */
	begin(): () => void {
		return this.open([this.all]);
	}

	/** Records that all stand-ins, the store among them, have answered nobody for the given time until now, in seconds. */
	noteStall(seconds: number): void {
		const to = this.now();
		const fault = { from: to - seconds, to };
		this.all.push(fault);
		this.storeOutages.push(fault);
	}

	/** As `begin`, for a fault under which the store answers no box. */
	beginStoreOutage(): () => void {
		return this.open([this.all, this.storeOutages]);
	}

	private open(lists: FaultTime[][]): () => void {
		const fault = { from: this.now(), to: Infinity };
		for (const list of lists) list.push(fault);
		return () => {
			fault.to = this.now();
		};
	}
}

/** The stretches from 0 on without a fault, in order. The last one has no end. */
export function calmStretches(faults: readonly FaultTime[]): FaultTime[] {
	const calm: FaultTime[] = [];
	let calmFrom = 0;
	for (const { from, to } of [...faults].sort((a, b) => a.from - b.from)) {
		if (from > calmFrom) calm.push({ from: calmFrom, to: from });
		calmFrom = Math.max(calmFrom, to);
	}
	if (calmFrom < Infinity) calm.push({ from: calmFrom, to: Infinity });
	return calm;
}
