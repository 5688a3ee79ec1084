/** The task that keeps one worker's exchanges going: one at a time, on every heartbeat and whenever kicked. */
import type * as clocks from '../clock.js';
import type * as results from '../result.js';
import type * as workers from '../worker/index.js';

/** What a link needs. */
export interface LinkOptions {
	address: string;
	heartbeatMs: number;
	clock: clocks.Clock;
	exchange: workers.Exchange;
	/** The next message, made right before it is sent. */
	compose: () => workers.ExchangeReq;
	onAnswer: (req: workers.ExchangeReq, res: results.Result<workers.ExchangeRes, string>) => void;
}

/** One worker's link. */
export class WorkerLink {
	private timer: clocks.Timer | undefined;
	private busy: Promise<void> | undefined;
	private again = false;
	private stopped = false;

	private constructor(private readonly opts: LinkOptions) {}

	/** Starts with a message at once. */
	static create(opts: LinkOptions): WorkerLink {
		const link = new WorkerLink(opts);
		link.kick();
		return link;
	}

	/** Sends a message as soon as none is in flight. */
	kick(): void {
		if (this.stopped) return;
		if (this.busy !== undefined) {
			this.again = true;
			return;
		}
		this.timer?.cancel();
		this.busy = this.turn();
	}

	/** Sends nothing more; resolves once no message is in flight. */
	async stop(): Promise<void> {
		this.stopped = true;
		this.timer?.cancel();
		await this.busy;
	}

	private async turn(): Promise<void> {
		const req = this.opts.compose();
		const res = await this.opts.exchange(this.opts.address, req);
		this.busy = undefined;
		if (!this.stopped) this.opts.onAnswer(req, res);
		if (this.again) {
			this.again = false;
			this.kick();
			return;
		}
		if (!this.stopped) {
			this.timer = this.opts.clock.after(this.opts.heartbeatMs, () => {
				this.kick();
			});
		}
	}
}
