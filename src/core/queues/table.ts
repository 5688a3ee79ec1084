/** Finds the queue of a request, and a queue's policy by name. */
import type * as jobs from '../jobs/types.js';
import type * as types from './types.js';

/** The queue of a request, and the part of its path after the queue's prefix. */
export interface RouteMatch {
	route: types.QueueRoute;
	rest: string;
}

/** One version of the configuration, indexed by host and by queue name. */
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
		// `find` takes the first match, so the longest prefix comes first.
		for (const routes of table.byHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length);
		return table;
	}

	/** The queue of this host with the longest prefix of `path`; undefined: there is none. */
	find(host: string, path: string): RouteMatch | undefined {
		const name = host.toLowerCase().replace(/:\d+$/, '');
		const route = this.byHost.get(name)?.find((one) => path.startsWith(one.prefix));
		return route && { route, rest: path.slice(route.prefix.length) };
	}

	/** The policy in force for a job: the latest known for its queue, else the one under which it was accepted. */
	policyOf(job: jobs.JobRecord): jobs.QueuePolicy {
		return this.byName.get(job.queue.name)?.policy ?? job.queue;
	}
}
