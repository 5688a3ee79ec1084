/** A small deployment on loopback: the programs of the system and the stand-ins, each a real process. */
import * as undici from 'undici';
import * as boxes from '../src/core/boxes/index.js';
import * as platform from '../src/core/platform/index.js';
import * as processes from './processes.js';

/** Size and settings of a deployment. */
export interface ClusterOptions {
	zones: string[];
	entriesPerZone: number;
	schedulersPerZone: number;
	backendsPerZone: number;
	workersPerZone: number;
	/** Lowest level of the events that the programs print; absent: debug. */
	logLevel?: 'debug' | 'info';
	/** Additional flags of the schedulers, e.g. shorter leases. */
	schedulerFlags?: string[];
	/** Additional flags of the entry programs. */
	entryFlags?: string[];
	/** Additional environment variables of the backend servers. */
	backendEnv?: Record<string, string>;
	/**
	 * Returns the address at which `from` reaches `to`, so that a proxy can stand between them. Absent: `address` itself.
	 */
	proxiedAddress?: (from: string, to: string, address: string) => Promise<string> | string;
}

/** A stand-in backend server or worker, with its address. */
export interface StandInMachine {
	id: string;
	zone: string;
	address: string;
	/** The address in the published box list: that of the proxy, if there is one, otherwise `address`. */
	listedAddress: string;
	state: 'live' | 'leaving';
	process: processes.StartedProcess;
}

/** A program of the system, with its addresses. */
export interface Program {
	box: string;
	zone: string;
	role: 'entry' | 'scheduler' | 'operator';
	peer: string;
	serves: string;
	process: processes.StartedProcess;
}

/** Capacity that the box list states for each stand-in worker. */
export const workerCapacity = { cores: 32, memoryMb: 125_000, accelerators: 0 };

/** Request slots and connections of each stand-in backend server. */
export const backendSlots = 8;
const backendConnections = 64;

/** The service that all backend servers offer. */
export const serviceName = 'guichet';

/** Number of workers in a rack. */
const rackSize = 8;

/** A running deployment. */
export class Cluster {
	readonly backends: StandInMachine[] = [];
	readonly workers: StandInMachine[] = [];
	readonly programs: Program[] = [];
	platformAddress = '';
	platform!: processes.StartedProcess;
	private store!: platform.EtcdStore;
	private nextBoxNumber = 1;

	private constructor(readonly opts: ClusterOptions) {}

	/** Starts all processes and waits until each of them listens. */
	static async create(opts: ClusterOptions): Promise<Cluster> {
		const cluster = new Cluster(opts);
		cluster.platform = processes.start('platform', 'stand-ins/platform/main.js');
		cluster.platformAddress = await processes.readyAddress(cluster.platform);
		cluster.store = platform.EtcdStore.create(`http://${cluster.platformAddress}`);
		await cluster.startMachines();
		for (const zone of opts.zones) await cluster.publish(zone);
		const starting: Promise<unknown>[] = [];
		for (const zone of opts.zones) {
			for (let i = 0; i < opts.entriesPerZone; i += 1) starting.push(cluster.startProgram('entry', zone));
			for (let i = 0; i < opts.schedulersPerZone; i += 1)
				starting.push(cluster.startProgram('scheduler', zone));
		}
		starting.push(cluster.startProgram('operator', opts.zones[0] ?? ''));
		await Promise.all(starting);
		return cluster;
	}

	/** Starts one program and waits until it listens. */
	async startProgram(role: Program['role'], zone: string, flags: string[] = []): Promise<Program> {
		const box = `${role}-${zone}-${this.nextBoxNumber}`;
		this.nextBoxNumber += 1;
		const roleFlags = {
			scheduler: this.opts.schedulerFlags,
			entry: this.opts.entryFlags,
			operator: undefined,
		}[role];
		const platformOrigin = await this.proxiedAddress(box, 'platform', this.platformAddress);
		const args = [
			...['--box', box, '--zone', zone, '--zones', this.opts.zones.join(',')],
			...[
				'--platform',
				`http://${platformOrigin}`,
				'--log',
				'json',
				'--log-level',
				this.opts.logLevel ?? 'debug',
			],
			...(roleFlags ?? []),
			...flags,
		];
		const process = processes.start(box, `src/cli/${role}/main.js`, args);
		const addresses = await processes.startedAddresses(process);
		const program = { box, zone, role, ...addresses, process };
		this.programs.push(program);
		return program;
	}

