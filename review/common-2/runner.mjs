/** Stand-in for a runner, as PROTOCOL.md describes it: fences, leases, runs that take time, and the list of their ends. */
import * as http from 'node:http';
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';

/** Longest lease, in milliseconds; equals `hold_max_ms` in the boxes' settings. */
export const holdMaxMs = 6_000;

/** Time that a stop takes, in milliseconds; at most `stop_ms`. */
const stopMs = 100;

/** Most ends in one answer. */
const maxListedEnds = 500;

const capacity = { cpu: 32_000, mem_mb: 128_000, gpu: 0 };

/**
 * @typedef {{ task: string, run: number, workMs: number, startedAt: number, lasts: boolean, timer: ReturnType<typeof setTimeout>, isStopping: boolean }} Run
 */

/** One runner, which lists itself in the store. */
export class Runner {
	/** @type {Map<string, Run>} */
	running = new Map();
	/** @type {[number, string, number, string, string][]} */
	ended = [];
	/** Highest run of each task that was started, stopped or ended here. */
	highestRuns = new Map();
	lastEnd = 0;
	fence = 0;
	deadline = -Infinity;
	/** @type {Set<() => void>} */
	waiting = new Set();
	/** @type {http.Server | undefined} */
	server;

	/**
	 * @param {string} id
	 * @param {{ workMs: (task: string) => number, lasts?: (task: string) => boolean, onStart: (what: object) => void, onEnd: (what: object) => void }} plan
	 */
	constructor(id, plan) {
		this.id = id;
		this.plan = plan;
	}

	/** Serves on a free port of `host` and returns the entry for the store. */
	async listen(host, service, zone) {
		this.server = http.createServer((req, res) => this.serve(req, res));
		await new Promise((resolve) => this.server.listen(0, host, resolve));
		this.leaseTimer = setTimeout(() => undefined, 0);
		const address = `${host}:${this.server.address().port}`;
		return {
			service,
			address,
			zone,
			version: 'v1',
			slots: 8,
			state: 'ready',
			cold_left_ms: 0,
			capacity,
			labels: ['a', 'r1-1'],
			seq_no: 1,
		};
	}

	close() {
		clearTimeout(this.leaseTimer);
		for (const { timer } of this.running.values()) clearTimeout(timer);
		this.server?.closeAllConnections();
		this.server?.close();
	}

	/** The runner's steady clock, in milliseconds. */
	get clockMs() {
		return performance.now();
	}

	serve(req, res) {
		const chunks = [];
		req.on('error', () => undefined);
		req.on('data', (chunk) => chunks.push(chunk));
		req.on('end', () => {
			const body = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
			void this.answer(req, body).then(({ status, body: answer }) => {
				const text = JSON.stringify({ clock_ms: Math.floor(this.clockMs), ...answer });
				res.writeHead(status, { 'content-type': 'application/json' }).end(text);
			});
		});
	}

	async answer(req, body) {
		const target = req.headers['target-instance'];
		if (target !== undefined && target !== this.id) return { status: 421, body: {} };
		const token = body.fencing_token ?? 0;
		if (token < this.fence) return refusal('fence');
		this.fence = token;
		if (req.url === '/api/run-start') return this.start(body);
		if (req.url === '/api/run-stop') return this.stop(body);
		if (req.url === '/api/pace') return { status: 200, body: {} };
		if (req.url === '/api/hold') return this.hold(body);
		return { status: 400, body: {} };
	}

	/** Extends the lease on all that runs here. */
	extendLease(deadline) {
		if (deadline === undefined) return;
		this.deadline = Math.max(this.deadline, Math.min(deadline, this.clockMs + holdMaxMs));
		clearTimeout(this.leaseTimer);
		this.leaseTimer = setTimeout(() => this.lapse(), Math.max(0, this.deadline - this.clockMs));
	}

	lapse() {
		for (const run of [...this.running.values()]) this.end(run, 'lapsed');
	}

	start({ task, run, deadline_ms: deadline }) {
		this.extendLease(deadline);
		const current = this.running.get(task);
		if (current?.run === run) return { status: 200, body: {} };
		if (run <= (this.highestRuns.get(task) ?? 0)) return refusal('old');
		if (this.deadline <= this.clockMs) return refusal('late');
		this.highestRuns.set(task, run);
		const workMs = this.plan.workMs(task);
		const lasts = this.plan.lasts?.(task) === true;
		const started = { task, run, workMs, startedAt: this.clockMs, lasts, isStopping: false };
		if (!lasts) started.timer = setTimeout(() => this.end(started, 'done'), workMs);
		this.running.set(task, started);
		this.plan.onStart({ runner: this.id, task, run });
		return { status: 200, body: {} };
	}

	stop({ task, run }) {
		this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
		const current = this.running.get(task);
		if (current?.run === run && !current.isStopping) {
			current.isStopping = true;
			clearTimeout(current.timer);
			current.timer = setTimeout(() => this.end(current, 'stopped'), stopMs);
		}
		return { status: 200, body: {} };
	}

	end(run, how) {
		if (this.running.get(run.task) !== run) return;
		clearTimeout(run.timer);
		this.running.delete(run.task);
		this.lastEnd += 1;
		this.ended.push([this.lastEnd, run.task, run.run, how, '']);
		this.plan.onEnd({ runner: this.id, task: run.task, run: run.run, how });
		for (const wake of [...this.waiting]) wake();
	}

	async hold({ deadline_ms: deadline, last_seen: lastSeen = 0, wait_ms: waitMs = 0 }) {
		this.extendLease(deadline);
		this.ended = this.ended.filter(([number]) => number > lastSeen);
		if (waitMs > 0 && this.ended.length === 0) await this.nextEnd(waitMs);
		const running = [...this.running.values()].map((one) => [one.task, one.run, '', this.percentOf(one), 1]);
		return { status: 200, body: { running, ended: this.ended.slice(0, maxListedEnds) } };
	}

	percentOf({ lasts, startedAt, workMs }) {
		return lasts ? 100 : Math.min(99, Math.floor(((this.clockMs - startedAt) * 100) / workMs));
	}

	nextEnd(waitMs) {
		return new Promise((resolve) => {
			const done = () => {
				clearTimeout(timer);
				this.waiting.delete(done);
				resolve();
			};
			const timer = setTimeout(done, waitMs);
			this.waiting.add(done);
		});
	}
}

function refusal(reason) {
	return { status: 409, body: { reason } };
}
