/** Chooses the order of the waiting steps. */
import * as dueTime from './due-time-order.js';
import * as overload from './overload-order.js';
import type * as features from '../features/index.js';
import type * as waitingOrder from './waiting-order.js';

/** Creates the order of this name. */
export function createWaitingOrder(
	name: features.Features['waitingOrder'],
	opts: Omit<overload.OverloadOrderOptions, 'usual'>,
): waitingOrder.WaitingOrder {
	const usual = dueTime.DueTimeOrder.create(opts.priorityOf);
	return name === 'overload' ? overload.OverloadOrder.create({ ...opts, usual }) : usual;
}
