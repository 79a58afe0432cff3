/** How a gateway finds out which version began a stream, from what hosts know. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
  type KnownOrigins,
  StreamOriginFinder,
} from "../fleet/stream_origin_finder.ts";
import { StreamOriginSchema } from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";

/** What a host replies; undefined if it never does. */
type Reply = KnownOrigins | Error | undefined;

const createOrigin = (softwareVersion: string) =>
  create(StreamOriginSchema, { request: "a", service: "s", softwareVersion });

const UNKNOWN: Reply = { origin: undefined, conflicting: false };
const CONFLICTING: Reply = { origin: undefined, conflicting: true };
const tell = (version: string, controlSilentMs?: number): Reply => ({
  origin: createOrigin(version),
  conflicting: false,
  controlSilentMs,
});

function createFinder(replies: readonly Reply[]) {
  const clock = new ManualClock();
  const finder = new StreamOriginFinder({
    getMergers: () => replies.map((_, index) => String(index)),
    query: (address) => {
      const reply = replies[Number(address)];
      if (reply === undefined) return new Promise(() => {});
      return reply instanceof Error
        ? Promise.reject(reply)
        : Promise.resolve(reply);
    },
    report: () => {},
    clock,
    log: createSilentLog(),
  });
  /** Searches while time passes. */
  const find = async () => {
    const search = finder.find("a");
    let isDone = false;
    search.finally(() => {
      isDone = true;
    });
    while (!isDone) {
      await new Promise((resolve) => setImmediate(resolve));
      clock.advance(10);
    }
    return await search;
  };
  return { finder, find };
}

describe("the search for the origin of a stream", () => {
  const refused = new Error("refused");

  it("ends with what any host knows, though others don't reply", async () => {
    for (
      const replies of [
        [tell("v1"), UNKNOWN, refused],
        [UNKNOWN, tell("v1"), tell("v1")],
        [refused, undefined, tell("v1")],
      ]
    ) {
      const search = await createFinder(replies).find();
      expect(search).deep.equal({
        kind: "found",
        origin: createOrigin("v1"),
        controlSilentMs: Infinity,
      });
    }
  });

  it("tells how long ago any host that replied heard of a control host", async () => {
    const replies = [tell("v1", 700), tell("v1"), tell("v1", 300)];
    expect(await createFinder(replies).find()).include({
      controlSilentMs: 300,
    });
  });

  it("ends without one if no host that replies knows the stream", async () => {
    for (const replies of [[], [UNKNOWN, UNKNOWN], [refused, UNKNOWN]]) {
      expect((await createFinder(replies).find()).kind).equal("unknown");
    }
  });

  // Guards against callers waiting for a gateway that can't find out, though the next
  // one could.
  it("tells whether any host replied", async () => {
    const unknown = { kind: "unknown" };
    expect(await createFinder([refused, refused]).find())
      .deep.equal({ ...unknown, hasReplies: false });
    expect(await createFinder([refused, UNKNOWN]).find())
      .deep.equal({ ...unknown, hasReplies: true });
  });

  // Guards against a stream going on at the version that the fastest host names
  // although hosts know different ones.
  it("ends without one if hosts know different origins", async () => {
    for (
      const replies of [
        [tell("v1"), tell("v2"), tell("v1")],
        [tell("v1"), CONFLICTING, refused],
        [CONFLICTING, UNKNOWN, UNKNOWN],
      ]
    ) {
      expect((await createFinder(replies).find()).kind).equal("conflicting");
    }
  });

  it("ends without one if a host knows another origin than this gateway", async () => {
    const { finder, find } = createFinder([tell("v2"), refused]);
    finder.record(createOrigin("v1"));
    expect((await find()).kind).equal("conflicting");
  });
});
