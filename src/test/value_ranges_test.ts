/**
 * Values at the limits of their types: whatever a decoder accepts must be
 * encodable, and must be taken by headers, connections and timers.
 */
import { create, equals, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import http from "node:http";
import net from "node:net";
import { PlatformCallerDialect } from "../../platform/caller_dialect.ts";
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import { decodeJob } from "../../platform/job_codec.ts";
import { decodeRegistration } from "../../platform/registration_codec.ts";
import { decodeRouteTable } from "../../platform/routes_codec.ts";
import { BackendClient } from "../fleet/backend_client.ts";
import { JobClient } from "../fleet/job_client.ts";
import {
  LoadTracker,
  PromptPartSuspicions,
  ServerLimits,
} from "../membership/mod.ts";
import { EventStream } from "../relay/mod.ts";
import type { StateClient } from "../services/common/state_client.ts";
import { createItemRequest, runItemAttempt } from "../fleet/item_attempt.ts";
import { ItemProgress } from "../fleet/item_progress.ts";
import { tryFindRequestError } from "../fleet/request_check.ts";
import type { PoolServer } from "../fleet/server_pool.ts";
import { selectTarget, tryFindRouteTableError } from "../policy/mod.ts";
import {
  JobItemSchema,
  type Jobs,
  LoadReportSchema,
  MessageCode,
  PromptPartSuspicionSchema,
  RegistrationSchema,
  RouteSchema,
  type RouteTable,
  RouteTableSchema,
  RunProgressSchema,
  ServerLimitSchema,
  SubmitJobSchema,
} from "../schema/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { ServingError } from "../sys/errors.ts";
import { SeededRandom } from "../sys/random.ts";

const SEED = 43;

const DIALECT = new PlatformBackendDialect();

/** Makes requests that are checked, but never sent. */
class NoConnectionAgent extends http.Agent {
  addRequest(): void {}
}

function createBackendClient(): BackendClient {
  return new BackendClient({
    dialect: DIALECT,
    agent: new http.Agent(),
    onLoad: () => {},
    onWrongServer: () => {},
    onLeaving: () => {},
    onLimit: () => {},
    onUnreachable: () => {},
    onActivity: () => {},
  });
}

/** Numbers at the limits of the types that values are decoded from or into. */
const LIMITS = [
  0,
  1,
  2 ** 16 - 1,
  2 ** 16,
  2 ** 31 - 1,
  2 ** 31,
  2 ** 32 - 1,
  2 ** 32,
  2 ** 53 - 1,
  2 ** 53,
  1e300,
  -1,
  -(2 ** 31),
  0.5,
];

/** JSON of any value, at the limits of the types more often than by chance. */
const odd = fc.oneof(
  fc.constantFrom(...LIMITS),
  fc.integer(),
  fc.double({ noNaN: true, noDefaultInfinity: true }),
  fc.string({ unit: "binary", maxLength: 300 }),
  fc.constantFrom("", "\ud800", "a\r\nb", "\u0000", "127.0.0.1:80800", null),
);

const encode = (value: unknown) => Buffer.from(JSON.stringify(value));

/** Returns what an action decodes; undefined if it refuses the body. */
function tryDecode<T>(decode: () => T): T | undefined {
  try {
    return decode();
  } catch (error) {
    if (!(error instanceof ServingError)) throw error;
    expect(error.code).equal(MessageCode.BODY_MALFORMED);
    expect(error.httpStatus).equal(400);
    return undefined;
  }
}

const ROUTE = {
  Name: "r-1",
  Host: "a.example",
  PathPrefix: "/x/",
  Kind: "batch",
  TimeoutMs: 5_000,
  SloMs: 300,
  Priority: 1,
  Attempts: 2,
  GapTargetMs: 250,
  RunTargetMs: 18_000,
  RetentionS: 60,
  MaxCount: 1_200_000,
};
const SERVICE = { Name: "s", HealthPath: "/healthz", MaxConns: 160 };
const BOUNDS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 4_194_304,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

/** A configuration with one value replaced, in each place that has one. */
function createConfigs(value: unknown): [string, unknown][] {
  const config = {
    Version: 7,
    Routes: [{ ...ROUTE, Backends: [{ Service: "s", Weight: 1 }] }],
    Services: [{ ...SERVICE, Engine: { Slots: 8 } }],
    Limits: BOUNDS,
  };
  const [route] = config.Routes;
  return [
    ["Version", { ...config, Version: value }],
    ...Object.keys(ROUTE).map((field): [string, unknown] => [
      field,
      { ...config, Routes: [{ ...route, [field]: value }] },
    ]),
    ["Weight", {
      ...config,
      Routes: [{ ...route, Backends: [{ Service: "s", Weight: value }] }],
    }],
    ...Object.keys(SERVICE).map((field): [string, unknown] => [
      field,
      { ...config, Services: [{ ...SERVICE, [field]: value }] },
    ]),
    ["Slots", {
      ...config,
      Services: [{ ...SERVICE, Engine: { Slots: value } }],
    }],
    ...Object.keys(BOUNDS).map((field): [string, unknown] => [
      field,
      { ...config, Limits: { ...BOUNDS, [field]: value } },
    ]),
  ];
}

const NUMBERS = [
  "TimeoutMs",
  "SloMs",
  "Priority",
  "Attempts",
  "GapTargetMs",
  "RunTargetMs",
  "RetentionS",
  "Weight",
  "MaxConns",
  "Slots",
  ...Object.keys(BOUNDS),
];

function expectEncodable(table: RouteTable, name: string): void {
  const copy = fromBinary(
    RouteTableSchema,
    toBinary(RouteTableSchema, table),
  );
  expect(equals(RouteTableSchema, copy, table), name).equal(true);
}

describe("values at the limits of their types", () => {
  // Guards against an order that is answered with 500, and so sent again and again,
  // because a number of a configuration does not fit into the log's type.
  it("are accepted in a configuration as what its types hold", () => {
    LIMITS.filter((value) => value >= 1 && Number.isInteger(value))
      .forEach((value) =>
        createConfigs(value).filter(([field]) => NUMBERS.includes(field))
          .forEach(([field, config]) => {
            const table = tryDecode(() => decodeRouteTable(encode(config)));
            const name = `${field} ${value}`;
            if (table === undefined && value > Number.MAX_SAFE_INTEGER) {
              expect(field, name).equal("Weight");
              return;
            }
            if (table === undefined) expect.fail(name);
            expectEncodable(table, name);
            expect(tryFindRouteTableError(table), name).equal(undefined);
          })
      );
  });

  // Guards against the same for any other value: it is refused, or can be sent.
  it("are refused in a configuration, or can be sent on", () => {
    fc.assert(
      fc.property(odd, (value) => {
        createConfigs(value).forEach(([field, config]) => {
          const table = tryDecode(() => decodeRouteTable(encode(config)));
          // A lone surrogate is replaced on its way, as in any message.
          const isText = typeof value === "string";
          if (table === undefined) return;
          if (isText) toBinary(RouteTableSchema, table);
          else expectEncodable(table, `${field} ${String(value)}`);
        });
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  // Guards against shares of requests that change because weights are large.
  it("keep the shares of weights that are too large to be sent", () => {
    const config = {
      Version: 1,
      Routes: [{
        ...ROUTE,
        Backends: [
          { Service: "s", Weight: 3e15 },
          { Service: "t", Weight: 1e15 },
          { Service: "u", Weight: 0 },
        ],
      }],
      Services: ["s", "t", "u"].map((Name) => ({ ...SERVICE, Name })),
    };
    const [route] = decodeRouteTable(encode(config)).routes;
    if (route === undefined) expect.fail("no route");
    const [s = 0, t = 0, u = 0] = route.targets.map(({ weight }) => weight);
    expect(s / t).closeTo(3, 1e-6);
    expect(u).equal(0);
    expect(selectTarget(route, 0.9)?.service).equal("t");
  });

  // Guards against registrations that can't be sent to followers or used.
  it("are refused in a registration, or can be sent on", () => {
    const wire = {
      Service: "s",
      Address: "10.128.0.9:8080",
      Zone: "dc-a",
      Version: "v1",
      Slots: 8,
      State: "ready",
      Seq: 4,
      born: 1_700_000_000_000,
    };
    const address = fc.tuple(
      fc.array(fc.constantFrom(0, 1, 255, 256, 999), {
        minLength: 4,
        maxLength: 4,
      }),
      fc.constantFrom(0, 1, 65_535, 65_536, 80_800, 99_999),
    ).map(([octets, port]) => `${octets.join(".")}:${port}`);
    fc.assert(
      fc.property(
        fc.constantFrom("id", ...Object.keys(wire)),
        fc.oneof(odd, address),
        (field, value) => {
          const id = field === "id" ? String(value) : "i-1";
          const body = encode({ ...wire, [field]: value });
          const server = tryDecode(() => decodeRegistration(id, body));
          if (server === undefined) return;
          const copy = fromBinary(
            RegistrationSchema,
            toBinary(RegistrationSchema, server),
          );
          expect(equals(RegistrationSchema, copy, server)).equal(true);
          http.validateHeaderValue("X-Id", server.id);
          const colon = server.address.lastIndexOf(":");
          const port = Number(server.address.slice(colon + 1));
          const address = server.address.slice(0, colon);
          expect(new net.SocketAddress({ address, port }).port).above(0);
        },
      ),
      { seed: SEED, numRuns: 3_000 },
    );
  });

  // Guards against jobs whose items look like failures of all servers, because
  // Node.js refuses to send them.
  it("are refused in a job, or taken by node:http", () => {
    const route = create(RouteSchema, { name: "r", host: "a.example" });
    const item = {
      Id: "i1",
      Path: "/b/1",
      Headers: { "X-Model": "m" },
      Body: "q83v",
      Tokens: 9,
    };
    const decode = (value: unknown) =>
      tryDecode(() => decodeJob("j", encode({ Items: [value] }), route));
    const faults = [
      { ...item, Id: "a\nb" },
      { ...item, Id: "\u2028" },
      { ...item, Path: "/b/1 2" },
      { ...item, Path: "/b/\u2028" },
      { ...item, Path: "" },
      { ...item, Headers: { "X Model": "m" } },
      { ...item, Headers: { "": "m" } },
      { ...item, Headers: { "X-Model": "a\r\nHost: b" } },
      { ...item, Headers: { "X-Model": "\u2028" } },
    ];
    expect(faults.filter((fault) => decode(fault) !== undefined)).deep.equal(
      [],
    );
    fc.assert(
      fc.property(
        fc.constantFrom("Id", "Path", "Tokens", "name", "value"),
        odd,
        (field, value) => {
          const headers = {
            name: { [String(value)]: "m" },
            value: { "X-Model": value },
          };
          const Headers = headers[field as keyof typeof headers];
          const job = decode(
            Headers === undefined
              ? { ...item, [field]: value }
              : { ...item, Headers },
          );
          const [decoded] = job?.items ?? [];
          if (job === undefined || decoded === undefined) return;
          const copy = fromBinary(
            SubmitJobSchema,
            toBinary(SubmitJobSchema, job),
          );
          expect(equals(SubmitJobSchema, copy, job)).equal(true);
          const request = createItemRequest(route.host, decoded, DIALECT);
          expect(tryFindRequestError(request)).equal(undefined);
          http.request({
            path: request.target,
            headers: request.headers as unknown as http.OutgoingHttpHeaders,
            agent: new NoConnectionAgent(),
          }).on("error", () => {}).destroy();
        },
      ),
      { seed: SEED, numRuns: 3_000 },
    );
  });

  // Guards against the same with items that an older build has stored.
  it("are not tried at a server if they are in the log", async () => {
    const item = create(JobItemSchema, {
      id: "i",
      path: "/b/1",
      headers: [{ name: "X-Model", value: "a\nb" }],
    });
    const outcome = await runItemAttempt({
      backendClient: { send: () => expect.fail("the item was sent") },
      request: createItemRequest("a.example", item, DIALECT),
      permit: { server: {} as PoolServer, startedMs: 0, release: () => {} },
      timeoutMs: 1_000,
      progress: new ItemProgress({ random: new SeededRandom(SEED) }),
      signal: new AbortController().signal,
    });
    expect(outcome.kind).equal("notRun");
  });

  // Guards against items that set the framing of their request, or its host.
  it("do not let an item name its connection or another host", () => {
    const item = create(JobItemSchema, {
      id: "i",
      path: "/b/1",
      headers: [
        { name: "Transfer-Encoding", value: "chunked" },
        { name: "Connection", value: "close, X-Own" },
        { name: "X-Own", value: "1" },
        { name: "HOST", value: "b.example" },
        { name: "Content-Length", value: "7" },
        { name: "X-Request-Id", value: "other" },
        { name: "X-Model", value: "m" },
      ],
    });
    expect(createItemRequest("a.example", item, DIALECT).headers).deep.equal(
      ["Host", "a.example", "X-Request-Id", "i", "X-Model", "m"],
    );
  });

  // Guards against reads of results that get 500 instead of a page without any.
  it("are positions at which no results are", async () => {
    const encoded: Uint8Array[] = [];
    const leader = {
      call: (method: typeof Jobs.method.readResults, req: object) => {
        encoded.push(toBinary(method.input, create(method.input, req)));
        return Promise.resolve(create(method.output, { total: 4 }));
      },
    };
    const client = new JobClient({
      callLeader: (
        _group: string,
        _timeoutMs: number,
        call: (client: typeof leader, timeoutMs: number) => unknown,
      ) => call(leader, 1_000),
    } as unknown as StateClient);
    const after = new PlatformCallerDialect().tryDecodeJobRequest(
      "GET",
      "/-/lots/j?After=999999999999999",
      {},
    );
    if (after?.kind !== "results") expect.fail("no read of results");
    const page = await client.readResults(
      "j",
      after.after,
      { waitMs: 0, maxBytes: 0 },
      undefined,
    );
    expect(page).include({ total: 4, after: 999_999_999_999_999 });
    expect(encoded).lengthOf(1);
  });

  // Guards against calls that get 500, and are repeated, for a path that can't be
  // decoded.
  it("are not hidden in a path that cannot be decoded", () => {
    const caller = new PlatformCallerDialect();
    ["/-/lots/%zz", "/-/items/%ff?Id=i"].forEach((target) =>
      expect(tryDecode(() => caller.tryDecodeJobRequest("GET", target, {})))
        .equal(undefined)
    );
  });

  // Guards against output of all items of a host that is recorded no more, because
  // a server gave one event a number that the log's type can't hold.
  it("are no numbers of events if they are too large", () => {
    const read = (after: number, id: string) => {
      const stream = new EventStream(after);
      const { fault } = stream.readAnswer()
        .push(Buffer.from(`id: ${id}\ndata: x\n\n`));
      return { last: stream.last, isRefused: fault !== undefined };
    };
    const max = read(2 ** 53 - 2, "9007199254740991");
    expect(max).deep.equal({ last: 2 ** 53 - 1, isRefused: false });
    const huge = ["9007199254740992", "9".repeat(16), "9".repeat(30)];
    [...huge, "9".repeat(400)].forEach((id) =>
      expect(read(2 ** 53 - 1, id), id)
        .deep.equal({ last: 2 ** 53 - 1, isRefused: true })
    );
    toBinary(
      RunProgressSchema,
      create(RunProgressSchema, { last: BigInt(max.last ?? 0) }),
    );
  });

  // Guards against callers that are told to come again in 1e+297 seconds, or
  // before now.
  it("are waits that a server asks for, as far as callers can use them", async () => {
    const values = ["1e300", "-5", "soon", "0.25", "9".repeat(400), ""];
    const server = http.createServer((req, res) => {
      const id = req.headers["x-request-id"];
      res.writeHead(503, {
        "X-Request-Id": id,
        "Retry-After": values[Number(id)] ?? "",
        "X-Not-Run": "full",
      }).end();
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as net.AddressInfo;
    const client = createBackendClient();
    const waits = await Promise.all(values.map(async (_, index) => {
      const result = await client.send({
        request: {
          requestId: String(index),
          method: "POST",
          target: "/",
          headers: ["Host", "a.example", "X-Request-Id", String(index)],
          body: Buffer.alloc(0),
        },
        permit: {
          server: { id: "s", address: `127.0.0.1:${port}` } as PoolServer,
          startedMs: 0,
          release: () => {},
        },
        remainingMs: 1_000,
        resumeAfter: undefined,
        useNewConnection: true,
        signal: new AbortController().signal,
      });
      return result.kind === "notRun" ? result.retryAfterMs : result.kind;
    }));
    server.close();
    expect(waits).deep.equal([
      undefined,
      undefined,
      undefined,
      250,
      3_600_000,
      undefined,
    ]);
  });

  // Guards against updates and reports that can't be encoded once a process has run
  // for 50 days, or after a report with large counts.
  it("are what processes tell each other of ages and loads", () => {
    const server = { id: "s", bornMs: 1n };
    const laterMs = 2 ** 33;
    const limits = new ServerLimits();
    limits.recordResponse(server, 2, { sentMs: 0, nowMs: 0 });
    toBinary(ServerLimitSchema, limits.getUpdate(server, laterMs));
    const parts = new PromptPartSuspicions();
    parts.recordProof(["part"], 0);
    toBinary(PromptPartSuspicionSchema, parts.getUpdate("part", laterMs));
    const loads = new LoadTracker();
    ["a", "b"].forEach((sender) =>
      loads.acceptReport(
        create(LoadReportSchema, {
          sender,
          sequence: 1n,
          loads: [{ server: "s", online: 2 ** 32 - 1, batch: 1 }],
        }),
        0,
      )
    );
    const merged = loads.getMerged(0, "c");
    toBinary(LoadReportSchema, create(LoadReportSchema, { loads: merged }));
    expect(merged.map(({ online }) => online)).deep.equal([2 ** 32 - 1]);
  });

  // Guards against a control host or gateway that runs out of memory while it parses
  // one body: a value takes many times its bytes.
  it("are not so many that a body cannot be parsed", () => {
    const item = { Id: "i", Path: "/b/1", Headers: {}, Body: "", Tokens: 1 };
    const config = { Version: 7, Routes: [ROUTE], Services: [SERVICE] };
    const route = create(RouteSchema, { name: "r", host: "a.example" });
    const decoders: [object, (body: Buffer) => unknown][] = [
      [config, decodeRouteTable],
      [{ Items: [item] }, (body) => decodeJob("j", body, route)],
    ];
    decoders.forEach(([value, decode]) => {
      const addField = (json: string) =>
        Buffer.from(JSON.stringify(value).replace(/\}$/, `,"Other":${json}}`));
      const many = 200_000;
      [
        `[${"[],".repeat(many)}0]`,
        `[${"0,".repeat(many)}0]`,
        "[".repeat(many) + "]".repeat(many),
        `{"a":`.repeat(many) + "0" + "}".repeat(many),
      ].forEach((json) =>
        expect(tryDecode(() => decode(addField(json)))).equal(undefined)
      );
      const few = `[${"[],".repeat(50_000)}${
        JSON.stringify('x,"[{\\'.repeat(100_000))
      }]`;
      expect(tryDecode(() => decode(addField(few)))).not.equal(undefined);
    });
  });

  // Guards against timers that fire at once: Node.js takes 31 bits, and a route may
  // have a timeout of 32.
  it("are waited for by timers", async () => {
    const clock = new SystemClock();
    const fired: number[] = [];
    const timers = [2 ** 31, 2 ** 32 - 1, 1e300, Infinity].map((ms) =>
      clock.startTimer(ms, () => fired.push(ms))
    );
    clock.startTimer(0, () => fired.push(0));
    await clock.delay(30);
    timers.forEach((timer) => timer.cancel());
    expect(fired).deep.equal([0]);
  });
});
