/** Decoding and validation of the platform's HTTP API. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import { PlatformCallerDialect } from "../../platform/caller_dialect.ts";
import {
  decodeDeregistration,
  decodeRegistration,
} from "../../platform/registration_codec.ts";
import {
  decodeRouteTable,
  upgradeRouteTable,
} from "../../platform/routes_codec.ts";
import { hashApiKey } from "../policy/mod.ts";
import {
  MessageCode,
  RequestKind,
  RouteSchema,
  RouteTableSchema,
  ServerState,
  Verdict,
} from "../schema/mod.ts";
import { ServingError } from "../sys/errors.ts";

const ROUTE = {
  Name: "r-1",
  Host: "a.example",
  PathPrefix: "/x/",
  Kind: "streaming",
  TimeoutMs: 5000,
  SloMs: 300,
  Priority: 1,
  Backends: [{ Service: "s", Weight: 90 }, { Service: "t", Weight: 10 }],
  Attempts: 2,
  Sticky: true,
  Resumable: true,
  GapTargetMs: 250,
};

const BATCH_ROUTE = {
  ...ROUTE,
  Name: "r-2",
  PathPrefix: "/b/",
  Kind: "batch",
  Backends: undefined,
  Service: "s",
  RunTargetMs: 18000,
  RetentionS: 60,
  MaxCount: 1200000,
};

const CONFIG = {
  Version: 7,
  Routes: [ROUTE, BATCH_ROUTE],
  Services: [
    {
      Name: "s",
      HealthPath: "/healthz",
      MaxConns: 160,
      Protocol: "h1",
      Tls: false,
      Engine: { Slots: 8, MaxCount: 12 },
    },
    { Name: "t", HealthPath: "/healthz", MaxConns: 96 },
  ],
  Limits: {
    MaxHeaderBytes: 16384,
    MaxBodyBytes: 4194304,
    HeaderTimeoutMs: 3000,
    IdleTimeoutMs: 15000,
  },
};

const REGISTRATION = {
  Service: "s",
  Address: "10.128.0.9:8080",
  Zone: "dc-a",
  Version: "v1",
  Slots: 8,
  State: "ready",
  ColdLeftMs: 0,
  Seq: 4,
  born: 1_700_000_000_000,
};

const encode = (value: unknown) => Buffer.from(JSON.stringify(value));

function getErrorCode(action: () => unknown): MessageCode | undefined {
  try {
    action();
    return undefined;
  } catch (error) {
    return error instanceof ServingError ? error.code : MessageCode.INTERNAL;
  }
}

describe("platform configuration", () => {
  it("is decoded into organisations and public routes", () => {
    const [route, ...others] = CONFIG.Routes;
    const table = decodeRouteTable(encode({
      ...CONFIG,
      Routes: [{ ...route, Public: true }, ...others],
      Tenants: [
        { Name: "a", ApiKeys: ["k"], Priority: 0, RatePerS: 2.5, Burst: 10 },
        { Name: "b", ApiKeys: [], Priority: null, RatePerS: null },
      ],
    }));
    expect(table.routes[0]?.public).equal(true);
    expect(table.routes[1]?.public).equal(false);
    const [a, b] = table.organisations;
    expect(a).deep.include({ priority: 0, ratePerS: 2.5, burst: 10 });
    expect(a?.keyHashes).deep.equal([hashApiKey(Buffer.from("k"))]);
    expect(b).deep.include({ name: "b", keyHashes: [], ratePerS: 0 });
    expect(b?.priority).equal(undefined);
    expect(decodeRouteTable(encode(CONFIG)).organisations).deep.equal([]);
    const { document } = decodeRouteTable(encode({
      ...CONFIG,
      Tenants: [{ Name: "a", ApiKeys: ["k"] }],
    }));
    const older = create(RouteTableSchema, { version: 7n, document });
    expect(upgradeRouteTable(older).organisations).length(1);
    expect(upgradeRouteTable(table)).equal(table);
  });

  it("is refused with organisations that are not valid", () => {
    [
      {},
      { Name: "a", ApiKeys: "k" },
      { Name: "a", ApiKeys: [1] },
      { Name: "a", ApiKeys: [""] },
      { Name: "a", RatePerS: -1 },
      { Name: "a", Burst: "1" },
      { Name: "a", Priority: 0.5 },
    ].forEach((organisation) =>
      expect(
        getErrorCode(() =>
          decodeRouteTable(encode({ ...CONFIG, Tenants: [organisation] }))
        ),
        JSON.stringify(organisation),
      ).equal(MessageCode.BODY_MALFORMED)
    );
  });

  it("is decoded into routes, services and caller limits", () => {
    const document = encode(CONFIG);
    const table = decodeRouteTable(document);
    expect(table.version).equal(7n);
    expect(Buffer.from(table.document).equals(document)).equal(true);
    const [stream, batch] = table.routes;
    expect(stream).deep.include({
      kind: RequestKind.STREAM,
      latencyTargetMs: 300,
      gapTargetMs: 250,
      maxAttempts: 2,
      resumable: true,
    });
    expect(stream?.targets.map(({ service, weight }) => [service, weight]))
      .deep.equal([["s", 90], ["t", 10]]);
    expect(batch).deep.include({
      kind: RequestKind.BATCH,
      dueMs: 18_000,
      retentionMs: 60_000,
      waitingTokens: 1_200_000n,
    });
    expect(batch?.targets.map((target) => target.service)).deep.equal(["s"]);
    expect(table.services.map((one) => one.engineSlots)).deep.equal([8, 0]);
    expect(table.bounds?.idleTimeoutMs).equal(15_000);
  });

  it("is rejected if a field is missing or has the wrong type", () => {
    const faults: unknown[] = [
      { ...CONFIG, Version: "7" },
      { ...CONFIG, Version: undefined },
      { ...CONFIG, Routes: {} },
      { ...CONFIG, Services: undefined },
      { ...CONFIG, Routes: [{ ...ROUTE, Kind: "other" }] },
      { ...CONFIG, Routes: [{ ...ROUTE, Host: 4 }] },
      { ...CONFIG, Routes: [{ ...ROUTE, TimeoutMs: -1 }] },
      { ...CONFIG, Routes: [{ ...ROUTE, Backends: [{ Service: "s" }] }] },
      { ...CONFIG, Limits: [] },
      [],
    ];
    faults.forEach((fault) =>
      expect(getErrorCode(() => decodeRouteTable(encode(fault))))
        .equal(MessageCode.BODY_MALFORMED)
    );
  });

  it("is rejected if it is truncated at any byte", () => {
    const whole = encode(CONFIG);
    fc.assert(fc.property(
      fc.integer({ min: 0, max: whole.length - 1 }),
      (length) => {
        expect(getErrorCode(() => decodeRouteTable(whole.subarray(0, length))))
          .equal(MessageCode.BODY_MALFORMED);
      },
    ));
  });
});

describe("platform registrations", () => {
  it("are decoded with the start time of the server", () => {
    expect(decodeRegistration("i-1", encode(REGISTRATION))).include({
      id: "i-1",
      bornMs: 1_700_000_000_000n,
      sequence: 4n,
      address: "10.128.0.9:8080",
      dataCentre: "dc-a",
      state: ServerState.READY,
      slots: 8,
      softwareVersion: REGISTRATION.Version,
    });
  });

  it("are rejected if a field is invalid or the body is not JSON", () => {
    const faults: unknown[] = [
      { ...REGISTRATION, State: "resting" },
      { ...REGISTRATION, Seq: "4" },
      { ...REGISTRATION, Slots: 1.5 },
      { ...REGISTRATION, Address: "elsewhere" },
      { ...REGISTRATION, Zone: undefined },
      { ...REGISTRATION, Version: 1 },
      { ...REGISTRATION, born: "yesterday" },
    ];
    faults.forEach((fault) =>
      expect(getErrorCode(() => decodeRegistration("i-1", encode(fault))))
        .equal(MessageCode.BODY_MALFORMED)
    );
    const bytes = Buffer.from([0xff, 0xfe, 0x00]);
    expect(getErrorCode(() => decodeRegistration("i-1", bytes)))
      .equal(MessageCode.BODY_MALFORMED);
  });

  it("end with a deregistration that has the current start time", () => {
    const known = decodeRegistration("i-1", encode(REGISTRATION));
    const leave = decodeDeregistration("i-1", Buffer.alloc(0), known);
    expect(leave).include({
      state: ServerState.GONE,
      bornMs: known.bornMs,
      address: known.address,
    });
    expect(
      getErrorCode(() =>
        decodeDeregistration("i-2", Buffer.alloc(0), undefined)
      ),
    ).equal(MessageCode.BODY_MALFORMED);
    const reported = encode({ born: 1_700_000_000_000 });
    expect(decodeDeregistration("i-2", reported, undefined))
      .include({ state: ServerState.GONE, bornMs: 1_700_000_000_000n });
  });
});

describe("platform dialects", () => {
  const caller = new PlatformCallerDialect();
  const backend = new PlatformBackendDialect();

  it("reads request id, deadline and prompt prefix from headers", () => {
    expect(caller.readRequestMetadata({
      "x-request-id": "r1",
      "x-deadline-ms": "2500",
      "x-prompt-prefix": "5c:800, 91:410,e4:250",
    })).deep.equal({
      requestId: "r1",
      timeoutMs: 2_500,
      prefix: ["5c", "91"],
      resumeAfter: undefined,
      resumedRequest: "",
    });
    expect(caller.readRequestMetadata({
      "x-request-id": "r2",
      "last-event-id": "7",
      "resumes": "r1",
    })).include({ resumeAfter: 7, resumedRequest: "r1" });
    expect(caller.readRequestMetadata({ "x-deadline-ms": "soon" }).timeoutMs)
      .equal(undefined);
  });

  it("recognizes calls about jobs by method and path", () => {
    const read = (method: string, target: string) =>
      caller.tryDecodeJobRequest(method, target, { "x-wait-ms": "60000" });
    expect(read("GET", "/-/lots/j1?After=12")).deep.equal({
      kind: "results",
      job: "j1",
      after: 12,
      waitMs: 1_000,
    });
    expect(read("DELETE", "/-/lots/j1")).deep.equal({ kind: "end", job: "j1" });
    expect(read("GET", "/-/items/j1?Id=i9")).deep.equal({
      kind: "body",
      job: "j1",
      item: "i9",
    });
    expect(read("POST", "/-/lots/j1")).equal(undefined);
    expect(read("GET", "/lots/j1")).equal(undefined);
  });

  it("decodes a job, or rejects it whole if any item is invalid", () => {
    const route = create(RouteSchema, {
      name: "r-2",
      host: "a.example",
      retentionMs: 60_000,
      maxAttempts: 3,
    });
    const item = {
      Id: "i1",
      Path: "/b/3/91c4",
      Headers: { "X-Model": "m" },
      Body: "q83vEjRWeJA=",
      Tokens: 940,
    };
    const decode = (items: unknown[], id = "j1") =>
      caller.decodeJob(encode({ Items: items }), { "x-request-id": id }, route);
    const job = decode([item]);
    expect(job).include({ id: "j1", route: "r-2", retentionMs: 60_000 });
    expect(Buffer.from(job.items[0]?.body ?? []).toString("hex"))
      .equal("abcdef1234567890");
    [[item, item], [{ ...item, Tokens: "9" }], [{ ...item, Body: 7 }]]
      .forEach((items) =>
        expect(getErrorCode(() => decode(items))).equal(
          MessageCode.BODY_MALFORMED,
        )
      );
    expect(getErrorCode(() => decode([item], ""))).equal(
      MessageCode.BODY_MALFORMED,
    );
  });

  it("uses a not-run status only for requests that did not run", () => {
    const refuse = (code: MessageCode, verdict: Verdict) =>
      caller.createErrorResponse(
        new ServingError(code, { verdict, retryAfterS: 0.25 }),
      );
    const notRun = refuse(MessageCode.NO_ROOM, Verdict.NOT_RUN);
    expect(notRun.status).equal(503);
    expect(notRun.headers).includes("0.250");
    const unknownOutcome = refuse(
      MessageCode.STATE_UNREACHABLE,
      Verdict.MAY_HAVE_RUN,
    );
    expect(unknownOutcome.status).equal(504);
    expect(refuse(MessageCode.ANSWER_LOST, Verdict.MAY_HAVE_RUN).status)
      .equal(502);
  });

  it("sends the server id, remaining time and last event id", () => {
    expect(backend.createHeaders({
      server: "i-1",
      remainingMs: 900,
      resumeAfter: 4,
      organisation: "g\u00fc",
    })).deep.equal([
      "X-Deadline-Ms",
      "900",
      "X-Expect-Instance",
      "i-1",
      "Last-Event-Id",
      "4",
      "X-Tenant",
      "g\u00c3\u00bc",
    ]);
  });

  it("reads the key of a caller", () => {
    const read = (authorization?: string) =>
      new PlatformCallerDialect().tryReadApiKey({ authorization });
    expect(read("Token k-1")).equal("k-1");
    expect(read("token  k 1 ")).equal("k 1");
    ["", "Token", "Token ", "Bearer k-1", "k-1", undefined].forEach((value) =>
      expect(read(value), value).equal(undefined)
    );
  });

  // Guards against requests that hold the process up: with blanks inside a key, the time
  // was quadratic. It would exceed the time limit of the test.
  it("reads keys with many blanks in linear time", () => {
    const read = (authorization: string) =>
      new PlatformCallerDialect().tryReadApiKey({ authorization });
    const blanks = " ".repeat(500_000);
    expect(read(`Token a${blanks}b`)).equal(`a${blanks}b`);
    expect(read(`Token${blanks}a${blanks}`)).equal("a");
    expect(read(`Token${blanks}`)).equal(undefined);
  });

  it("takes only X-Not-Run and status 421 as proof of a request not run", () => {
    const read = (status: number, headers: Record<string, string>) =>
      backend.readResponseMetadata(status, headers);
    expect(read(503, { "x-not-run": "full" }).isNotRun).equal(true);
    expect(read(503, {}).isNotRun).equal(false);
    expect(read(500, {}).isNotRun).equal(false);
    expect(read(421, {})).include({ isNotRun: true, isWrongServer: true });
    expect(read(200, { "x-server-load": "3,2,8" }).load).equal(5);
    expect(read(200, { "x-server-load": "x" }).load).equal(undefined);
    expect(read(500, { "server-leaving": "1" }).isLeaving).equal(true);
    expect(read(200, { "server-leaving": "0" }).isLeaving).equal(false);
    expect(read(200, {}).isLeaving).equal(false);
    expect(read(200, {}).isUnprovenSuccess).equal(true);
    expect(read(200, { "x-server-stamp": "" }).isUnprovenSuccess).equal(true);
    expect(read(204, { "x-server-stamp": "s" }).isUnprovenSuccess)
      .equal(false);
    expect(read(500, {}).isUnprovenSuccess).equal(false);
    [408, 429, 503].forEach((status) => {
      expect(read(status, {}).isUnprovenRefusal).equal(true);
      expect(read(status, { "x-not-run": "1" }).isUnprovenRefusal)
        .equal(false);
    });
    expect(read(421, {}).isUnprovenRefusal).equal(false);
    expect(read(500, {}).isUnprovenRefusal).equal(false);
  });
});
