/** Starts boxes as separate processes with the command of the deploy file. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as process from 'node:process';
import { setTimeout } from 'node:timers';
import { URL, fileURLToPath } from 'node:url';
import { holdMaxMs } from './runner.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Zones of the deployment; boxes are spread over them. */
export const zones = ['brasov-a', 'sibiu-b', 'mures-c'];

/** A process that ended by itself is started again after this time, in milliseconds. */
const restartDelayMs = 1_000;

/** Number of ports that a box may use towards other boxes. */
const peerPorts = 16;

/** The command in the deploy file. */
function deployCommand() {
	const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const [, run] = /^run = "(.*)"$/m.exec(text);
	return run.split(' ');
}

/** A port of `host` that is free now. */
function freePort(host) {
	return new Promise((resolve, reject) => {
		const server = net.createServer();
		server.once('error', reject);
		server.listen(0, host, () => {
			const { port } = server.address();
			server.close(() => resolve(port));
		});
	});
}

/** Settings as in DEPLOY.md, with the bounds of the site carpati-prog. */
function settingsOf({ name, zone, ip, front, ready, firstPort, store }) {
	return [
		`node_name: "${name}"`,
		'role: "box"',
		'machine_class: "edge"',
		'serves: ["edge"]',
		`ip: "${ip}"`,
		`zone: "${zone}"`,
		'region: "ro-centru"',
		'zones:',
		...zones.map((one) => `  ${one}: "ro-centru"`),
		'listen:',
		`  front: "${ip}:${front}"`,
		`  ready: "${ip}:${ready}"`,
		`port_range: [${firstPort}, ${firstPort + peerPorts - 1}]`,
		'limits: { cpu_share: 0.27, cores: 1, memory_mb: 350, max_fds: 4100 }',
		'data_dir: null',
		'discovery: "platform"',
		'entry: "vip"',
		'heartbeat_ms: 1500',
		'bounds:',
		'  contact_ms: 3000',
		'  ack_ms: 4000',
		'  drain_ms: 2000',
		'  grace_s: 6',
		'  config_apply_ms: 2000',
		`  hold_max_ms: ${holdMaxMs}`,
		'  stop_ms: 900',
		'  gang_timeout_ms: 3000',
		'  cancel_ms: 3000',
		'  visible_ms: 3000',
		'  early_ms: 250',
		'  finish_s: 14',
		'  status_s: 120',
		'  far_x: 3',
		'  save_s: 0.5',
		'  restore_ms: 250',
		'  lease_ms: 3000',
		'  pace_ms: 100',
		'  harm_ms: 4000',
		'orders: "invoke"',
		'advice: ""',
		'platform:',
		`  address: "${store}"`,
		'  form: "kv"',
		'  writes_per_s: 400',
		'  reads_per_s: 2000',
		'  history_s: 20',
		'  value_bytes: 1048576',
		'  ttl_min_ms: 1000',
		'',
	].join('\n');
}

/** One box. If its process ends by itself, it is started again. */
export class Box {
	/** Number of times that the process ended by itself. */
	ownEnds = 0;
	isClosing = false;
	/** @type {childProcess.ChildProcess | undefined} */
	child;

	/**
	 * @param {{ name: string, zone: string, ip: string, front: number, ready: number, firstPort: number, store: string }} place
	 * @param {string} folder
	 * @param {(what: string, fields: object) => void} record
	 */
	constructor(place, folder, record) {
		this.place = place;
		this.name = place.name;
		this.front = `${place.ip}:${place.front}`;
		this.ready = `${place.ip}:${place.ready}`;
		this.folder = folder;
		this.record = record;
		this.file = path.join(folder, `${place.name}.yaml`);
		fs.writeFileSync(this.file, settingsOf(place));
	}

	/** Starts the process. Its log goes to a file in the temporary folder. */
	start() {
		const [program, ...args] = deployCommand();
		const log = fs.openSync(path.join(this.folder, `${this.name}.log`), 'a');
		const { PATH, HOME, LANG } = process.env;
		this.child = childProcess.spawn(program, args, {
			cwd: root,
			env: { PATH, HOME, LANG, WOODCROSS_NODE_FILE: this.file },
			stdio: ['ignore', log, log],
		});
		fs.closeSync(log);
		this.record('box started', { box: this.name });
		this.child.once('exit', (code, signal) => this.noteExit(code, signal));
	}

	noteExit(code, signal) {
		if (this.isClosing) return;
		this.ownEnds += 1;
		this.record('box ended by itself', { box: this.name, code, signal, lastWords: this.lastError() });
		setTimeout(() => {
			if (!this.isClosing) this.start();
		}, restartDelayMs);
	}

	/** The last line of the log that names an error. */
	lastError() {
		const lines = this.logLines().filter((line) => /^\w*Error|^\s+code:/.test(line));
		return lines.slice(-2).join(' ').trim();
	}

	logLines() {
		return fs.readFileSync(path.join(this.folder, `${this.name}.log`), 'utf8').split('\n');
	}

	/** Ends the process for good. */
	close() {
		this.isClosing = true;
		if (this.child?.exitCode === null && this.child.signalCode === null) this.child.kill('SIGKILL');
	}
}

/**
 * Creates boxes, each on a loopback address of its own, and starts them.
 * @param {number} count
 * @param {string} store address of the store
 * @param {(what: string, fields: object) => void} record
 */
export async function startBoxes(count, store, record) {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'woodcross-review-'));
	const boxes = [];
	for (let index = 0; index < count; index += 1) {
		const ip = `127.0.${40 + (process.pid % 200)}.${index + 1}`;
		const [front, ready, firstPort] = [await freePort(ip), await freePort(ip), 7_720];
		const zone = zones[index % zones.length];
		const place = { name: `edge-${zone}-${index + 1}`, zone, ip, front, ready, firstPort, store };
		boxes.push(new Box(place, folder, record));
	}
	for (const box of boxes) box.start();
	return {
		boxes,
		close: () => {
			for (const box of boxes) box.close();
			fs.rmSync(folder, { recursive: true, force: true });
		},
	};
}
