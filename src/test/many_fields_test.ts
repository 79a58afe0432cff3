/** Heads of a legal size that hold thousands of short fields. */
import { expect } from "chai";
import { discardBody, listenHttp, sendHttp } from "../sys/http.ts";
import { range } from "./fleet_helpers.ts";

/** Size of a head that callers may send and servers may answer with, in bytes. */
const MAX_HEADER_BYTES = 16_384;

const FIELD_COUNT = 1_500;

const FIELDS = [
  ...range(FIELD_COUNT).flatMap((index) => [`a${index}`, "1"]),
  "X-Model",
  "m",
];

describe("heads with very many fields", () => {
  // Guards against UNASKED: a server runs a request without its last fields.
  it("keep all of them, in requests and in responses", async () => {
    let received: readonly string[] = [];
    const listener = await listenHttp("127.0.0.1:0", (req, res) => {
      received = req.rawHeaders;
      res.writeHead(200, FIELDS).end();
    }, { maxHeaderBytes: MAX_HEADER_BYTES });
    try {
      const response = await sendHttp({
        address: listener.address,
        method: "POST",
        path: "/",
        headers: ["Host", "a.example", ...FIELDS],
        usesNewConnection: true,
      });
      discardBody(response.body);
      expect(received.slice(2, 2 + FIELDS.length)).deep.equal(FIELDS);
      expect(response.body.rawHeaders.slice(0, FIELDS.length))
        .deep.equal(FIELDS);
    } finally {
      listener.close();
    }
  });
});
