/** One proxy for each box and whoever it connects to, so that a link can break for one box alone. */
import * as proxies from '../../stand-ins/proxy/index.js';
import type * as addressViews from '../../stand-ins/users-platform/address-view.js';

/** The way of one box to one address. */
export interface Link {
	/** The box's name. */
	box: string;
	/** Where the other side listens. */
	target: string;
	proxy: proxies.FaultProxy;
	/** Faults that last, the newest last. */
	modes: proxies.ProxyMode[];
}

/** A box's process, as its peers reach it. */
interface Peer {
	address: string;
	/** Resolves once the others have links to it. */
	linksReady: Promise<void>;
}

/** All links of the boxes, but those to the store. */
export class Links {
	private readonly links: Link[] = [];
	/** The processes that boxes run, by name. */
	private readonly peers = new Map<string, Peer>();

	private constructor(private readonly boxes: string[]) {}

	static create(boxes: string[]): Links {
		return new Links(boxes);
	}

	/** Makes a link to an address for each box. */
	async addLinks(target: string, boxes = this.boxes): Promise<void> {
		for (const box of boxes)
			this.links.push({ box, target, proxy: await proxies.FaultProxy.create(target), modes: [] });
	}

	/** Links to an address, of all boxes. */
	to(target: string): Link[] {
		return this.links.filter((link) => link.target === target);
	}

	/** Links between two boxes, either way, between their present processes. */
	linksBetween(a: string, b: string): Link[] {
		const directions = [
			{ from: a, to: this.peers.get(b)?.address },
			{ from: b, to: this.peers.get(a)?.address },
		];
		return this.links.filter((link) =>
			directions.some(({ from, to }) => link.box === from && link.target === to),
		);
	}

	/** What a box calls whom. */
	addressBookOf(box: string): addressViews.AddressBook {
		const findLink = (matches: (link: Link) => boolean): Link | undefined =>
			this.links.findLast((link) => link.box === box && matches(link));
		return {
			seen: (address) => findLink(({ target }) => target === address)?.proxy.address ?? address,
			real: async (seen) => {
				const link = findLink(({ proxy }) => proxy.address === seen);
				if (link === undefined) await this.addPeerLinks(box, seen);
				return link?.target ?? seen;
			},
		};
	}

	/** A box's process has ended: connections to it are refused. */
	noteProcessEnded(box: string): void {
		const peer = this.peers.get(box);
		this.peers.delete(box);
		if (peer !== undefined) for (const { proxy } of this.to(peer.address)) proxy.close();
	}

	/** All connections that are open now go silent. */
	silence(): void {
		for (const { proxy } of this.links) proxy.silence();
	}

	close(): void {
		for (const { proxy } of this.links) proxy.close();
	}

	/** A box writes where its peers connect; others read it once they have links there. */
	private addPeerLinks(box: string, address: string): Promise<void> {
		const known = this.peers.get(box);
		if (known?.address === address) return known.linksReady;
		const others = this.boxes.filter((other) => other !== box);
		const linksReady = this.addLinks(address, others);
		this.peers.set(box, { address, linksReady });
		return linksReady;
	}
}
