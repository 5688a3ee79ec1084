/** Callers: hand jobs in, ask for them, cancel some; each keeps its connections open as long as a box's process lives. */
import * as crypto from 'node:crypto';
import * as undici from 'undici';
import * as faults from './faults.js';
import * as random from '../random.js';
import * as worlds from './world.js';
import type * as judges from './judge.js';

/** A caller waits so long for an answer, in milliseconds. */
const patienceMs = 3_000;

/** Between two jobs of a caller, and two questions for one, in milliseconds. */
const betweenJobsMs = 250;
const betweenQuestionsMs = 200;

/** Tries to hand a job in, before a caller that was only ever turned away gives up. */
const mostTries = 8;

/** How long after a change of the configuration every calm box has to know it, in milliseconds. */
const configurationMs = 2_000;

/** What came of one request: a status, or none. */
interface Reply {
	status: number | undefined;
	body: Record<string, unknown>;
}

/** What all callers share. */
export interface CallersOptions {
	world: worlds.World;
	judge: judges.Judge;
	next: () => number;
	/** Clock time until which new jobs are handed in. */
	until: number;
}

/** One caller, until the time is over and all its jobs have ended or `giveUpAt` (clock time) has come. */
export async function call(opts: CallersOptions, giveUpAt: number): Promise<void> {
	const client = Client.create(opts);
	const open: Promise<void>[] = [];
	while (opts.world.now() < opts.until) {
		open.push(client.follow(giveUpAt));
		await faults.sleep(betweenJobsMs);
	}
	await Promise.all(open);
	await client.close();
}

/** Asks every calm box now and then whether it knows the newest queue. */
export async function watchConfiguration(opts: CallersOptions): Promise<void> {
	const { world, judge } = opts;
	const client = Client.create(opts);
	while (world.now() < opts.until) {
		for (const box of world.boxes) {
			const [newest] = world.prefixes.slice(-1);
			const isDue = world.now() - world.changedAt > configurationMs;
			if (!isDue || !world.isCalm(box)) continue;
			const reply = await client.send(box, 'GET', newest ?? '');
			if (reply.status === 404) judge.report('configuration', `${box.name} does not know ${newest ?? ''}`);
		}
		await faults.sleep(betweenQuestionsMs);
	}
	await client.close();
}

class Client {
	private readonly pools = new Map<string, undici.Pool>();

	private constructor(private readonly opts: CallersOptions) {}

	static create(opts: CallersOptions): Client {
		return new Client(opts);
	}

	/** Hands one job in and follows it to its end. */
	async follow(giveUpAt: number): Promise<void> {
		const { world, judge, next } = this.opts;
		const job = makeJob(next);
		const isToCancel = next() < 0.08;
		judge.sent(job);
		if (!(await this.submit(job, giveUpAt))) return;
		while (world.now() < giveUpAt) {
			await faults.sleep(betweenQuestionsMs);
			if (isToCancel && !job.cancelled && next() < 0.3) await this.cancel(job);
			const reply = await this.sendAnywhere('GET', `/jobs/${job.id}`);
			if (reply.status === 410) judge.report('lost', `${job.id} was accepted and is not known`);
			const { state } = reply.body;
			if (state === 'completed') judge.toldCompleted(job);
			if (state === 'completed' || state === 'cancelled' || job.cancelled) return;
			if (state === 'failed') judge.report('lost', `${job.id} is shown as failed`);
		}
	}

	/** One request to one box. */
	async send(
		box: worlds.SoakBox,
		method: 'GET' | 'POST' | 'DELETE',
		path: string,
		body?: object,
	): Promise<Reply> {
		const { world, judge } = this.opts;
		const callers = box.process?.callers;
		if (callers === undefined) return { status: undefined, body: {} };
		const isPlanned = box.stoppingUntil > world.now() && box.troubledUntil < world.now();
		const headers = { host: worlds.host, 'content-type': 'application/json' };
		try {
			const res = await this.pool(callers).request({
				method,
				path,
				headers,
				body: body === undefined ? null : JSON.stringify(body),
				headersTimeout: patienceMs,
				bodyTimeout: patienceMs,
			});
			return { status: res.statusCode, body: parse(await res.body.text()) };
		} catch (err) {
			const { code } = err as NodeJS.ErrnoException;
			// A request that was under way when a planned stop closed its connection.
			if (isPlanned && code === 'UND_ERR_SOCKET' && !world.isCalm(box) && box.life > 0)
				judge.report('cut', `${box.name} ${method} ${path}: ${String(err)}`);
			return { status: undefined, body: {} };
		}
	}

	async close(): Promise<void> {
		await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
	}

	private async submit(job: judges.SoakJob, giveUpAt: number): Promise<boolean> {
		const { world } = this.opts;
		const steps = job.steps.map((step) => ({
			count: step.tasks,
			cpu: step.milliCores,
			mem_mb: 100,
			estimate_ms: 200,
			...(step.after.length > 0 && { after: step.after }),
		}));
		for (let tries = 0; world.now() < giveUpAt; tries += 1) {
			if (tries >= mostTries && !job.unknown) return false;
			const reply = await this.sendAnywhere('POST', `/jobs/${job.id}`, { spec: 'soak', steps });
			if (reply.status === 200) {
				job.accepted = true;
				return true;
			}
			if (reply.status === undefined || reply.status === 502 || reply.status === 504) job.unknown = true;
			await faults.sleep(betweenQuestionsMs);
		}
		return false;
	}

	private async cancel(job: judges.SoakJob): Promise<void> {
		const reply = await this.sendAnywhere('DELETE', `/jobs/${job.id}`);
		job.cancelled = reply.status === 200 || reply.status === undefined || reply.status === 504;
	}

	private sendAnywhere(method: 'GET' | 'POST' | 'DELETE', path: string, body?: object): Promise<Reply> {
		return this.send(random.pick(this.opts.next, this.opts.world.boxes), method, path, body);
	}

	private pool(callers: string): undici.Pool {
		const known = this.pools.get(callers);
		if (known !== undefined) return known;
		const created = new undici.Pool(`http://${callers}`, { connections: 4 });
		this.pools.set(callers, created);
		return created;
	}
}

/** A job of one to three steps in a row. */
function makeJob(next: () => number): judges.SoakJob {
	const id = crypto.randomBytes(8).toString('hex');
	const steps = Array.from({ length: random.between(next, 1, 3) }, (_, number) => ({
		tasks: random.between(next, 1, 6),
		milliCores: random.between(next, 500, 12_000),
		after: number === 0 ? [] : [number - 1],
	}));
	return { id, steps, accepted: false, unknown: false, cancelled: false, completed: false };
}

function parse(text: string): Record<string, unknown> {
	return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}