	/** Starts a worker process with this id; also restarts a worker that has exited. */
	async startWorker(id: string, zone: string): Promise<StandInMachine> {
		const process = processes.start(id, 'stand-ins/worker/main.js', [], { BOX_ID: id });
		const address = await processes.readyAddress(process);
		const listedAddress = await this.proxiedAddress('scheduler', id, address);
		return { id, zone, address, listedAddress, state: 'live', process };
	}

	/** Writes the lists of a zone's workers and backend servers into the store, as the platform does. */
	async publish(zone: string): Promise<void> {
		const workers = this.workers.filter((worker) => worker.zone === zone);
		const workerList: boxes.WorkerBox[] = workers.map((worker, index) => ({
			id: worker.id,
			address: worker.listedAddress,
			state: worker.state,
			rack: `${zone}-rack-${Math.floor(index / rackSize)}`,
			...workerCapacity,
		}));
		const backends = this.backends.filter((backend) => backend.zone === zone);
		const backendList: boxes.BackendBox[] = backends.map((backend) => ({
			id: backend.id,
			address: backend.listedAddress,
			state: backend.state,
			service: serviceName,
			slots: backendSlots,
			connections: backendConnections,
		}));
		await this.put(boxes.workersKey(zone), workerList);
		await this.put(boxes.backendsKey(zone), backendList);
	}

	/** Programs with a role, in one zone or (without `zone`) in all zones. */
	programsOf(role: Program['role'], zone?: string): Program[] {
		return this.programs.filter(
			(program) => program.role === role && (zone === undefined || program.zone === zone),
		);
	}

	/** Configures fault injection in the platform stand-in. */
	async platformFault(fault: Record<string, unknown>): Promise<void> {
		await post(this.platformAddress, '/fault', fault);
	}

	/** Kills every process. */
	async close(): Promise<void> {
		const all = [...this.programs, ...this.workers, ...this.backends].map((started) => started.process);
		await Promise.all([...all, this.platform].map((started) => kill(started)));
		await this.store.close();
	}

	private async startMachines(): Promise<void> {
		const starting: Promise<unknown>[] = [];
		for (const zone of this.opts.zones) {
			for (let i = 0; i < this.opts.backendsPerZone; i += 1) {
				starting.push(
					this.startBackend(`backend-${zone}-${i}`, zone).then((backend) => this.backends.push(backend)),
				);
			}
			for (let i = 0; i < this.opts.workersPerZone; i += 1) {
				starting.push(
					this.startWorker(`worker-${zone}-${i}`, zone).then((worker) => this.workers.push(worker)),
				);
			}
		}
		await Promise.all(starting);
		const byId = (a: StandInMachine, b: StandInMachine): number => (a.id < b.id ? -1 : 1);
		this.backends.sort(byId);
		this.workers.sort(byId);
	}

	private async startBackend(id: string, zone: string): Promise<StandInMachine> {
		const process = processes.start(id, 'stand-ins/backend-server/main.js', [], {
			SLOTS: String(backendSlots),
			CONNECTIONS: String(backendConnections),
			...this.opts.backendEnv,
		});
		const address = await processes.readyAddress(process);
		const listedAddress = await this.proxiedAddress('entry', id, address);
		return { id, zone, address, listedAddress, state: 'live', process };
	}

	private async proxiedAddress(from: string, to: string, address: string): Promise<string> {
		return this.opts.proxiedAddress === undefined ? address : this.opts.proxiedAddress(from, to, address);
	}

	/** Writes a box list into the store, as the platform does. */
	async put(key: string, value: unknown): Promise<void> {
		const current = await this.store.get(key);
		if (!current.ok) throw new Error(`platform stand-in: read failed: ${current.err.reason}`);
		const bytes = Buffer.from(JSON.stringify(value));
		const put = await this.store.swap(key, bytes, current.value?.version ?? 0);
		if (!put.ok || !put.value.swapped) throw new Error(`platform stand-in: ${key} could not be written`);
	}
}

/** Kills a process, even one that SIGSTOP has suspended. */
export async function kill(started: processes.StartedProcess): Promise<void> {
	started.child.kill('SIGCONT');
	await processes.stop(started, 'SIGKILL');
}

/** Posts JSON to a stand-in and returns its JSON answer. */
export async function post(address: string, path: string, body: unknown): Promise<unknown> {
	const res = await undici.request(`http://${address}${path}`, {
		method: 'POST',
		headers: { 'content-type': 'application/json' },
		body: JSON.stringify(body),
	});
	return res.body.json();
}
