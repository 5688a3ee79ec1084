/** Waves of upkeep: machines that are all to be taken down once, few at a time. */

/** A wave as an operator asks for it. */
export interface Wave {
	number: number;
	machines: string[];
	/** The operator wants it done within so long, in milliseconds. */
	withinMs: number;
	/** Most machines down for it at once. */
	maximum: number;
}

/** How a wave stands, as operators read it. */
export type WaveState = 'running' | 'completed';
