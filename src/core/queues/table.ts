/** Finds the queue of a request, and a queue's policy by name. */
import type * as jobs from '../jobs/types.js';
import type * as types from './types.js';

/** A request's queue, and what its path says beyond the queue's own. */
export interface RouteMatch {
	route: types.QueueRoute;
	rest: string;
}

/** One version of the configuration, indexed. */
export class QueueTable {
	private readonly byHost = new Map<string, types.QueueRoute[]>();
	private readonly byName = new Map<string, types.QueueRoute>();

	private constructor(readonly configuration: types.Configuration) {}

	static create(configuration: types.Configuration): QueueTable {
		const table = new QueueTable(configuration);
		for (const route of configuration.routes) {
			const sameHost = table.byHost.get(route.host) ?? [];
			sameHost.push(route);
			table.byHost.set(route.host, sameHost);
			table.byName.set(route.policy.name, route);
		}
		// The longest prefix is tried first.
		for (const routes of table.byHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length);
		return table;
	}

	/** The queue whose host is `host` and whose path is the longest that begins `path`. */
	find(host: string, path: string): RouteMatch | undefined {
		const name = host.toLowerCase().replace(/:\d+$/, '');
		const route = this.byHost.get(name)?.find((one) => path.startsWith(one.prefix));
		return route && { route, rest: path.slice(route.prefix.length) };
	}

	/** The policy in force for a job: the newest known for its queue, else the one it was accepted under. */
	policyOf(job: jobs.JobRecord): jobs.QueuePolicy {
		return this.byName.get(job.queue.name)?.policy ?? job.queue;
	}
}
