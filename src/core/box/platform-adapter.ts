/** Interface between a box and its platform; `platform/` implements it and makes no decisions. */
import type * as fleet from '../fleet/types.js';
import type * as queues from '../queues/index.js';
import type * as results from '../result.js';
import type * as stores from '../platform/types.js';
import type * as upkeep from '../upkeep/index.js';

/** A decoded entry that evacuates a zone. */
export interface DecodedEvacuation {
	zone: string;
	/** Whether the entry's value is an evacuation. */
	isReadable: boolean;
}

/** Calls to the platform, and decoders of the values in its store. */
export interface PlatformAdapter {
	store: stores.RecordStore;
	workers: fleet.WorkerCalls;
	/** Absent: no queue needs advice here. */
	askAdviser?: fleet.AskAdviser;
	/** Absent: machines can't be moved or taken down for upkeep from here. */
	machines?: fleet.MachineCalls;
	/** Prefix and key of the operators' configuration in the store. */
	configurationPrefix: string;
	configurationKey: string;
	decodeConfiguration: (value: Uint8Array) => results.Result<queues.Configuration, string>;
	/** Undefined: no wave. Waves of upkeep are stored under the prefix of the configuration. */
	decodeWave: (key: string, value: Uint8Array) => upkeep.Wave | undefined;
	encodeWaveState: (wave: number, state: upkeep.WaveState) => { key: string; value: Uint8Array };
	/** Prefix of the entries that evacuate one zone each. */
	evacuationPrefix: string;
	decodeEvacuation: (key: string, value: Uint8Array) => DecodedEvacuation;
	/** Prefix of the workers' entries in the store. */
	workerPrefix: string;
	decodeWorker: (key: string, value: Uint8Array) => fleet.WorkerEntry | undefined;
}
