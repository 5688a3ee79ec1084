/** What an owner learnt of disturbance and loads, in the form in which the next one goes on from it. */
import type * as imageModel from './image-model.js';
import type * as waveFit from './wave-fit.js';

/** Form of what is stored of the knowledge; to be counted up with each change of it. */
export const format = 1;

/** All that was learnt; another owner may go on from it. Times are of the wall clock: boxes share no other. */
export interface LearnedModels {
	/** Form of this record: an owner of another version learns anew. */
	format: number;
	/** How neighbours disturb each serving image. */
	images: Record<string, imageModel.LearnedImage>;
	/** Number of the period in which the loads of each serving image swing. */
	periods: Record<string, number>;
	/** The loads of lasting steps, by name. */
	loads: Record<string, waveFit.WaveSums>;
}
