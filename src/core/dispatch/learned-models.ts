/** What an owner learned of interference and loads, in the form from which the next owner continues. */
import type * as imageModel from './image-model.js';
import type * as waveFit from './wave-fit.js';

/** Format version of the stored record. Increase it with every change of the format. */
export const format = 1;

/** Everything that an owner learned. Times are wall-clock times, because boxes share no other clock. */
export interface LearnedModels {
	/** Format version of this record. An owner with another version learns anew. */
	format: number;
	/** How neighbours interfere with each serving image. */
	images: Record<string, imageModel.LearnedImage>;
	/** Index of the period with which the loads of each serving image oscillate. */
	periods: Record<string, number>;
	/** The loads of long-running steps, by name. */
	loads: Record<string, waveFit.WaveSums>;
}
