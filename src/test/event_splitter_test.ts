/** Splitting of event streams: the cost of an event in many chunks, and its bytes. */
import { expect } from "chai";
import { EventSplitter } from "../relay/mod.ts";

const EVENT_BYTES = 256 * 1024;
const CHUNK_BYTES = 64;

/** Bytes that may be copied or searched for each byte of an event. */
const MAX_WORK_PER_BYTE = 8;

/** Counts the bytes that functions of buffers copy or search during `action`. */
function countWork(action: () => void): number {
  const { concat } = Buffer;
  const { copy, lastIndexOf, indexOf } = Buffer.prototype;
  let bytes = 0;
  const count = <T extends { readonly length: number }>(buffer: T): T => {
    bytes += buffer.length;
    return buffer;
  };
  const restore = () => {
    Object.assign(Buffer, { concat });
    Object.assign(Buffer.prototype, { copy, lastIndexOf, indexOf });
  };
  Object.assign(Buffer, {
    concat: (...args: Parameters<typeof concat>) =>
      count(concat.apply(Buffer, args)),
  });
  Object.assign(Buffer.prototype, {
    copy(this: Buffer, ...args: Parameters<typeof copy>) {
      return copy.apply(count(this), args);
    },
    lastIndexOf(this: Buffer, ...args: Parameters<typeof lastIndexOf>) {
      return lastIndexOf.apply(count(this), args);
    },
    indexOf(this: Buffer, ...args: Parameters<typeof indexOf>) {
      return indexOf.apply(count(this), args);
    },
  });
  try {
    action();
  } finally {
    restore();
  }
  return bytes;
}

describe("event splitter", () => {
  // Guards against a cost that grows with the square of an event's size.
  it("reads a large event in small chunks at a linear cost", () => {
    const event = Buffer.from(`data: ${"x".repeat(EVENT_BYTES)}\n\n`);
    const chunks = Array.from(
      { length: Math.ceil(event.length / CHUNK_BYTES) },
      (_, index) =>
        event.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES),
    );
    const splitter = new EventSplitter();
    let events: readonly Buffer[] = [];
    const work = countWork(() => {
      events = chunks.flatMap((chunk) => splitter.push(chunk)?.bytes ?? []);
    });
    expect(events.map((bytes) => bytes.equals(event))).deep.equal([true]);
    expect(work / event.length).below(MAX_WORK_PER_BYTE);
  });

  it("splits the same events whatever the chunks", () => {
    const text =
      "data: a\n\n: b\n\n\ndata: cc\r\n\r\n\n\nid: 4\ndata: d\n\nrest";
    const bytes = Buffer.from(text);
    Array.from({ length: bytes.length }, (_, index) => index + 1)
      .forEach((chunkBytes) => {
        const splitter = new EventSplitter();
        const results = Array.from(
          { length: Math.ceil(bytes.length / chunkBytes) },
          (_, index) =>
            splitter.push(
              bytes.subarray(index * chunkBytes, (index + 1) * chunkBytes),
            )?.bytes,
        ).filter((events) => events !== undefined);
        // Earlier events keep their bytes while later chunks arrive.
        const joined = Buffer.concat([...results, splitter.rest]).toString();
        expect(joined, String(chunkBytes)).equal(text);
        expect(splitter.rest.toString(), String(chunkBytes)).equal("rest");
      });
  });
});
