/**
 * The gRPC service for operators that every process offers: orders, the
 * configuration, membership changes, dumps and exports.
 */
import type { MessageInitShape } from "@bufbuild/protobuf";
import {
  type ChangeMemberRequest,
  type ExportRequest,
  MessageCode,
  Operators,
  Verdict,
} from "../../schema/mod.ts";
import { asServingError, ServingError } from "../../sys/errors.ts";
import type { RpcPeer, RpcServer, RpcStream } from "../../sys/rpc.ts";
import { CONTROL_GROUP, getItemGroups } from "../common/groups.ts";
import type { StateClient } from "../common/state_client.ts";

type ExportInit = MessageInitShape<typeof Operators.method.export.output>;
type InFlightInit = MessageInitShape<typeof Operators.method.inFlight.output>;
type ChangeMemberInit = MessageInitShape<
  typeof Operators.method.changeMember.output
>;

/** Options of {@linkcode addOperatorService}. */
export interface OperatorServiceOptions {
  readonly server: RpcServer;
  readonly state: StateClient;
  readonly groupCount: number;
  readonly isSecure: boolean;
  readonly getDump: () => Record<string, unknown>;
  /**
   * Counts the open streams and claimed items of all entries; lists in
   * `unreachable` what could not be counted.
   */
  readonly countOpenWork: () => Promise<
    { streams: number; claims: number; unreachable: string[] }
  >;
  /** Changes a group's membership; undefined if the process has no replicas. */
  readonly changeMember?: (req: ChangeMemberRequest) => Promise<void>;
  readonly getLeaderAddress?: (group: number) => string;
}

const EXPORT_PAGE_ITEMS = 500;

/** Adds the operators' service to a process's gRPC server. */
export function addOperatorService(options: OperatorServiceOptions): void {
  const { server, state } = options;
  server.addService(Operators, {
    submit: (order, peer) => {
      requireIdentity(options, peer, order.operator);
      return state.submit(order);
    },
    getConfiguration: async () => {
      const reply = await state.query(CONTROL_GROUP, {
        case: "configuration",
        value: true,
      });
      return reply.configuration ?? {};
    },
    changeMember: (req) => changeMember(options, req),
    dump: () => Promise.resolve({ json: JSON.stringify(options.getDump()) }),
    inFlight: () => getInFlight(options),
    export: (req, stream, peer) => {
      requireIdentity(options, peer, req.operator);
      return exportRecords(options, req, stream);
    },
  });
}

/**
 * With TLS, throws ORDER_FORBIDDEN unless the peer's certificate identifies it as
 * the operator on whose behalf it calls.
 */
function requireIdentity(
  options: OperatorServiceOptions,
  peer: RpcPeer,
  operator: string,
): void {
  if (!options.isSecure || peer.identity === operator) return;
  throw new ServingError(MessageCode.ORDER_FORBIDDEN, {
    verdict: Verdict.NOT_RUN,
    parameters: { operator: peer.identity, name: `orders of ${operator}` },
  });
}

async function changeMember(
  options: OperatorServiceOptions,
  req: ChangeMemberRequest,
): Promise<ChangeMemberInit> {
  const leader = options.getLeaderAddress?.(req.group) ?? "";
  try {
    if (options.changeMember === undefined) {
      throw new ServingError(MessageCode.MEMBERSHIP_REFUSED, {
        parameters: { reason: "this process holds no replicas" },
      });
    }
    await options.changeMember(req);
    return { accepted: true, leader };
  } catch (error) {
    const failure = asServingError(error);
    return {
      accepted: false,
      code: failure.code,
      detail: failure.message,
      leader,
    };
  }
}

async function getInFlight(
  options: OperatorServiceOptions,
): Promise<InFlightInit> {
  const replies = await Promise.all(
    getItemGroups(options.groupCount).map((group) =>
      options.state.query(group, { case: "counts", value: true })
    ),
  );
  const sum = (
    getCount: (counts: NonNullable<typeof replies[0]["counts"]>) => bigint,
  ) =>
    replies.reduce(
      (total, { counts }) => total + (counts ? getCount(counts) : 0n),
      0n,
    );
  const state = {
    jobs: sum((counts) => counts.jobs),
    accepted: sum((counts) => counts.accepted),
    dispatched: sum((counts) => counts.dispatched),
    finished: sum((counts) => counts.finished),
    requestsDispatched: sum((counts) => counts.requestsDispatched),
  };
  const entries = await options.countOpenWork();
  const remaining = state.jobs + state.accepted + state.dispatched +
    state.requestsDispatched;
  return {
    quiet: remaining === 0n && entries.streams === 0 && entries.claims === 0 &&
      entries.unreachable.length === 0,
    state,
    entryStreams: BigInt(entries.streams),
    entryClaims: BigInt(entries.claims),
    unreachable: entries.unreachable,
  };
}

async function exportRecords(
  options: OperatorServiceOptions,
  req: ExportRequest,
  stream: RpcStream<ExportInit>,
): Promise<void> {
  for (const group of getItemGroups(options.groupCount)) {
    if (req.jobId === "") await exportIndex(options, { req, group, stream });
    else await exportItems(options, { req, group, stream });
  }
}

interface GroupExport {
  readonly req: ExportRequest;
  readonly group: number;
  readonly stream: RpcStream<ExportInit>;
}

/** Exports an operator's keyed requests, and its jobs without their items. */
async function exportIndex(
  { state }: OperatorServiceOptions,
  { req, group, stream }: GroupExport,
): Promise<void> {
  const { operator } = req;
  const { jobs } = await state.query(group, {
    case: "listJobs",
    value: { operator },
  });
  for (const job of jobs) {
    await stream.send({ record: { case: "job", value: job } });
  }
  let after = "";
  for (;;) {
    const { requests } = await state.query(group, {
      case: "listRequests",
      value: { operator, after, limit: EXPORT_PAGE_ITEMS },
    });
    for (const request of requests) {
      await stream.send({ record: { case: "request", value: request } });
    }
    const last = requests.at(-1);
    if (last === undefined || requests.length < EXPORT_PAGE_ITEMS) return;
    after = `${last.caller}/${last.key}`;
  }
}

async function exportItems(
  { state }: OperatorServiceOptions,
  { req, group, stream }: GroupExport,
): Promise<void> {
  const { jobId, operator } = req;
  let after = 0;
  do {
    const page = await state.query(group, {
      case: "readResults",
      value: { jobId, after, limit: EXPORT_PAGE_ITEMS },
    });
    // An operator must not see the data of another operator.
    if (page.jobs[0]?.operator !== operator) return;
    for (const [offset, item] of page.items.entries()) {
      const value = { jobId, index: after + offset, item };
      await stream.send({ record: { case: "item", value } });
    }
    after = page.next;
  } while (after !== 0);
}
