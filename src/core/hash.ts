/** Hashes that every process computes alike. */
import * as crypto from 'node:crypto';

/** First 48 bits of SHA-256 as a whole number; the same on every machine. */
export function hash48(text: string): number {
	return crypto.createHash('sha256').update(text).digest().readUIntBE(0, 6);
}

/** Candidates ordered by rendezvous hashing for `key`; the first is the choice, the rest its successors. */
export function rendezvous(key: string, candidates: readonly string[]): string[] {
	const scored = candidates.map((id) => ({ id, score: hash48(`${key}|${id}`) }));
	scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
	return scored.map((entry) => entry.id);
}
