/** Bodies that are read without a promise per chunk, beside an async iterator. */
import { expect } from "chai";
import { PassThrough } from "node:stream";
import { BodyChunks, observeFirstChunk } from "../sys/body_chunks.ts";
import { getReason } from "../sys/errors.ts";

const nextTurn = () => new Promise((resolve) => setImmediate(resolve));

/** What reading a body comes to: its bytes, and its end or error. */
async function readWithIterator(body: PassThrough): Promise<string> {
  let text = "";
  try {
    for await (const chunk of body) text += chunk;
    return `${text}|end`;
  } catch (error) {
    return `${text}|${getReason(error)}`;
  }
}

async function readWithHandler(body: PassThrough): Promise<string> {
  let text = "";
  try {
    await new BodyChunks(body, () => {}).forEach((chunk) => {
      text += chunk;
      return true;
    });
    return `${text}|end`;
  } catch (error) {
    return `${text}|${getReason(error)}`;
  }
}

describe("chunks of a body", () => {
  const cases: Record<string, (body: PassThrough) => void> = {
    "ends": (body) => body.end("c"),
    "ends without more": (body) => body.end(),
    "is destroyed": (body) => body.destroy(),
    "fails": (body) => body.destroy(new Error("reset")),
  };
  Object.entries(cases).forEach(([when, finish]) =>
    // Guards against a part of an answer that looks whole.
    it(`are read as by an iterator if the body ${when}`, async () => {
      const results = await Promise.all(
        [readWithIterator, readWithHandler].map(async (read) => {
          const body = new PassThrough();
          const result = read(body);
          body.write("a");
          await nextTurn();
          body.write("b");
          await nextTurn();
          finish(body);
          return [await result, body.destroyed];
        }),
      );
      expect(results[1]).deep.equal(results[0]);
    })
  );

  // Guards against a caller that reads slowly and fills the memory.
  it("wait while the handler does", async () => {
    const body = new PassThrough();
    const handled: string[] = [];
    let proceed = (_: boolean) => {};
    const result = new BodyChunks(body, () => {}).forEach((chunk) => {
      handled.push(String(chunk));
      return new Promise<boolean>((resolve) => {
        proceed = resolve;
      });
    });
    body.write("a");
    await nextTurn();
    body.write("b");
    body.end();
    await nextTurn();
    expect(handled).deep.equal(["a"]);
    proceed(true);
    await nextTurn();
    expect(handled).deep.equal(["a", "b"]);
    proceed(true);
    expect(await result).equal(true);
  });

  it("destroy the body if the handler wants no more or fails", async () => {
    const body = new PassThrough();
    body.write("a");
    expect(await new BodyChunks(body, () => {}).forEach(() => false))
      .equal(false);
    expect(body.destroyed).equal(true);
    const other = new PassThrough();
    other.write("a");
    const failed = new BodyChunks(other, () => {}).forEach(() => {
      throw new Error("no");
    }).catch(getReason);
    expect(await failed).equal("no");
    expect(other.destroyed).equal(true);
  });

  it("are observed before the handler, and the first one once", async () => {
    const body = new PassThrough();
    const calls: string[] = [];
    const chunks = observeFirstChunk(
      new BodyChunks(body, () => calls.push("observed")),
      () => calls.push("first"),
    );
    const result = (chunks as BodyChunks).forEach(() => {
      calls.push("handled");
      return true;
    });
    body.write("a");
    await nextTurn();
    body.end("b");
    await result;
    expect(calls).deep.equal([
      "observed",
      "first",
      "handled",
      "observed",
      "handled",
    ]);
  });

  // Guards against times of responses that were not read to their end.
  it("tell of the end once, and only if all were read", async () => {
    const read = async (
      finish: (body: PassThrough) => void,
      consume: (chunks: BodyChunks) => Promise<unknown>,
    ) => {
      const calls: string[] = [];
      const body = new PassThrough();
      const chunks = observeFirstChunk(
        new BodyChunks(
          body,
          () => calls.push("chunk"),
          () => calls.push("end"),
        ),
        () => calls.push("first"),
      );
      const consumed = consume(chunks as BodyChunks).catch(() => {});
      body.write("a");
      await nextTurn();
      finish(body);
      await consumed;
      return calls;
    };
    const handleAll = (chunks: BodyChunks) => chunks.forEach(() => true);
    const iterate = async (chunks: BodyChunks) => {
      for await (const _ of chunks);
    };
    const end = (body: PassThrough) => body.end();
    for (const consume of [handleAll, iterate]) {
      expect(await read(end, consume)).deep.equal(["chunk", "first", "end"]);
      expect(await read((body) => body.destroy(new Error("reset")), consume))
        .deep.equal(["chunk", "first"]);
    }
    expect(await read(end, (chunks) => chunks.forEach(() => false)))
      .deep.equal(["chunk", "first"]);
    expect(
      await read(end, async (chunks) => {
        for await (const _ of chunks) break;
      }),
    ).deep.equal(["chunk", "first"]);
  });
});
