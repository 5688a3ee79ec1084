/** Exchanges messages with one worker, one at a time: at every heartbeat, and whenever triggered. */
import type * as clocks from '../clock.js';
import type * as results from '../result.js';
import type * as workers from '../worker/index.js';

/** What an exchange loop needs. */
export interface ExchangeLoopOptions {
	address: string;
	heartbeatMs: number;
	clock: clocks.Clock;
	exchange: workers.Exchange;
	/** Composes the next message right before it is sent. */
	compose: () => workers.ExchangeReq;
	onAnswer: (req: workers.ExchangeReq, res: results.Result<workers.ExchangeRes, string>) => void;
}

/** The exchanges with one worker. */
export class ExchangeLoop {
	private timer: clocks.Timer | undefined;
	private ongoing: Promise<void> | undefined;
	private isExchangePending = false;
	private stopped = false;

	private constructor(private readonly opts: ExchangeLoopOptions) {}

	/** Creates the loop and sends a message at once. */
	static create(opts: ExchangeLoopOptions): ExchangeLoop {
		const loop = new ExchangeLoop(opts);
		loop.trigger();
		return loop;
	}

	/** Sends a message as soon as none is in flight. */
	trigger(): void {
		if (this.stopped) return;
		if (this.ongoing !== undefined) {
			this.isExchangePending = true;
			return;
		}
		this.timer?.cancel();
		this.ongoing = this.exchangeOnce();
	}

	/** Stops sending; resolves once no message is in flight. */
	async stop(): Promise<void> {
		this.stopped = true;
		this.timer?.cancel();
		await this.ongoing;
	}

	private async exchangeOnce(): Promise<void> {
		const req = this.opts.compose();
		const res = await this.opts.exchange(this.opts.address, req);
		this.ongoing = undefined;
		if (!this.stopped) this.opts.onAnswer(req, res);
		if (this.isExchangePending) {
			this.isExchangePending = false;
			this.trigger();
			return;
		}
		if (!this.stopped) {
			this.timer = this.opts.clock.after(this.opts.heartbeatMs, () => {
				this.trigger();
			});
		}
	}
}
