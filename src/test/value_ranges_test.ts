/**
 * Values at the limits of their types: whatever a decoder accepts must be
 * encodable, and must be taken by headers, connections and timers.
 */
import { create, equals, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import http from "node:http";
import net from "node:net";
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import { decodeJob } from "../../platform/job_codec.ts";
import { decodeRegistration } from "../../platform/registration_codec.ts";
import { decodeRouteTable } from "../../platform/routes_codec.ts";
import { createItemRequest, runItemAttempt } from "../fleet/item_attempt.ts";
import { ItemProgress } from "../fleet/item_progress.ts";
import { tryFindRequestError } from "../fleet/request_check.ts";
import type { PoolServer } from "../fleet/server_pool.ts";
import { selectTarget, tryFindRouteTableError } from "../policy/mod.ts";
import {
  JobItemSchema,
  MessageCode,
  RegistrationSchema,
  RouteSchema,
  type RouteTable,
  RouteTableSchema,
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
