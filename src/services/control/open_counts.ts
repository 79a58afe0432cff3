/** Counts the open streams and the claimed items of all entries. */
import { Entries, type EntryRegistration } from "../../schema/mod.ts";
import { RpcClientPool, type RpcCredentials } from "../../sys/rpc.ts";

/** Open streams, claimed items, and the ids of entries that did not respond. */
export interface OpenWorkCounts {
  readonly streams: number;
  readonly claims: number;
  readonly unreachable: string[];
}

const COUNT_TIMEOUT_MS = 2_000;

/** Collects the counts with one request to each entry. */
export async function countOpenWork(
  entries: readonly EntryRegistration[],
  credentials: RpcCredentials,
): Promise<OpenWorkCounts> {
  const clients = new RpcClientPool(credentials);
  const results = await Promise.all(
    entries.map((entry) =>
      clients.get(entry.address).call(Entries.method.countOpen, {}, {
        timeoutMs: COUNT_TIMEOUT_MS,
      }).catch(() => entry.id)
    ),
  );
  clients.close();
  const replies = results.filter((count) => typeof count !== "string");
  return {
    streams: replies.reduce((sum, count) => sum + Number(count.streams), 0),
    claims: replies.reduce((sum, count) => sum + Number(count.claims), 0),
    unreachable: results.filter((count) => typeof count === "string"),
  };
}
