/** Queries of the state of an item group. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
  InFlightCounts,
  QueryReplySchema,
  QueryRequest,
} from "../../schema/mod.ts";
import type { ItemMachine } from "../../state/mod.ts";

/** Reply to a query. */
export type QueryReplyInit = MessageInitShape<typeof QueryReplySchema>;

const MAX_PAGE_ITEMS = 1_000;

/** Converts counts to plain numbers for the dump. */
export function describeInFlightCounts(counts: InFlightCounts) {
  return {
    jobs: Number(counts.jobs),
    accepted: Number(counts.accepted),
    dispatched: Number(counts.dispatched),
    finished: Number(counts.finished),
    requestsDispatched: Number(counts.requestsDispatched),
  };
}

/** Evaluates a query against the state of an item group. */
export function queryItems(
  machine: ItemMachine,
  req: QueryRequest,
): QueryReplyInit {
  const { query } = req;
  switch (query.case) {
    case "jobId": {
      const job = machine.tryGetJob(query.value);
      return { jobs: job === undefined ? [] : [job] };
    }
    case "listJobs":
      return { jobs: machine.getJobs(query.value) };
    case "readResults": {
      const { jobId, after } = query.value;
      const limit = Math.min(
        query.value.limit || MAX_PAGE_ITEMS,
        MAX_PAGE_ITEMS,
      );
      const job = machine.tryGetJob(jobId);
      const items = machine.getItems(jobId, after, limit);
      const end = after + items.length;
      const hasMore = end < Number(job?.itemCount ?? 0n);
      return {
        jobs: job === undefined ? [] : [job],
        items,
        next: hasMore ? end : 0,
      };
    }
    case "request":
      return {
        request: machine.tryGetRequest(query.value.caller, query.value.key),
      };
    case "listRequests": {
      const { operator, after, limit } = query.value;
      return { requests: machine.getRequests(operator, after, limit) };
    }
    case "counts":
      return { counts: machine.getInFlightCounts() };
    default:
      return {};
  }
}
