/** Waves of upkeep: each machine of a wave is to be taken down once, few at a time. */

/** A wave as an operator requests it. */
export interface Wave {
	number: number;
	machines: string[];
	/** Time within which the operator wants it done, in milliseconds. */
	withinMs: number;
	/** Most machines that may be down for it at once. */
	maximum: number;
}

/** State of a wave, as operators read it. */
export type WaveState = 'running' | 'completed';
