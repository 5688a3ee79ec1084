/**
 * Frames between the project's own processes: a 4-byte big-endian length, then that many bytes of CBOR. A frame over the
 * limit, or one that does not decode, is the peer's fault: the connection is closed.
 */
import * as cbor from 'cbor-x';
import * as results from '../result.js';

/** Bytes of the length field. */
const headerBytes = 4;

/** Largest frame body, in bytes; the receiver checks it. */
export const maxFrameBytes = 4 * 1024 * 1024;

const encoder = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, structuredClone: false });

/** Encodes a value as CBOR. */
export function encodeValue(value: unknown): Buffer {
	return encoder.encode(value);
}

/** Decodes CBOR; malformed bytes give a failure, not an exception. */
export function decodeValue(bytes: Uint8Array): results.Result<unknown, string> {
	try {
		return results.ok(encoder.decode(bytes) as unknown);
	} catch (err) {
		return results.fail(`malformed CBOR: ${String(err)}`);
	}
}

/** Encodes one frame. */
export function encodeFrame(value: unknown): Buffer {
	const body = encodeValue(value);
	const frame = Buffer.allocUnsafe(headerBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, headerBytes);
	return frame;
}

/** Splits a byte stream into frames. */
export class FrameReader {
	private chunks: Buffer[] = [];
	private buffered = 0;

	private constructor(private readonly limit: number) {}

	static create(limit: number = maxFrameBytes): FrameReader {
		return new FrameReader(limit);
	}

	/** Appends bytes; returns the values of the frames that are complete, or why the stream is unusable. */
	push(chunk: Buffer): results.Result<unknown[], string> {
		this.chunks.push(chunk);
		this.buffered += chunk.length;
		const values: unknown[] = [];
		while (this.buffered >= headerBytes) {
			const bytes = this.joinChunks();
			const length = bytes.readUInt32BE(0);
			if (length > this.limit)
				return results.fail(`frame of ${length} bytes is over the limit of ${this.limit}`);
			if (bytes.length < headerBytes + length) break;
			const value = decodeValue(bytes.subarray(headerBytes, headerBytes + length));
			if (!value.ok) return value;
			values.push(value.value);
			this.keep(bytes.subarray(headerBytes + length));
		}
		return results.ok(values);
	}

	private joinChunks(): Buffer {
		if (this.chunks.length > 1) this.chunks = [Buffer.concat(this.chunks)];
		return this.chunks[0] ?? Buffer.alloc(0);
	}

	private keep(remainder: Buffer): void {
		this.chunks = remainder.length > 0 ? [remainder] : [];
		this.buffered = remainder.length;
	}
}
