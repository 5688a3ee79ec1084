/** Starts boxes as separate processes with the command of the deploy file, on loopback addresses. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as readline from 'node:readline';
import { clearTimeout, setTimeout } from 'node:timers';

/** Root of the repository, at which the platform starts the program. */
export const root = path.resolve(import.meta.dirname, '..');

/** Zones of the boxes, as on the site carpati-prog. */
export const zones = ['brasov-a', 'sibiu-b', 'mures-c'];

/** Exit status of a case that could not run. */
const notRunStatus = 2;

/** Time within which a started box has to serve, in milliseconds. */
const startTimeoutMs = 10_000;

/**
 * A line of a box's log.
 * @typedef {{ name: string, fields: Record<string, string | number> }} LogLine
 */

/**
 * The settings file of a box, with the bounds of the site carpati-prog. The kernel chooses the ports.
 * @param {{ name: string, zone: string, ip: string, store: string, cloud?: string }} box
 * @returns {string}
 */
function settingsOf({ name, zone, ip, store, cloud }) {
	return `
node_name: "${name}"
role: "box"
machine_class: "edge"
serves: ["edge"]
ip: "${ip}"
zone: "${zone}"
region: "ro-centru"
zones: { brasov-a: "ro-centru", sibiu-b: "ro-centru", mures-c: "ro-centru" }
listen: { front: "${ip}:0", ready: "${ip}:0" }
port_range: [0, 0]
bootstrap: true
limits: { cpu_share: 0.27, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0 }
heartbeat_ms: 1500
bounds:
  contact_ms: 3000
  ack_ms: 4000
  drain_ms: 2000
  grace_s: 6
  config_apply_ms: 2000
  hold_max_ms: 6000
  stop_ms: 900
  gang_timeout_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  status_s: 120
  far_x: 3
  restore_ms: 250
  maintenance_s: 2
  strict_fencing: false
  lease_ms: 3000
  pace_ms: 100
  harm_ms: 4000
orders: "invoke"
platform: { address: "${store}", form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, ttl_min_ms: 1000 }
cloud_api: ${cloud === undefined ? 'null' : `{ address: "${cloud}", rate_per_s: 60.0, duties: [], duty_per_s: 60.0 }`}
`;
}

/** The words of `run` in the deploy file. */
function runCommand() {
	const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const match = /^run = "([^"]+)"$/m.exec(text);
	if (match === null) throw new Error('deploy/system.toml has no run command');
	return match[1].split(' ');
}

/** The running processes. They end with this one, whatever ends it. @type {Set<childProcess.ChildProcess>} */
const children = new Set();

process.once('exit', () => {
	for (const child of children) child.kill('SIGKILL');
});

for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(notRunStatus));

/** A running box. */
export class Box {
	/** @type {LogLine[]} */
	lines = [];
	/** Address at which callers connect, `host:port`; empty before the box serves. */
	callers = '';
	/** Whether the process has ended. */
	hasEnded = false;
	/** Called with each line of the box's log. */
	onLine = (/** @type {LogLine} */ line) => void line;

	/**
	 * @param {string} name
	 * @param {string} folder
	 * @param {childProcess.ChildProcess} child
	 */
	constructor(name, folder, child) {
		this.name = name;
		this.folder = folder;
		this.child = child;
		children.add(child);
		child.once('exit', () => {
			this.hasEnded = true;
			children.delete(child);
		});
	}

	/**
	 * Starts a box and waits until it serves.
	 * @param {{ name: string, zone: string, ip: string, store: string, cloud?: string }} options
	 */
	static async start(options) {
		const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'woodcross-review-'));
		const file = path.join(folder, 'node.yaml');
		fs.writeFileSync(file, settingsOf(options));
		const [program, ...args] = runCommand();
		const { PATH, HOME, LANG } = process.env;
		const child = childProcess.spawn(program, args, {
			cwd: root,
			env: { PATH, HOME, LANG, WOODCROSS_NODE_FILE: file },
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		const box = new Box(options.name, folder, child);
		await box.untilServing();
		return box;
	}

	/** Generation in which this box last became the owner; 0: it never did. */
	get generation() {
		return Number(this.lines.findLast((line) => line.name === 'owner.taken')?.fields.generation ?? 0);
	}

	/** Asks the box to stop, as the platform does. */
	terminate() {
		if (!this.hasEnded) this.child.kill('SIGTERM');
	}

	/** Ends the process and removes its folder. */
	async end() {
		if (!this.hasEnded) {
			const ended = new Promise((resolve) => this.child.once('exit', resolve));
			this.child.kill('SIGKILL');
			await ended;
		}
		fs.rmSync(this.folder, { recursive: true, force: true });
	}

	untilServing() {
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => reject(new Error(`${this.name} does not serve`)), startTimeoutMs);
			this.child.once('exit', () => reject(new Error(`${this.name} ended`)));
			readline.createInterface({ input: this.child.stdout }).on('line', (text) => {
				const line = /** @type {LogLine} */ (JSON.parse(text));
				this.lines.push(line);
				this.onLine(line);
				if (line.name !== 'process.started') return;
				this.callers = String(line.fields.callers);
				clearTimeout(timer);
				resolve(undefined);
			});
		});
	}
}
