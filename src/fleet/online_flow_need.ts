/** What an online request says about leaving its data centre. */
import { getHoldMs } from "../policy/mod.ts";
import { EXPECTED_RESPONSE_BYTES, type FlowNeed } from "./remote_flow.ts";

/** Returns the need of a request, which is late here if it can't be held any longer. */
export function createOnlineNeed(
  { request, serviceMs, targetMs, waitedMs, bodyBytes }: {
    /** Name of the request in log lines. */
    readonly request: string;
    /** Mean time for which a request occupies a slot, in milliseconds. */
    readonly serviceMs: number;
    /** Latency objective of the request, in milliseconds. */
    readonly targetMs: number;
    /** Time for which the request has been held already, in milliseconds. */
    readonly waitedMs: number;
    readonly bodyBytes: number;
  },
): FlowNeed {
  return {
    request,
    serviceMs,
    lateAfterMs: getHoldMs({ targetMs, waitedMs }),
    bytes: bodyBytes + EXPECTED_RESPONSE_BYTES,
  };
}
