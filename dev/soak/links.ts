/** One proxy for each box and each address that it connects to, so that a link can fail for one box alone. */
import * as proxies from '../../stand-ins/proxy/index.js';
import type * as addressViews from '../../stand-ins/users-platform/address-view.js';

/** The connection of one box to one address. */
export interface Link {
	/** The box's name. */
	box: string;
	/** Where the other side listens. */
	target: string;
	proxy: proxies.FaultProxy;
	/** Faults under way, the newest last. */
	modes: proxies.ProxyMode[];
}

/** The process of a box, as its peers reach it. */
interface Peer {
	address: string;
	/** Resolves once the other boxes have links to it. */
	linksReady: Promise<void>;
}

/** All links of the boxes, except those to the store. */
export class Links {
	private readonly links: Link[] = [];
	/** The running processes of the boxes, by box name. */
	private readonly peers = new Map<string, Peer>();

	private constructor(private readonly boxes: string[]) {}

	static create(boxes: string[]): Links {
		return new Links(boxes);
	}

	/** Adds a link to an address for each box. */
	async addLinks(target: string, boxes = this.boxes): Promise<void> {
		for (const box of boxes)
			this.links.push({ box, target, proxy: await proxies.FaultProxy.create(target), modes: [] });
	}

	/** Links of all boxes to an address. */
	to(target: string): Link[] {
		return this.links.filter((link) => link.target === target);
	}

	/** Links between the current processes of two boxes, in both directions. */
	linksBetween(a: string, b: string): Link[] {
		const directions = [
			{ from: a, to: this.peers.get(b)?.address },
			{ from: b, to: this.peers.get(a)?.address },
		];
		return this.links.filter((link) =>
			directions.some(({ from, to }) => link.box === from && link.target === to),
		);
	}

	/** Translates between real addresses and the addresses at which a box reaches them. */
	addressBookOf(box: string): addressViews.AddressMap {
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

	/** Closes the links to a box's process that has ended, so that connections to it are refused. */
	noteProcessEnded(box: string): void {
		const peer = this.peers.get(box);
		this.peers.delete(box);
		if (peer !== undefined) for (const { proxy } of this.to(peer.address)) proxy.close();
	}

	/** Stalls all connections that are open now: they carry nothing any more. */
	silence(): void {
		for (const { proxy } of this.links) proxy.stallConnections();
	}

	close(): void {
		for (const { proxy } of this.links) proxy.close();
	}

	/**
	 * Adds links of the other boxes to an address that a box is about to store. The other boxes read the address once they
	 * have these links.
	 */
	private addPeerLinks(box: string, address: string): Promise<void> {
		const known = this.peers.get(box);
		if (known?.address === address) return known.linksReady;
		const others = this.boxes.filter((other) => other !== box);
		const linksReady = this.addLinks(address, others);
		this.peers.set(box, { address, linksReady });
		return linksReady;
	}
}
